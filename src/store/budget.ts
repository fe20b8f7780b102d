/** Rate limits on an injected clock, and this node's share of the writes that the key-value store accepts. */

/**
 * The leader's part of the mutations that the key-value store accepts per second. The rest is for submissions, which
 * every node writes by itself: they never use up what terminal states and start watermarks need.
 */
export const LEADER_WRITE_SHARE = 0.6;
/** Sum of all nodes' shares of the submissions, as a multiple of their part: few nodes have all users. */
const SUBMISSION_OVERCOMMIT_FACTOR = 1.5;
/** Submissions come in bursts: so many seconds' worth of a node's share may be used at once. */
const SUBMISSION_BURST_S = 3;

/**
 * The new jobs that one node may write: its share of the mutations that the leader leaves.
 * `writesPerSecond`: the limit of the service for all nodes together; `now`: steady milliseconds.
 */
export function createSubmissionBudget(
  writesPerSecond: number,
  controllerCount: number,
  now: () => number,
): RateBudget {
  const overcommitFactor = Math.min(controllerCount, SUBMISSION_OVERCOMMIT_FACTOR);
  const perSecond = (writesPerSecond * (1 - LEADER_WRITE_SHARE) * overcommitFactor) / controllerCount;
  return new RateBudget(perSecond, now, Math.max(1, perSecond * SUBMISSION_BURST_S));
}

/** A token bucket: permits are added at a steady rate and pile up to a burst. */
export class RateBudget {
  private permits: number;
  private refilledAt: number;

  constructor(
    /** Permits added per second. */
    readonly perSecond: number,
    /** Steady milliseconds. */
    readonly now: () => number,
    /** Most permits that pile up; one second's worth unless given. */
    private readonly burst = Math.max(1, perSecond),
  ) {
    this.permits = burst;
    this.refilledAt = now();
  }

  /** Takes permits if they are there, keeping `reserve` of them back for more urgent callers. */
  take(amount = 1, reserve = 0): boolean {
    this.refill();
    if (this.permits - reserve < amount) return false;
    this.permits -= amount;
    return true;
  }

  /** Permits that are there now; below 1 while the bucket is blocked, and negative early in a long block. */
  available(): number {
    this.refill();
    return this.permits;
  }

  /** The part of the bucket that is full, from 0 to 1. */
  fullness(): number {
    return this.available() / this.burst;
  }

  /** Grants nothing for so long. */
  blockFor(ms: number): void {
    this.refill();
    this.permits = Math.min(this.permits, 1 - (ms / 1000) * this.perSecond);
  }

  /** Milliseconds until so many permits are there. */
  waitMs(amount = 1): number {
    this.refill();
    return this.permits >= amount ? 0 : Math.ceil(((amount - this.permits) / this.perSecond) * 1000);
  }

  private refill(): void {
    const now = this.now();
    this.permits = Math.min(this.burst, this.permits + ((now - this.refilledAt) / 1000) * this.perSecond);
    this.refilledAt = now;
  }
}
