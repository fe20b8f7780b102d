/** Rate limits on an injected clock, and the shares of the key-value store's write rate that they enforce. */

/**
 * Share of the key-value store's mutations per second that is reserved for the leader. The rest is for submissions,
 * which every controller writes by itself, so that submissions never use up what terminal states and start watermarks
 * need.
 */
export const LEADER_WRITE_SHARE = 0.6;
/** Sum of all controllers' shares as a multiple of the submission rate, since a few of them may serve all users. */
const SUBMISSION_OVERCOMMIT_FACTOR = 1.5;
/** Submissions arrive in bursts: a controller may use this many seconds' worth of its rate at once. */
const SUBMISSION_BURST_S = 3;

/**
 * The rate at which one controller may write new jobs: its share of the mutations that are not reserved for the leader.
 * `writesPerSecond`: the limit of the service for all controllers together; `now`: steady milliseconds.
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

/** A token bucket: permits are added at a steady rate, up to the size of a burst. */
export class RateBudget {
  private permits: number;
  private refilledAt: number;

  constructor(
    /** Permits added per second. */
    readonly perSecond: number,
    /** Steady milliseconds. */
    readonly now: () => number,
    /** Capacity of the bucket in permits; one second's worth by default. */
    private readonly burst = Math.max(1, perSecond),
  ) {
    this.permits = burst;
    this.refilledAt = now();
  }

  /** Takes permits if enough are available; `reserve` permits are kept for more urgent callers. */
  take(amount = 1, reserve = 0): boolean {
    this.refill();
    if (this.permits - reserve < amount) return false;
    this.permits -= amount;
    return true;
  }

  /** Available permits; below 1 while the bucket is blocked, and negative early in a long block. */
  available(): number {
    this.refill();
    return this.permits;
  }

  /** Available permits as a share of the capacity, at most 1. */
  fullness(): number {
    return this.available() / this.burst;
  }

  /** Grants no permits for this time. */
  blockFor(ms: number): void {
    this.refill();
    this.permits = Math.min(this.permits, 1 - (ms / 1000) * this.perSecond);
  }

  /** Milliseconds until this many permits are available. */
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
