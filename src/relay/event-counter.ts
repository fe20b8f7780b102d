/** Counts events in consecutive windows of a fixed length. */
export class EventCounter {
  private windowStartedAt: number;
  private current = 0;
  private previous = 0;

  constructor(
    now: number,
    /** Length of a window, in milliseconds. */
    private readonly windowMs: number,
  ) {
    this.windowStartedAt = now;
  }

  /** Adds events to the current window. */
  add(now: number, events: number): void {
    this.advance(now);
    this.current += events;
  }

  /** The larger of the event counts of the current and the previous window. */
  largerOfLastTwo(now: number): number {
    this.advance(now);
    return Math.max(this.current, this.previous);
  }

  /** The event count of the current window. */
  currentCount(now: number): number {
    this.advance(now);
    return this.current;
  }

  private advance(now: number): void {
    const elapsedMs = now - this.windowStartedAt;
    if (elapsedMs < this.windowMs) return;
    this.previous = elapsedMs < 2 * this.windowMs ? this.current : 0;
    this.current = 0;
    this.windowStartedAt = now;
  }
}
