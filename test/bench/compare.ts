/**
 * `npm run bench:compare -- CHECKOUT_A CHECKOUT_B [--pairs N]`: times the benchmarks of two checkouts side by side and
 * prints both sides' medians in microseconds, their ratio and its spread. A pair is one new process of each checkout;
 * after a warm-up they take turns block by block (A, B, A, B, ...), so that both see the same load of the machine. Each
 * checkout runs its own copy of the benchmarks, bundled as the release is. Exits with 2 if a checkout can't be timed.
 */
import { fork, type ChildProcess } from 'node:child_process';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { parseArgs } from 'node:util';
import { buildSync } from 'esbuild';
import { median, type BenchmarkRequest, type BlockTime } from './measure.ts';

const DEFAULT_PAIRS = 7;
/** No pair begins after so long, so that all is over within a minute and a half. */
const LAST_BEGIN_MS = 74_000;
const ANSWER_TIMEOUT_MS = 10_000;

/** For each benchmark, by its name: how long each side warms up, and how often the two take turns. */
const BENCHMARKS: readonly { name: string; warmUpMs: number; turns: number }[] = [
  { name: 'heartbeat, nothing new', warmUpMs: 400, turns: 25 },
  { name: 'heartbeat, one change', warmUpMs: 400, turns: 15 },
  { name: 'scheduling round', warmUpMs: 800, turns: 15 },
];

/** What one pair of processes found of a benchmark: a figure of each side, and the ratio of the blocks side by side. */
interface PairFigures {
  left: number;
  right: number;
  ratio: number;
}

type Figure = 'cpuUs' | 'wallUs';

interface Turn {
  left: BlockTime;
  right: BlockTime;
}

/** A checkout could not be timed. */
class BenchmarkError extends Error {
  readonly code = 'BENCHMARK_FAILED';

  constructor(checkout: string, reason: string, options?: ErrorOptions) {
    super(`${checkout} can't be timed: ${reason}`, options);
    this.name = 'BenchmarkError';
  }
}

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

/** A process of one checkout. */
class Side {
  private readonly child: ChildProcess;

  constructor(
    private readonly checkout: string,
    bundled: string,
  ) {
    this.child = fork(bundled, [], { execArgv: [] });
  }

  request(request: BenchmarkRequest): Promise<BlockTime> {
    return new Promise((resolve, reject) => {
      const settle = (finish: () => void): void => {
        clearTimeout(timer);
        this.child.off('message', answered);
        this.child.off('exit', exited);
        finish();
      };
      const fail = (reason: string): void => {
        settle(() => {
          reject(new BenchmarkError(this.checkout, reason));
        });
      };
      const answered = (message: unknown): void => {
        settle(() => {
          resolve(message as BlockTime);
        });
      };
      const exited = (status: number | null): void => {
        fail(`its process ended with ${status ?? 'a signal'}`);
      };
      const timer = setTimeout(() => {
        fail('no answer');
      }, ANSWER_TIMEOUT_MS);
      this.child.on('message', answered);
      this.child.on('exit', exited);
      this.child.send(request);
    });
  }

  stop(): void {
    this.child.kill();
  }
}

/** Both sides' blocks of every benchmark, in turns. */
async function runPair(left: Side, right: Side): Promise<Map<string, Turn[]>> {
  const found = new Map<string, Turn[]>();
  for (const { name, warmUpMs, turns: wanted } of BENCHMARKS) {
    const warmUp: BenchmarkRequest = { kind: 'warmUp', benchmark: name, durationMs: warmUpMs };
    await left.request(warmUp);
    await right.request(warmUp);
    const turns: Turn[] = [];
    while (turns.length < wanted) {
      turns.push({
        left: await left.request({ kind: 'block' }),
        right: await right.request({ kind: 'block' }),
      });
    }
    found.set(name, turns);
  }
  return found;
}

function figuresOf(turns: readonly Turn[], figure: Figure): PairFigures {
  return {
    left: median(turns.map((turn) => turn.left[figure])),
    right: median(turns.map((turn) => turn.right[figure])),
    ratio: median(turns.map((turn) => turn.right[figure] / turn.left[figure])),
  };
}

const microseconds = (value: number): string => (value >= 100 ? value.toFixed(0) : value.toFixed(2));
const plain = (value: number): string => value.toFixed(3);
/** The median, with the least and the greatest value. */
const summary = (values: readonly number[], show: (value: number) => string): string =>
  `${show(median(values))} (${show(Math.min(...values))}..${show(Math.max(...values))})`;

function describe(pairs: readonly PairFigures[]): string {
  const left = pairs.map((pair) => pair.left);
  const right = pairs.map((pair) => pair.right);
  const ratios = pairs.map((pair) => pair.ratio);
  return `A ${summary(left, microseconds)} us, B ${summary(right, microseconds)} us, B/A ${summary(ratios, plain)}`;
}

function report(pairs: readonly Map<string, Turn[]>[]): void {
  for (const { name, turns } of BENCHMARKS) {
    process.stdout.write(
      `${name}: medians of ${pairs.length} pairs with ${turns} turns each (range of the pairs)\n`,
    );
    for (const [figure, label] of [
      ['cpuUs', 'processor time'],
      ['wallUs', 'time passed   '],
    ] as const) {
      const figures = pairs.map((pair) => figuresOf(pair.get(name) ?? [], figure));
      process.stdout.write(`  ${label} ${describe(figures)}\n`);
    }
  }
}

async function compare(checkouts: readonly [string, string], wantedPairs: number): Promise<void> {
  const startedAt = performance.now();
  const directory = mkdtempSync(path.join(tmpdir(), 'bench-'));
  try {
    const [left, right] = checkouts;
    const bundles = [path.join(directory, 'a.cjs'), path.join(directory, 'b.cjs')] as const;
    bundle(left, bundles[0]);
    bundle(right, bundles[1]);
    const pairs: Map<string, Turn[]>[] = [];
    while (pairs.length < wantedPairs && performance.now() - startedAt < LAST_BEGIN_MS) {
      const sides = [new Side(left, bundles[0]), new Side(right, bundles[1])] as const;
      try {
        pairs.push(await runPair(...sides));
      } finally {
        for (const side of sides) side.stop();
      }
    }
    const tookS = (performance.now() - startedAt) / 1000;
    const shortfall = pairs.length < wantedPairs ? ` of ${wantedPairs} wanted (the time was up)` : '';
    process.stdout.write(`A ${left}\nB ${right}\n${pairs.length} pairs${shortfall}, ${tookS.toFixed(0)} s\n`);
    report(pairs);
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
    await compare([left, right], wantedPairs);
  } catch (error) {
    if (!(error instanceof BenchmarkError)) throw error;
    process.stderr.write(`${error.message}\n`);
    process.exitCode = 2;
  }
}
