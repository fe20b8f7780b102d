/** A process of a comparison: measures a block of a benchmark at each request of `compare.ts`. */
import { changedHeartbeat, repeatedHeartbeat } from './heartbeat.ts';
import { timeBlock, type Benchmark, type BenchmarkRequest, type BlockTime } from './measure.ts';
import { schedulingRound } from './round.ts';

/** Benchmarks by the names that `compare.ts` requests. It may be another version, so the names must not change. */
const BENCHMARKS: Readonly<Record<string, () => Benchmark>> = {
  'heartbeat, nothing new': repeatedHeartbeat,
  'heartbeat, one change': changedHeartbeat,
  'scheduling round': schedulingRound,
};

let currentBenchmark: Benchmark | null = null;

function warmUp(name: string, durationMs: number): BlockTime {
  const createBenchmark = BENCHMARKS[name];
  if (!createBenchmark) throw new RangeError(`there is no benchmark "${name}"`);
  currentBenchmark = createBenchmark();
  const endAt = performance.now() + durationMs;
  for (;;) {
    const time = timeBlock(currentBenchmark);
    if (performance.now() >= endAt) return time;
  }
}

function handleRequest(request: BenchmarkRequest): BlockTime {
  if (request.kind === 'warmUp') return warmUp(request.benchmark, request.durationMs);
  if (!currentBenchmark) throw new Error('a block was requested before a warm-up');
  return timeBlock(currentBenchmark);
}

process.on('message', (request: BenchmarkRequest) => {
  process.send?.(handleRequest(request));
});
