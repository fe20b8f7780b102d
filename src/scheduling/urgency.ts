/** The order in which task groups are served, and the assignment of guarantees in that order. */
import { required } from '../base/required.ts';
import type { TaskGroup } from './snapshot.ts';

/**
 * Width of a band of costs. Costs on present machines lie in the first band. Costs of future capacity and of machines
 * to be rented lie in the second, before the group's urgency is added.
 */
export const COST_BAND = 100_000;
/** A job that has waited this many times `reserveAfterMs` gets the full pressure. */
const STARVATION_WAIT_RATIO = 2.5;
/** Slack with which a job has half the pressure of one that is about to be late. */
const HALF_PRESSURE_SLACK_S = 60;

/**
 * Pressure of a group's next objective, from 0 (none) to 1 (about to be late). A group that is already late has none,
 * so that groups that can still be in time go first, until it has waited so long that it gets the full pressure.
 */
function computePressure(group: TaskGroup, reserveAfterMs: number): number {
  if (group.waitedMs > reserveAfterMs * STARVATION_WAIT_RATIO) return 1;
  if (group.slackS < 0 || group.failing) return 0;
  // If not all jobs can be in time, those with less work go first, so that more jobs are.
  return HALF_PRESSURE_SLACK_S / (HALF_PRESSURE_SLACK_S + group.slackS) / (1 + group.relativeWork);
}

/** Urgency of a group, in the unit of costs. The round serves the groups with the highest urgency first. */
export function computeUrgency(group: TaskGroup, reserveAfterMs: number): number {
  if (group.expected) return 0;
  // Priority outweighs the team's guarantee, and that outweighs the weighted sum of pressure and waiting time.
  return (
    COST_BAND +
    group.priority * 2 * COST_BAND +
    (group.guaranteed ? COST_BAND : 0) +
    Math.round(COST_BAND * 0.6 * computePressure(group, reserveAfterMs)) +
    Math.min(COST_BAND * 0.4 - 1, Math.round(group.waitedMs / 25))
  );
}

/** CPUs and GPUs that a team can still use within its guarantee; `cpus` is null if no CPUs are guaranteed. */
export interface GuaranteeHeadroom {
  cpus: number | null;
  gpus: number;
}

/**
 * Assigns each team's guarantee to its most urgent groups that fit into it, by setting `guaranteed`. If the guarantee
 * went to the oldest jobs, a backlog would be served first come, first served: small jobs that can be in time would
 * wait behind large ones that cannot.
 *
 * @param guaranteeHeadroom by index of the team; reduced by what is assigned
 */
export function assignGuarantees(
  groups: readonly TaskGroup[],
  guaranteeHeadroom: GuaranteeHeadroom[],
  reserveAfterMs: number,
): void {
  const ordered = groups.map((group) => ({ group, key: computeUrgency(group, reserveAfterMs) }));
  ordered.sort((a, b) => b.key - a.key);
  for (const { group } of ordered) {
    if (group.failing) continue;
    const headroom = required(guaranteeHeadroom[group.team], 'guarantee headroom of the team');
    const gpus = group.need.gpus * group.pending;
    const cpus = group.need.cpus * group.pending;
    if (headroom.cpus === null ? gpus === 0 : cpus > headroom.cpus + 1e-9) continue;
    if (gpus > 0 && gpus > headroom.gpus + 1e-9) continue;
    headroom.gpus -= gpus;
    if (headroom.cpus !== null) headroom.cpus -= cpus;
    group.guaranteed = true;
  }
}
