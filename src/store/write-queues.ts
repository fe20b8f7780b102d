/** Queues, by priority, for the writes of one leadership that wait for a transaction. */
import type { Mutation } from '../wire/state.ts';

/**
 * The priorities of writes, the most urgent first: terminal states of jobs (including cancellations), records that must
 * be durable before a task starts (start watermarks, the machine registry), completions of tasks, and housekeeping. A
 * write gets only the room in the transaction and the budget that more urgent writes leave. Lease renewals are not
 * queued here.
 */
const WRITE_PRIORITIES = ['ends', 'starts', 'progress', 'background'] as const;
/** The priorities whose writes a user, or a task that is to start, waits for. */
const URGENT_PRIORITIES: readonly WritePriority[] = ['ends', 'starts'];

/** Priority of a write. */
export type WritePriority = (typeof WRITE_PRIORITIES)[number];

/** A write whose mutations are known when it is queued. They are committed in one transaction. */
export interface ReadyWrite {
  kind: 'ready';
  mutations: Mutation[];
  /** Called once the mutations are durable. */
  onCommitted: () => void;
}

/**
 * A write of one key whose value is read only when its transaction is built, so that the value includes all changes up
 * to then.
 */
export interface DeferredWrite {
  kind: 'deferred';
  /** Upper bound of the value's size as JSON text. */
  maxBytes: number;
  /** Called once, when the transaction is built. */
  build(): Mutation;
  /** Called once the mutation is durable. */
  onCommitted: () => void;
}

/** A write that waits for a transaction. */
export type QueuedWrite = ReadyWrite | DeferredWrite;

/** The writes that share a transaction, with their mutations in the same order. */
export interface WriteBatch {
  writes: QueuedWrite[];
  mutations: Mutation[];
}

/** The mutations whose permits the next transaction waits for. */
export interface DueMutations {
  count: number;
  /** True if some of the queued writes are urgent; then only their mutations are counted. */
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

  /** Number of writes in all queues. */
  get length(): number {
    let count = 0;
    for (const priority of WRITE_PRIORITIES) count += this.queues[priority].length;
    return count;
  }

  enqueue(write: QueuedWrite, priority: WritePriority): void {
    this.queues[priority].push(write);
  }

  /** Counts the mutations whose permits the next transaction waits for, at most `maxMutations`. */
  countDueMutations(maxMutations: number): DueMutations {
    const urgent = this.countMutations(URGENT_PRIORITIES, maxMutations);
    if (urgent > 0) return { count: urgent, urgent: true };
    return { count: this.countMutations(WRITE_PRIORITIES, maxMutations), urgent: false };
  }

  /**
   * Removes the writes of the next transaction, the most urgent first, up to the first one that exceeds either limit.
   * The very first write is taken even if it exceeds a limit by itself.
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
