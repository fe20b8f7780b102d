/** Weight of the newest measurement. */
const NEWEST = 0.3;

/**
 * How late a process gets to its work: how much longer than planned the pauses of a regular tick take. On a
 * node that has more to do than it can, everything that can wait has to: reports that are answered too late come
 * again, and a leader that went on with its rounds once lost all its workers' leases that way.
 */
export class EventLoopLag {
  private lastAt: number;
  private mean = 0;

  constructor(
    private readonly tickMs: number,
    private readonly now: () => number,
  ) {
    this.lastAt = now();
  }

  tick(): void {
    const at = this.now();
    const late = Math.max(0, at - this.lastAt - this.tickMs);
    this.lastAt = at;
    this.mean += (late - this.mean) * NEWEST;
  }

  /** What has not ticked yet counts, too. */
  ms(): number {
    return Math.max(this.mean, this.now() - this.lastAt - this.tickMs);
  }
}

/** From here on a node is busy: what can wait, waits. */
export const BUSY_MS = 300;
