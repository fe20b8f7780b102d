/** A token bucket that is refilled at a constant rate and holds at most the tokens of `burstS` seconds. */
export class TokenBucket {
  private tokens: number;
  private refilledAt = 0;

  constructor(
    private readonly refillPerS: number,
    private readonly burstS: number,
    private readonly now: () => number,
  ) {
    this.tokens = refillPerS * burstS;
  }

  take(amount = 1): boolean {
    const now = this.now();
    const gained = ((now - this.refilledAt) / 1000) * this.refillPerS;
    this.tokens = Math.min(this.refillPerS * this.burstS, this.tokens + gained);
    this.refilledAt = now;
    if (this.tokens < amount) return false;
    this.tokens -= amount;
    return true;
  }
}
