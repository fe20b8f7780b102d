/** Cache of terminal states that this controller has recently learned of. */
import type { JobStatus } from '../wire/user.ts';

/**
 * Bounded cache of terminal states; the least recently stored one is evicted first. A terminal state never changes, so
 * any controller may answer with a cached one. The store holds the terminal states of all jobs.
 */
export class TerminalStateCache {
  private readonly entries = new Map<string, JobStatus>();

  /** `maxEntries`: number of jobs, from the option `users.final_cache`. */
  constructor(private readonly maxEntries: number) {}

  get(id: string): JobStatus | undefined {
    return this.entries.get(id);
  }

  put(id: string, status: JobStatus): void {
    // A Map keeps the insertion order: deleting the entry first makes it the newest.
    this.entries.delete(id);
    this.entries.set(id, status);
    if (this.entries.size > this.maxEntries) {
      const oldest = this.entries.keys().next();
      if (!oldest.done) this.entries.delete(oldest.value);
    }
  }
}
