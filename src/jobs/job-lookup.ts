/** Results of job lookups, and for how long they may be used in answers. */
import type { JobStatus } from '../wire/user.ts';

/** What a leader knows of a job from its memory alone, without a read of the store. */
export type LeaderLookup =
  /** Certain: either no terminal record of the job can be in the store, or its terminal record is durable. */
  | { kind: 'found'; status: JobStatus }
  /**
   * The job's terminal record may be in the store, but that isn't confirmed. Another controller may have read the
   * record and reported it to a user, so the job counts neither as open nor as terminal.
   */
  | { kind: 'uncertain' }
  /** Not in memory, or the leader's lease isn't valid. The job may exist all the same. */
  | { kind: 'unknown' };

/** Result of a controller's lookup of a job on behalf of a user. */
export type JobLookup =
  | { kind: 'found'; status: JobStatus }
  /** The store holds no record of the job. */
  | { kind: 'notFound' }
  /** The job's state can't be determined now; the request is refused, and the user retries. */
  | { kind: 'unavailable' };

/**
 * Maximum time in ms between the start of a read and an answer that is based on it; terminal states are exempt. A later
 * answer is refused, because meanwhile another controller may have reported that the job was accepted or reached its
 * terminal state. Shorter than the 2 s for which a user waits for the answer to a poll.
 */
export const MAX_LOOKUP_AGE_MS = 1500;

/** Whether the job has ended; a terminal state never changes. */
export function isTerminal(status: JobStatus): boolean {
  return status.stage === 'done' || status.stage === 'cancelled';
}

/** Returns the lookup, or `unavailable` if it is too old and not terminal. `ageMs`: time since the lookup began. */
export function discardIfStale(lookup: JobLookup, ageMs: number): JobLookup {
  if (ageMs <= MAX_LOOKUP_AGE_MS) return lookup;
  return lookup.kind === 'found' && isTerminal(lookup.status) ? lookup : { kind: 'unavailable' };
}
