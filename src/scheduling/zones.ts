import { required } from '../base/required.ts';
import type { TaskGroup } from './snapshot.ts';
import { isAllowed, countFittingOnTarget, type DistinctNeeds, type Target } from './targets.ts';

/** Much more than any other part of a zone's score: all tasks of the group find room there at once. */
const ALL_FIT_NOW_SCORE = 100_000;
/** Room within this time counts toward a zone. */
const SOON_S = 60;
/** What a second of waiting for images weighs among zones in which all fit at once. */
const SCORE_PER_FETCH_S = 10;
/** The zone of the last round is kept unless another is better by this part. */
const PREVIOUS_ZONE_SCORE_RATIO = 1.3;
const PREVIOUS_ZONE_FETCH_ALLOWANCE_S = 2;

interface ZoneCapacity {
  /** Room now, by how long the image takes there. */
  now: { count: number; fetchS: number }[];
  soon: number;
  rent: number;
}

/** How long the slowest of the tasks waits for its image if each goes where it is quickest; -1: not all fit. */
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
 * The one zone for a group that must stay together: where its tasks are; else where all of it fits at once, and
 * soonest has its image, since a gang waits for the slowest fetch; else where most of it soon will. The zone of
 * the last round is kept unless another is clearly better: what is kept free, rented or stopped for the group
 * there would otherwise come to nothing.
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
    if (target.holder >= 0 && target.holder !== group.job) continue;
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
