import { pino, type Logger } from 'pino';

export type { Logger };

/**
 * Creates a logger of JSON lines on standard error. Lines are written synchronously, so that no line is lost when the
 * process is killed.
 */
export function createLogger(level: string | undefined, node: string): Logger {
  const enabledLevel = level === 'debug' || level === 'error' ? level : 'info';
  return pino(
    { level: enabledLevel, base: { node }, timestamp: pino.stdTimeFunctions.epochTime },
    pino.destination({ fd: 2, sync: true }),
  );
}

/** Limits the rate of log lines about an event that clients can cause at any rate. */
export class RateLimitedLog {
  private lastLoggedAt = -Infinity;
  private unlogged = 0;

  constructor(
    private readonly now: () => number,
    /** Minimum time between two log lines, in milliseconds. */
    private readonly minIntervalMs: number,
  ) {}

  /**
   * Calls `log` with the number of events not logged since the last line; within the interval it only counts the event.
   */
  logOrCount(log: (unlogged: number) => void): void {
    const now = this.now();
    if (now - this.lastLoggedAt < this.minIntervalMs) {
      this.unlogged += 1;
      return;
    }
    this.lastLoggedAt = now;
    log(this.unlogged);
    this.unlogged = 0;
  }
}
