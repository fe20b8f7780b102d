import { required } from '../base/required.ts';
import type { TaskGroup } from './snapshot.ts';
import { allowed, fitting, type Needs, type Target } from './targets.ts';

/** Much more than any other part of a zone's score: all tasks of the group find room there at once. */
const ALL_NOW = 100_000;
/** Room within this time counts toward a zone. */
const SOON_S = 60;
/** What a second of waiting for images weighs among zones in which all fit at once. */
const PER_FETCH_S = 10;
/** The zone of the last round is kept unless another is better by this part. */
const KEPT = 1.3;
const KEPT_FETCH_S = 2;

interface Zone {
  /** Room now, by how long the image takes there. */
  now: { count: number; fetchS: number }[];
  soon: number;
  rent: number;
}

/** How long the slowest of the tasks waits for its image if each goes where it is quickest; -1: not all fit. */
function slowestFetch(now: { count: number; fetchS: number }[], wanted: number): number {
  now.sort((a, b) => a.fetchS - b.fetchS);
  let left = wanted;
  for (const n of now) {
    left -= n.count;
    if (left <= 0) return n.fetchS;
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
  need: number,
  wanted: number,
  needs: Needs,
  targets: readonly Target[],
): number {
  for (const [zone, count] of group.liveByZone) if (count > 0) return zone;
  if (group.zone >= 0) return group.zone;
  const zones = new Map<number, Zone>();
  for (const t of targets) {
    if (!allowed(group, t.type, t.zone, t.spot)) continue;
    if (t.holder >= 0 && t.holder !== group.job) continue;
    const count = fitting(t, needs, need);
    if (count === 0) continue;
    let zone = zones.get(t.zone);
    if (!zone) {
      zone = { now: [], soon: 0, rent: 0 };
      zones.set(t.zone, zone);
    }
    if (t.kind === 'now') {
      const there = t.views.filter((v) => !group.excludedMachines.has(v.machine)).length * count;
      const view = required(t.views[0], 'machine of the target');
      zone.now.push({ count: there, fetchS: view.fetchS(group.image, group.imageGb) });
    } else if (t.option) zone.rent += count / (1 + t.price);
    else if (t.inS <= SOON_S) zone.soon += count;
  }
  let best = -1;
  let bestScore = 0;
  for (const [at, zone] of zones) {
    const kept = at === group.zoneHint;
    const fetchS = slowestFetch(zone.now, wanted);
    let score: number;
    if (fetchS >= 0) {
      score = ALL_NOW - Math.max(0, fetchS - (kept ? KEPT_FETCH_S : 0)) * PER_FETCH_S;
    } else {
      const here = zone.now.reduce((sum, n) => sum + n.count, 0);
      score = here * 2 + Math.min(wanted, zone.soon) + Math.min(wanted, zone.rent) * 0.5;
      if (kept) score = score * KEPT + 1;
    }
    if (score > bestScore) {
      best = at;
      bestScore = score;
    }
  }
  return best;
}
