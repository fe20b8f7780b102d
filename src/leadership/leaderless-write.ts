/** Leaderless writes: transactions that the store carries out only while nobody holds the leader key. */
import type { Clock } from '../base/clock.ts';
import type { Urgency } from '../store/call-budget.ts';
import type { CompareAndSwapResult, KeyValueStore } from '../store/key-value-store.ts';
import type { Condition, Mutation } from '../wire/state.ts';
import { LEADER_ABSENT, termUnchanged, type LeadershipRecords } from './leader-record.ts';
import type { LeaderlessWriteOutcome, PeerLeaseLedger } from './peer-lease-ledger.ts';

/**
 * A write that needs the absence of a leader, begun but not sent. It must be ended by one of the two calls; meanwhile
 * this controller grants no peer lease.
 */
export interface LeaderlessWrite {
  /** The last term that was won. */
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

/** Begins leaderless writes, and notes in the ledger what became of them. */
export class LeaderlessWrites {
  constructor(private readonly deps: LeaderlessWritesDeps) {}

  /** False while an attempt would be pointless: a lease granted to a leader, or a recent start, forbids it. */
  canAttempt(): boolean {
    const { ledger, clock } = this.deps;
    const now = clock.now();
    return ledger.canBeginWrite(now) || ledger.shouldReadTermRecord(now);
  }

  /**
   * Begins a leaderless write. null: not now, or there is a leader. The term is read before the leader key is seen
   * absent, so a write that is sent belongs to a term whose lease has expired for good; and its transaction can't be
   * carried out once another term has begun.
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
