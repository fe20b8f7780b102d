/** Paces the transactions of a leader, so that they and their mutations stay within its budget of writes. */
import { RateBudget } from './budget.ts';

/**
 * Share of the budget that the fence mutations may cost: transactions per second, after a burst that waits for
 * nothing.
 */
const FENCE_SHARE = 0.08;
const MIN_TRANSACTIONS_PER_SECOND = 1;
const TRANSACTION_BURST = 4;
/** Transactions without urgent writes leave so many of the burst to those that have some. */
const RESERVED_URGENT_TRANSACTIONS = 2;
/** A transaction carries at least one mutation of a write beside the fence mutation, however little is left. */
const MIN_TRANSACTION_MUTATIONS = 2;
/** Above this fullness of both buckets the store counts as idle. */
const MIN_IDLE_FULLNESS = 0.9;

/** Two token buckets: one permit per transaction, and one per mutation. */
export class TransactionPacer {
  private readonly transactions: RateBudget;

  constructor(
    /** Mutations that the leader may write per second. */
    private readonly mutations: RateBudget,
  ) {
    const perSecond = Math.max(MIN_TRANSACTIONS_PER_SECOND, mutations.perSecond * FENCE_SHARE);
    this.transactions = new RateBudget(perSecond, mutations.now, Math.max(TRANSACTION_BURST, perSecond));
  }

  /** Both buckets are nearly full. */
  get idle(): boolean {
    return this.mutations.fullness() > MIN_IDLE_FULLNESS && this.transactions.fullness() > MIN_IDLE_FULLNESS;
  }

  /** Milliseconds until a transaction of so many mutations may begin; `urgent`: it has urgent writes. */
  beginWaitMs(mutations: number, urgent: boolean): number {
    const transactions = urgent ? 1 : 1 + RESERVED_URGENT_TRANSACTIONS;
    return Math.max(this.transactions.waitMs(transactions), this.sendWaitMs(mutations));
  }

  /** Takes the permit of a transaction; its mutations are paid each time it is sent. */
  begin(): void {
    this.transactions.take();
  }

  /** Most mutations of a transaction that begins now. */
  affordableMutations(): number {
    return Math.max(MIN_TRANSACTION_MUTATIONS, Math.floor(this.mutations.available()));
  }

  /** Milliseconds until so many mutations may be sent. */
  sendWaitMs(mutations: number): number {
    return this.mutations.waitMs(this.countPermits(mutations));
  }

  /** Takes the permits for mutations that are sent now. */
  takeSendPermits(mutations: number): void {
    this.mutations.take(this.countPermits(mutations));
  }

  /** With small limits a transaction can have more mutations than the bucket ever holds permits. */
  private countPermits(mutations: number): number {
    return Math.min(mutations, Math.max(1, Math.floor(this.mutations.perSecond)));
  }
}
