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
