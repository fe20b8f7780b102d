import * as z from 'zod/mini';
import { amount, decodeText, decodeValue, orNull, type Decoded } from './amounts.ts';

const MAX_TASKS = 100_000;
const JOB_ID = /^req-\d{1,20}$/;

/** `daemon` is asked for by the users' checks on real processes: an array whose tasks run until it is cancelled. */
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

/** Larger amounts are no amounts of anything, and sums over tasks and milliseconds would lose their precision. */
const submittedAmount = amount.check(z.maximum(Number.MAX_SAFE_INTEGER));
const submittedName = z.string().check(z.minLength(1));

/**
 * What a new submission must hold. Stricter than the stored form: a record that an earlier version accepted must
 * stay readable, whatever later versions ask of new ones.
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

/** The user's request in the form in which it is also kept in the store. */
type StoredJob = z.infer<typeof wireJob>;

/** A job in the service's own terms; names are still names here. */
export interface JobRequest {
  id: string;
  className: string;
  team: string;
  gang: boolean;
  priority: number;
  tasks: number;
  cpus: number;
  gpus: number;
  memory: number;
  types: string[] | null;
  zone: string | null;
  oneZone: boolean;
  spread: boolean;
  spot: boolean;
  image: string;
  imageGb: number;
  estimateS: number;
  checkpointIntervalS: number;
  checkpointDurationS: number;
  deadlineS: number | null;
  stored: StoredJob;
}

function toRequest(w: StoredJob): JobRequest {
  return {
    id: w.uid,
    className: w.batch,
    team: w.crew,
    gang: SHAPES[w.shape] === 'gang',
    priority: RANKS[w.rank],
    tasks: w.loaves,
    cpus: w.cores,
    gpus: w.accelerators,
    memory: w.memGb,
    types: w.ovens ?? null,
    zone: w.yard ?? null,
    oneZone: w.samePlace,
    spread: w.apart,
    spot: w.borrowed,
    image: w.recipe,
    imageGb: w.imageGb,
    estimateS: w.bakeS,
    checkpointIntervalS: w.proofS,
    checkpointDurationS: w.coolS,
    deadlineS: w.dueS ?? null,
    stored: w,
  };
}

function mapped(decoded: Decoded<StoredJob>): Decoded<JobRequest> {
  return decoded.ok ? { ok: true, value: toRequest(decoded.value) } : decoded;
}

/** Decodes a user's submission; a failure names the first field that is missing or invalid. */
export function decodeJob(text: string): Decoded<JobRequest> {
  return mapped(decodeText(wireSubmission, text));
}

/** Decodes the record of a job that was accepted, possibly by an earlier version. */
export function decodeStoredJob(raw: unknown): Decoded<JobRequest> {
  return mapped(decodeValue(wireJob, raw));
}

/** The id of a body that may otherwise be off: a known job is answered with its state whatever else is sent. */
export function peekJobId(text: string): string | null {
  const decoded = decodeText(z.object({ uid: z.string() }), text);
  return decoded.ok && isJobId(decoded.value.uid) ? decoded.value.uid : null;
}

/** True if a text has the form of a job id. */
export function isJobId(id: string): boolean {
  return JOB_ID.test(id);
}

/** What a user is told of a job: its stage, and how many of its tasks have completed and are running. */
export interface JobStatus {
  stage: JobStage;
  done: number;
  running: number;
}

/** Encodes the answer to a question for a job. */
export function encodeStatus(id: string, status: JobStatus): string {
  return JSON.stringify({
    uid: id,
    stage: STAGES[status.stage],
    done: status.done,
    running: status.running,
  });
}
