/** The writes of one leadership that wait for a transaction, by priority. */
import type { Mutation } from '../wire/state.ts';

/**
 * What a write is for, the most urgent first: terminal states of jobs (cancellations too), what must be durable before
 * a task starts (start watermarks, the machine registry), completions of tasks, and housekeeping. A less urgent write
 * takes only what the more urgent ones leave of a transaction and of the budget. The lease is renewed apart from them.
 */
const WRITE_PRIORITIES = ['ends', 'starts', 'progress', 'background'] as const;
/** The priorities that something outside waits for: users, or tasks that are to start. */
const URGENT_PRIORITIES: readonly WritePriority[] = ['ends', 'starts'];

/** How urgent a write is. */
export type WritePriority = (typeof WRITE_PRIORITIES)[number];

/** Mutations that are known when the write is queued. They share one transaction. */
export interface ReadyWrite {
  kind: 'ready';
  mutations: Mutation[];
  /** Called once the mutations are durable. */
  onCommitted: () => void;
}

/**
 * A write of one key whose value is taken only when its transaction is put together, so that whatever changes until
 * then is in it.
 */
export interface DeferredWrite {
  kind: 'deferred';
  /** Upper bound of the value's size as JSON text. */
  maxBytes: number;
  /** Called once, when the transaction is put together. */
  build(): Mutation;
  /** Called once the mutation is durable. */
  onCommitted: () => void;
}

/** A write that waits for its transaction. */
export type QueuedWrite = ReadyWrite | DeferredWrite;

/** The writes that share a transaction, with their mutations in the same order. */
export interface WriteBatch {
  writes: QueuedWrite[];
  mutations: Mutation[];
}

/** What the next transaction should carry at least. */
export interface DueMutations {
  count: number;
  /** True if some of the queued writes are urgent; only these are counted then. */
  urgent: boolean;
}

interface WriteSize {
  mutations: number;
  bytes: number;
}

function mutationCount(write: QueuedWrite): number {
  return write.kind === 'deferred' ? 1 : write.mutations.length;
}

function sizeOf(write: QueuedWrite): WriteSize {
  const bytes = write.kind === 'deferred' ? write.maxBytes : JSON.stringify(write.mutations).length;
  return { mutations: mutationCount(write), bytes };
}

/** One queue for each priority, first in, first out. */
export class WriteQueues {
  private readonly queues: Record<WritePriority, QueuedWrite[]> = {
    ends: [],
    starts: [],
    progress: [],
    background: [],
  };

  /** Writes in all queues. */
  get length(): number {
    let count = 0;
    for (const priority of WRITE_PRIORITIES) count += this.queues[priority].length;
    return count;
  }

  enqueue(write: QueuedWrite, priority: WritePriority): void {
    this.queues[priority].push(write);
  }

  /** The mutations that the next transaction should wait for permits for, at most `maxMutations`. */
  countDueMutations(maxMutations: number): DueMutations {
    const urgent = this.countMutations(URGENT_PRIORITIES, maxMutations);
    if (urgent > 0) return { count: urgent, urgent: true };
    return { count: this.countMutations(WRITE_PRIORITIES, maxMutations), urgent: false };
  }

  /**
   * Removes the writes of the next transaction, the most urgent first, as long as they stay within both limits. The
   * first one is taken however large it is.
   */
  takeBatch(maxMutations: number, maxBytes: number): WriteBatch {
    const batch: WriteBatch = { writes: [], mutations: [] };
    let bytes = 0;
    for (const priority of WRITE_PRIORITIES) {
      const queue = this.queues[priority];
      for (let next = queue[0]; next; next = queue[0]) {
        const size = sizeOf(next);
        const exceedsLimits =
          batch.mutations.length + size.mutations > maxMutations || bytes + size.bytes > maxBytes;
        if (batch.writes.length > 0 && exceedsLimits) return batch;
        queue.shift();
        batch.writes.push(next);
        if (next.kind === 'deferred') batch.mutations.push(next.build());
        else batch.mutations.push(...next.mutations);
        bytes += size.bytes;
      }
    }
    return batch;
  }

  private countMutations(priorities: readonly WritePriority[], maxMutations: number): number {
    let count = 0;
    for (const priority of priorities) {
      for (const write of this.queues[priority]) {
        count += mutationCount(write);
        if (count >= maxMutations) return maxMutations;
      }
    }
    return count;
  }
}
