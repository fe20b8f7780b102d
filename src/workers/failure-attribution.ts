/**
 * Decides whether a task that ended with `error` points to its job or to its machine.
 *
 * A job that was submitted with a mistake fails on every machine; a faulty machine fails the tasks of many jobs,
 * which succeed elsewhere. The rule:
 *
 * - A job is *failing* once it has failed on `FAILING_MACHINES` different machines and none of its tasks has ever
 *   succeeded. A failing job is evidence against no machine.
 * - A failure is *proof* against a machine if a task of the same job has succeeded on another machine, before or after
 *   it. A machine with proof from `FAULTY_JOBS` jobs is *faulty*: it is terminated.
 * - A failure is a *suspicion* while the job has failed on no other machine. A machine with proof or suspicion from
 *   `QUARANTINE_JOBS` jobs in all is *quarantined*: it takes no new tasks until `QUARANTINE_MS` after its last failure.
 * - Attempts after failures without a success between them are spaced by `retryDelayMs`. Failures of attempts that
 *   were in progress at the same time count as one.
 *
 * The history lives in the leader's memory. A new leader learns it anew, which costs a failing job a few attempts.
 */

/** Different machines on which a job without any success fails before the fault is taken to be its own. */
export const MIN_FAILING_MACHINES = 3;
/** Jobs whose failures prove a machine to be faulty. */
const MIN_FAULTY_JOBS = 2;
/** Jobs whose failures, proven or not, quarantine a machine. */
const MIN_QUARANTINE_JOBS = 3;
/** How long after its last failure a quarantined machine takes no new tasks, in milliseconds. */
const QUARANTINE_MS = 60_000;
/** Delay of the second retry, in milliseconds; the first one is made at once, on another machine. */
const RETRY_BASE_DELAY_MS = 2000;
/** Greatest delay between two attempts, in milliseconds. */
export const MAX_RETRY_DELAY_MS = 60_000;
/** Doublings of the delay that are ever counted; the greatest delay is reached long before. */
const MAX_RETRY_DOUBLINGS = 16;

/** What is remembered of one job's attempts. Machines are given by index. */
export interface JobFailures {
  /** Machines on which a task of it has ended with `error`. */
  readonly failedOn: Set<number>;
  /** A task of it was done under an earlier leader, on a machine that isn't known. */
  hasDurableSuccess: boolean;
  /** The first machine on which a task of it was done, or null. */
  succeededOn: number | null;
  /** Tasks were done on more than one machine. */
  succeededOnSeveral: boolean;
  /** Failures since the last success, those of simultaneous attempts counted once. */
  failureCount: number;
  /** Time of the last failure that was counted, in milliseconds on the steady clock. */
  lastFailureAt: number;
}

/** What is remembered of one machine's failures. */
export interface MachineFailures {
  /** Jobs that have failed on it. */
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
  /** When it ended. */
  readonly now: number;
}

/** What a machine's failures say of it: a quarantined one takes no new tasks, a faulty one is terminated. */
export type MachineHealth = 'healthy' | 'quarantined' | 'faulty';

/** The history of a job that has neither failed nor succeeded. */
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

/** The history of a machine on which nothing has failed. */
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

/** The job fails wherever it is tried. */
export function isFailing(job: JobFailures): boolean {
  const succeeded = job.hasDurableSuccess || job.succeededOn !== null;
  return !succeeded && job.failedOn.size >= MIN_FAILING_MACHINES;
}

/** How long the job's next attempt waits after its last failure, in milliseconds. */
export function computeRetryDelayMs(job: JobFailures): number {
  if (job.failureCount <= 1) return 0;
  const doublings = Math.min(MAX_RETRY_DOUBLINGS, job.failureCount - 2);
  return Math.min(MAX_RETRY_DELAY_MS, RETRY_BASE_DELAY_MS * 2 ** doublings);
}

function hasSucceededElsewhere(job: JobFailures, machineIndex: number): boolean {
  return job.succeededOnSeveral || (job.succeededOn !== null && job.succeededOn !== machineIndex);
}

/** Judges a machine by its failures, at `now` in milliseconds on the steady clock. */
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
  if (proven >= MIN_FAULTY_JOBS) return 'faulty';
  const quarantined =
    proven + suspicious >= MIN_QUARANTINE_JOBS && now - machine.lastFailureAt < QUARANTINE_MS;
  return quarantined ? 'quarantined' : 'healthy';
}
