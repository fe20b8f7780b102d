/** How long a leader whose lease has expired still answers heartbeats, by what a confirmed cancellation promises. */
import { DRIFT } from '../base/clock.ts';

/** Part of the time that a cancellation leaves beside the workers' lease. The rest covers what is not foreseen. */
const GRACE_SHARE = 0.6;

/** The settings that bound the grace. */
export interface CancellationTimes {
  /** Within this time of a confirmed cancellation every task of the job must be gone, in s. */
  cancelS: number;
  /** A worker kills its tasks this long after it sent its last answered heartbeat, in s. */
  leaseS: number;
}

/**
 * How long a leader answers heartbeats after its lease expired, in ms. Whoever confirms a cancellation without that
 * leader does so after its lease; the last heartbeat that the leader answers was sent within the grace of that, and
 * the worker's lease runs from there: grace + lease <= cancel, each by a clock that may be slow (docs/safety.md, "From
 * a confirmed cancellation to the last task gone").
 */
export function computeHeartbeatGraceMs(configuredS: number, times: CancellationTimes): number {
  const availableS = times.cancelS / (1 + DRIFT) - times.leaseS;
  return Math.max(0, Math.min(configuredS, availableS * GRACE_SHARE)) * 1000;
}

/** The longest time from a confirmed cancellation until its last task is gone, in s. */
export function computeCancellationBoundS(graceMs: number, times: CancellationTimes): number {
  return (graceMs / 1000 + times.leaseS) * (1 + DRIFT);
}

/** False: the settings give tasks less time after a cancellation than a worker that reaches nobody keeps them. */
export function canMeetCancellationTime(times: CancellationTimes): boolean {
  return computeCancellationBoundS(0, times) <= times.cancelS;
}
