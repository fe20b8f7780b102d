import type { Job } from '../jobs/job.ts';
import type { Attempt } from '../workers/attempt.ts';
import type { Cluster, Gang } from './cluster.ts';
import type { Logger } from '../base/log.ts';

/** The tasks of a gang run together under one attempt number, and end together. */
export class Gangs {
  private checked = false;

  constructor(
    private readonly cluster: Cluster,
    private readonly log: Logger,
  ) {}

  join(job: Job, a: Attempt): Gang {
    let gang = this.cluster.gangs.get(job);
    if (!gang) {
      gang = { number: a.number, members: new Set(), ending: false };
      this.cluster.gangs.set(job, gang);
    }
    gang.members.add(a);
    return gang;
  }

  /**
   * A task of a gang that an earlier leader started. A run begins once all tasks of earlier runs are surely over, and
   * has a higher number: what is shown of a lower one has ended, or is old news, and must not end the run.
   */
  adopt(job: Job, a: Attempt): void {
    const gang = this.cluster.gangs.get(job);
    if (gang && a.number < gang.number) {
      this.cluster.stop(a, 0);
      return;
    }
    if (gang && a.number > gang.number) {
      this.log.info({ job: job.id }, 'a newer run of a gang: what is left of the older one is stopped');
      for (const member of gang.members) this.cluster.stop(member, 0);
      this.cluster.gangs.delete(job);
    }
    if (this.join(job, a).ending) this.cluster.stop(a, 0);
  }

  end(job: Job, gang: Gang): void {
    gang.ending = true;
    for (const member of gang.members) this.cluster.stop(member, 0);
    this.cluster.dirty = true;
    this.log.debug({ job: job.id }, 'gang ends');
  }

  /** A task is gone. Unless it is done, so is the run. */
  leave(job: Job, a: Attempt): void {
    const gang = this.cluster.gangs.get(job);
    if (!gang?.members.delete(a)) return;
    if (gang.members.size === 0) this.cluster.gangs.delete(job);
    else if (a.exitReason !== 'done' && !gang.ending) this.end(job, gang);
  }

  /** A gang of which tasks are missing after everything is known can't go on. */
  checkOnce(): void {
    if (this.checked || !this.cluster.allReconciled()) return;
    this.checked = true;
    for (const [job, gang] of this.cluster.gangs) {
      if (!gang.ending && gang.members.size < job.spec.tasks && job.pendingOutcome === null) {
        this.log.info({ job: job.id }, 'gang incomplete after the takeover');
        this.end(job, gang);
      }
    }
  }
}
