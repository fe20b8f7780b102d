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
export function slackOf(job: Job, guaranteed: boolean, deps: SnapshotDeps): JobSlack {
  const { spec } = job;
  const ageS = (deps.host.clock.wall() - job.createdWall) / 1000;
  const runS = spec.estimateS * deps.options.scheduling.estimate_margin;
  let slackS = Infinity;
  // A guarantee decides who goes first; whether to rent is for what is expected of the class.
  let ownS = Infinity;
  let watched = false;
  let perTask = false;
  for (const o of deps.settings.settings.objectives) {
    if (o.kind === 'guarantee' ? !guaranteed : o.class !== spec.className) continue;
    let left: number;
    if ((o.kind === 'wait' || o.kind === 'guarantee') && o.within_s) left = o.within_s - ageS;
    else if (o.kind === 'finished' && o.within_s) left = o.within_s - ageS - runS;
    else if (o.kind === 'deadline' && spec.deadlineS) left = spec.deadlineS * (o.times ?? 1) - ageS - runS;
    else continue;
    watched = true;
    if (left > 0 && left < slackS) {
      slackS = left;
      perTask = o.kind === 'wait' || o.kind === 'guarantee';
    }
    if (left > 0 && o.kind !== 'guarantee') ownS = Math.min(ownS, left);
  }
  const { patience_share, patience_max_s } = deps.options.fleet;
  // Once late, money decides.
  const maxQueueingDelayS =
    watched && ownS === Infinity ? patience_max_s / 2 : Math.min(patience_max_s, ownS * patience_share);
  return { slackS: watched && slackS === Infinity ? -1 : slackS, maxQueueingDelayS, perTask };
}
