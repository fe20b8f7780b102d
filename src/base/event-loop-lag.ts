/** Weight of the newest delay in the exponential moving average. */
const NEWEST_SAMPLE_WEIGHT = 0.3;

/**
 * Measures the lag of the event loop: how much later than planned a periodic tick runs. An overloaded node must postpone
 * work that can wait: heartbeats that are answered too late are sent again, and if a leader continues its rounds
 * regardless, the leases of all its workers expire.
 */
export class EventLoopLag {
  private lastTickAt: number;
  private meanDelayMs = 0;

  constructor(
    private readonly tickIntervalMs: number,
    private readonly now: () => number,
  ) {
    this.lastTickAt = now();
  }

  recordTick(): void {
    const now = this.now();
    const delayMs = Math.max(0, now - this.lastTickAt - this.tickIntervalMs);
    this.lastTickAt = now;
    this.meanDelayMs += (delayMs - this.meanDelayMs) * NEWEST_SAMPLE_WEIGHT;
  }

  /** The lag in milliseconds. A tick that is overdue counts as well. */
  currentMs(): number {
    return Math.max(this.meanDelayMs, this.now() - this.lastTickAt - this.tickIntervalMs);
  }
}

/** From this lag on a node is busy, and work that can wait is postponed. */
export const MIN_BUSY_LAG_MS = 300;
