import type { JobStatus } from '../wire/user.ts';

/** Final states seen lately. They never change, so any node may tell them; the store keeps the rest. */
export class TerminalStateCache {
  private readonly entries = new Map<string, JobStatus>();

  constructor(private readonly max: number) {}

  get(id: string): JobStatus | undefined {
    return this.entries.get(id);
  }

  put(id: string, status: JobStatus): void {
    this.entries.delete(id);
    this.entries.set(id, status);
    if (this.entries.size > this.max) {
      const oldest = this.entries.keys().next();
      if (!oldest.done) this.entries.delete(oldest.value);
    }
  }
}
