/**
 * `npm run bench:compare -- CHECKOUT_A CHECKOUT_B [--pairs N]`: runs the benchmarks of two checkouts in alternation and
 * prints the medians of both in microseconds, their ratio and its range. A pair is one new process of each checkout.
 * After a warm-up the two processes run blocks in turn (A, B, A, B, ...), so that both are measured under the same load
 * from other processes. Each checkout runs its own version of the benchmarks, bundled with the options of the release build.
 * Exits with 2 if a checkout can't be measured.
 */
import { fork, type ChildProcess } from 'node:child_process';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { parseArgs } from 'node:util';
import { buildSync } from 'esbuild';
import { median, type BenchmarkRequest, type BlockTime } from './measure.ts';

const DEFAULT_PAIRS = 7;
/** Latest start of a pair after the start of the comparison, so that it ends within 90 s. */
const MAX_PAIR_START_MS = 74_000;
const ANSWER_TIMEOUT_MS = 10_000;

/** For each benchmark: how long each process warms up, and how many blocks it then runs. */
const BENCHMARKS: readonly { name: string; warmUpMs: number; turns: number }[] = [
  { name: 'heartbeat, nothing new', warmUpMs: 400, turns: 25 },
  { name: 'heartbeat, one change', warmUpMs: 400, turns: 15 },
  { name: 'scheduling round', warmUpMs: 800, turns: 15 },
];

/** Medians of a benchmark over the turns of one pair, and the median of the ratio right to left of each turn. */
interface PairFigures {
  left: number;
  right: number;
  ratio: number;
}

type Figure = 'cpuUs' | 'wallUs';

/** One block of each process, run directly after each other. */
interface Turn {
  left: BlockTime;
  right: BlockTime;
}

/** A checkout could not be measured; the message has the reason. */
class BenchmarkError extends Error {
  readonly code = 'BENCHMARK_FAILED';

  constructor(checkout: string, reason: string, options?: ErrorOptions) {
    super(`${checkout} can't be measured: ${reason}`, options);
    this.name = 'BenchmarkError';
  }
}

/** Bundles the benchmarks of a checkout into one file. */
function bundle(checkout: string, outfile: string): void {
  try {
    buildSync({
      absWorkingDir: path.resolve(checkout),
      entryPoints: ['test/bench/run.ts'],
      outfile,
      bundle: true,
      platform: 'node',
      target: 'node20',
      format: 'cjs',
      minifySyntax: true,
      logLevel: 'silent',
    });
  } catch (error) {
    throw new BenchmarkError(checkout, error instanceof Error ? error.message : 'no bundle', {
      cause: error,
    });
  }
}

/** A child process that runs the benchmarks of one checkout. */
class BenchmarkProcess {
  private readonly child: ChildProcess;

  constructor(
    private readonly checkout: string,
    bundlePath: string,
  ) {
    this.child = fork(bundlePath, [], { execArgv: [] });
  }

  /** Sends a request and waits for its answer; rejects if the process exits or doesn't answer in time. */
  request(request: BenchmarkRequest): Promise<BlockTime> {
    return new Promise((resolve, reject) => {
      const settleOnce = (finish: () => void): void => {
        clearTimeout(timer);
        this.child.off('message', onMessage);
        this.child.off('exit', onExit);
        finish();
      };
      const fail = (reason: string): void => {
        settleOnce(() => {
          reject(new BenchmarkError(this.checkout, reason));
        });
      };
      const onMessage = (message: unknown): void => {
        settleOnce(() => {
          resolve(message as BlockTime);
        });
      };
      const onExit = (status: number | null): void => {
        fail(`its process exited with ${status ?? 'a signal'}`);
      };
      const timer = setTimeout(() => {
        fail('no answer');
      }, ANSWER_TIMEOUT_MS);
      this.child.on('message', onMessage);
      this.child.on('exit', onExit);
      this.child.send(request);
    });
  }

  stop(): void {
    this.child.kill();
  }
}

/** Runs every benchmark in a pair of processes; returns the turns by benchmark name. */
async function runPair(left: BenchmarkProcess, right: BenchmarkProcess): Promise<Map<string, Turn[]>> {
  const turnsByBenchmark = new Map<string, Turn[]>();
  for (const { name, warmUpMs, turns: turnCount } of BENCHMARKS) {
    const warmUp: BenchmarkRequest = { kind: 'warmUp', benchmark: name, durationMs: warmUpMs };
    await left.request(warmUp);
    await right.request(warmUp);
    const turns: Turn[] = [];
    while (turns.length < turnCount) {
      turns.push({
        left: await left.request({ kind: 'block' }),
        right: await right.request({ kind: 'block' }),
      });
    }
    turnsByBenchmark.set(name, turns);
  }
  return turnsByBenchmark;
}

function computeFigures(turns: readonly Turn[], figure: Figure): PairFigures {
  return {
    left: median(turns.map((turn) => turn.left[figure])),
    right: median(turns.map((turn) => turn.right[figure])),
    ratio: median(turns.map((turn) => turn.right[figure] / turn.left[figure])),
  };
}

const formatMicroseconds = (value: number): string => (value >= 100 ? value.toFixed(0) : value.toFixed(2));
const formatRatio = (value: number): string => value.toFixed(3);
/** The median with the minimum and the maximum. */
const formatSummary = (values: readonly number[], show: (value: number) => string): string =>
  `${show(median(values))} (${show(Math.min(...values))}..${show(Math.max(...values))})`;

function formatFigures(pairs: readonly PairFigures[]): string {
  const left = pairs.map((pair) => pair.left);
  const right = pairs.map((pair) => pair.right);
  const ratios = pairs.map((pair) => pair.ratio);
  return `A ${formatSummary(left, formatMicroseconds)} us, B ${formatSummary(right, formatMicroseconds)} us, B/A ${formatSummary(ratios, formatRatio)}`;
}

function printReport(pairs: readonly Map<string, Turn[]>[]): void {
  for (const { name, turns } of BENCHMARKS) {
    process.stdout.write(
      `${name}: medians of ${pairs.length} pairs with ${turns} turns each (range of the pairs)\n`,
    );
    for (const [figure, label] of [
      ['cpuUs', 'processor time'],
      ['wallUs', 'time passed   '],
    ] as const) {
      const figures = pairs.map((pair) => computeFigures(pair.get(name) ?? [], figure));
      process.stdout.write(`  ${label} ${formatFigures(figures)}\n`);
    }
  }
}

async function compareCheckouts(checkouts: readonly [string, string], wantedPairs: number): Promise<void> {
  const startedAt = performance.now();
  const directory = mkdtempSync(path.join(tmpdir(), 'bench-'));
  try {
    const [left, right] = checkouts;
    const bundles = [path.join(directory, 'a.cjs'), path.join(directory, 'b.cjs')] as const;
    bundle(left, bundles[0]);
    bundle(right, bundles[1]);
    const pairs: Map<string, Turn[]>[] = [];
    while (pairs.length < wantedPairs && performance.now() - startedAt < MAX_PAIR_START_MS) {
      const sides = [
        new BenchmarkProcess(left, bundles[0]),
        new BenchmarkProcess(right, bundles[1]),
      ] as const;
      try {
        pairs.push(await runPair(...sides));
      } finally {
        for (const side of sides) side.stop();
      }
    }
    const elapsedS = (performance.now() - startedAt) / 1000;
    const shortfall = pairs.length < wantedPairs ? ` of ${wantedPairs} wanted (time limit reached)` : '';
    process.stdout.write(
      `A ${left}\nB ${right}\n${pairs.length} pairs${shortfall}, ${elapsedS.toFixed(0)} s\n`,
    );
    printReport(pairs);
  } finally {
    rmSync(directory, { recursive: true });
  }
}

const { values, positionals } = parseArgs({
  allowPositionals: true,
  options: { pairs: { type: 'string', default: String(DEFAULT_PAIRS) } },
});
const [left, right] = positionals;
const wantedPairs = Number(values.pairs);
if (left === undefined || right === undefined || !Number.isInteger(wantedPairs) || wantedPairs < 1) {
  process.stderr.write('usage: compare CHECKOUT_A CHECKOUT_B [--pairs N]\n');
  process.exitCode = 2;
} else {
  try {
    await compareCheckouts([left, right], wantedPairs);
  } catch (error) {
    if (!(error instanceof BenchmarkError)) throw error;
    process.stderr.write(`${error.message}\n`);
    process.exitCode = 2;
  }
}
