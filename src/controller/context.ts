/** What all parts of a controller share. */
import type { Clock } from '../base/clock.ts';
import type { Logger } from '../base/log.ts';
import type { Options } from '../config/options.ts';
import type { Settings } from '../config/settings.ts';
import type { ErrorHandler } from './error-log.ts';
import type { Platform } from './platform.ts';

/** Settings, surroundings and life of one controller. */
export interface ControllerContext {
  settings: Settings;
  options: Options;
  log: Logger;
  platform: Platform;
  clock: Clock;
  /** Steady milliseconds. */
  now: () => number;
  pause: (ms: number) => Promise<void>;
  /** Runs a step after a pause. */
  after: (ms: number, run: () => void) => void;
  /** Puts a command in the controller's queue. */
  enqueue: (command: () => void) => void;
  /** Handles an error of work that nobody waits for. */
  onError: ErrorHandler;
  /** Aborted once the controller is stopped. */
  signal: AbortSignal;
}
