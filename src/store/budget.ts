/**
 * The leader's part of the changes that the state service takes a second. The rest is for submissions, which every
 * node writes by itself: they never use up what ends of jobs and notes of starts need.
 */
export const LEADER_WRITES = 0.6;
/** All nodes' shares of the submissions together, in times of their part: few nodes have all users. */
const SUBMISSIONS_OVERCOMMITTED = 1.5;
/** Submissions come in bursts: so many seconds' worth of a node's share may be used at once. */
const SUBMISSIONS_BURST_S = 3;

/** The new jobs that one node may write: its share of the changes that the leader leaves. */
export function submissionBudget(writesPerSecond: number, nodes: number, now: () => number): RateBudget {
  const shares = Math.min(nodes, SUBMISSIONS_OVERCOMMITTED);
  const perSecond = (writesPerSecond * (1 - LEADER_WRITES) * shares) / nodes;
  return new RateBudget(perSecond, now, Math.max(1, perSecond * SUBMISSIONS_BURST_S));
}

/** A bucket of permits per second with a burst of one second's worth, on an injected clock. */
export class RateBudget {
  private level: number;
  private at: number;

  constructor(
    readonly perSecond: number,
    readonly now: () => number,
    /** Most permits that pile up; one second's worth unless given. */
    private readonly burst = Math.max(1, perSecond),
  ) {
    this.level = burst;
    this.at = now();
  }

  private refill(): void {
    const now = this.now();
    this.level = Math.min(this.burst, this.level + ((now - this.at) / 1000) * this.perSecond);
    this.at = now;
  }

  /** Takes permits if they are there, keeping `reserve` of them back for more urgent callers. */
  take(amount = 1, reserve = 0): boolean {
    this.refill();
    if (this.level - reserve < amount) return false;
    this.level -= amount;
    return true;
  }

  /** Permits that are there now. */
  available(): number {
    this.refill();
    return this.level;
  }

  /** The share of the bucket that is full, from 0 to 1. */
  fullness(): number {
    return this.available() / this.burst;
  }

  /** Grants nothing for so long. */
  rest(ms: number): void {
    this.refill();
    this.level = Math.min(this.level, 1 - (ms / 1000) * this.perSecond);
  }

  /** Milliseconds until so many permits are there. */
  waitMs(amount = 1): number {
    this.refill();
    return this.level >= amount ? 0 : Math.ceil(((amount - this.level) / this.perSecond) * 1000);
  }
}
