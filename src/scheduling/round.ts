/** Runs a scheduling round: selects task groups, solves a min-cost flow, and returns placements and demand. */
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
  /** Maximum number of task groups in one round; the others wait for a later round. */
  maxGroups: number;
  /** Number of the round. It selects which of the less urgent groups take part. */
  roundNumber: number;
  /** Above one machine, demand for up to this fraction of a further machine is not rented. */
  roundDownFraction: number;
}

/** Machines reserved for one job that is not a gang. */
const MAX_RESERVED_MACHINES = 4;
/** Groups with reservations at a time: with more of them, reservations could block all machines. */
const MAX_RESERVING_GROUPS = 12;
/** Machines reserved for one gang. */
const MAX_RESERVED_MACHINES_GANG = 64;
/** Cost of leaving a task unscheduled: higher than the cost on any machine, for any urgency of the group. */
const UNSCHEDULED_COST = 30 * COST_BAND;

/**
 * Reserves machines for jobs that have waited for `reserveAfterMs`, the longest-waiting first. A job gets the machines
 * on which most of its tasks fit already, and then those with the fewest tasks. A gang gets as many as it needs, in one
 * zone if it must stay together: with only four machines reserved for a gang of sixteen, small jobs keep taking the
 * others and the gang starves.
 *
 * Returns the job by reserved machine.
 */
function reserveMachines(
  groups: readonly TaskGroup[],
  machines: readonly MachineSnapshot[],
  sizeOf: (type: number) => Resources | null,
  options: RoundOptions,
): Map<number, number> {
  const reserved = new Map<number, number>();
  // Tasks were preempted on these machines for the group. Unreserved, the freed machines would go to jobs that have
  // waited long, and further tasks would be preempted elsewhere.
  for (const group of groups) for (const machine of group.reservedMachines) reserved.set(machine, group.job);
  const waiting = groups.filter((g) => !g.expected && g.waitedMs >= options.reserveAfterMs);
  waiting.sort((a, b) => b.waitedMs - a.waitedMs);
  for (const group of waiting.slice(0, MAX_RESERVING_GROUPS)) {
    const candidates: { machine: number; zone: number; fittingTasks: number; reservationCost: number }[] = [];
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
        reservationCost: snapshot.load - countFittingTasks(group.need, snapshot.free) * 100,
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
    candidates.sort((a, b) => a.reservationCost - b.reservationCost || a.machine - b.machine);
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

/** Share of a full round's places that goes to the most urgent groups; the other groups take turns in the rest. */
const URGENT_PLACES_RATIO = 0.75;

/**
 * Selects the groups of a round from a list ordered by urgency: the first of the list, and a window over the others
 * that advances with each round. With the most urgent groups alone, those that find no free capacity would keep
 * all other groups out of every round for as long as they wait.
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
 * Whether a group that must stay in one zone seems to have live tasks in several. Some of these tasks are then
 * outdated information, such as a delayed copy of a heartbeat from before a takeover. Until it is known which tasks
 * are live, no zone is right: the group takes no part in the round, and nothing is rented or preempted for it.
 */
function isLiveInSeveralZones(group: TaskGroup): boolean {
  return group.oneZone && group.liveByZone.size > 1;
}

/** Reused by all rounds, so that its arrays are allocated once. */
const network = new FlowNetwork();

/**
 * Runs one round as a min-cost flow from task groups through targets (present machines, future capacity, machines to
 * be rented) to the sink. Every group can also reach the unscheduled node. Tasks that the flow assigns to a machine
 * but that don't fit there together wait for the next round.
 *
 * @param quotaHeadroom by index of the team
 * @param sizeOf the resources of a whole machine of a type, or null if the type is unknown
 * @param isExpired whether the round has used up its time
 */
export function runRound(
  allGroups: readonly TaskGroup[],
  machines: readonly MachineSnapshot[],
  provisioningOptions: readonly ProvisioningOption[],
  quotaHeadroom: readonly QuotaHeadroom[],
  sizeOf: (type: number) => Resources | null,
  options: RoundOptions,
  isExpired: () => boolean = () => false,
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
  // Groups that wait for their team's quota must not use up the places in the round.
  const admissible = allGroups.filter((group) => {
    if (isLiveInSeveralZones(group)) return false;
    if (countAdmissibleTasks(group, quotaHeadroom) > 0) return true;
    if (!group.expected) result.unplaced.set(group.job, group.pending);
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
  for (const group of groups) needs.getOrAddIndex(group.need);
  const targets = makeTargets(groups, needs, machines, provisioningOptions, result.reserved);
  const planner = new GroupPlanner(needs, targets, options);
  const plans = groups.map((g) => planner.planGroup(g, quotaHeadroom)).filter((p) => p !== null);
  // A gang with capacity for only a part of its tasks must not block other groups: the next pass leaves it out.
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
    const dropped = solveOnce(remaining, targets, quotaHeadroom, options, passResult, isExpired);
    // Once the time is up, the result of the previous pass stands: this pass was cut short and found less.
    if (pass > 0 && isExpired()) break;
    Object.assign(result, passResult);
    if (dropped.length === 0) break;
    for (const job of dropped) skipped.add(job);
  }
  return result;
}

/** Solves the flow for the groups of one pass. Adds to `result`; returns the jobs of gangs to be left out. */
function solveOnce(
  plans: readonly GroupPlan[],
  targets: readonly Target[],
  quotaHeadroom: readonly QuotaHeadroom[],
  options: RoundOptions,
  result: RoundResult,
  isExpired: () => boolean,
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
      // `wanted` sums up all groups: bounded by the largest group alone, a machine would take no more tasks in a round
      // than that group has.
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
    // On each of the equivalent machines a further task costs one step more than the previous one.
    const { load } = target.snapshots[0]!;
    for (let i = 0; i < slots; i++) net.addArc(target.node, sink, target.snapshots.length, (load + i) * STEP);
  }
  net.addArc(unscheduled, sink, supply, 0);
  // The most urgent groups come first, so that a round that runs out of time has served these.
  for (const source of sources) net.solve(source.node, sink, source.wanted, isExpired);
  const groups = plans.map((p) => p.group);
  return extractPlacements(groups, arcs, net, quotaHeadroom, options, result);
}
