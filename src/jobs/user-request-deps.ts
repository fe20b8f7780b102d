/** What the users' side of a controller needs of the rest of the controller. */
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

/** What user requests need of the leadership on this node, if there is one. */
export interface LocalLeader {
  readonly term: number;
  lookup(id: string): LeaderLookup;
  /**
   * Cancels a job. `settled` gets the terminal state once it is durable, or null when this leadership ended before
   * that. False: the job is not known here, and `settled` is never called.
   */
  cancel(id: string, onSettled: (status: JobStatus | null) => void): boolean;
  /** Takes in an open record that this node has read from the store before the watch brought it. */
  observeOpenRecord(id: string, value: unknown): void;
}

/**
 * Interfaces and settings that user requests work with. None of the promises is ever rejected: every failure is a
 * result. So a rejection is a defect, which goes to `onError`.
 */
export interface UserRequestDeps {
  clock: Clock;
  options: Options;
  store: Pick<KeyValueStore, 'get' | 'compareAndSwap'>;
  terminalStates: TerminalStateCache;
  /** This node's share of the write rate of the state service, for new jobs. */
  submissionBudget: RateBudget;
  teams: readonly TeamQuota[];
  /** null: the machine types are not known yet. */
  catalog(): Catalog | null;
  /** null: this node doesn't lead. */
  leader(): LocalLeader | null;
  /** Begins a write that needs a leader's absence. null: not now, or there is a leader. */
  beginLeaderlessWrite(urgency: Urgency): Promise<LeaderlessWrite | null>;
  /** Asks the leading node; null when there is none or it doesn't answer. */
  callLeader(request: PeerRequest, timeoutMs: number): Promise<PeerReply | null>;
  /** Asks all other nodes, for when this one alone can't help; null when none of them can. */
  callOthers(request: PeerRequest, timeoutMs: number): Promise<PeerReply | null>;
  /** Answering a request failed by a defect; the request gets no answer. */
  onError: (error: unknown) => void;
}
