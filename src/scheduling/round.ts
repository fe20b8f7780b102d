import { FlowNetwork } from './solver.ts';
import { extract, type Edge } from './extract.ts';
import { Planner, STEP, wantedOf, type CostOptions, type GroupPlan } from './plan.ts';
import { allowed, makeTargets, Needs, type Target } from './targets.ts';
import { BAND, urgency } from './urgency.ts';
import {
  fits,
  type TaskGroup,
  type MachineSnapshot,
  type ProvisioningOption,
  type Resources,
  type RoundResult,
  type QuotaHeadroom,
} from './snapshot.ts';

/** Bounds and weights of one round. */
export interface RoundOptions extends CostOptions {
  /** Groups in one round; the others wait for the next. */
  maxGroups: number;
  /** Counts rounds: who is left out gets a turn. */
  turn: number;
  /** The part of a further machine that is not rented for. */
  rentRound: number;
}

/** Machines kept free for one job that waits long; of a gang as many as it has tasks, within reason. */
const MOST_KEPT = 4;
/** Who waited longest is served first: more jobs at a time would keep all machines free of everybody. */
const MOST_KEEPING = 12;
const MOST_KEPT_GANG = 64;
/** Dearer than any machine, whatever the group's urgency adds. */
const UNSCHEDULED = 30 * BAND;

/**
 * Machines kept free for jobs that wait long, who waited longest first: the nearest to fitting, and of a gang
 * all that it needs, in the one zone it is bound to. A gang of sixteen once had four kept for it, and small
 * jobs took the rest for ever.
 */
function reserve(
  groups: readonly TaskGroup[],
  machines: readonly MachineSnapshot[],
  sizeOf: (type: number) => Resources | null,
  options: RoundOptions,
): Map<number, number> {
  const reserved = new Map<number, number>();
  // Others were stopped there for it: who waits long would take it, being free, and more be stopped elsewhere.
  for (const group of groups) for (const machine of group.reservedMachines) reserved.set(machine, group.job);
  const waiting = groups.filter((g) => !g.expected && g.waitedMs >= options.reserveAfterMs);
  waiting.sort((a, b) => b.waitedMs - a.waitedMs);
  for (const group of waiting.slice(0, MOST_KEEPING)) {
    const found: { machine: number; zone: number; room: number; missing: number }[] = [];
    const byZone = new Map<number, number>();
    for (const m of machines) {
      if (m.bootsInS > 0 || reserved.has(m.machine) || group.excludedMachines.has(m.machine)) continue;
      if (!allowed(group, m.type, m.zone, m.spot)) continue;
      const size = sizeOf(m.type);
      const room = size ? fits(group.need, size) : 0;
      if (room === 0) continue;
      found.push({
        machine: m.machine,
        zone: m.zone,
        room,
        missing: m.load - fits(group.need, m.free) * 100,
      });
      byZone.set(m.zone, (byZone.get(m.zone) ?? 0) + room);
    }
    let zone = group.zone;
    if (group.oneZone && zone < 0) {
      const held = [...group.liveByZone].find(([, count]) => count > 0);
      if (held) zone = held[0];
      else if ((byZone.get(group.zoneHint) ?? 0) > 0) zone = group.zoneHint;
      else zone = [...byZone].sort((a, b) => b[1] - a[1])[0]?.[0] ?? -1;
    }
    found.sort((a, b) => a.missing - b.missing || a.machine - b.machine);
    let want = group.pending;
    let most = group.gang ? MOST_KEPT_GANG : MOST_KEPT;
    for (const f of found) {
      if (want <= 0 || most <= 0) break;
      if (zone >= 0 && f.zone !== zone) continue;
      reserved.set(f.machine, group.job);
      want -= f.room;
      most -= 1;
    }
  }
  return reserved;
}

/** Part of a full round's places that goes to the most urgent; the rest is taken in turn. */
const MOST_URGENT = 0.75;

/**
 * The first in order, and of the others some in turn: with the most urgent alone, those that find no room would
 * keep everybody else out of every round for as long as they wait.
 */
function inTurn<T>(ordered: readonly T[], most: number, turn: number): readonly T[] {
  if (ordered.length <= most) return ordered;
  const first = Math.ceil(most * MOST_URGENT);
  const others = ordered.length - first;
  const places = most - first;
  const from = (turn * places) % others;
  return ordered.filter((_, at) => at < first || (at - first - from + others) % others < places);
}

/**
 * Tasks of a group that must stay together may be in two zones: some of them are old news, such as a copy of a
 * report from before a takeover. Until it is known which, no zone is right, and no room is made for the group.
 */
function heldInTwoZones(group: TaskGroup): boolean {
  return group.oneZone && group.liveByZone.size > 1;
}

const network = new FlowNetwork();

/**
 * One flow round: groups on the left, machines (present, booting, rentable) in the middle, the sink on the
 * right, and the unscheduled node that every group can reach. Placements that don't fit together wait.
 */
export function runRound(
  allGroups: readonly TaskGroup[],
  machines: readonly MachineSnapshot[],
  rentable: readonly ProvisioningOption[],
  teamRoom: readonly QuotaHeadroom[],
  sizeOf: (type: number) => Resources | null,
  options: RoundOptions,
  expired: () => boolean = () => false,
): RoundResult {
  const result: RoundResult = {
    placements: [],
    demand: new Map(),
    awaiting: new Map(),
    unplaced: new Map(),
    held: new Set(),
    reserved: new Map(),
    leftOut: 0,
    zones: new Map(),
  };
  // What a team's limit keeps waiting must not use up the places in the round.
  const able = allGroups.filter((g) => {
    if (heldInTwoZones(g)) return false;
    if (wantedOf(g, teamRoom) > 0) return true;
    if (!g.expected) result.unplaced.set(g.job, g.pending);
    return false;
  });
  const keyed = able.map((group) => ({ group, key: urgency(group, options.reserveAfterMs) }));
  keyed.sort((a, b) => b.key - a.key);
  const groups = inTurn(keyed, options.maxGroups, options.turn).map((k) => k.group);
  result.leftOut = keyed.length - groups.length;
  result.reserved = reserve(groups, machines, sizeOf, options);
  for (const group of groups) {
    if (group.nominatedMachine >= 0) result.reserved.set(group.nominatedMachine, group.job);
  }
  const needs = new Needs();
  for (const group of groups) needs.index(group.need);
  const targets = makeTargets(groups, needs, machines, rentable, result.reserved);
  const planner = new Planner(needs, targets, options);
  const plans = groups.map((g) => planner.plan(g, teamRoom)).filter((p) => p !== null);
  // A gang of which only a part found room must not hold the rest back: it is left out and the round repeated.
  const skipped = new Set<number>();
  for (let pass = 0; pass < 3; pass++) {
    const left = plans.filter((p) => !skipped.has(p.group.job));
    const found = {
      ...result,
      placements: [],
      rents: new Map(),
      awaiting: new Map(),
      held: new Set<number>(),
    };
    const dropped = solveOnce(left, targets, teamRoom, options, found, expired);
    // Out of time, what an earlier pass has found stands: this one found less.
    if (pass > 0 && expired()) break;
    Object.assign(result, found);
    if (dropped.length === 0) break;
    for (const job of dropped) skipped.add(job);
  }
  return result;
}

function solveOnce(
  plans: readonly GroupPlan[],
  targets: readonly Target[],
  teamRoom: readonly QuotaHeadroom[],
  options: RoundOptions,
  result: RoundResult,
  expired: () => boolean,
): number[] {
  const net = network;
  net.reset();
  const sink = net.addNode();
  const unscheduled = net.addNode();
  for (const target of targets) {
    target.node = net.addNode();
    target.slots = 0;
    target.wanted = 0;
  }
  const edges: Edge[] = [];
  let supply = 0;
  const sources: { node: number; wanted: number }[] = [];
  plans.forEach(({ group, wanted, press, zone, bids }, index) => {
    const node = net.addNode();
    sources.push({ node, wanted });
    net.addArc(node, unscheduled, wanted, UNSCHEDULED + 2 * press);
    supply += wanted;
    if (zone >= 0) result.zones.set(group.job, zone);
    const zoneNodes = new Map<number, number>();
    const entry = (at: number): number => {
      if (group.zoneCap === Infinity) return node;
      let found = zoneNodes.get(at);
      if (found === undefined) {
        found = net.addNode();
        zoneNodes.set(at, found);
        net.addArc(node, found, Math.max(0, group.zoneCap - (group.liveByZone.get(at) ?? 0)), 0);
      }
      return found;
    };
    for (const { target, each, count, cost } of bids) {
      edges.push({ group: index, target, arc: net.addArc(entry(target.zone), target.node, count, cost) });
      // Room for all groups together, not for the largest one: a machine once took no more than that in a round.
      target.slots = Math.max(target.slots, each);
      target.wanted += count;
    }
  });
  for (const target of targets) {
    const slots = Math.min(target.slots, target.wanted);
    if (slots === 0) continue;
    if (target.kind !== 'now') {
      net.addArc(target.node, sink, slots, 0);
      continue;
    }
    // A further task on any of the equal machines costs a step more than the last.
    const { load } = target.views[0]!;
    for (let k = 0; k < slots; k++) net.addArc(target.node, sink, target.views.length, (load + k) * STEP);
  }
  net.addArc(unscheduled, sink, supply, 0);
  // The most urgent first: a round that runs out of time has found places for those.
  for (const s of sources) net.solve(s.node, sink, s.wanted, expired);
  const groups = plans.map((p) => p.group);
  return extract(groups, edges, net, teamRoom, options, result);
}
