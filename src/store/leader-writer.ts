/** All writes of one leadership: gathered by priority, paced, and committed one fenced transaction at a time. */
import type { Logger } from '../base/log.ts';
import type { RateBudget } from './budget.ts';
import { FENCE_MUTATIONS, FencedTransactions, type TransactionHost } from './fenced-transactions.ts';
import { TransactionPacer } from './transaction-pacer.ts';
import { WriteQueues, type QueuedWrite, type WritePriority } from './write-queues.ts';

/** How often a transaction that waits for its permits checks whether something more urgent has been queued. */
const RECHECK_MS = 100;

/** What the writer needs of the controller that leads. */
export interface WriterHost extends TransactionHost {
  /** The leadership has ended, or is no longer certain; nothing more will be written. */
  onLeadershipLost(reason: string): void;
}

/** Limits of one transaction. */
export interface TransactionLimits {
  /** Puts and deletes, with the one that fencing adds. */
  maxMutations: number;
  /** Size of the writes' mutations as JSON text. */
  maxBytes: number;
}

/** Everything that a writer is made of. */
export interface LeaderWriterDeps {
  host: WriterHost;
  /** Version of the leader key for as long as this leadership holds it. */
  leaderVersion: number;
  /** Version of the fence key when the leadership begins (0: it does not exist). */
  fenceVersion: number;
  limits: TransactionLimits;
  /** Mutations that the leader may write per second. */
  budget: RateBudget;
  log: Logger;
  /** Writing failed by a defect; nothing more is written in this leadership. */
  onError: (error: unknown) => void;
}

/**
 * Owns the writes of one leadership until it is stopped or the leadership is lost.
 *
 * What is due together shares a transaction. While the service is idle nothing waits; the more is written, the
 * more goes into each transaction, since both the budget and the pace of transactions make the next one wait.
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

  /** Queues a write. It is committed after those of its own and of higher priorities that were queued before it. */
  enqueue(write: QueuedWrite, priority: WritePriority): void {
    this.queues.enqueue(write, priority);
    // It ends by itself once nothing is queued, and failures are results: only a defect can make it reject.
    if (!this.running) this.run().catch(this.onError);
  }

  /** Ends all writing. A transaction in flight is not sent again, yet may still be committed. */
  stop(): void {
    this.stopping.abort();
  }

  /** Writes that wait to be put into a transaction. */
  get backlog(): number {
    return this.queues.length;
  }

  /** Nothing is being written and the budget is nearly full: a time for housekeeping. */
  get idle(): boolean {
    return !this.running && this.backlog === 0 && this.pacer.idle;
  }

  private async run(): Promise<void> {
    this.running = true;
    // Whatever is queued in the same turn shares the transaction.
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

  /** Waits until the next transaction may begin; meanwhile more writes are queued for it. */
  private async waitForTurn(): Promise<void> {
    while (!this.isStopped()) {
      const due = this.queues.countDueMutations(this.limits.maxMutations - FENCE_MUTATIONS);
      const waitMs = this.pacer.beginWaitMs(due.count + FENCE_MUTATIONS, due.urgent);
      if (waitMs === 0) break;
      // Something more urgent may come meanwhile.
      await this.host.pause(Math.min(waitMs, RECHECK_MS));
    }
    this.pacer.begin();
  }

  private maxBatchMutations(): number {
    return Math.min(this.limits.maxMutations, this.pacer.affordableMutations()) - FENCE_MUTATIONS;
  }

  /** A method, since the type checker takes `signal.aborted` for unchanged across an `await`. */
  private isStopped(): boolean {
    return this.stopping.signal.aborted;
  }
}
