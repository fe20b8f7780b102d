/** Gang scheduling: the tasks of a gang run together under one attempt number, and end together. */
import type { Logger } from '../base/log.ts';
import type { Job } from '../jobs/job.ts';
import type { Attempt } from '../workers/attempt.ts';
import type { Cluster, Gang } from './cluster.ts';

/** The gang runs of the cluster. */
export class Gangs {
  private completenessChecked = false;

  constructor(
    private readonly cluster: Cluster,
    private readonly log: Logger,
  ) {}

  /** Adds an attempt to the current run of its job, or begins a run with it. */
  join(job: Job, attempt: Attempt): Gang {
    let gang = this.cluster.gangs.get(job);
    if (!gang) {
      gang = { number: attempt.number, members: new Set(), ending: false };
      this.cluster.gangs.set(job, gang);
    }
    gang.members.add(attempt);
    return gang;
  }

  /**
   * Adds an attempt that an earlier leader started. A run begins once all tasks of earlier runs have ended for
   * certain, and has a higher number: an attempt with a lower one has ended, or is out of date, and must not end the
   * run.
   */
  adopt(job: Job, attempt: Attempt): void {
    const gang = this.cluster.gangs.get(job);
    if (gang && attempt.number < gang.number) {
      this.cluster.stop(attempt, 0);
      return;
    }
    if (gang && attempt.number > gang.number) {
      this.log.info({ job: job.id }, 'older gang run superseded');
      this.stopMembers(gang);
      this.cluster.gangs.delete(job);
    }
    if (this.join(job, attempt).ending) this.cluster.stop(attempt, 0);
  }

  /** Stops the run; the next one begins once all its members are released. */
  end(job: Job, gang: Gang): void {
    gang.ending = true;
    this.stopMembers(gang);
    this.cluster.dirty = true;
    this.log.debug({ job: job.id }, 'gang stopping');
  }

  private stopMembers(gang: Gang): void {
    for (const member of gang.members) this.cluster.stop(member, 0);
  }

  /** A member is released. Unless its task is done, the run can't go on. */
  leave(job: Job, attempt: Attempt): void {
    const gang = this.cluster.gangs.get(job);
    if (!gang?.members.delete(attempt)) return;
    if (gang.members.size === 0) this.cluster.gangs.delete(job);
    else if (attempt.exitReason !== 'done' && !gang.ending) this.end(job, gang);
  }

  /** Ends the runs that lack members once all machines are reconciled: no more of their members will be found. */
  endIncompleteRuns(): void {
    if (this.completenessChecked || !this.cluster.allReconciled()) return;
    this.completenessChecked = true;
    for (const [job, gang] of this.cluster.gangs) {
      if (!gang.ending && gang.members.size < job.spec.tasks && job.pendingOutcome === null) {
        this.log.info({ job: job.id }, 'gang incomplete after recovery');
        this.end(job, gang);
      }
    }
  }
}
