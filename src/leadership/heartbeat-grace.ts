import { DRIFT } from '../base/clock.ts';

/** Part of the time that a cancellation leaves beside the workers' lease. The rest covers what is not foreseen. */
const SHARE = 0.6;

export interface CancellationTimes {
  /** Within this time of a confirmed cancellation every task of the job must be gone, in s. */
  cancelS: number;
  /** A worker kills its tasks this long after it sent its last answered report, in s. */
  leaseS: number;
}

/**
 * How long a leader that is no longer sure of its lease answers reports, in ms. Whoever confirms a cancellation
 * without it does so after that lease; the last report that it answers was sent within the grace of that, and the
 * worker's lease runs from there: grace + lease <= cancel, each by a clock that may be slow (docs/safety.md, "From
 * a confirmed cancellation to the last task gone").
 */
export function heartbeatGraceMs(wantedS: number, times: CancellationTimes): number {
  const leftS = times.cancelS / (1 + DRIFT) - times.leaseS;
  return Math.max(0, Math.min(wantedS, leftS * SHARE)) * 1000;
}

/** The longest time from a confirmed cancellation until its last task is gone, in s. */
export function cancellationBoundS(graceMs: number, times: CancellationTimes): number {
  return (graceMs / 1000 + times.leaseS) * (1 + DRIFT);
}

/** False: the settings give tasks less time after a cancellation than a worker that reaches nobody keeps them. */
export function cancellationCanHold(times: CancellationTimes): boolean {
  return cancellationBoundS(0, times) <= times.cancelS;
}
