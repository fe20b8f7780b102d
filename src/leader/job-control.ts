/** Lookups and cancellations of single jobs, which controllers request on behalf of users. */
import type { LeaderLookup } from '../jobs/job-lookup.ts';
import type { JobStatus } from '../wire/user.ts';
import type { Cluster } from './cluster.ts';
import type { Completion } from './completion.ts';
import type { LeaderHost } from './context.ts';

/** Looks jobs up and cancels them, from the memory of the leadership alone. */
export class JobControl {
  constructor(
    private readonly cluster: Cluster,
    private readonly completion: Completion,
    private readonly host: LeaderHost,
  ) {}

  /** The job has a pending outcome, and its terminal record isn't known to be durable. */
  isOutcomeUnconfirmed(id: string): boolean {
    return this.cluster.jobs.get(id)?.isOutcomeUnconfirmed ?? false;
  }

  /** What this leader can say of a job as of now. */
  lookup(id: string): LeaderLookup {
    if (!this.cluster.recovered || !this.host.hasValidLease()) return { kind: 'unknown' };
    const job = this.cluster.jobs.get(id);
    if (!job) return { kind: 'unknown' };
    if (job.isOutcomeUnconfirmed && this.host.outcomeMayBeWritten(id)) return { kind: 'uncertain' };
    return { kind: 'found', status: job.status() };
  }

  /**
   * Cancels a job. Calls back once the outcome is durable, or with null when this leadership ends before that.
   * Returns false if the job is not known here; the callback is not called then.
   */
  cancel(id: string, onOutcome: (status: JobStatus | null) => void): boolean {
    const job = this.cluster.jobs.get(id);
    if (!this.cluster.recovered || !job || !this.host.hasValidLease()) return false;
    if (job.terminalState !== null) {
      onOutcome(job.status());
      return true;
    }
    job.onTerminal.push(() => {
      onOutcome(job.terminalState === null ? null : job.status());
    });
    if (job.pendingOutcome === null) this.completion.finish(job, 'cancelled');
    return true;
  }

  /** Calls all callbacks that wait for an outcome, since this leadership won't see it. */
  releaseWaiting(): void {
    for (const job of this.cluster.jobs.values()) {
      for (const notify of job.onTerminal.splice(0)) notify();
    }
  }
}
