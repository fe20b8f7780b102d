/**
 * Admission control for calls to the key-value store: how many calls per second this controller may send, by urgency.
 * The service's limit applies to all controllers together; while it is exceeded, any controller's call may get a 429.
 */
import { RateBudget } from './budget.ts';

/**
 * Urgency of a call, the most urgent first. A call is admitted only if the permits reserved for more urgent calls
 * remain: `lease` (leader leases, the leader's own transactions, its recovery and watches), `user` (submissions and
 * cancellations), `background` (connectivity probes), `poll` (reads for users' polls of a job's state).
 */
export type Urgency = 'lease' | 'user' | 'background' | 'poll';

/** Share of a second's permits that a call of each urgency must leave for more urgent calls. */
const RESERVED_SHARE: Record<Urgency, number> = { lease: 0, user: 0.1, background: 0.35, poll: 0.4 };
/**
 * Share of the service's limit that the polls of all controllers together may use. Users poll at any rate, and at all
 * controllers at the same time, so poll shares that add up to more than the limit make the service refuse submissions.
 */
const POLL_SHARE = 0.6;
/** How long no polls are sent after the service has answered a call with 429. */
const POLL_PAUSE_MS = 1000;
/** Sum of all controllers' shares as a multiple of the service's limit, since they are seldom all busy at once. */
const OVERCOMMIT_FACTOR = 1.5;
/** Largest share of the service's limit for one controller, however few there are. */
const MAX_CONTROLLER_SHARE = 0.5;

/** The request limit of the key-value store, which all controllers share. */
export interface StoreLimits {
  /** Requests per second that the service accepts from all controllers together. */
  rps: number;
  /** Number of controllers that share the limit. */
  nodes: number;
}

/** Whether calls of the first urgency may use permits that are withheld from calls of the second. */
export function isMoreUrgent(first: Urgency, second: Urgency): boolean {
  return RESERVED_SHARE[first] < RESERVED_SHARE[second];
}

/** This controller's share of the request limit of the key-value store. */
export class CallBudget {
  private readonly callsPerSecond: number;
  private readonly calls: RateBudget;
  private readonly polls: RateBudget;
  private pollsPausedUntil = -Infinity;

  constructor(
    limits: StoreLimits,
    /** Steady milliseconds. */
    private readonly now: () => number,
  ) {
    // All controllers share the limit, and a burst at one of them must not delay the renewal of the leader's lease.
    this.callsPerSecond = limits.rps * Math.min(MAX_CONTROLLER_SHARE, OVERCOMMIT_FACTOR / limits.nodes);
    this.calls = new RateBudget(this.callsPerSecond, now);
    this.polls = new RateBudget(Math.max(1, (limits.rps * POLL_SHARE) / limits.nodes), now);
  }

  /** Takes the permit for one call; false if the call must not be sent now. */
  take(urgency: Urgency): boolean {
    if (urgency === 'poll' && !this.takePollPermit()) return false;
    return this.calls.take(1, this.callsPerSecond * RESERVED_SHARE[urgency]);
  }

  /** The service has answered a call with 429: polls pause and leave its capacity to more urgent calls. */
  onRateLimited(): void {
    this.pollsPausedUntil = this.now() + POLL_PAUSE_MS;
  }

  private takePollPermit(): boolean {
    return this.now() >= this.pollsPausedUntil && this.polls.take();
  }
}
