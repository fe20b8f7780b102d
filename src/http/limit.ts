/**
 * Time above the tolerated multiple of the best duration that a user's request may take before the limit is lowered.
 */
export const USER_SLACK_MS = 300;
/**
 * The same for a worker's heartbeat. A worker waits 4 s for the response, and one that is refused retries through two
 * other nodes, over new connections: refusing costs more than answering, unless responses would come too late. With the
 * slack of users, each long round lowers the limit until a slow leader answers a third of its workers, and the leases
 * of the other workers expire.
 */
export const WORKER_SLACK_MS = 1500;

/**
 * A limit on requests in progress that adapts to measured durations. Durations are compared with the shortest recent
 * one: additive increase while they stay near it, multiplicative decrease when they don't (the scheme of TCP Vegas, as
 * used for service concurrency). A request over the limit is refused at once.
 */
export class AdaptiveLimit {
  private limit: number;
  private inProgress = 0;
  private bestMs = Infinity;
  private bestAt = 0;
  private lastDecreaseAt = 0;

  constructor(
    private readonly now: () => number,
    private readonly options: {
      initial: number;
      min: number;
      max: number;
      slackMs: number;
      tolerance: number;
    },
  ) {
    this.limit = options.initial;
  }

  /** Counts a request as in progress and returns the function that ends it; null if the request must be refused. */
  acquire(): (() => void) | null {
    if (this.inProgress >= Math.floor(this.limit)) return null;
    this.inProgress += 1;
    const startedAt = this.now();
    let released = false;
    return () => {
      if (released) return;
      released = true;
      this.release(this.now() - startedAt);
    };
  }

  private release(durationMs: number): void {
    const { min, max, slackMs, tolerance } = this.options;
    const now = this.now();
    const nearLimit = this.inProgress >= this.limit / 2;
    this.inProgress -= 1;
    // The best duration expires, so that the limit adapts to a lasting change in the speed of the machine.
    if (durationMs < this.bestMs || now - this.bestAt > 30_000) {
      this.bestMs = durationMs;
      this.bestAt = now;
    }
    if (durationMs > this.bestMs * tolerance + slackMs) {
      // One decrease per congestion: a request that was in progress at the last decrease causes no further one.
      if (now - this.lastDecreaseAt > durationMs) {
        this.limit = Math.max(min, this.limit * 0.8);
        this.lastDecreaseAt = now;
      }
    } else if (nearLimit) {
      this.limit = Math.min(max, this.limit + 1 / Math.max(1, this.limit));
    }
  }

  get current(): number {
    return Math.floor(this.limit);
  }
}
