/** Finds out whether a controller has logged a defect of its own, which no trouble of its surroundings explains. */
import { pino } from 'pino';
import type { Logger } from '../src/base/log.ts';

/** Messages about errors that only a defect of the controller can bring about. */
const DEFECT_MESSAGES = new Set(['internal error', 'direct request failed']);

/** True for a line of the log that tells of a defect. */
export function tellsOfDefect(entry: { msg?: string }): boolean {
  return entry.msg !== undefined && DEFECT_MESSAGES.has(entry.msg);
}

/** A logger that keeps only the lines that tell of defects. */
export function defectRecorder(): { logger: Logger; defects: string[] } {
  const defects: string[] = [];
  const write = (line: string): void => {
    if (tellsOfDefect(JSON.parse(line) as { msg?: string })) defects.push(line);
  };
  return { logger: pino({ level: 'error' }, { write }), defects };
}
