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

/** Weights of the costs in the network, from the operators' options. */
export interface CostOptions {
  /** A job that waited longer keeps its nearest fitting machines free. */
  reserveAfterMs: number;
  /** Seconds that room of a machine already paid for may come later than that of one rented for it. */
  rentBiasS: number;
  /** Cost steps per image that a quick class has on a machine, for tasks of other classes. */
  warmSteps: number;
  /** Cost steps per second of image fetch. */
  fetchSteps: number;
  /** Cost per unit of hourly price and task of a machine to be rented. */
  rentSteps: number;
  /** Cost steps per unit of hourly price that a machine costs over the cheapest that fits. */
  priceSteps: number;
}

/** A further task on a machine costs one step more. Steps are scaled so that preferences can be finer. */
export const STEP = 10;
/** More than any load or preference adds on a present machine. */
const SURPLUS_STEPS = 2000;
/** More images than this don't make a machine any warmer. */
const MAX_WARM_IMAGES = 3;

const clampToBand = (cost: number): number => Math.min(COST_BAND - 1, Math.max(0, Math.round(cost)));

/** What a group's tasks can flow to, and what each costs there. */
export interface PreferenceArc {
  target: Target;
  /** Tasks of the group that one machine takes (now), or all of the target. */
  slots: number;
  capacity: number;
  cost: number;
}

/** One group's part of the network. It is the same in every pass of a round, and is made once. */
export interface GroupPlan {
  group: TaskGroup;
  wanted: number;
  urgency: number;
  /** The zone that was chosen for a group that must stay together, or -1. */
  zone: number;
  preferenceArcs: PreferenceArc[];
}

/** Tasks of the group that its team's limit takes; a gang goes whole or not at all. */
export function countAdmissibleTasks(group: TaskGroup, quotaHeadroom: readonly QuotaHeadroom[]): number {
  const limit = countTasksWithinQuota(group.need, required(quotaHeadroom[group.team], 'room of the team'));
  if (group.gang) return limit >= group.pending ? group.pending : 0;
  return Math.min(group.pending, limit);
}

/** A task's cost on a machine besides its load: the image, the price of a type it doesn't need, known faults. */
function machineCost(
  group: TaskGroup,
  machine: MachineSnapshot,
  fittingTasks: number,
  cheapestPrice: number,
  costs: CostOptions,
): number {
  // One fetch serves all of the group's tasks that go there.
  const fetchS =
    machine.fetchS(group.image, group.imageGb) / Math.max(1, Math.min(fittingTasks, group.pending));
  const markup = Math.max(0, machine.price - cheapestPrice);
  const surplus = machine.surplus && !group.latencySensitive ? SURPLUS_STEPS : 0;
  // Machines with the images of classes that must start soon are left to those, as far as others will do.
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
 * Makes the plans of a round. Jobs of one class may use the same machines: which those are is found once for all
 * of them, since looking at every target for every group was most of a round of some hundred machines.
 */
export class GroupPlanner {
  private readonly usableByKey = new Map<string, Target[]>();

  constructor(
    private readonly needs: DistinctNeeds,
    private readonly targets: readonly Target[],
    private readonly options: CostOptions,
  ) {}

  private usableFor(group: TaskGroup, needIndex: number): Target[] {
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

  planGroup(group: TaskGroup, quotaHeadroom: readonly QuotaHeadroom[]): GroupPlan | null {
    const wanted = countAdmissibleTasks(group, quotaHeadroom);
    if (wanted === 0) return null;
    const needIndex = this.needs.addNeed(group.need);
    const urgency = computeUrgency(group, this.options.reserveAfterMs);
    let usable = this.usableFor(group, needIndex);
    const zone = group.oneZone ? pickZone(group, needIndex, wanted, this.needs, usable) : -1;
    const plan: GroupPlan = { group, wanted, urgency, zone, preferenceArcs: [] };
    if (group.oneZone && zone < 0) return plan;
    if (zone >= 0) usable = usable.filter((t) => t.zone === zone);
    let cheapestPrice = Infinity;
    for (const target of usable)
      if (target.kind !== 'later') cheapestPrice = Math.min(cheapestPrice, target.price);
    for (const target of usable) {
      if (target.holder >= 0 && target.holder !== group.job) continue;
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
      // An idle machine beyond the present need had better go back than be kept up for it.
      if (snapshot.surplus && snapshot.load === 0 && snapshot.price / slots > group.maxProvisionPrice)
        return null;
      const capacity = Math.min(wanted, slots * target.snapshots.length);
      return {
        target,
        slots,
        capacity,
        cost: clampToBand(machineCost(group, snapshot, fittingTasks, cheapestPrice, options)),
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
