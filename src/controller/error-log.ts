/** Handling of errors that no caller awaits: those of queued commands and of promises that run in the background. */
import { errorText } from '../base/error-text.ts';
import type { Logger } from '../base/log.ts';

/** Handles an otherwise uncaught error. */
export type ErrorHandler = (error: unknown) => void;

/** Returns a handler that logs an error with its stack, so that the error doesn't end the process. */
export function createErrorLogger(log: Logger): ErrorHandler {
  return (error) => {
    log.error({ error: errorText(error) }, 'internal error');
  };
}
