/** A bucket of permits per second with a burst of one second's worth, on an injected clock. */
export class RateBudget {
  private level: number;
  private at: number;

  constructor(
    private readonly perSecond: number,
    private readonly now: () => number,
  ) {
    this.level = perSecond;
    this.at = now();
  }

  private refill(): void {
    const now = this.now();
    this.level = Math.min(this.perSecond, this.level + ((now - this.at) / 1000) * this.perSecond);
    this.at = now;
  }

  /** Takes permits if they are there, keeping `reserve` of them back for more urgent callers. */
  take(amount = 1, reserve = 0): boolean {
    this.refill();
    if (this.level - reserve < amount) return false;
    this.level -= amount;
    return true;
  }

  /** Milliseconds until so many permits are there. */
  waitMs(amount = 1): number {
    this.refill();
    return this.level >= amount ? 0 : Math.ceil(((amount - this.level) / this.perSecond) * 1000);
  }
}
