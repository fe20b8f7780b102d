/** The choice of a zone for task groups that must stay together. */
import { required } from '../base/required.ts';
import type { TaskGroup } from './snapshot.ts';
import { isAllowed, countFittingOnTarget, type DistinctNeeds, type Target } from './targets.ts';

/** Score of a zone in which all tasks of the group fit at once: much more than any other part of a score. */
const ALL_FIT_NOW_SCORE = 100_000;
/** Future capacity that comes within this time counts toward a zone. */
const SOON_S = 60;
/** Score that a second of image fetch costs, among zones in which all tasks fit at once. */
const SCORE_PER_FETCH_S = 10;
/** The zone of the last round is kept unless another one's score is this many times as high. */
const PREVIOUS_ZONE_SCORE_RATIO = 1.3;
/** If all tasks fit there at once, it is kept unless another such zone has the image sooner by more than this. */
const PREVIOUS_ZONE_FETCH_ALLOWANCE_S = 2;

/** Numbers of the group's tasks that fit into a zone. */
interface ZoneCapacity {
  /** Tasks that fit now, with the seconds that the image takes there. */
  now: { count: number; fetchS: number }[];
  /** Tasks that fit into future capacity that comes within `SOON_S`. */
  soon: number;
  /** Tasks that fit on machines to be rented, each divided by 1 + the hourly price. */
  rent: number;
}

/** Seconds until the last task has its image, on the machines that have it soonest; -1 if not all tasks fit. */
function findSlowestFetchS(now: { count: number; fetchS: number }[], wanted: number): number {
  now.sort((a, b) => a.fetchS - b.fetchS);
  let tasksLeft = wanted;
  for (const machines of now) {
    tasksLeft -= machines.count;
    if (tasksLeft <= 0) return machines.fetchS;
  }
  return -1;
}

/**
 * Picks the zone for a group whose tasks must stay together, or -1 if there is none: the zone in which it has live
 * tasks or the only one it allows; else, of the zones in which all its tasks fit at once, the one in which the last of
 * them has its image soonest, since a gang waits for the slowest fetch; else the zone with the most capacity, whether
 * free, future or to be rented.
 *
 * The zone of the last round is kept unless another is clearly better: machines reserved or rented and tasks preempted
 * there for the group would otherwise be of no use.
 */
export function pickZone(
  group: TaskGroup,
  needIndex: number,
  wanted: number,
  needs: DistinctNeeds,
  targets: readonly Target[],
): number {
  for (const [zone, count] of group.liveByZone) if (count > 0) return zone;
  if (group.zone >= 0) return group.zone;
  const zones = new Map<number, ZoneCapacity>();
  for (const target of targets) {
    if (!isAllowed(group, target.type, target.zone, target.spot)) continue;
    if (target.reservedFor >= 0 && target.reservedFor !== group.job) continue;
    const count = countFittingOnTarget(target, needs, needIndex);
    if (count === 0) continue;
    let zone = zones.get(target.zone);
    if (!zone) {
      zone = { now: [], soon: 0, rent: 0 };
      zones.set(target.zone, zone);
    }
    if (target.kind === 'now') {
      const totalCount =
        target.snapshots.filter((v) => !group.excludedMachines.has(v.machine)).length * count;
      const snapshot = required(target.snapshots[0], 'machine of the target');
      zone.now.push({ count: totalCount, fetchS: snapshot.fetchS(group.image, group.imageGb) });
    } else if (target.option) zone.rent += count / (1 + target.price);
    else if (target.inS <= SOON_S) zone.soon += count;
  }
  let best = -1;
  let bestScore = 0;
  for (const [zoneIndex, zone] of zones) {
    const isPrevious = zoneIndex === group.zoneHint;
    const fetchS = findSlowestFetchS(zone.now, wanted);
    let score: number;
    if (fetchS >= 0) {
      score =
        ALL_FIT_NOW_SCORE -
        Math.max(0, fetchS - (isPrevious ? PREVIOUS_ZONE_FETCH_ALLOWANCE_S : 0)) * SCORE_PER_FETCH_S;
    } else {
      const fittingNow = zone.now.reduce((sum, n) => sum + n.count, 0);
      score = fittingNow * 2 + Math.min(wanted, zone.soon) + Math.min(wanted, zone.rent) * 0.5;
      if (isPrevious) score = score * PREVIOUS_ZONE_SCORE_RATIO + 1;
    }
    if (score > bestScore) {
      best = zoneIndex;
      bestScore = score;
    }
  }
  return best;
}
