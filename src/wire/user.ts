/**
 * Codec of the users' interface, and the only module that translates its wire names. On the wire a job's class is a
 * `batch`, its team a `crew`, its tasks `loaves`, a machine type an `oven`, a zone a `yard`, an image a `recipe`;
 * `borrowed` allows spot machines, `samePlace` asks for one zone and `apart` for a spread over zones. Times are in
 * seconds: `bakeS` the estimated run time, `proofS` the checkpoint interval, `coolS` the time that a checkpoint takes,
 * `dueS` the deadline.
 */
import * as z from 'zod/mini';
import { amount, decodeText, decodeValue, orNull, type Decoded } from './amounts.ts';

const MAX_TASKS = 100_000;
const JOB_ID = /^req-\d{1,20}$/;

/** `daemon` is an array whose tasks run until it is cancelled; only the users' checks on real processes send it. */
const SHAPES = { array: 'array', ensemble: 'gang', daemon: 'array' } as const;
const RANKS = { critical: 3, urgent: 2, standard: 1, low: 0 } as const;

/** A job's stage as its user sees it. */
type JobStage = 'pending' | 'running' | 'done' | 'cancelled';
const STAGES: Record<JobStage, string> = {
  pending: 'pending',
  running: 'running',
  done: 'done',
  cancelled: 'aborted',
};

const wireJobId = z.object({ uid: z.string() });

const wireJob = z.object({
  uid: z.string().check(z.regex(JOB_ID)),
  batch: z.string(),
  crew: z.string(),
  shape: z.enum(['array', 'ensemble', 'daemon']),
  rank: z.enum(['critical', 'urgent', 'standard', 'low']),
  loaves: z.int().check(z.minimum(1), z.maximum(MAX_TASKS)),
  cores: amount,
  accelerators: amount,
  memGb: amount,
  ovens: orNull(z.array(z.string())),
  yard: orNull(z.string()),
  samePlace: z.boolean(),
  apart: z.boolean(),
  borrowed: z.boolean(),
  recipe: z.string(),
  imageGb: amount,
  bakeS: amount,
  proofS: amount,
  coolS: amount,
  dueS: orNull(amount),
});

/** Larger amounts can't be meant, and sums over tasks and conversions to milliseconds would lose precision. */
const submittedAmount = amount.check(z.maximum(Number.MAX_SAFE_INTEGER));
const submittedName = z.string().check(z.minLength(1));

/**
 * The form of a new submission. It is stricter than the stored form, since a record that an earlier version accepted
 * must stay readable when later versions require more of new submissions.
 */
const wireSubmission = z.extend(wireJob, {
  batch: submittedName,
  crew: submittedName,
  recipe: submittedName,
  ovens: orNull(z.array(submittedName)),
  yard: orNull(submittedName),
  cores: submittedAmount,
  accelerators: submittedAmount,
  memGb: submittedAmount,
  imageGb: submittedAmount,
  bakeS: submittedAmount,
  proofS: submittedAmount,
  coolS: submittedAmount,
  dueS: orNull(submittedAmount),
});

/** A submission in its wire form, which is also its form in the key-value store. */
type StoredJob = z.infer<typeof wireJob>;

/** A decoded submission. Teams, machine types, zones and images are given by name. */
export interface JobRequest {
  id: string;
  className: string;
  team: string;
  gang: boolean;
  /** A larger value is more urgent. */
  priority: number;
  /** Number of tasks. */
  tasks: number;
  /** Per task, as are `gpus` and `memory`. */
  cpus: number;
  gpus: number;
  /** GB. */
  memory: number;
  /** Allowed machine types; null: all. */
  types: string[] | null;
  /** The requested zone; null: any. */
  zone: string | null;
  /** All tasks must run in the same zone. */
  oneZone: boolean;
  /** At most half of the tasks, rounded up, may be in one zone. */
  spread: boolean;
  /** Spot machines are allowed. */
  spot: boolean;
  image: string;
  imageGb: number;
  /** The owner's estimate of a task's run time, without the image fetch. */
  estimateS: number;
  /** Progress after which a running task saves a checkpoint; 0: it never saves. */
  checkpointIntervalS: number;
  /** Time that a task needs to save a checkpoint when it is stopped. */
  checkpointDurationS: number;
  /** Time from the submission until the job should be complete; null: no deadline. */
  deadlineS: number | null;
  stored: StoredJob;
}

function createJobRequest(stored: StoredJob): JobRequest {
  return {
    id: stored.uid,
    className: stored.batch,
    team: stored.crew,
    gang: SHAPES[stored.shape] === 'gang',
    priority: RANKS[stored.rank],
    tasks: stored.loaves,
    cpus: stored.cores,
    gpus: stored.accelerators,
    memory: stored.memGb,
    types: stored.ovens ?? null,
    zone: stored.yard ?? null,
    oneZone: stored.samePlace,
    spread: stored.apart,
    spot: stored.borrowed,
    image: stored.recipe,
    imageGb: stored.imageGb,
    estimateS: stored.bakeS,
    checkpointIntervalS: stored.proofS,
    checkpointDurationS: stored.coolS,
    deadlineS: stored.dueS ?? null,
    stored,
  };
}

function mapToJobRequest(decoded: Decoded<StoredJob>): Decoded<JobRequest> {
  return decoded.ok ? { ok: true, value: createJobRequest(decoded.value) } : decoded;
}

/** Decodes a user's submission; a failure names the first field that is missing or invalid. */
export function decodeJob(text: string): Decoded<JobRequest> {
  return mapToJobRequest(decodeText(wireSubmission, text));
}

/** Decodes the record of a job that was accepted, possibly by an earlier version. */
export function decodeStoredJob(raw: unknown): Decoded<JobRequest> {
  return mapToJobRequest(decodeValue(wireJob, raw));
}

/**
 * The job id in a body that may otherwise be malformed: the state of a known job is returned regardless of the rest of
 * the body.
 */
export function peekJobId(text: string): string | null {
  const decoded = decodeText(wireJobId, text);
  return decoded.ok && isJobId(decoded.value.uid) ? decoded.value.uid : null;
}

/** True if a text has the form of a job id. */
export function isJobId(id: string): boolean {
  return JOB_ID.test(id);
}

/** The status of a job as its user sees it: its stage, and the numbers of tasks that have completed and are running. */
export interface JobStatus {
  stage: JobStage;
  done: number;
  running: number;
}

/** Encodes the response to a submission, a cancellation or a poll of a job. */
export function encodeStatus(id: string, status: JobStatus): string {
  return JSON.stringify({
    uid: id,
    stage: STAGES[status.stage],
    done: status.done,
    running: status.running,
  });
}
