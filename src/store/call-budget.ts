/**
 * Admission control for calls to the key-value store: how many calls a second this node may send, shared out by
 * priority. The service's limit holds for all nodes together, and a call over it is answered with 429 for everybody.
 */
import { RateBudget } from './budget.ts';

/**
 * How urgent a call is. A call is admitted only while the budget still holds what is reserved for more urgent ones:
 * `lease` (leader leases, the leader's own transactions, its recovery and the watches of keys), `user` (submissions
 * and cancellations), `background` (connectivity probes), `poll` (reads for users who ask after a job).
 */
export type Urgency = 'lease' | 'user' | 'background' | 'poll';

/** Share of the budget that a call of each urgency leaves to the more urgent ones. */
const RESERVED_SHARE: Record<Urgency, number> = { lease: 0, user: 0.1, background: 0.35, poll: 0.4 };
/**
 * Part of the service's limit that the polls of all nodes together may use. Users ask at any rate, on all nodes at
 * the same time: shares that add up to more than the limit once made the service refuse submissions for their sake.
 */
const POLL_SHARE = 0.6;
/** Polls stop for this long after the service itself has refused a call for its rate. */
const POLL_PAUSE_MS = 1000;
/** Sum of all nodes' shares, as a multiple of the service's limit: they are seldom busy at the same time. */
const OVERCOMMIT_FACTOR = 1.5;
/** Largest share of the service's limit for one node, however few nodes there are. */
const MAX_CONTROLLER_SHARE = 0.5;

/** The limit of the key-value store that all nodes share. */
export interface StoreLimits {
  /** Requests per second that the service accepts from all nodes together. */
  rps: number;
  /** Nodes that share the limit. */
  nodes: number;
}

/** True if calls of the first urgency may use permits that are withheld from the second. */
export function isMoreUrgent(first: Urgency, second: Urgency): boolean {
  return RESERVED_SHARE[first] < RESERVED_SHARE[second];
}

/** This node's share of the request limit of the key-value store. */
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
    // The limit is shared by all nodes and a burst at one must not starve the leader's lease.
    this.callsPerSecond = limits.rps * Math.min(MAX_CONTROLLER_SHARE, OVERCOMMIT_FACTOR / limits.nodes);
    this.calls = new RateBudget(this.callsPerSecond, now);
    this.polls = new RateBudget(Math.max(1, (limits.rps * POLL_SHARE) / limits.nodes), now);
  }

  /** Takes the permit for one call; false if it must not be sent now. */
  take(urgency: Urgency): boolean {
    if (urgency === 'poll' && !this.takePollPermit()) return false;
    return this.calls.take(1, this.callsPerSecond * RESERVED_SHARE[urgency]);
  }

  /** The service has refused a call for its rate (429): polls leave its capacity to others for a while. */
  onRateLimited(): void {
    this.pollsPausedUntil = this.now() + POLL_PAUSE_MS;
  }

  private takePollPermit(): boolean {
    return this.now() >= this.pollsPausedUntil && this.polls.take();
  }
}
