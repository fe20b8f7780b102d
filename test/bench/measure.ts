/** Measures blocks of work. `compare.ts` requests the blocks, a process of `run.ts` measures them. */

/** Work that is measured in blocks of equal size. */
export interface Benchmark {
  /** Operations in a block; times are reported per operation. */
  operations: number;
  /** Creates the input of one block, which isn't measured, and returns the work of the block. */
  prepare(): () => void;
}

/** Times of one block, in microseconds per operation. */
export interface BlockTime {
  /** CPU time of the process, which depends less on the load of other processes. */
  cpuUs: number;
  /** Elapsed time. */
  wallUs: number;
}

/**
 * A request from `compare.ts` to a process; the answer is the `BlockTime` of the last block. The process may run another
 * version of this file, so the fields of both types must not change.
 */
export type BenchmarkRequest =
  /** Creates the benchmark anew and runs blocks for `durationMs`. */
  { kind: 'warmUp'; benchmark: string; durationMs: number } | { kind: 'block' };

const US_PER_MS = 1000;

/** Measures one block. */
export function timeBlock(benchmark: Benchmark): BlockTime {
  const work = benchmark.prepare();
  const cpuBefore = process.cpuUsage();
  const startedAt = performance.now();
  work();
  const wallUs = (performance.now() - startedAt) * US_PER_MS;
  const cpu = process.cpuUsage(cpuBefore);
  return {
    cpuUs: (cpu.user + cpu.system) / benchmark.operations,
    wallUs: wallUs / benchmark.operations,
  };
}

/** The median; throws a `RangeError` if there are no values. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  const middle = Math.floor(sorted.length / 2);
  const upper = sorted[middle];
  if (upper === undefined) throw new RangeError('the median of no values');
  const lower = sorted[middle - 1];
  return sorted.length % 2 === 1 || lower === undefined ? upper : (lower + upper) / 2;
}
