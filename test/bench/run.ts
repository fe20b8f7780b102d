/** One side of a comparison: a process that times a block of a benchmark whenever `compare.ts` asks for it. */
import { changedReport, repeatedReport } from './heartbeat.ts';
import { timeBlock, type Benchmark, type BenchmarkRequest, type BlockTime } from './measure.ts';
import { schedulingRound } from './round.ts';

/** The names are those of `compare.ts`, which may be of another checkout: they must stay as they are. */
const BENCHMARKS: Readonly<Record<string, () => Benchmark>> = {
  'heartbeat, nothing new': repeatedReport,
  'heartbeat, one change': changedReport,
  'scheduling round': schedulingRound,
};

let current: Benchmark | null = null;

function warmUp(name: string, durationMs: number): BlockTime {
  const make = BENCHMARKS[name];
  if (!make) throw new RangeError(`there is no benchmark "${name}"`);
  current = make();
  const until = performance.now() + durationMs;
  for (;;) {
    const time = timeBlock(current);
    if (performance.now() >= until) return time;
  }
}

function answer(request: BenchmarkRequest): BlockTime {
  if (request.kind === 'warmUp') return warmUp(request.benchmark, request.durationMs);
  if (!current) throw new Error('a block before its warm-up');
  return timeBlock(current);
}

process.on('message', (request: BenchmarkRequest) => {
  process.send?.(answer(request));
});
