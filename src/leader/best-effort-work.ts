/** Best-effort work: jobs of the lowest priority of teams without a guarantee. */
import { required } from '../base/required.ts';
import type { Job } from '../jobs/job.ts';
import type { BestEffortTask } from '../scheduling/best-effort-tasks.ts';
import { countFittingTasks, resourcesOf, allocate, type Resources } from '../scheduling/snapshot.ts';
import type { Machine } from '../workers/machine.ts';
import { computeJobSlack } from './job-slack.ts';
import { OVERRUN_REMAINING_RATIO, type SnapshotDeps } from './snapshot-sources.ts';

/** The price limit of a job rises by its initial value with each such period of the job's age. */
const PRICE_LIMIT_RISE_MS = 600_000;
/**
 * Least slack that a job must have, beyond its whole run time, for its tasks to be stopped to save the cost of a
 * machine.
 */
const MIN_STOPPABLE_SLACK_S = 60;

/** Best-effort jobs: which they are, what a machine for them may cost, and which of their tasks can be stopped. */
export class BestEffortWork {
  constructor(private readonly deps: SnapshotDeps) {}

  /** Whether a job has the lowest priority and belongs to a team without a guarantee. */
  isBestEffort(job: Job): boolean {
    const team = required(this.deps.teams[job.team], 'team of the job');
    return job.spec.priority === 0 && team.cpus === 0 && team.gpus === 0;
  }

  /**
   * Greatest hourly price per task at which a machine is worth its cost to a best-effort job. It rises with the job's
   * age, so that the job starts eventually even if no cheap machine is available.
   */
  computeMaxProvisionPrice(job: Job): number {
    const { idle_price_times } = this.deps.options.fleet;
    let lowestPricePerTask = Infinity;
    for (const type of this.deps.catalog.types) {
      if (job.spec.types && !job.spec.types.includes(type.name)) continue;
      const tasksPerMachine = countFittingTasks(job.spec, type);
      if (tasksPerMachine === 0) continue;
      const price = job.spec.spot ? Math.min(type.price, type.spotPrice) : type.price;
      lowestPricePerTask = Math.min(lowestPricePerTask, price / tasksPerMachine);
    }
    const ageMs = this.deps.host.clock.wall() - job.createdAtWallMs;
    return lowestPricePerTask * idle_price_times * (1 + Math.max(0, ageMs) / PRICE_LIMIT_RISE_MS);
  }

  /** The tasks of a machine that runs only best-effort tasks which can be stopped without being late; else null. */
  findStoppableTasks(machine: Machine): BestEffortTask[] | null {
    const now = this.deps.host.clock.now();
    const tasks: BestEffortTask[] = [];
    for (const attempt of machine.attempts.values()) {
      if (attempt.released) continue;
      const { job } = attempt;
      if (!job || !this.isBestEffort(job) || job.spec.gang || attempt.stopGraceS !== null) return null;
      if (
        attempt.runningSince === null ||
        computeJobSlack(job, false, this.deps).slackS < MIN_STOPPABLE_SLACK_S
      )
        return null;
      const ranS = (now - attempt.runningSince) / 1000;
      const { checkpointIntervalS, checkpointDurationS, estimateS } = job.spec;
      tasks.push({
        maxPrice: this.computeMaxProvisionPrice(job),
        remainingS: Math.max(estimateS - ranS, ranS * OVERRUN_REMAINING_RATIO),
        lossS: checkpointIntervalS > 0 ? checkpointDurationS : ranS,
      });
    }
    return tasks.length > 0 ? tasks : null;
  }

  /** Subtracts a machine's best-effort tasks from its used resources: they don't count toward the needed machines. */
  subtractUsage(used: Resources, machine: Machine | undefined): void {
    for (const attempt of machine?.attempts.values() ?? []) {
      if (!attempt.released && attempt.job && this.isBestEffort(attempt.job))
        allocate(used, resourcesOf(attempt.job.spec));
    }
  }
}
