/** Terminal states that this node has learnt of lately. */
import type { JobStatus } from '../wire/user.ts';

/**
 * Bounded cache of terminal states, the least recently stored evicted first. They never change, so any node may tell
 * them; the store keeps the rest.
 */
export class TerminalStateCache {
  private readonly entries = new Map<string, JobStatus>();

  /** `maxEntries`: number of jobs, from the option `users.final_cache`. */
  constructor(private readonly maxEntries: number) {}

  get(id: string): JobStatus | undefined {
    return this.entries.get(id);
  }

  put(id: string, status: JobStatus): void {
    // A map keeps the order of insertion: deleted first, the entry becomes the newest.
    this.entries.delete(id);
    this.entries.set(id, status);
    if (this.entries.size > this.maxEntries) {
      const oldest = this.entries.keys().next();
      if (!oldest.done) this.entries.delete(oldest.value);
    }
  }
}
