/**
 * Attributes the failures of tasks that ended with `error` to their job or to their machine.
 *
 * A job that was submitted with a mistake fails on every machine. On a faulty machine the tasks of many jobs fail, and
 * succeed on other machines. The rules:
 *
 * - A job is *failing* once it has failed on `MIN_MACHINES_FOR_FAILING` different machines and none of its tasks has
 *   ever succeeded. The failures of a failing job are no evidence against a machine.
 * - A failure is *proof* against a machine if a task of the same job has succeeded on another machine, before or after
 *   it. A machine with proof from `MIN_JOBS_FOR_FAULTY` jobs is *faulty*: it is terminated.
 * - A failure is a *suspicion* while the job has failed on no other machine. A machine with proof or suspicion from
 *   `MIN_JOBS_FOR_QUARANTINE` jobs in all is *quarantined*: it takes no new tasks until `QUARANTINE_MS` after its last
 *   failure.
 * - A job's retries wait for `computeRetryDelayMs`, which grows with each failure since the job's last success.
 *   Failures of attempts that were in progress at the same time count as one.
 *
 * The history is kept in the leader's memory. Apart from `hasDurableSuccess`, a new leader starts without it, which
 * costs a failing job a few attempts.
 */

/** A job without any success is failing once it has failed on this many different machines. */
export const MIN_MACHINES_FOR_FAILING = 3;
/** A machine is faulty once the failures of this many jobs are proof against it. */
const MIN_JOBS_FOR_FAULTY = 2;
/** A machine is quarantined once the failures of this many jobs are proof or suspicion against it. */
const MIN_JOBS_FOR_QUARANTINE = 3;
/** How long after its last failure a quarantined machine takes no new tasks. */
const QUARANTINE_MS = 60_000;
/** Delay of the second retry; the first retry is made at once, on another machine. */
const RETRY_BASE_DELAY_MS = 2000;
/** Greatest delay between a failure and the retry. */
export const MAX_RETRY_DELAY_MS = 60_000;
/** Greatest number of doublings of the delay that are computed; the greatest delay is reached after fewer. */
const MAX_RETRY_DOUBLINGS = 16;

/** The failures and successes of one job's attempts. Machines are given by index. */
export interface JobFailures {
  /** Machines on which a task of the job has ended with `error`. */
  readonly failedOn: Set<number>;
  /**
   * The store records that a task of the job is done. It doesn't record the machine, so this is all that a new leader
   * knows of successes under earlier leaders.
   */
  hasDurableSuccess: boolean;
  /** The first machine on which a task of the job was done, or null. */
  succeededOn: number | null;
  /** Tasks of the job were done on more than one machine. */
  succeededOnSeveral: boolean;
  /** Failures since the last success; those of attempts that were in progress at the same time count as one. */
  failureCount: number;
  /** Time of the last failure that was counted, in milliseconds on the steady clock. */
  lastFailureAt: number;
}

/** The failures of tasks on one machine. */
export interface MachineFailures {
  /** Jobs of which a task has failed on the machine. */
  readonly jobs: Set<JobFailures>;
  /** Time of the last failure, in milliseconds on the steady clock. */
  lastFailureAt: number;
}

/** One attempt that ended with `error`. Times are in milliseconds on the steady clock. */
export interface TaskFailure {
  readonly job: JobFailures;
  readonly machine: MachineFailures;
  readonly machineIndex: number;
  /** When the attempt was assigned to the machine. */
  readonly assignedAt: number;
  /** When the attempt ended. */
  readonly now: number;
}

/** State of a machine by its failures: a quarantined machine takes no new tasks, a faulty one is terminated. */
export type MachineHealth = 'healthy' | 'quarantined' | 'faulty';

/** Creates the history of a job that has neither failed nor succeeded. */
export function createJobFailures(): JobFailures {
  return {
    failedOn: new Set(),
    hasDurableSuccess: false,
    succeededOn: null,
    succeededOnSeveral: false,
    failureCount: 0,
    lastFailureAt: -Infinity,
  };
}

/** Creates the history of a machine on which no task has failed. */
export function createMachineFailures(): MachineFailures {
  return { jobs: new Set(), lastFailureAt: -Infinity };
}

/** Records that an attempt ended with `error`. */
export function recordFailure({ job, machine, machineIndex, assignedAt, now }: TaskFailure): void {
  job.failedOn.add(machineIndex);
  if (assignedAt >= job.lastFailureAt) {
    job.failureCount += 1;
    job.lastFailureAt = now;
  }
  machine.jobs.add(job);
  machine.lastFailureAt = now;
}

/** Records that a task of the job was done on this machine. */
export function recordSuccess(job: JobFailures, machineIndex: number): void {
  job.failureCount = 0;
  if (job.succeededOn === null) job.succeededOn = machineIndex;
  else if (job.succeededOn !== machineIndex) job.succeededOnSeveral = true;
}

/** Whether the job's failures are attributed to the job itself, as it fails on every machine. */
export function isFailing(job: JobFailures): boolean {
  const succeeded = job.hasDurableSuccess || job.succeededOn !== null;
  return !succeeded && job.failedOn.size >= MIN_MACHINES_FOR_FAILING;
}

/** Computes how long the job's next attempt waits after its last failure, in milliseconds. */
export function computeRetryDelayMs(job: JobFailures): number {
  if (job.failureCount <= 1) return 0;
  const doublings = Math.min(MAX_RETRY_DOUBLINGS, job.failureCount - 2);
  return Math.min(MAX_RETRY_DELAY_MS, RETRY_BASE_DELAY_MS * 2 ** doublings);
}

function hasSucceededElsewhere(job: JobFailures, machineIndex: number): boolean {
  return job.succeededOnSeveral || (job.succeededOn !== null && job.succeededOn !== machineIndex);
}

/** Assesses a machine by its failures. `now`: in milliseconds on the steady clock. */
export function assessMachineHealth(
  machine: MachineFailures,
  machineIndex: number,
  now: number,
): MachineHealth {
  let proven = 0;
  let suspicious = 0;
  for (const job of machine.jobs) {
    if (hasSucceededElsewhere(job, machineIndex)) proven += 1;
    else if (job.failedOn.size === 1) suspicious += 1;
  }
  if (proven >= MIN_JOBS_FOR_FAULTY) return 'faulty';
  const quarantined =
    proven + suspicious >= MIN_JOBS_FOR_QUARANTINE && now - machine.lastFailureAt < QUARANTINE_MS;
  return quarantined ? 'quarantined' : 'healthy';
}
