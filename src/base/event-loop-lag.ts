/** Weight of the newest measurement. */
const NEWEST_SAMPLE_WEIGHT = 0.3;

/**
 * How late a process gets to its work: how much longer than planned the pauses of a regular tick take. On a
 * node that has more to do than it can, everything that can wait has to: reports that are answered too late come
 * again, and a leader that went on with its rounds once lost all its workers' leases that way.
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

  /** What has not ticked yet counts, too. */
  currentMs(): number {
    return Math.max(this.meanDelayMs, this.now() - this.lastTickAt - this.tickIntervalMs);
  }
}

/** From here on a node is busy: what can wait, waits. */
export const MIN_BUSY_LAG_MS = 300;
