/** Turns the solved flow into placements and demand for machines. */
import { required } from '../base/required.ts';
import type { FlowNetwork } from './solver.ts';
import type { Target } from './targets.ts';
import {
  countFittingTasks,
  countFittingGroupTasks,
  allocate,
  countTasksWithinQuota,
  type TaskGroup,
  type MachineSnapshot,
  type Placement,
  type Resources,
  type RoundResult,
  type QuotaHeadroom,
} from './snapshot.ts';

/** An arc of the flow network from a task group to a target. */
export interface NetworkArc {
  /** Index into the groups of the pass. */
  group: number;
  target: Target;
  /** Index of the arc in the network. */
  arc: number;
}

/** A machine with the tasks that this round has allocated to it so far. */
interface MachineAllocation {
  snapshot: MachineSnapshot;
  free: Resources;
  taskCount: number;
  /** Images of the tasks that this round has allocated to it. */
  images: Set<string>;
}

/** The equivalent machines of each target, with the tasks that this round has allocated to them so far. */
class MachineAllocations {
  private readonly byTarget = new Map<Target, MachineAllocation[]>();

  constructor(private readonly fetchSteps: number) {}

  /**
   * Distributes tasks among the equivalent machines of a target, each to the machine where it costs least. A further
   * task on a machine costs a step, but its image is fetched once for all tasks there. By load alone, a job of forty
   * tasks on forty machines causes forty fetches, and machines fetch the images of four jobs at the same time.
   *
   * Appends to `placed`; returns the number of tasks that fit.
   */
  place(target: Target, group: TaskGroup, count: number, placed: Placement[]): number {
    let allocations = this.byTarget.get(target);
    if (!allocations) {
      allocations = target.snapshots.map((snapshot) => ({
        snapshot,
        free: { ...snapshot.free },
        taskCount: 0,
        images: new Set(),
      }));
      this.byTarget.set(target, allocations);
    }
    const fetchCost =
      required(allocations[0], 'machine of the target').snapshot.fetchS(group.image, group.imageGb) *
      this.fetchSteps;
    const newTasks = new Map<MachineAllocation, number>();
    let tasksLeft = count;
    while (tasksLeft > 0) {
      let best: MachineAllocation | null = null;
      let bestCost = Infinity;
      for (const allocation of allocations) {
        const cost =
          allocation.taskCount + (fetchCost > 0 && !allocation.images.has(group.image) ? fetchCost : 0);
        if (
          cost >= bestCost ||
          countFittingGroupTasks(group, allocation.free, allocation.snapshot.perAccelerator) === 0
        )
          continue;
        best = allocation;
        bestCost = cost;
        if (cost === 0) break;
      }
      if (!best) break;
      // After the first task, further ones on the same machine need no fetch. They cost less than a first task on
      // another machine until their steps add up to the cost of a fetch.
      const maxTasks = fetchCost > 0 ? Math.max(1, Math.floor(fetchCost)) : 1;
      const taskCount = Math.min(
        tasksLeft,
        maxTasks,
        countFittingGroupTasks(group, best.free, best.snapshot.perAccelerator),
      );
      allocate(best.free, group.need, taskCount);
      best.taskCount += taskCount;
      best.images.add(group.image);
      tasksLeft -= taskCount;
      newTasks.set(best, (newTasks.get(best) ?? 0) + taskCount);
    }
    for (const [allocation, taskCount] of newTasks)
      placed.push({ job: group.job, machine: allocation.snapshot.machine, count: taskCount });
    return count - tasksLeft;
  }
}

/**
 * Reads the placements and the demand off the solved flow, in order of urgency, as far as free resources and quotas
 * allow, and adds them to `result`. Returns the jobs of gangs with capacity for only a part of their tasks.
 */
export function extractPlacements(
  groups: readonly TaskGroup[],
  arcs: readonly NetworkArc[],
  net: FlowNetwork,
  quotaHeadroom: readonly QuotaHeadroom[],
  costs: { roundDownFraction: number; fetchSteps: number },
  result: RoundResult,
): number[] {
  const allocations = new MachineAllocations(costs.fetchSteps);
  const headroomByTeam = quotaHeadroom.map((t) => ({ ...t }));
  const demand = new Map<number, number>();
  const dropped: number[] = [];
  const arcsByGroup: NetworkArc[][] = groups.map(() => []);
  for (const arc of arcs) {
    if (net.flow(arc.arc) > 0) required(arcsByGroup[arc.group], 'group of the arc').push(arc);
  }
  groups.forEach((group, index) => {
    const placed: Placement[] = [];
    let placedCount = 0;
    let laterCount = 0;
    const provisioningDemand: { option: number; machines: number }[] = [];
    for (const groupArc of required(arcsByGroup[index], 'arcs of the group')) {
      const { target } = groupArc;
      const flow = net.flow(groupArc.arc);
      if (target.option) {
        provisioningDemand.push({
          option: target.option.option,
          machines: flow / countFittingTasks(group.need, target.option.size),
        });
        laterCount += flow;
      } else if (target.kind === 'later') {
        laterCount += flow;
      } else {
        const teamHeadroom = required(headroomByTeam[group.team], 'quota headroom of the team');
        const count = Math.min(flow, countTasksWithinQuota(group.need, teamHeadroom));
        if (count <= 0) continue;
        const allocated = allocations.place(target, group, count, placed);
        teamHeadroom.cpus -= group.need.cpus * allocated;
        teamHeadroom.gpus -= group.need.gpus * allocated;
        placedCount += allocated;
      }
    }
    for (const optionDemand of provisioningDemand)
      demand.set(optionDemand.option, (demand.get(optionDemand.option) ?? 0) + optionDemand.machines);
    if (group.expected) {
      for (const placement of placed) result.heldForExpected.add(placement.machine);
      return;
    }
    if (laterCount > 0) result.awaiting.set(group.job, laterCount);
    const unplacedCount = group.pending - placedCount - laterCount;
    if (unplacedCount > 0) result.unplaced.set(group.job, unplacedCount);
    else result.unplaced.delete(group.job);
    if (group.gang && placedCount < group.pending) {
      // If all other tasks wait for future capacity or for machines to be rented, the free resources found stay
      // allocated to the gang in this round. Otherwise the round is repeated without the gang.
      if (placedCount > 0 && unplacedCount > 0) dropped.push(group.job);
      return;
    }
    result.placements.push(...placed);
  });
  for (const [option, amount] of demand) {
    // A small fraction of a further machine isn't worth renting one: its tasks find free capacity when others end.
    const ignoredFraction = amount > 1 ? costs.roundDownFraction : 1e-6;
    result.demand.set(option, Math.max(1, Math.ceil(amount - ignoredFraction)));
  }
  return dropped;
}
