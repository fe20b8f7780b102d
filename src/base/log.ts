import { pino, type Logger } from 'pino';

export type { Logger };

/** Structured log lines on standard error. Synchronous: what was decided must be out before a kill. */
export function makeLogger(level: string | undefined, name: string): Logger {
  const wanted = level === 'debug' || level === 'error' ? level : 'info';
  return pino(
    { level: wanted, base: { node: name }, timestamp: pino.stdTimeFunctions.epochTime },
    pino.destination({ fd: 2, sync: true }),
  );
}

/** Bounds how often an event is logged that others can cause at any rate. */
export class CountedLog {
  private loggedAt = -Infinity;
  private unlogged = 0;

  constructor(
    private readonly now: () => number,
    /** Least time between two log lines, in milliseconds. */
    private readonly everyMs: number,
  ) {}

  /** Calls `log` with the number of events that were not logged since the last call, or counts this one. */
  note(log: (unlogged: number) => void): void {
    const now = this.now();
    if (now - this.loggedAt < this.everyMs) {
      this.unlogged += 1;
      return;
    }
    this.loggedAt = now;
    log(this.unlogged);
    this.unlogged = 0;
  }
}
