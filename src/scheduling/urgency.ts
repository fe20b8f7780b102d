import { required } from '../base/required.ts';
import type { TaskGroup } from './snapshot.ts';

/** Costs on present machines stay below one band, those of room that is yet to come below the second. */
export const COST_BAND = 100_000;
/** So many times the wait after which machines are kept free, and a job goes before all of its rank. */
const STARVATION_WAIT_RATIO = 2.5;
/** With so much time to spare a job presses half as much as one that is about to be late. */
const HALF_PRESSURE_SLACK_S = 60;

/** From 0, not pressing, to 1: about to be late. What is late already makes way for what is not, for a while. */
function computePressure(group: TaskGroup, reserveAfterMs: number): number {
  if (group.waitedMs > reserveAfterMs * STARVATION_WAIT_RATIO) return 1;
  if (group.slackS < 0 || group.probe) return 0;
  // Among jobs that all can't be in time, those that need least room: more of them are.
  return HALF_PRESSURE_SLACK_S / (HALF_PRESSURE_SLACK_S + group.slackS) / (1 + group.relativeWork);
}

/** How much a group presses, in cost steps: the round places the groups with the highest first. */
export function computeUrgency(group: TaskGroup, reserveAfterMs: number): number {
  if (group.expected) return 0;
  // Rank first, then a team's guarantee, then who will be late soonest, then who waited longest.
  return (
    COST_BAND +
    group.priority * 2 * COST_BAND +
    (group.guaranteed ? COST_BAND : 0) +
    Math.round(COST_BAND * 0.6 * computePressure(group, reserveAfterMs)) +
    Math.min(COST_BAND * 0.4 - 1, Math.round(group.waitedMs / 25))
  );
}

/** What a team's tasks may use before they are beyond its guarantee, less what they use; null: no guarantee. */
export interface GuaranteeHeadroom {
  cpus: number | null;
  gpus: number;
}

/**
 * A team's guarantee goes to its most urgent jobs, up to its amount. Given to the team's oldest jobs it made a
 * backlog first come first served: small jobs that could have been in time waited behind large ones that could not.
 */
export function assignGuarantees(
  groups: readonly TaskGroup[],
  guaranteeHeadroom: GuaranteeHeadroom[],
  reserveAfterMs: number,
): void {
  const ordered = groups.map((group) => ({ group, key: computeUrgency(group, reserveAfterMs) }));
  ordered.sort((a, b) => b.key - a.key);
  for (const { group } of ordered) {
    if (group.probe) continue;
    const headroom = required(guaranteeHeadroom[group.team], 'guarantee of the team');
    const gpus = group.need.gpus * group.pending;
    const cpus = group.need.cpus * group.pending;
    if (headroom.cpus === null ? gpus === 0 : cpus > headroom.cpus + 1e-9) continue;
    if (gpus > 0 && gpus > headroom.gpus + 1e-9) continue;
    headroom.gpus -= gpus;
    if (headroom.cpus !== null) headroom.cpus -= cpus;
    group.guaranteed = true;
  }
}
