import type { Job } from '../jobs/job.ts';
import type { SnapshotDeps } from './snapshot-sources.ts';

/** How much time a job has by what is expected of its class. */
export interface JobSlack {
  /** Seconds to spare; Infinity: nothing is expected, -1: all of it is missed. */
  slackS: number;
  /** How much longer than a machine's boot it would rather wait than have one rented, in seconds. */
  maxQueueingDelayS: number;
  /** The next expectation is of each task, not of the whole job. */
  perTask: boolean;
}

/**
 * Seconds that a job can still wait without missing the next thing expected of its class, or -1 if it has
 * missed them all. Estimates are often too low, so a part is added.
 */
export function computeJobSlack(job: Job, guaranteed: boolean, deps: SnapshotDeps): JobSlack {
  const { spec } = job;
  const ageS = (deps.host.clock.wall() - job.createdWall) / 1000;
  const estimatedRunS = spec.estimateS * deps.options.scheduling.estimate_margin;
  let slackS = Infinity;
  // A guarantee decides who goes first; whether to rent is for what is expected of the class.
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
  // Once late, money decides.
  const maxQueueingDelayS =
    hasObjective && classSlackS === Infinity
      ? patience_max_s / 2
      : Math.min(patience_max_s, classSlackS * patience_share);
  return { slackS: hasObjective && slackS === Infinity ? -1 : slackS, maxQueueingDelayS, perTask };
}
