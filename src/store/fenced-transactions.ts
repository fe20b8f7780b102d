/** Transactions that only the current leader can commit, each of them at most once. */
import type { Logger } from '../base/log.ts';
import type { Condition, Mutation } from '../wire/state.ts';
import type { CompareAndSwapResult, StoreResult } from './key-value-store.ts';
import { KEYS } from './keys.ts';
import type { TransactionPacer } from './transaction-pacer.ts';

/** Mutations that fencing adds to each transaction. */
export const FENCE_MUTATIONS = 1;

/** Timeout of a transaction. It is short at first, since a retry is harmless, and doubled while the service is slow. */
const MIN_TIMEOUT_MS = 400;
const MAX_TIMEOUT_MS = 2000;
const MIN_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 800;

/** The calls of the key-value store and of the clock that fenced transactions use. */
export interface TransactionHost {
  compareAndSwap(
    conditions: readonly Condition[],
    mutations: readonly Mutation[],
    timeoutMs: number,
  ): Promise<CompareAndSwapResult>;
  /** Reads the current version of a key (0: the key does not exist). */
  readVersion(key: string): Promise<StoreResult<number>>;
  pause(ms: number): Promise<void>;
}

/** Collaborators and state shared by the transactions of one leadership. */
export interface FencedTransactionsDeps {
  host: TransactionHost;
  pacer: TransactionPacer;
  /** Version of the leader key for as long as this leadership holds it. */
  leaderVersion: number;
  /** Version of the fence key before the first transaction (0: the key does not exist). */
  fenceVersion: number;
  /** Aborted once nothing more may be written. */
  signal: AbortSignal;
  /** Called when another controller has become leader or may become leader; aborts the signal. */
  onLeadershipLost: (reason: string) => void;
  log: Logger;
}

interface Transaction {
  conditions: readonly Condition[];
  mutations: readonly Mutation[];
}

/**
 * Result of the read-back of an in-doubt transaction: `committed`, `notCommitted` (so far), `superseded` by another
 * leader, or `unresolved` because a key could not be read.
 */
type Resolution = 'committed' | 'notCommitted' | 'superseded' | 'unresolved';

/** Timeout and backoff of one transaction; both are doubled after failures, up to a limit. */
class RetrySchedule {
  timeoutMs = MIN_TIMEOUT_MS;
  private backoffMs = MIN_BACKOFF_MS;
  private retriedImmediately = false;

  /** No response came in time. */
  extendTimeout(): void {
    this.timeoutMs = Math.min(MAX_TIMEOUT_MS, this.timeoutMs * 2);
  }

  /** The pause before the next retry, in milliseconds. */
  nextBackoffMs(): number {
    const backoffMs = this.backoffMs;
    this.backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
    return backoffMs;
  }

  /** True on the first call: a transaction known not to be committed is retried once without a pause. */
  takeImmediateRetry(): boolean {
    if (this.retriedImmediately) return false;
    this.retriedImmediately = true;
    return true;
  }
}

/**
 * Commits transactions under optimistic concurrency control with a fence key. Each transaction is conditional on two
 * versions, and writes the fence key itself:
 *
 * - the leader key's, which is unchanged for as long as this leadership holds its lease, so the transactions of a
 *   former leader fail;
 * - the fence key's, which changes with each commit, so at most one of several copies of a transaction is committed,
 *   and a copy that the service executes minutes late fails.
 *
 * A transaction without a response (in doubt) can therefore be sent again unchanged, or resolved by reading the fence
 * key back. Only one transaction may be in flight at a time.
 */
export class FencedTransactions {
  private readonly host: TransactionHost;
  private readonly pacer: TransactionPacer;
  private fenceVersion: number;

  constructor(private readonly deps: FencedTransactionsDeps) {
    this.host = deps.host;
    this.pacer = deps.pacer;
    this.fenceVersion = deps.fenceVersion;
  }

  /** Retries until the mutations are durable (true), or the signal is aborted or the leadership is lost (false). */
  async commit(mutations: readonly Mutation[]): Promise<boolean> {
    const transaction = this.withFence(mutations);
    const schedule = new RetrySchedule();
    let inDoubt = false;
    while (!this.isAborted()) {
      const waitMs = this.pacer.sendWaitMs(transaction.mutations.length);
      if (waitMs > 0) await this.host.pause(waitMs);
      const result = await this.send(transaction, schedule.timeoutMs);
      if (this.isAborted()) return false;
      if (result.kind === 'ok') return this.recordCommit(result.revision);
      if (result.kind === 'no_lease') return this.reportLeadershipLost('lease expired');
      if (result.kind === 'conflict') {
        if (result.failed.includes(KEYS.leader) || !inDoubt) {
          return this.reportLeadershipLost('a transaction conflicts with another leader');
        }
        // The leader key was unchanged, so only an earlier copy of this transaction can have changed the fence key.
        const fence = await this.host.readVersion(KEYS.fence);
        if (fence.kind === 'ok') return this.recordCommit(fence.value);
      }
      if (result.kind === 'unknown') {
        inDoubt = true;
        schedule.extendTimeout();
        const resolution = await this.resolveInDoubt();
        this.logResolution(resolution);
        if (resolution === 'committed') return true;
        if (resolution === 'superseded') return this.reportLeadershipLost('another leader was observed');
        if (resolution === 'notCommitted' && schedule.takeImmediateRetry()) continue;
      }
      await this.backOff(result.kind, schedule.nextBackoffMs());
    }
    return false;
  }

  private withFence(mutations: readonly Mutation[]): Transaction {
    return {
      conditions: [
        { key: KEYS.leader, version: this.deps.leaderVersion },
        { key: KEYS.fence, version: this.fenceVersion },
      ],
      mutations: [...mutations, { put: KEYS.fence, value: {} }],
    };
  }

  private send({ conditions, mutations }: Transaction, timeoutMs: number): Promise<CompareAndSwapResult> {
    this.pacer.takeSendPermits(mutations.length);
    return this.host.compareAndSwap(conditions, mutations, timeoutMs);
  }

  private backOff(result: CompareAndSwapResult['kind'], backoffMs: number): Promise<void> {
    this.deps.log.info({ result, backoffMs }, 'store: transaction not confirmed, retrying');
    return this.host.pause(backoffMs);
  }

  /**
   * Determines the outcome of a transaction without a response. While the leader key is unchanged, only this leadership
   * changes the fence key, and only this transaction is in flight. So a changed fence key shows that the transaction
   * was committed, provided that the leader key is read *after* the fence key and is unchanged.
   */
  private async resolveInDoubt(): Promise<Resolution> {
    const fence = await this.host.readVersion(KEYS.fence);
    if (fence.kind !== 'ok' || this.isAborted()) return 'unresolved';
    if (fence.value === this.fenceVersion) return 'notCommitted';
    const leader = await this.host.readVersion(KEYS.leader);
    if (leader.kind !== 'ok' || this.isAborted()) return 'unresolved';
    if (leader.value !== this.deps.leaderVersion) return 'superseded';
    this.fenceVersion = fence.value;
    return 'committed';
  }

  private logResolution(resolution: Resolution): void {
    if (resolution === 'unresolved') return;
    this.deps.log.info({ resolution }, 'store: in-doubt transaction resolved by read-back');
  }

  private recordCommit(fenceVersion: number): true {
    this.fenceVersion = fenceVersion;
    return true;
  }

  private reportLeadershipLost(reason: string): false {
    this.deps.onLeadershipLost(reason);
    return false;
  }

  /** A method, because the type checker assumes that `signal.aborted` does not change across an `await`. */
  private isAborted(): boolean {
    return this.deps.signal.aborted;
  }
}
