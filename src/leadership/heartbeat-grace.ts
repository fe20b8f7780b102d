/** How long a leader may answer heartbeats after its lease has expired, derived from the bound on cancellations. */
import { MAX_CLOCK_DRIFT_RATIO } from '../base/clock.ts';

/** Share of the cancellation time beyond the workers' lease that the grace may use; the rest is a safety reserve. */
const GRACE_SHARE = 0.6;

/** The settings that limit the grace. */
export interface CancellationTimes {
  /** Time after a confirmed cancellation within which every task of the job must have ended, in s. */
  cancelS: number;
  /** A worker kills its tasks this long after it sent the last heartbeat that was answered, in s. */
  leaseS: number;
}

/**
 * How long a leader answers heartbeats after its lease has expired, in ms.
 *
 * Another controller can confirm a cancellation without the leader only after the leader's lease has expired. The last
 * heartbeat that the leader then answers is sent at most the grace later, and the worker's lease runs from the sending
 * of that heartbeat. So the grace plus the worker's lease must not exceed the cancellation time, each measured by a
 * clock that may be slow (docs/safety.md, "From a confirmed cancellation to the last task gone").
 */
export function computeHeartbeatGraceMs(configuredS: number, times: CancellationTimes): number {
  const availableS = times.cancelS / (1 + MAX_CLOCK_DRIFT_RATIO) - times.leaseS;
  return Math.max(0, Math.min(configuredS, availableS * GRACE_SHARE)) * 1000;
}

/** The longest time from a confirmed cancellation until the last task of the job has ended, in s. */
export function computeCancellationBoundS(graceMs: number, times: CancellationTimes): number {
  return (graceMs / 1000 + times.leaseS) * (1 + MAX_CLOCK_DRIFT_RATIO);
}

/**
 * Whether the cancellation time can be met even without a grace. False: a worker that reaches no controller keeps its
 * tasks for longer than the settings allow after a cancellation.
 */
export function canMeetCancellationTime(times: CancellationTimes): boolean {
  return computeCancellationBoundS(0, times) <= times.cancelS;
}
