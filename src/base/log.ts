import { pino, type Logger } from 'pino';

export type { Logger };

/** Structured log lines on standard error. Synchronous: what was decided must be out before a kill. */
export function createLogger(level: string | undefined, node: string): Logger {
  const enabledLevel = level === 'debug' || level === 'error' ? level : 'info';
  return pino(
    { level: enabledLevel, base: { node }, timestamp: pino.stdTimeFunctions.epochTime },
    pino.destination({ fd: 2, sync: true }),
  );
}

/** Bounds how often an event is logged that others can cause at any rate. */
export class RateLimitedLog {
  private lastLoggedAt = -Infinity;
  private unlogged = 0;

  constructor(
    private readonly now: () => number,
    /** Least time between two log lines, in milliseconds. */
    private readonly minIntervalMs: number,
  ) {}

  /** Calls `log` with the number of events that were not logged since the last call, or counts this one. */
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
