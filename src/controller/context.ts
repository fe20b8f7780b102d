/** The context that all parts of a controller share. */
import type { Clock } from '../base/clock.ts';
import type { Logger } from '../base/log.ts';
import type { Options } from '../config/options.ts';
import type { Settings } from '../config/settings.ts';
import type { ErrorHandler } from './error-log.ts';
import type { Platform } from './platform.ts';

/** The settings, platform, timers, command queue and stop signal of one controller. */
export interface ControllerContext {
  settings: Settings;
  options: Options;
  log: Logger;
  platform: Platform;
  clock: Clock;
  /** Steady milliseconds. */
  now: () => number;
  pause: (ms: number) => Promise<void>;
  /** Runs a callback after a delay. */
  after: (ms: number, run: () => void) => void;
  /** Adds a command to the controller's command queue. */
  enqueue: (command: () => void) => void;
  /** Handles an error of background work that no caller awaits. */
  onError: ErrorHandler;
  /** Aborted when the controller is stopped. */
  signal: AbortSignal;
}
