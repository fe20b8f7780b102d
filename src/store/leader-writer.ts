/** All writes of one leadership: queued by priority, paced, and committed in one fenced transaction at a time. */
import type { Logger } from '../base/log.ts';
import type { RateBudget } from './budget.ts';
import { FENCE_MUTATIONS, FencedTransactions, type TransactionHost } from './fenced-transactions.ts';
import { TransactionPacer } from './transaction-pacer.ts';
import { WriteQueues, type QueuedWrite, type WritePriority } from './write-queues.ts';

/** Interval at which a transaction that waits for permits checks whether a more urgent write has been queued. */
const RECHECK_MS = 100;

/** The functions of the leading controller that the writer uses. */
export interface WriterHost extends TransactionHost {
  /** The leadership has ended or may have ended; nothing more will be written. */
  onLeadershipLost(reason: string): void;
}

/** Limits of one transaction. */
export interface TransactionLimits {
  /** Puts and deletes, including the one that fencing adds. */
  maxMutations: number;
  /** Size of the writes' mutations as JSON text, without the one that fencing adds. */
  maxBytes: number;
}

/** Collaborators and settings of a writer. */
export interface LeaderWriterDeps {
  host: WriterHost;
  /** Version of the leader key for as long as this leadership holds it. */
  leaderVersion: number;
  /** Version of the fence key when the leadership begins (0: the key does not exist). */
  fenceVersion: number;
  limits: TransactionLimits;
  /** Mutations that the leader may write per second. */
  budget: RateBudget;
  log: Logger;
  /** Called when writing has failed by a defect; nothing more is written in this leadership. */
  onError: (error: unknown) => void;
}

/**
 * Owns the writes of one leadership until it is stopped or the leadership is lost.
 *
 * Writes that are queued at the same time share a transaction. At a low rate no write waits. At a higher rate the
 * budget of mutations and the pace of transactions delay the next transaction, so each one carries more writes.
 */
export class LeaderWriter {
  private readonly host: WriterHost;
  private readonly onError: (error: unknown) => void;
  private readonly limits: TransactionLimits;
  private readonly queues = new WriteQueues();
  private readonly pacer: TransactionPacer;
  private readonly transactions: FencedTransactions;
  private readonly stopping = new AbortController();
  private running = false;

  constructor({ host, leaderVersion, fenceVersion, limits, budget, log, onError }: LeaderWriterDeps) {
    this.host = host;
    this.onError = onError;
    this.limits = limits;
    this.pacer = new TransactionPacer(budget);
    this.transactions = new FencedTransactions({
      host,
      pacer: this.pacer,
      leaderVersion,
      fenceVersion,
      signal: this.stopping.signal,
      onLeadershipLost: (reason) => {
        this.stop();
        host.onLeadershipLost(reason);
      },
      log,
    });
  }

  /** Queues a write. It is committed after the writes of the same and of higher priorities that are queued already. */
  enqueue(write: QueuedWrite, priority: WritePriority): void {
    this.queues.enqueue(write, priority);
    // The loop ends once the queues are empty, and failed transactions are results, so only a defect rejects.
    if (!this.running) this.run().catch(this.onError);
  }

  /** Ends all writing. A transaction in flight is not retried, but may still be committed. */
  stop(): void {
    this.stopping.abort();
  }

  /** Number of writes that are not in a transaction yet. */
  get backlog(): number {
    return this.queues.length;
  }

  /** True if no write is queued or in flight and the budget is nearly full, so housekeeping may be queued. */
  get idle(): boolean {
    return !this.running && this.backlog === 0 && this.pacer.idle;
  }

  private async run(): Promise<void> {
    this.running = true;
    // Writes that are queued in the same turn of the event loop share the transaction.
    await Promise.resolve();
    while (!this.isStopped() && this.backlog > 0) {
      await this.waitForTurn();
      if (this.isStopped()) break;
      const batch = this.queues.takeBatch(this.maxBatchMutations(), this.limits.maxBytes);
      if (!(await this.transactions.commit(batch.mutations))) break;
      for (const write of batch.writes) write.onCommitted();
    }
    this.running = false;
  }

  /** Waits until the next transaction may begin. Writes that are queued while it waits can join it. */
  private async waitForTurn(): Promise<void> {
    while (!this.isStopped()) {
      const due = this.queues.countDueMutations(this.limits.maxMutations - FENCE_MUTATIONS);
      const waitMs = this.pacer.beginWaitMs(due.count + FENCE_MUTATIONS, due.urgent);
      if (waitMs === 0) break;
      // An urgent write that is queued during the pause can shorten the wait.
      await this.host.pause(Math.min(waitMs, RECHECK_MS));
    }
    this.pacer.begin();
  }

  private maxBatchMutations(): number {
    return Math.min(this.limits.maxMutations, this.pacer.affordableMutations()) - FENCE_MUTATIONS;
  }

  /** A method, because the type checker assumes that `signal.aborted` does not change across an `await`. */
  private isStopped(): boolean {
    return this.stopping.signal.aborted;
  }
}
