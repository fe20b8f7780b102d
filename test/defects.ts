/** Detects log lines that report a defect of the controller itself, which no fault of its environment explains. */
import { pino } from 'pino';
import type { Logger } from '../src/base/log.ts';

/** Messages of errors that only a defect of the controller can cause. */
const DEFECT_MESSAGES = new Set(['internal error', 'direct request failed']);

/** Whether a log line reports a defect. */
export function isDefectEntry(entry: { msg?: string }): boolean {
  return entry.msg !== undefined && DEFECT_MESSAGES.has(entry.msg);
}

/** Creates a logger that keeps only the lines that report defects. */
export function createDefectRecorder(): { logger: Logger; defects: string[] } {
  const defects: string[] = [];
  const write = (line: string): void => {
    if (isDefectEntry(JSON.parse(line) as { msg?: string })) defects.push(line);
  };
  return { logger: pino({ level: 'error' }, { write }), defects };
}
