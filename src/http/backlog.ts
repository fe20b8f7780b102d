/**
 * Estimates how long connections may have waited in the accept queue. The event loop accepts one connection per
 * iteration. While each iteration accepts one, the queue has not been empty, and the connection that is accepted now may
 * have been queued since that period began.
 *
 * If a new leader accepts a long queue in order, for example for 15 s, each worker has timed out before its connection
 * is accepted and is queued again at the end, so all leases expire.
 */
export class Backlog {
  private nonEmptySince: number | null = null;
  private iteration = 0;
  private lastAcceptIteration = -1;

  constructor(
    private readonly now: () => number,
    /** A client that has waited this long has most likely timed out, in milliseconds. */
    private readonly staleAfterMs: number,
  ) {}

  /** A connection was accepted. True: the queue is stale and should be dropped, so that its clients reconnect. */
  recordAccept(): boolean {
    this.lastAcceptIteration = this.iteration;
    const now = this.now();
    this.nonEmptySince ??= now;
    if (now - this.nonEmptySince < this.staleAfterMs) return false;
    this.nonEmptySince = null;
    return true;
  }

  /** An iteration of the event loop is over. False: it accepted no connection, so the queue was empty. */
  endIteration(): boolean {
    const hasAccepted = this.lastAcceptIteration === this.iteration;
    this.iteration += 1;
    if (!hasAccepted) this.nonEmptySince = null;
    return hasAccepted;
  }
}
