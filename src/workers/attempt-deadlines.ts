/** Decides when an attempt that must end, or that its machine can't hold any longer, takes a step of the leader. */
import { MAX_CLOCK_DRIFT_RATIO } from '../base/clock.ts';
import type { Attempt } from './attempt.ts';

/** From the end of lease renewals: a heartbeat that is being answered and the monitor's own rhythm included. */
const LEASE_EXPIRY_MARGIN_MS = 5000;
/** Share of the time to cancel within which a start in doubt must be resolved. */
const IN_DOUBT_SHARE = 1 / 4;

/** The settings that bound a cancellation, in milliseconds. */
export interface CancellationTimes {
  /** So long after the cancellation was confirmed every task of the job must be gone. */
  cancelMs: number;
  leaseMs: number;
}

/**
 * A start in doubt of a task that must not run: terminating the machine is the only sure end before the lease.
 * An overloaded controller misses answers; only a cancelled task is worth the machine then.
 */
export function isStartInDoubtOverdue(
  attempt: Attempt,
  { cancelMs }: CancellationTimes,
  now: number,
  overloaded: boolean,
): boolean {
  if (attempt.stopGraceS === null || attempt.observed || !attempt.inDoubt) return false;
  if (overloaded && !isCancelled(attempt)) return false;
  return now - attempt.assignedAt > cancelMs * IN_DOUBT_SHARE;
}

/**
 * A start in doubt of a cancelled task may be executed for as long as the worker's incarnation lasts. If the cloud
 * hasn't taken the machine back in time, only the expiry of its lease keeps the task within the time to cancel.
 */
export function mustAwaitLeaseExpiry(attempt: Attempt, times: CancellationTimes, now: number): boolean {
  if (!isCancelled(attempt) || attempt.observed || !attempt.inDoubt || attempt.awaitingLeaseExpiry)
    return false;
  const mostMs = times.cancelMs - times.leaseMs * (1 + MAX_CLOCK_DRIFT_RATIO) - LEASE_EXPIRY_MARGIN_MS;
  return attempt.trackUnwanted(now) >= mostMs;
}

/** The cloud reclaims the machine so soon that the task must save its checkpoint now, with `marginS` to spare. */
export function mustCheckpointNow(attempt: Attempt, marginS: number, now: number): boolean {
  const { reclaimedAt } = attempt.machine;
  if (reclaimedAt === null || attempt.stopGraceS !== null || !attempt.job) return false;
  const { checkpointIntervalS, checkpointDurationS } = attempt.job.spec;
  if (checkpointIntervalS <= 0) return false;
  return reclaimedAt - now < (checkpointDurationS + marginS) * 1000;
}

function isCancelled(attempt: Attempt): boolean {
  return attempt.job?.pendingOutcome === 'cancelled';
}
