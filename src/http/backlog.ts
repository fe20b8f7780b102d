/**
 * Tells how long connections may have been waiting to be accepted. The event loop accepts one a turn; while every
 * turn brings one, the queue has not been empty, and whoever is accepted now may have come when that began.
 *
 * A new leader once took up connections in the order of their coming for a quarter of a minute: when it came to one,
 * its worker had given up waiting and stood at the end of the queue again, and so all leases ran out.
 */
export class Backlog {
  private nonEmptySince: number | null = null;
  private iteration = 0;
  private lastAcceptIteration = -1;

  constructor(
    private readonly now: () => number,
    /** Whoever has waited this long is most likely gone. */
    private readonly staleAfterMs: number,
  ) {}

  /** A connection was accepted. True: the queue is stale and should be dropped, so that who waits asks anew. */
  recordAccept(): boolean {
    this.lastAcceptIteration = this.iteration;
    const now = this.now();
    this.nonEmptySince ??= now;
    if (now - this.nonEmptySince < this.staleAfterMs) return false;
    this.nonEmptySince = null;
    return true;
  }

  /** A turn of the event loop is over. False: it brought no connection, so the queue was empty. */
  endIteration(): boolean {
    const hasAccepted = this.lastAcceptIteration === this.iteration;
    this.iteration += 1;
    if (!hasAccepted) this.nonEmptySince = null;
    return hasAccepted;
  }
}
