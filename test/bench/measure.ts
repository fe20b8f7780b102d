/** Times work in blocks. A process of `run.ts` does so when `compare.ts` asks it to. */

/** Work that is timed in blocks of equal size. */
export interface Benchmark {
  /** Operations in a block: figures are told per operation. */
  operations: number;
  /** Makes the input of one block, untimed, and returns the block's work. */
  prepare(): () => void;
}

/** What one block took, in microseconds an operation. */
export interface BlockTime {
  /** Processor time of the process: moves less with the load of other processes. */
  cpuUs: number;
  /** Time that passed. */
  wallUs: number;
}

/**
 * What `compare.ts` asks of a process; each request is answered with a `BlockTime`, that of the last block. The process
 * may be of another checkout, so the fields of the two types must stay as they are.
 */
export type BenchmarkRequest =
  /** Makes the benchmark anew and runs blocks for so long. */
  { kind: 'warmUp'; benchmark: string; durationMs: number } | { kind: 'block' };

const US_PER_MS = 1000;

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

export function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  const middle = Math.floor(sorted.length / 2);
  const upper = sorted[middle];
  if (upper === undefined) throw new RangeError('the median of no values');
  const lower = sorted[middle - 1];
  return sorted.length % 2 === 1 || lower === undefined ? upper : (lower + upper) / 2;
}
