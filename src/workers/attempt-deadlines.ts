/** Decides when the leader must act on an attempt that must not run, or whose machine the cloud reclaims. */
import { MAX_CLOCK_DRIFT_RATIO } from '../base/clock.ts';
import type { Attempt } from './attempt.ts';

/**
 * Time from the decision to stop renewing a lease until it has expired, in addition to the lease's duration: a
 * heartbeat may just be being answered at the decision, and the monitor checks only at intervals.
 */
const LEASE_EXPIRY_MARGIN_MS = 5000;
/** A start in doubt must be resolved within this ratio of the time to cancel. */
const IN_DOUBT_TIMEOUT_RATIO = 1 / 4;

/** The settings that bound a cancellation, in milliseconds. */
export interface CancellationTimes {
  /** Time from the confirmation of a cancellation until every task of the job must be gone. */
  cancelMs: number;
  /** Duration of a machine's lease. */
  leaseMs: number;
}

/**
 * Whether the start of a task that must not run has been in doubt for so long that the machine must be terminated:
 * before the lease expires, nothing else is certain to prevent the task from running. An overloaded controller misses
 * answers that workers have sent, so while `overloaded`, only the start of a cancelled task justifies a termination.
 */
export function isStartInDoubtOverdue(
  attempt: Attempt,
  { cancelMs }: CancellationTimes,
  now: number,
  overloaded: boolean,
): boolean {
  if (attempt.stopGraceS === null || attempt.observed || !attempt.startInDoubt) return false;
  if (overloaded && !isCancelled(attempt)) return false;
  return now - attempt.assignedAt > cancelMs * IN_DOUBT_TIMEOUT_RATIO;
}

/**
 * Whether the lease of the machine must be left to expire from now on. A start in doubt of a cancelled task may be
 * executed as long as the worker's incarnation lasts. If the cloud hasn't terminated the machine by now, only the
 * expiry of its lease ensures that the task is gone within the time to cancel. Records on such an attempt when its
 * start was first found to be unwanted.
 */
export function mustAwaitLeaseExpiry(attempt: Attempt, times: CancellationTimes, now: number): boolean {
  if (!isCancelled(attempt) || attempt.observed || !attempt.startInDoubt || attempt.awaitingLeaseExpiry)
    return false;
  const maxUnwantedMs = times.cancelMs - times.leaseMs * (1 + MAX_CLOCK_DRIFT_RATIO) - LEASE_EXPIRY_MARGIN_MS;
  return attempt.trackUnwantedStart(now) >= maxUnwantedMs;
}

/** Whether the cloud reclaims the machine so soon that the task must save a checkpoint now, with `marginS` to spare. */
export function mustCheckpointNow(attempt: Attempt, marginS: number, now: number): boolean {
  const { reclaimAt } = attempt.machine;
  if (reclaimAt === null || attempt.stopGraceS !== null || !attempt.job) return false;
  const { checkpointIntervalS, checkpointDurationS } = attempt.job.spec;
  if (checkpointIntervalS <= 0) return false;
  return reclaimAt - now < (checkpointDurationS + marginS) * 1000;
}

function isCancelled(attempt: Attempt): boolean {
  return attempt.job?.pendingOutcome === 'cancelled';
}
