/** What user requests need from the rest of the controller. */
import type { Clock } from '../base/clock.ts';
import type { Options } from '../config/options.ts';
import type { Catalog } from '../fleet/catalog.ts';
import type { LeaderlessWrite } from '../leadership/leaderless-write.ts';
import type { PeerReply, PeerRequest } from '../peers/messages.ts';
import type { RateBudget } from '../store/budget.ts';
import type { Urgency } from '../store/call-budget.ts';
import type { KeyValueStore } from '../store/key-value-store.ts';
import type { JobStatus } from '../wire/user.ts';
import type { TeamQuota } from './admission.ts';
import type { LeaderLookup } from './job-lookup.ts';
import type { TerminalStateCache } from './terminal-state-cache.ts';

/** What user requests need from the leader on this controller. */
export interface LocalLeader {
  readonly term: number;
  lookup(id: string): LeaderLookup;
  /**
   * Cancels a job. `onOutcome` is called with the terminal state once it is durable, or with null if this leadership
   * ends before that. Returns false if the leader doesn't know the job; `onOutcome` is then never called.
   */
  cancel(id: string, onOutcome: (status: JobStatus | null) => void): boolean;
  /** Adds the job of an open record that this controller has read from the store before the watch delivered it. */
  observeOpenRecord(id: string, value: unknown): void;
}

/**
 * Interfaces and settings that user requests work with. Promises are never rejected, because every failure is a result;
 * a rejection is a defect and goes to `onError`.
 */
export interface UserRequestDeps {
  clock: Clock;
  options: Options;
  store: Pick<KeyValueStore, 'get' | 'compareAndSwap'>;
  terminalStates: TerminalStateCache;
  /** This controller's share of the write rate of the store, for new jobs. */
  submissionBudget: RateBudget;
  teams: readonly TeamQuota[];
  /** null: the machine types are not known yet. */
  catalog(): Catalog | null;
  /** null: this controller doesn't lead. */
  leader(): LocalLeader | null;
  /** Begins a write that is applied only while there is no leader. null: there is one, or the write can't begin now. */
  beginLeaderlessWrite(urgency: Urgency): Promise<LeaderlessWrite | null>;
  /** Asks the leader; null: there is none, or it doesn't answer. */
  callLeader(request: PeerRequest, timeoutMs: number): Promise<PeerReply | null>;
  /** Asks all other controllers, when this controller alone can't answer; null: none of them can. */
  callOthers(request: PeerRequest, timeoutMs: number): Promise<PeerReply | null>;
  /** Called when a defect makes the handling of a request fail; the request gets no answer. */
  onError: (error: unknown) => void;
}
