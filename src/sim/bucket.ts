/** A rate limit that allows bursts of some seconds' worth. */
export class TokenBucket {
  private level: number;
  private filledAt = 0;

  constructor(
    private readonly perSecond: number,
    private readonly burstS: number,
    private readonly now: () => number,
  ) {
    this.level = perSecond * burstS;
  }

  take(amount = 1): boolean {
    const now = this.now();
    const gained = ((now - this.filledAt) / 1000) * this.perSecond;
    this.level = Math.min(this.perSecond * this.burstS, this.level + gained);
    this.filledAt = now;
    if (this.level < amount) return false;
    this.level -= amount;
    return true;
  }
}
