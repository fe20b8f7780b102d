import { required } from '../base/required.ts';
import { allowed, fetchOn, fitting, type Needs, type Target } from './targets.ts';
import { BAND, urgency } from './urgency.ts';
import {
  fits,
  groupFits,
  quotaFits,
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
const PARK_STEPS = 2000;
/** More images than this don't make a machine any warmer. */
const MOST_WARM = 3;

const clamp = (cost: number): number => Math.min(BAND - 1, Math.max(0, Math.round(cost)));

/** What a group's tasks can flow to, and what each costs there. */
export interface Bid {
  target: Target;
  /** Tasks of the group that one machine takes (now), or all of the target. */
  each: number;
  count: number;
  cost: number;
}

/** One group's part of the network. It is the same in every pass of a round, and is made once. */
export interface GroupPlan {
  group: TaskGroup;
  wanted: number;
  press: number;
  /** The zone that was chosen for a group that must stay together, or -1. */
  zone: number;
  bids: Bid[];
}

/** Tasks of the group that its team's limit takes; a gang goes whole or not at all. */
export function wantedOf(group: TaskGroup, teamRoom: readonly QuotaHeadroom[]): number {
  const limit = quotaFits(group.need, required(teamRoom[group.team], 'room of the team'));
  if (group.gang) return limit >= group.pending ? group.pending : 0;
  return Math.min(group.pending, limit);
}

/** A task's cost on a machine besides its load: the image, the price of a type it doesn't need, known faults. */
function machineCost(
  group: TaskGroup,
  m: MachineSnapshot,
  each: number,
  cheapest: number,
  options: CostOptions,
): number {
  // One fetch serves all of the group's tasks that go there.
  const fetch = m.fetchS(group.image, group.imageGb) / Math.max(1, Math.min(each, group.pending));
  const dearer = Math.max(0, m.price - cheapest);
  const parked = m.surplus && !group.latencySensitive ? PARK_STEPS : 0;
  // Machines with the images of classes that must start soon are left to those, as far as others will do.
  const lacking = Math.max(0, MOST_WARM - m.warm);
  const affinity =
    (group.expected ? lacking : group.latencySensitive ? 0 : Math.min(MOST_WARM, m.warm)) * options.warmSteps;
  return (fetch * options.fetchSteps + dearer * options.priceSteps + m.penalty + affinity + parked) * STEP;
}

/**
 * Makes the plans of a round. Jobs of one class may use the same machines: which those are is found once for all
 * of them, since looking at every target for every group was most of a round of some hundred machines.
 */
export class Planner {
  private readonly usable = new Map<string, Target[]>();

  constructor(
    private readonly needs: Needs,
    private readonly targets: readonly Target[],
    private readonly options: CostOptions,
  ) {}

  private usableFor(group: TaskGroup, need: number): Target[] {
    const types = group.types ? [...group.types].join() : '*';
    const key = `${types}/${group.zone}/${group.spot}/${need}`;
    let found = this.usable.get(key);
    if (!found) {
      found = this.targets.filter(
        (t) => allowed(group, t.type, t.zone, t.spot) && fitting(t, this.needs, need) > 0,
      );
      this.usable.set(key, found);
    }
    return found;
  }

  plan(group: TaskGroup, teamRoom: readonly QuotaHeadroom[]): GroupPlan | null {
    const wanted = wantedOf(group, teamRoom);
    if (wanted === 0) return null;
    const need = this.needs.index(group.need);
    const press = urgency(group, this.options.reserveAfterMs);
    let usable = this.usableFor(group, need);
    const zone = group.oneZone ? pickZone(group, need, wanted, this.needs, usable) : -1;
    const plan: GroupPlan = { group, wanted, press, zone, bids: [] };
    if (group.oneZone && zone < 0) return plan;
    if (zone >= 0) usable = usable.filter((t) => t.zone === zone);
    let cheapest = Infinity;
    for (const t of usable) if (t.kind !== 'later') cheapest = Math.min(cheapest, t.price);
    for (const target of usable) {
      if (target.holder >= 0 && target.holder !== group.job) continue;
      if (group.nominatedMachine >= 0 && target.views[0]?.machine !== group.nominatedMachine) continue;
      const bid = this.bid(group, target, fitting(target, this.needs, need), wanted, press, cheapest);
      if (bid) plan.bids.push(bid);
    }
    return plan;
  }

  private bid(
    group: TaskGroup,
    target: Target,
    each: number,
    wanted: number,
    press: number,
    cheapest: number,
  ): Bid | null {
    const { options } = this;
    if (target.kind === 'now') {
      const first = required(target.views[0], 'machine of the target');
      if (group.excludedMachines.has(first.machine)) return null;
      const room = group.bestEffort ? groupFits(group, first.free, first.perAccelerator) : each;
      if (room === 0) return null;
      // An idle machine beyond the present need had better go back than be kept up for it.
      if (first.surplus && first.load === 0 && first.price / room > group.maxProvisionPrice) return null;
      const count = Math.min(wanted, room * target.views.length);
      return { target, each: room, count, cost: clamp(machineCost(group, first, each, cheapest, options)) };
    }
    if (target.kind === 'rent' && !group.mayProvision) return null;
    const fetchS = fetchOn(target, group.image, group.imageGb);
    const count = Math.min(wanted, each);
    if (!target.option)
      return { target, each, count, cost: BAND + press + clamp((fetchS + target.inS) * STEP) };
    const { price, bootS, size } = target.option;
    const waitS = bootS + fetchS + group.maxQueueingDelayS + options.rentBiasS;
    const perTask = price / fits(group.need, size);
    if (perTask > group.maxProvisionPrice) return null;
    const cost = BAND + press + clamp(perTask * options.rentSteps + waitS * STEP);
    return { target, each, count, cost };
  }
}
