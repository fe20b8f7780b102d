/** Plans each task group's part of the flow network: the targets that it can use, and the cost of each. */
import { required } from '../base/required.ts';
import {
  isAllowed,
  estimateFetchS,
  countFittingOnTarget,
  type DistinctNeeds,
  type Target,
} from './targets.ts';
import { COST_BAND, computeUrgency } from './urgency.ts';
import {
  countFittingTasks,
  countFittingGroupTasks,
  countTasksWithinQuota,
  type TaskGroup,
  type MachineSnapshot,
  type QuotaHeadroom,
} from './snapshot.ts';
import { pickZone } from './zones.ts';

/** Weights of the costs in the flow network, from the options file. */
export interface CostOptions {
  /** Waiting time after which machines are reserved for a job. */
  reserveAfterMs: number;
  /** Seconds by which capacity on a machine that is already paid for may come later than on a newly rented one. */
  rentBiasS: number;
  /** Cost steps per image of latency-sensitive classes on a machine, for tasks of other classes. */
  warmSteps: number;
  /** Cost steps per second of image fetch. */
  fetchSteps: number;
  /** Cost of a machine to be rented, in tenths of a step per unit of hourly price per task. */
  rentSteps: number;
  /** Cost steps per unit of hourly price by which a machine exceeds the cheapest that fits. */
  priceSteps: number;
}

/** Cost of one step: each further task on a machine costs one step more. Preferences can be finer than a step. */
export const STEP = 10;
/** Cost steps of a surplus machine: more than load and preferences add on any other present machine. */
const SURPLUS_STEPS = 2000;
/** Further warm images on a machine don't change its cost. */
const MAX_WARM_IMAGES = 3;

const clampToBand = (cost: number): number => Math.min(COST_BAND - 1, Math.max(0, Math.round(cost)));

/** An arc from a task group to a target. */
export interface PreferenceArc {
  target: Target;
  /** Tasks of the group that fit on one machine of the target (kind `now`) or on the whole target. */
  slots: number;
  /** Tasks of the group that the whole target may take. */
  capacity: number;
  /** Cost of each task. */
  cost: number;
}

/** One group's part of the flow network. It is the same in every pass of a round, so it is made once. */
export interface GroupPlan {
  group: TaskGroup;
  /** Tasks that may be placed within the team's quota. */
  wanted: number;
  /** See `computeUrgency`. */
  urgency: number;
  /** The zone chosen for a group that must stay together, or -1. */
  zone: number;
  preferenceArcs: PreferenceArc[];
}

/** Number of the group's tasks that its team's quota admits; a gang is admitted whole or not at all. */
export function countAdmissibleTasks(group: TaskGroup, quotaHeadroom: readonly QuotaHeadroom[]): number {
  const limit = countTasksWithinQuota(
    group.need,
    required(quotaHeadroom[group.team], 'quota headroom of the team'),
  );
  if (group.gang) return limit >= group.pending ? group.pending : 0;
  return Math.min(group.pending, limit);
}

/**
 * Cost of a task on a present machine besides the machine's load: the image fetch, a price above the cheapest usable
 * machine, known faults, images that other classes need, and surplus.
 */
function computeMachineCost(
  group: TaskGroup,
  machine: MachineSnapshot,
  fittingTasks: number,
  cheapestPrice: number,
  costs: CostOptions,
): number {
  // One fetch of the image serves all of the group's tasks on the machine.
  const fetchS =
    machine.fetchS(group.image, group.imageGb) / Math.max(1, Math.min(fittingTasks, group.pending));
  const markup = Math.max(0, machine.price - cheapestPrice);
  const surplus = machine.surplus && !group.latencySensitive ? SURPLUS_STEPS : 0;
  // Machines with images of latency-sensitive classes are left to these classes while other machines suffice. Free
  // capacity for expected tasks is held on the machines with the most such images.
  const missingWarmImages = Math.max(0, MAX_WARM_IMAGES - machine.warmImageCount);
  const images =
    (group.expected
      ? missingWarmImages
      : group.latencySensitive
        ? 0
        : Math.min(MAX_WARM_IMAGES, machine.warmImageCount)) * costs.warmSteps;
  return (fetchS * costs.fetchSteps + markup * costs.priceSteps + machine.penalty + images + surplus) * STEP;
}

/**
 * Makes the plans of a round. Jobs of one class can use the same targets, so these are found once for all of them:
 * checking every target for every group takes most of a round with some hundred machines.
 */
export class GroupPlanner {
  private readonly usableByKey = new Map<string, Target[]>();

  constructor(
    private readonly needs: DistinctNeeds,
    private readonly targets: readonly Target[],
    private readonly options: CostOptions,
  ) {}

  private findUsableTargets(group: TaskGroup, needIndex: number): Target[] {
    const types = group.types ? [...group.types].join() : '*';
    const key = `${types}/${group.zone}/${group.spot}/${needIndex}`;
    let usableTargets = this.usableByKey.get(key);
    if (!usableTargets) {
      usableTargets = this.targets.filter(
        (t) => isAllowed(group, t.type, t.zone, t.spot) && countFittingOnTarget(t, this.needs, needIndex) > 0,
      );
      this.usableByKey.set(key, usableTargets);
    }
    return usableTargets;
  }

  /** Plans one group; null if its team's quota admits none of its tasks. */
  planGroup(group: TaskGroup, quotaHeadroom: readonly QuotaHeadroom[]): GroupPlan | null {
    const wanted = countAdmissibleTasks(group, quotaHeadroom);
    if (wanted === 0) return null;
    const needIndex = this.needs.getOrAddIndex(group.need);
    const urgency = computeUrgency(group, this.options.reserveAfterMs);
    let usable = this.findUsableTargets(group, needIndex);
    const zone = group.oneZone ? pickZone(group, needIndex, wanted, this.needs, usable) : -1;
    const plan: GroupPlan = { group, wanted, urgency, zone, preferenceArcs: [] };
    if (group.oneZone && zone < 0) return plan;
    if (zone >= 0) usable = usable.filter((t) => t.zone === zone);
    let cheapestPrice = Infinity;
    for (const target of usable)
      if (target.kind !== 'later') cheapestPrice = Math.min(cheapestPrice, target.price);
    for (const target of usable) {
      if (target.reservedFor >= 0 && target.reservedFor !== group.job) continue;
      if (group.nominatedMachine >= 0 && target.snapshots[0]?.machine !== group.nominatedMachine) continue;
      const arc = this.makePreferenceArc(
        group,
        target,
        countFittingOnTarget(target, this.needs, needIndex),
        wanted,
        urgency,
        cheapestPrice,
      );
      if (arc) plan.preferenceArcs.push(arc);
    }
    return plan;
  }

  private makePreferenceArc(
    group: TaskGroup,
    target: Target,
    fittingTasks: number,
    wanted: number,
    urgency: number,
    cheapestPrice: number,
  ): PreferenceArc | null {
    const { options } = this;
    if (target.kind === 'now') {
      const snapshot = required(target.snapshots[0], 'machine of the target');
      if (group.excludedMachines.has(snapshot.machine)) return null;
      const slots = group.bestEffort
        ? countFittingGroupTasks(group, snapshot.free, snapshot.perAccelerator)
        : fittingTasks;
      if (slots === 0) return null;
      // An idle surplus machine whose price per task is too high for the group is terminated rather than kept for it.
      if (snapshot.surplus && snapshot.load === 0 && snapshot.price / slots > group.maxProvisionPrice)
        return null;
      const capacity = Math.min(wanted, slots * target.snapshots.length);
      return {
        target,
        slots,
        capacity,
        cost: clampToBand(computeMachineCost(group, snapshot, fittingTasks, cheapestPrice, options)),
      };
    }
    if (target.kind === 'rent' && !group.mayProvision) return null;
    const fetchS = estimateFetchS(target, group.image, group.imageGb);
    const capacity = Math.min(wanted, fittingTasks);
    if (!target.option)
      return {
        target,
        slots: fittingTasks,
        capacity,
        cost: COST_BAND + urgency + clampToBand((fetchS + target.inS) * STEP),
      };
    const { price, bootS, size } = target.option;
    const waitS = bootS + fetchS + group.maxQueueingDelayS + options.rentBiasS;
    const pricePerTask = price / countFittingTasks(group.need, size);
    if (pricePerTask > group.maxProvisionPrice) return null;
    const cost = COST_BAND + urgency + clampToBand(pricePerTask * options.rentSteps + waitS * STEP);
    return { target, slots: fittingTasks, capacity, cost };
  }
}
