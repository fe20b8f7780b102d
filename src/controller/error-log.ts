/** Errors of work that nobody waits for: a command of the queue, or a promise that runs in the background. */
import { errorText } from '../base/error-text.ts';
import type { Logger } from '../base/log.ts';

/** Handles an error that nothing else has caught. */
export type ErrorHandler = (error: unknown) => void;

/** Returns a handler that logs errors with their stack, rather than ending all other work. */
export function errorLogger(log: Logger): ErrorHandler {
  return (error) => {
    log.error({ error: errorText(error) }, 'internal error');
  };
}
