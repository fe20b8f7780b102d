import type { JobStatus } from '../wire/user.ts';

/** What a leader can say of a job from its memory alone, with no read of the state service. */
export type LeaderLookup =
  /** Certain now: open and not about to end, or over with a durable final record. */
  | { kind: 'status'; status: JobStatus }
  /**
   * The job's final record may be in the state service, but that isn't confirmed. Another controller may have read
   * the record and told a user, so the job counts neither as open nor as over.
   */
  | { kind: 'uncertain' }
  /** Not in memory, or the leadership isn't certain. Says nothing about whether the job exists. */
  | { kind: 'unknown' };

/** What a controller found out about a job on behalf of a user. */
export type JobLookup =
  | { kind: 'status'; status: JobStatus }
  /** The state service holds no record of the job. */
  | { kind: 'missing' }
  /** Neither can be said now; the user is refused and asks again. */
  | { kind: 'unable' };

/**
 * Longest time in ms between the start of a read and the answer that rests on it, unless the answer is final. A
 * later answer is refused: in the meantime another controller may have told that the job was accepted or is over.
 * Shorter than the 2 s for which a user waits for the answer to a poll.
 */
export const MAX_LOOKUP_AGE_MS = 1500;

export function isTerminal(status: JobStatus): boolean {
  return status.stage === 'done' || status.stage === 'cancelled';
}

/** The finding itself if it may still be told, `unable` if it may have been overtaken. */
export function unlessStale(finding: JobLookup, ageMs: number): JobLookup {
  if (ageMs <= MAX_LOOKUP_AGE_MS) return finding;
  return finding.kind === 'status' && isTerminal(finding.status) ? finding : { kind: 'unable' };
}
