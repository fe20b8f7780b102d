/** Clock and timer of a pacer. */
export interface PacerTimers {
  /** Steady milliseconds. */
  now(): number;
  after(ms: number, run: () => void): void;
}

/** Keeps a minimum interval between batches. The first is sent at once; items that arrive within the interval wait. */
export class BatchPacer {
  private lastSentAt = -Infinity;
  private scheduled = false;

  constructor(
    private readonly timers: PacerTimers,
    /** Minimum time between two batches, in milliseconds. */
    private readonly minIntervalMs: number,
    /** Sends the waiting items, and calls `recordBatch` for each batch. */
    private readonly flush: () => void,
  ) {}

  /** Called when items are waiting: flushes now, or when the minimum interval is over. */
  schedule(): void {
    if (this.scheduled) return;
    const waitMs = this.lastSentAt + this.minIntervalMs - this.timers.now();
    if (waitMs <= 0) {
      this.flush();
      return;
    }
    this.scheduled = true;
    this.timers.after(waitMs, () => {
      this.scheduled = false;
      this.flush();
    });
  }

  /** Called for each batch that is sent: the minimum interval starts now. */
  recordBatch(): void {
    this.lastSentAt = this.timers.now();
  }
}
