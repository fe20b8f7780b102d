/**
 * Encoding and decoding of the job records in the store. Earlier and later versions read these records, so their fields
 * never change. Every decoder returns null for a value that is not a record of its kind.
 */
import * as z from 'zod/mini';
import { decodeStoredJob, type JobRequest, type JobStatus } from '../wire/user.ts';

/** `at`: wall-clock time of acceptance in ms. `job`: what the user submitted. */
const openRecordSchema = z.object({ at: z.number(), job: z.unknown() });
/** `s`: the outcome. `n`: number of tasks that are done. */
const terminalRecordSchema = z.object({ s: z.enum(['done', 'cancelled']), n: z.int() });
/** `b`: job ids with their start watermarks. */
const startWatermarksRecordSchema = z.object({
  b: z.array(z.tuple([z.string(), z.int().check(z.minimum(0))])),
});
/** `b`: the completion bitmap in base64. */
const chunkRecordSchema = z.object({ b: z.string() });

/** The record of an accepted job. `createdAtWallMs`: wall-clock time of acceptance. */
export function encodeOpenRecord(job: JobRequest, createdAtWallMs: number): unknown {
  return { at: createdAtWallMs, job: job.stored };
}

/** The job in an open record, and the wall-clock time of its acceptance. */
export function decodeOpenRecord(value: unknown): { job: JobRequest; createdAtWallMs: number } | null {
  const record = openRecordSchema.safeParse(value);
  if (!record.success) return null;
  const job = decodeStoredJob(record.data.job);
  return job.ok ? { job: job.value, createdAtWallMs: record.data.at } : null;
}

/** The record of a terminal state. `done`: number of tasks that are done. */
export function encodeTerminalRecord(stage: 'done' | 'cancelled', done: number): unknown {
  return { s: stage, n: done };
}

/** The status in a terminal record; null for the record of an open job. */
export function decodeTerminalRecord(value: unknown): JobStatus | null {
  const record = terminalRecordSchema.safeParse(value);
  return record.success ? { stage: record.data.s, done: record.data.n, running: 0 } : null;
}

/** A page of start watermarks by job id: no leader has ever started a task of the job from this number on. */
export function encodeStartWatermarks(entries: Iterable<readonly [string, number]>): unknown {
  return { b: [...entries] };
}

/** The entries of a page of start watermarks. */
export function decodeStartWatermarks(value: unknown): [string, number][] | null {
  const record = startWatermarksRecordSchema.safeParse(value);
  return record.success ? record.data.b : null;
}

/** One chunk of a job's completion bitmap. */
export function encodeChunk(bits: Uint8Array): unknown {
  return { b: Buffer.from(bits).toString('base64') };
}

/** The bits of a chunk. Damaged base64 is decoded as far as possible. */
export function decodeChunk(value: unknown): Uint8Array | null {
  const record = chunkRecordSchema.safeParse(value);
  return record.success ? Buffer.from(record.data.b, 'base64') : null;
}
