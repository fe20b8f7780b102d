/** Paces the transactions of a leader, so that their number and their mutations stay within the write budget. */
import { RateBudget } from './budget.ts';

/**
 * Share of the write budget that fence mutations may use. Each transaction adds one, so this limits the transactions
 * per second once the initial burst is used up.
 */
const FENCE_SHARE = 0.08;
const MIN_TRANSACTIONS_PER_SECOND = 1;
const TRANSACTION_BURST = 4;
/** Transactions that a transaction without urgent writes leaves in the bucket for ones with urgent writes. */
const RESERVED_URGENT_TRANSACTIONS = 2;
/** However few permits are left, a transaction may carry the fence mutation and one mutation of a write. */
const MIN_TRANSACTION_MUTATIONS = 2;
/** The store counts as idle if both buckets are fuller than this share. */
const MIN_IDLE_FULLNESS = 0.9;

/** Two token buckets: one holds a permit per transaction, the other one per mutation. */
export class TransactionPacer {
  private readonly transactions: RateBudget;

  constructor(
    /** Mutations that the leader may write per second. */
    private readonly mutations: RateBudget,
  ) {
    const perSecond = Math.max(MIN_TRANSACTIONS_PER_SECOND, mutations.perSecond * FENCE_SHARE);
    this.transactions = new RateBudget(perSecond, mutations.now, Math.max(TRANSACTION_BURST, perSecond));
  }

  /** True if both buckets are nearly full. */
  get idle(): boolean {
    return this.mutations.fullness() > MIN_IDLE_FULLNESS && this.transactions.fullness() > MIN_IDLE_FULLNESS;
  }

  /** Milliseconds until a transaction with this many mutations may begin; `urgent`: it contains urgent writes. */
  beginWaitMs(mutations: number, urgent: boolean): number {
    const transactions = urgent ? 1 : 1 + RESERVED_URGENT_TRANSACTIONS;
    return Math.max(this.transactions.waitMs(transactions), this.sendWaitMs(mutations));
  }

  /** Takes the permit of a transaction. The permits of its mutations are taken each time that it is sent. */
  begin(): void {
    this.transactions.take();
  }

  /** Maximum number of mutations of a transaction that begins now. */
  affordableMutations(): number {
    return Math.max(MIN_TRANSACTION_MUTATIONS, Math.floor(this.mutations.available()));
  }

  /** Milliseconds until this many mutations may be sent. */
  sendWaitMs(mutations: number): number {
    return this.mutations.waitMs(this.countPermits(mutations));
  }

  /** Takes the permits for mutations that are sent now. */
  takeSendPermits(mutations: number): void {
    this.mutations.take(this.countPermits(mutations));
  }

  /** With a small budget a transaction can have more mutations than the bucket can hold permits. */
  private countPermits(mutations: number): number {
    return Math.min(mutations, Math.max(1, Math.floor(this.mutations.perSecond)));
  }
}
