/** Results of looking a job up, and how long they may be told. */
import type { JobStatus } from '../wire/user.ts';

/** What a leader can say of a job from its memory alone, with no read of the state service. */
export type LeaderLookup =
  /** Certain now: open with no outcome under way, or terminal with a durable terminal record. */
  | { kind: 'found'; status: JobStatus }
  /**
   * The job's terminal record may be in the state service, but that isn't confirmed. Another controller may have read
   * the record and told a user, so the job counts neither as open nor as terminal.
   */
  | { kind: 'uncertain' }
  /** Not in memory, or the lease isn't valid. Says nothing about whether the job exists. */
  | { kind: 'unknown' };

/** What a controller found out about a job on behalf of a user. */
export type JobLookup =
  | { kind: 'found'; status: JobStatus }
  /** The state service holds no record of the job. */
  | { kind: 'notFound' }
  /** Neither can be said now; the user is refused and asks again. */
  | { kind: 'unavailable' };

/**
 * Longest time in ms between the start of a read and the answer that rests on it, unless the answer is a terminal
 * state. A later answer is refused: in the meantime another controller may have told that the job was accepted or
 * reached its terminal state. Shorter than the 2 s for which a user waits for the answer to a poll.
 */
export const MAX_LOOKUP_AGE_MS = 1500;

/** Whether the job has ended for good: a terminal state never changes. */
export function isTerminal(status: JobStatus): boolean {
  return status.stage === 'done' || status.stage === 'cancelled';
}

/** The lookup itself if it may still be told, `unavailable` if it may have been overtaken. */
export function discardIfStale(lookup: JobLookup, ageMs: number): JobLookup {
  if (ageMs <= MAX_LOOKUP_AGE_MS) return lookup;
  return lookup.kind === 'found' && isTerminal(lookup.status) ? lookup : { kind: 'unavailable' };
}
