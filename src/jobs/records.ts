import * as z from 'zod/mini';
import { decodeStoredJob, type JobRequest, type JobStatus } from '../wire/user.ts';

const openRecord = z.object({ at: z.number(), job: z.unknown() });
const terminalRecord = z.object({ s: z.enum(['done', 'cancelled']), n: z.int() });
const startWatermarksRecord = z.object({ b: z.array(z.tuple([z.string(), z.int().check(z.minimum(0))])) });
const chunkRecord = z.object({ b: z.string() });

export function openValue(job: JobRequest, wall: number): unknown {
  return { at: wall, job: job.stored };
}

export function readOpen(value: unknown): { job: JobRequest; createdWall: number } | null {
  const record = openRecord.safeParse(value);
  if (!record.success) return null;
  const job = decodeStoredJob(record.data.job);
  return job.ok ? { job: job.value, createdWall: record.data.at } : null;
}

export function terminalValue(stage: 'done' | 'cancelled', done: number): unknown {
  return { s: stage, n: done };
}

/** The state that a final record tells; null for a record of an open job. */
export function readTerminal(value: unknown): JobStatus | null {
  const record = terminalRecord.safeParse(value);
  return record.success ? { stage: record.data.s, done: record.data.n, running: 0 } : null;
}

/** For each job: its tasks from this one on have never been started by anybody. */
export function startWatermarksValue(entries: Iterable<readonly [string, number]>): unknown {
  return { b: [...entries] };
}

export function readStartWatermarks(value: unknown): [string, number][] | null {
  const record = startWatermarksRecord.safeParse(value);
  return record.success ? record.data.b : null;
}

export function chunkValue(bits: Uint8Array): unknown {
  return { b: Buffer.from(bits).toString('base64') };
}

export function readChunk(value: unknown): Uint8Array | null {
  const record = chunkRecord.safeParse(value);
  return record.success ? Buffer.from(record.data.b, 'base64') : null;
}
