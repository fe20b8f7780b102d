/** How long a job can wait without missing a service-level objective. */
import type { Job } from '../jobs/job.ts';
import type { SnapshotDeps } from './snapshot-sources.ts';

/** How long a job can wait, by the objectives that apply to it. */
export interface JobSlack {
  /** Seconds until the next objective is missed; Infinity: no objective applies, -1: all are missed. */
  slackS: number;
  /** Seconds beyond the boot of a rented machine for which the job rather waits for capacity on a present one. */
  maxQueueingDelayS: number;
  /** The objective that is missed next applies to each task, not to the whole job. */
  perTask: boolean;
}

/**
 * Computes how long a job can still wait without missing its next objective. `guaranteed`: the job fits into its team's
 * guarantee. Run time estimates are often too low, so they are multiplied by `estimate_margin`.
 */
export function computeJobSlack(job: Job, guaranteed: boolean, deps: SnapshotDeps): JobSlack {
  const { spec } = job;
  const ageS = (deps.host.clock.wall() - job.createdAtWallMs) / 1000;
  const estimatedRunS = spec.estimateS * deps.options.scheduling.estimate_margin;
  let slackS = Infinity;
  // A guarantee affects only the order of jobs. Whether machines are rented depends on the objectives of the job's
  // class.
  let classSlackS = Infinity;
  let hasObjective = false;
  let perTask = false;
  for (const objective of deps.settings.settings.objectives) {
    if (objective.kind === 'guarantee' ? !guaranteed : objective.class !== spec.className) continue;
    let remainingS: number;
    if ((objective.kind === 'wait' || objective.kind === 'guarantee') && objective.within_s)
      remainingS = objective.within_s - ageS;
    else if (objective.kind === 'finished' && objective.within_s)
      remainingS = objective.within_s - ageS - estimatedRunS;
    else if (objective.kind === 'deadline' && spec.deadlineS)
      remainingS = spec.deadlineS * (objective.times ?? 1) - ageS - estimatedRunS;
    else continue;
    hasObjective = true;
    if (remainingS > 0 && remainingS < slackS) {
      slackS = remainingS;
      perTask = objective.kind === 'wait' || objective.kind === 'guarantee';
    }
    if (remainingS > 0 && objective.kind !== 'guarantee') classSlackS = Math.min(classSlackS, remainingS);
  }
  const { patience_share, patience_max_s } = deps.options.fleet;
  // With no objective of its class left to meet, cost decides: the job accepts half of the greatest queueing delay.
  const maxQueueingDelayS =
    hasObjective && classSlackS === Infinity
      ? patience_max_s / 2
      : Math.min(patience_max_s, classSlackS * patience_share);
  return { slackS: hasObjective && slackS === Infinity ? -1 : slackS, maxQueueingDelayS, perTask };
}
