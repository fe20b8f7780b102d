/** Clock and timer of a pacer. */
export interface PacerTimers {
  /** Steady milliseconds. */
  now(): number;
  after(ms: number, run: () => void): void;
}

/** Keeps a least time between two batches: the first is sent at once, what comes meanwhile waits for the next. */
export class BatchPacer {
  private lastSentAt = -Infinity;
  private scheduled = false;

  constructor(
    private readonly timers: PacerTimers,
    /** Least time between two batches, in milliseconds. */
    private readonly minIntervalMs: number,
    /** Sends what waits, and calls `recordBatch` for each batch. */
    private readonly flush: () => void,
  ) {}

  /** Something waits: flushes now or when the gap is over. */
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

  /** A batch is sent now; the gap counts from here. */
  recordBatch(): void {
    this.lastSentAt = this.timers.now();
  }
}
