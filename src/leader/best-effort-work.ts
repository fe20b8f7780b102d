import { required } from '../base/required.ts';
import type { Job } from '../jobs/job.ts';
import type { BestEffortTask } from '../scheduling/idle-work.ts';
import { countFittingTasks, resourcesOf, allocate, type Resources } from '../scheduling/snapshot.ts';
import type { Machine } from '../workers/machine.ts';
import { slackOf } from './job-slack.ts';
import { OUTLIVED_SHARE, type SnapshotDeps } from './snapshot-sources.ts';

/** Work that nobody waits for may cost as much again after each such time. */
const IDLE_PATIENCE_MS = 600_000;
/** Time to spare that a job must have beside its whole run time for its tasks to be stopped for their machine's price. */
const STOPPABLE_SLACK_S = 60;

/** Work of teams without a guarantee: what it is worth, and what of it can be stopped for its machine's price. */
export class BestEffortWork {
  constructor(private readonly deps: SnapshotDeps) {}

  /** Work of the lowest rank of a team without a guarantee. */
  isBestEffort(job: Job): boolean {
    const team = required(this.deps.teams[job.team], 'team of the job');
    return job.spec.priority === 0 && team.cpus === 0 && team.gpus === 0;
  }

  /**
   * The most that a machine may cost an hour for each task of work that nobody waits for. The bound rises with the
   * job's age, so that it begins at last where nothing cheap can be had.
   */
  worthOf(job: Job): number {
    const { idle_price_times } = this.deps.options.fleet;
    let least = Infinity;
    for (const type of this.deps.catalog.types) {
      if (job.spec.types && !job.spec.types.includes(type.name)) continue;
      const tasks = countFittingTasks(job.spec, type);
      if (tasks === 0) continue;
      const price = job.spec.spot ? Math.min(type.price, type.spotPrice) : type.price;
      least = Math.min(least, price / tasks);
    }
    const ageMs = this.deps.host.clock.wall() - job.createdWall;
    return least * idle_price_times * (1 + Math.max(0, ageMs) / IDLE_PATIENCE_MS);
  }

  /**
   * The tasks of a machine that runs nothing but guests' work which can be stopped without being late; else null.
   */
  idleTasks(m: Machine): BestEffortTask[] | null {
    const now = this.deps.host.clock.now();
    const tasks: BestEffortTask[] = [];
    for (const a of m.attempts.values()) {
      if (a.released) continue;
      const { job } = a;
      if (!job || !this.isBestEffort(job) || job.spec.gang || a.stopGraceS !== null) return null;
      if (a.runningSince === null || slackOf(job, false, this.deps).slackS < STOPPABLE_SLACK_S) return null;
      const ranS = (now - a.runningSince) / 1000;
      const { checkpointIntervalS, checkpointDurationS, estimateS } = job.spec;
      tasks.push({
        maxPrice: this.worthOf(job),
        remainingS: Math.max(estimateS - ranS, ranS * OUTLIVED_SHARE),
        lossS: checkpointIntervalS > 0 ? checkpointDurationS : ranS,
      });
    }
    return tasks.length > 0 ? tasks : null;
  }

  /** Takes what guests use out of the used room of a machine: they make no machine needed. */
  takeFrom(used: Resources, machine: Machine | undefined): void {
    for (const a of machine?.attempts.values() ?? []) {
      if (!a.released && a.job && this.isBestEffort(a.job)) allocate(used, resourcesOf(a.job.spec));
    }
  }
}
