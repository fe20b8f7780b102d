/** Leaderless writes: transactions that the store executes only while the leader key is absent. */
import type { Clock } from '../base/clock.ts';
import type { Urgency } from '../store/call-budget.ts';
import type { CompareAndSwapResult, KeyValueStore } from '../store/key-value-store.ts';
import type { Condition, Mutation } from '../wire/state.ts';
import { LEADER_ABSENT, termUnchanged, type LeadershipRecords } from './leader-record.ts';
import type { LeaderlessWriteOutcome, PeerLeaseLedger } from './peer-lease-ledger.ts';

/**
 * A write that requires the absence of a leader, prepared but not sent yet. It must be ended by either `commit` or
 * `abandon`; until then this controller grants no peer lease.
 */
export interface LeaderlessWrite {
  /** The last term that was won when the write began. */
  readonly term: number;
  /** Sends the transaction, conditional on the absence of a leader and on the write's term, and ends the write. */
  commit(
    conditions: readonly Condition[],
    mutations: readonly Mutation[],
    urgency: Urgency,
  ): Promise<CompareAndSwapResult>;
  /** Ends the write without having sent anything. */
  abandon(): void;
}

/** What leaderless writes need from the rest of the election. */
export interface LeaderlessWritesDeps {
  store: Pick<KeyValueStore, 'compareAndSwap'>;
  clock: Clock;
  ledger: PeerLeaseLedger;
  records: LeadershipRecords;
  /** Whether this controller itself leads. */
  isLeading(): boolean;
}

/** Begins leaderless writes, and records their outcomes in the ledger. */
export class LeaderlessWrites {
  constructor(private readonly deps: LeaderlessWritesDeps) {}

  /** False while a granted peer lease or the abstention after a start certainly forbids a leaderless write. */
  canAttempt(): boolean {
    const { ledger, clock } = this.deps;
    const now = clock.now();
    return ledger.canBeginWrite(now) || ledger.shouldReadTermRecord(now);
  }

  /**
   * Begins a leaderless write. null: there is a leader, or the write may not begin now.
   *
   * The term is read first and the leader key second. If the key is then absent, the lease of that term has expired
   * and can't become valid again. The transaction is conditional on the term record as well, so it can't be executed
   * once a later term has been won.
   */
  async begin(urgency: Urgency): Promise<LeaderlessWrite | null> {
    const { ledger, records } = this.deps;
    if (this.deps.isLeading() || !this.canAttempt()) return null;
    const read = await records.readTerm(urgency);
    if (read.kind !== 'known' || this.deps.isLeading()) return null;
    if (!ledger.beginWrite(this.deps.clock.now())) return null;
    const leader = await records.readLeader(urgency);
    if (leader.kind !== 'absent') {
      ledger.endWrite(read.term, 'not_executed');
      return null;
    }
    return this.createWrite(read.term, read.version);
  }

  private createWrite(term: number, termVersion: number): LeaderlessWrite {
    const { store, ledger } = this.deps;
    return {
      term,
      commit: async (conditions, mutations, urgency) => {
        const guardedConditions = [LEADER_ABSENT, termUnchanged(termVersion), ...conditions];
        const result = await store.compareAndSwap(guardedConditions, mutations, urgency);
        ledger.endWrite(term, toOutcome(result));
        return result;
      },
      abandon: () => {
        ledger.endWrite(term, 'not_executed');
      },
    };
  }
}

function toOutcome(result: CompareAndSwapResult): LeaderlessWriteOutcome {
  if (result.kind === 'ok') return 'executed';
  return result.kind === 'unknown' ? 'unknown' : 'not_executed';
}
