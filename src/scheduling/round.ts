import { FlowNetwork } from './solver.ts';
import { extractPlacements, type NetworkArc } from './extract.ts';
import { GroupPlanner, STEP, countAdmissibleTasks, type CostOptions, type GroupPlan } from './plan.ts';
import { isAllowed, makeTargets, DistinctNeeds, type Target } from './targets.ts';
import { COST_BAND, computeUrgency } from './urgency.ts';
import {
  countFittingTasks,
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
  roundNumber: number;
  /** The part of a further machine that is not rented for. */
  roundDownFraction: number;
}

/** Machines kept free for one job that waits long; of a gang as many as it has tasks, within reason. */
const MAX_RESERVED_MACHINES = 4;
/** Who waited longest is served first: more jobs at a time would keep all machines free of everybody. */
const MAX_RESERVING_GROUPS = 12;
const MAX_RESERVED_MACHINES_GANG = 64;
/** Dearer than any machine, whatever the group's urgency adds. */
const UNSCHEDULED_COST = 30 * COST_BAND;

/**
 * Machines kept free for jobs that wait long, who waited longest first: the nearest to fitting, and of a gang
 * all that it needs, in the one zone it is bound to. A gang of sixteen once had four kept for it, and small
 * jobs took the rest for ever.
 */
function reserveMachines(
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
  for (const group of waiting.slice(0, MAX_RESERVING_GROUPS)) {
    const candidates: { machine: number; zone: number; fittingTasks: number; shortfall: number }[] = [];
    const fittingTasksByZone = new Map<number, number>();
    for (const snapshot of machines) {
      if (
        snapshot.bootsInS > 0 ||
        reserved.has(snapshot.machine) ||
        group.excludedMachines.has(snapshot.machine)
      )
        continue;
      if (!isAllowed(group, snapshot.type, snapshot.zone, snapshot.spot)) continue;
      const size = sizeOf(snapshot.type);
      const fittingTasks = size ? countFittingTasks(group.need, size) : 0;
      if (fittingTasks === 0) continue;
      candidates.push({
        machine: snapshot.machine,
        zone: snapshot.zone,
        fittingTasks,
        shortfall: snapshot.load - countFittingTasks(group.need, snapshot.free) * 100,
      });
      fittingTasksByZone.set(snapshot.zone, (fittingTasksByZone.get(snapshot.zone) ?? 0) + fittingTasks);
    }
    let zone = group.zone;
    if (group.oneZone && zone < 0) {
      const liveZone = [...group.liveByZone].find(([, count]) => count > 0);
      if (liveZone) zone = liveZone[0];
      else if ((fittingTasksByZone.get(group.zoneHint) ?? 0) > 0) zone = group.zoneHint;
      else zone = [...fittingTasksByZone].sort((a, b) => b[1] - a[1])[0]?.[0] ?? -1;
    }
    candidates.sort((a, b) => a.shortfall - b.shortfall || a.machine - b.machine);
    let tasksLeft = group.pending;
    let machinesLeft = group.gang ? MAX_RESERVED_MACHINES_GANG : MAX_RESERVED_MACHINES;
    for (const candidate of candidates) {
      if (tasksLeft <= 0 || machinesLeft <= 0) break;
      if (zone >= 0 && candidate.zone !== zone) continue;
      reserved.set(candidate.machine, group.job);
      tasksLeft -= candidate.fittingTasks;
      machinesLeft -= 1;
    }
  }
  return reserved;
}

/** Part of a full round's places that goes to the most urgent; the rest is taken in turn. */
const URGENT_PLACES_RATIO = 0.75;

/**
 * The first in order, and of the others some in turn: with the most urgent alone, those that find no room would
 * keep everybody else out of every round for as long as they wait.
 */
function selectForRound<T>(ordered: readonly T[], maxCount: number, roundNumber: number): readonly T[] {
  if (ordered.length <= maxCount) return ordered;
  const urgentCount = Math.ceil(maxCount * URGENT_PLACES_RATIO);
  const otherCount = ordered.length - urgentCount;
  const rotatingPlaces = maxCount - urgentCount;
  const start = (roundNumber * rotatingPlaces) % otherCount;
  return ordered.filter(
    (_, index) =>
      index < urgentCount || (index - urgentCount - start + otherCount) % otherCount < rotatingPlaces,
  );
}

/**
 * Tasks of a group that must stay together may be in two zones: some of them are old news, such as a copy of a
 * report from before a takeover. Until it is known which, no zone is right, and no room is made for the group.
 */
function isLiveInSeveralZones(group: TaskGroup): boolean {
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
  provisioningOptions: readonly ProvisioningOption[],
  quotaHeadroom: readonly QuotaHeadroom[],
  sizeOf: (type: number) => Resources | null,
  options: RoundOptions,
  expired: () => boolean = () => false,
): RoundResult {
  const result: RoundResult = {
    placements: [],
    demand: new Map(),
    awaiting: new Map(),
    unplaced: new Map(),
    heldForExpected: new Set(),
    reserved: new Map(),
    deferredGroupCount: 0,
    zones: new Map(),
  };
  // What a team's limit keeps waiting must not use up the places in the round.
  const admissible = allGroups.filter((g) => {
    if (isLiveInSeveralZones(g)) return false;
    if (countAdmissibleTasks(g, quotaHeadroom) > 0) return true;
    if (!g.expected) result.unplaced.set(g.job, g.pending);
    return false;
  });
  const keyed = admissible.map((group) => ({ group, key: computeUrgency(group, options.reserveAfterMs) }));
  keyed.sort((a, b) => b.key - a.key);
  const groups = selectForRound(keyed, options.maxGroups, options.roundNumber).map((k) => k.group);
  result.deferredGroupCount = keyed.length - groups.length;
  result.reserved = reserveMachines(groups, machines, sizeOf, options);
  for (const group of groups) {
    if (group.nominatedMachine >= 0) result.reserved.set(group.nominatedMachine, group.job);
  }
  const needs = new DistinctNeeds();
  for (const group of groups) needs.addNeed(group.need);
  const targets = makeTargets(groups, needs, machines, provisioningOptions, result.reserved);
  const planner = new GroupPlanner(needs, targets, options);
  const plans = groups.map((g) => planner.planGroup(g, quotaHeadroom)).filter((p) => p !== null);
  // A gang of which only a part found room must not hold the rest back: it is left out and the round repeated.
  const skipped = new Set<number>();
  for (let pass = 0; pass < 3; pass++) {
    const remaining = plans.filter((p) => !skipped.has(p.group.job));
    const passResult: RoundResult = {
      ...result,
      placements: [],
      demand: new Map(),
      awaiting: new Map(),
      heldForExpected: new Set<number>(),
    };
    const dropped = solveOnce(remaining, targets, quotaHeadroom, options, passResult, expired);
    // Out of time, what an earlier pass has found stands: this one found less.
    if (pass > 0 && expired()) break;
    Object.assign(result, passResult);
    if (dropped.length === 0) break;
    for (const job of dropped) skipped.add(job);
  }
  return result;
}

function solveOnce(
  plans: readonly GroupPlan[],
  targets: readonly Target[],
  quotaHeadroom: readonly QuotaHeadroom[],
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
  const arcs: NetworkArc[] = [];
  let supply = 0;
  const sources: { node: number; wanted: number }[] = [];
  plans.forEach(({ group, wanted, urgency, zone, preferenceArcs }, index) => {
    const node = net.addNode();
    sources.push({ node, wanted });
    net.addArc(node, unscheduled, wanted, UNSCHEDULED_COST + 2 * urgency);
    supply += wanted;
    if (zone >= 0) result.zones.set(group.job, zone);
    const zoneNodes = new Map<number, number>();
    const entryNode = (zoneIndex: number): number => {
      if (group.maxTasksPerZone === Infinity) return node;
      let zoneNode = zoneNodes.get(zoneIndex);
      if (zoneNode === undefined) {
        zoneNode = net.addNode();
        zoneNodes.set(zoneIndex, zoneNode);
        net.addArc(
          node,
          zoneNode,
          Math.max(0, group.maxTasksPerZone - (group.liveByZone.get(zoneIndex) ?? 0)),
          0,
        );
      }
      return zoneNode;
    };
    for (const { target, slots, capacity, cost } of preferenceArcs) {
      arcs.push({
        group: index,
        target,
        arc: net.addArc(entryNode(target.zone), target.node, capacity, cost),
      });
      // Room for all groups together, not for the largest one: a machine once took no more than that in a round.
      target.slots = Math.max(target.slots, slots);
      target.wanted += capacity;
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
    const { load } = target.snapshots[0]!;
    for (let k = 0; k < slots; k++) net.addArc(target.node, sink, target.snapshots.length, (load + k) * STEP);
  }
  net.addArc(unscheduled, sink, supply, 0);
  // The most urgent first: a round that runs out of time has found places for those.
  for (const source of sources) net.solve(source.node, sink, source.wanted, expired);
  const groups = plans.map((p) => p.group);
  return extractPlacements(groups, arcs, net, quotaHeadroom, options, result);
}
