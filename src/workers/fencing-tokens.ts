/** The fencing tokens that one leadership may use: a range that no other leadership shares. */

/**
 * Number of tokens that a leadership reserves at a time. An attempt number is a term times 2^24 and must stay below
 * 2^53, so at most 2^29 tokens can ever be reserved: half a million leaderships that each use up to this many.
 */
export const TOKENS_PER_RESERVATION = 1024;

/**
 * The tokens of a leadership. The first one exceeds the last token of every earlier leadership, and the term record in
 * the store is never below the last one, so the first token of the next leadership exceeds it. Tokens of both versions
 * of the service are ordered that way: an earlier version uses its term as its only token.
 */
export class FencingTokens {
  private lastReserved: number;

  constructor(
    /** The first token: that of a machine until it needs a higher one. */
    readonly first: number,
    last: number,
  ) {
    this.lastReserved = last;
  }

  /** The last token that this leadership may use. */
  get last(): number {
    return this.lastReserved;
  }

  /** The term record holds `last` by now: the tokens up to it may be used. */
  extendTo(last: number): void {
    this.lastReserved = Math.max(this.lastReserved, last);
  }

  /** Whether a worker that shows this token has seen a message of this leadership or of a later one. */
  isCurrent(token: number): boolean {
    return token >= this.first;
  }

  /** Whether a worker that shows this token has seen a message of a later leadership. */
  isSuperseding(token: number): boolean {
    return token > this.lastReserved;
  }
}
