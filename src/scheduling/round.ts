import { FlowNetwork } from './solver.ts';
import {
  fetchTime,
  fits,
  takeRoom,
  teamFits,
  type GroupView,
  type MachineView,
  type OptionView,
  type Placement,
  type Room,
  type RoundResult,
  type TeamRoom,
} from './view.ts';

export interface RoundOptions {
  /** A job that waited longer keeps its nearest fitting machines free. */
  reserveAfterMs: number;
  /** Groups in one round; the others wait for the next. */
  maxGroups: number;
  /** The part of a further machine that is not rented for. */
  rentRound: number;
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
const STEP = 10;
/** Costs on present machines stay below one band, those of room that is yet to come below the second. */
const BAND = 100_000;
/** More than any load or preference adds on a present machine. */
const PARK_STEPS = 2000;
/** More images than this don't make a machine any warmer. */
const MOST_WARM = 3;
/** Dearer than any machine, whatever the group's urgency adds. */
const UNSCHEDULED = 30 * BAND;

/** A machine's free room, a part of its room that running tasks will leave, or a machine that could be rented. */
interface Target {
  node: number;
  view: MachineView | null;
  /** Index into `leaving` of the view, or -1 for the room that is free now. */
  step: number;
  /** The machine's room before and with this part. */
  before: Room;
  room: Room;
  option: OptionView | null;
  /** Tasks it takes in all, and tasks that could go there. */
  slots: number;
  wanted: number;
}

const NO_ROOM: Room = { cpus: -1, gpus: -1, memory: -1 };

interface Edge {
  group: number;
  target: number;
  arc: number;
}

function allowed(group: GroupView, type: number, zone: number, spot: boolean): boolean {
  if (spot && !group.spot) return false;
  if (group.zone >= 0 && group.zone !== zone) return false;
  return group.types === null || group.types.has(type);
}

const clamp = (cost: number): number => Math.min(BAND - 1, Math.max(0, Math.round(cost)));

/** A task's cost on a machine besides its load: the image, the price of a type it doesn't need, known faults. */
function machineCost(group: GroupView, m: MachineView, cheapest: number, options: RoundOptions): number {
  const fetch = m.fetchS(group.image, group.imageGb);
  const dearer = Math.max(0, m.price - cheapest);
  const parked = m.parked && !group.quick ? PARK_STEPS : 0;
  // Machines with the images of classes that must start soon are left to those, as far as others will do.
  const lacking = Math.max(0, MOST_WARM - m.warm);
  const affinity =
    (group.expected ? lacking : group.quick ? 0 : Math.min(MOST_WARM, m.warm)) * options.warmSteps;
  return (fetch * options.fetchSteps + dearer * options.priceSteps + m.penalty + affinity + parked) * STEP;
}

/** The one zone for a group that must stay together: where its tasks are, else where most fits, else cheapest. */
function pickZone(
  group: GroupView,
  machines: readonly MachineView[],
  options: readonly OptionView[],
): number {
  for (const [zone, count] of group.liveByZone) if (count > 0) return zone;
  if (group.zone >= 0) return group.zone;
  const score = new Map<number, number>();
  const add = (zone: number, amount: number): void => {
    score.set(zone, (score.get(zone) ?? 0) + amount);
  };
  const now = new Map<number, number>();
  for (const m of machines) {
    if (!allowed(group, m.type, m.zone, m.spot) || group.avoid.has(m.machine)) continue;
    const count = fits(group.need, m.free);
    if (count === 0) continue;
    if (m.bootsInS === 0) now.set(m.zone, (now.get(m.zone) ?? 0) + count);
    const image = m.fetchS(group.image, group.imageGb) === 0 ? 0.5 : 0;
    add(
      m.zone,
      m.bootsInS === 0 ? Math.min(count, group.pending) * (2 + image) : Math.min(count, group.pending),
    );
  }
  for (const [zone, count] of now) if (count >= group.pending) add(zone, 10_000 - zone);
  for (const o of options) {
    if (!allowed(group, o.type, o.zone, o.spot)) continue;
    const count = Math.min(fits(group.need, o.size) * o.max, group.pending);
    add(o.zone, (count * 0.5) / (1 + o.price));
  }
  let best = -1;
  let bestScore = 0;
  for (const [zone, value] of score) {
    if (value > bestScore) {
      best = zone;
      bestScore = value;
    }
  }
  return best;
}

/** Machines kept free for jobs that wait long: per job the nearest to fitting, as many as it would need. */
function reserve(
  groups: readonly GroupView[],
  machines: readonly MachineView[],
  sizeOf: (type: number) => { cpus: number; gpus: number; memory: number } | null,
  options: RoundOptions,
): Map<number, number> {
  const reserved = new Map<number, number>();
  for (const group of groups) {
    if (group.waitedMs < options.reserveAfterMs) continue;
    const candidates = machines
      .filter((m) => {
        const size = sizeOf(m.type);
        return (
          m.bootsInS === 0 &&
          !reserved.has(m.machine) &&
          allowed(group, m.type, m.zone, m.spot) &&
          !group.avoid.has(m.machine) &&
          size !== null &&
          fits(group.need, size) > 0
        );
      })
      .map((m) => ({ m, missing: m.load - fits(group.need, m.free) * 100 }))
      .sort((a, b) => a.missing - b.missing);
    let want = group.pending;
    for (const { m } of candidates.slice(0, 4)) {
      if (want <= 0) break;
      reserved.set(m.machine, group.job);
      want -= Math.max(1, fits(group.need, sizeOf(m.type)!));
    }
  }
  return reserved;
}

/** From 0, not pressing, to 1: about to be late. What is late already makes way for what is not. */
function pressure(slackS: number): number {
  return slackS < 0 ? 0 : 60 / (60 + slackS);
}

function urgency(group: GroupView): number {
  if (group.expected) return 0;
  // Rank first, then a team's guarantee, then who will be late soonest, then who waited longest.
  return (
    BAND +
    group.priority * 2 * BAND +
    (group.guaranteed ? BAND : 0) +
    Math.round(BAND * 0.6 * pressure(group.slackS)) +
    Math.min(BAND * 0.4 - 1, Math.round(group.waitedMs / 25))
  );
}

/**
 * One flow round: groups on the left, machines (present, booting, rentable) in the middle, the sink on the
 * right, and the unscheduled node that every group can reach. Placements that don't fit together wait.
 */
export function runRound(
  allGroups: readonly GroupView[],
  machines: readonly MachineView[],
  rentable: readonly OptionView[],
  teamRoom: readonly TeamRoom[],
  sizeOf: (type: number) => { cpus: number; gpus: number; memory: number } | null,
  options: RoundOptions,
  expired: () => boolean = () => false,
): RoundResult {
  const ordered = [...allGroups].sort((a, b) => urgency(b) - urgency(a));
  const groups = ordered.slice(0, options.maxGroups);
  const result: RoundResult = {
    placements: [],
    rents: new Map(),
    awaiting: new Map(),
    unplaced: new Map(),
    held: new Set(),
    reserved: reserve(groups, machines, sizeOf, options),
  };
  for (const group of groups) if (group.only >= 0) result.reserved.set(group.only, group.job);
  // A gang of which only a part found room must not hold the rest back: it is left out and the round repeated.
  const skipped = new Set<number>();
  for (let pass = 0; pass < 3; pass++) {
    const left = groups.filter((g) => !skipped.has(g.job));
    const found = {
      ...result,
      placements: [],
      rents: new Map(),
      awaiting: new Map(),
      held: new Set<number>(),
    };
    const dropped = solveOnce(left, machines, rentable, teamRoom, options, found, expired);
    // Out of time, what an earlier pass has found stands: this one found less.
    if (pass > 0 && expired()) break;
    Object.assign(result, found);
    if (dropped.length === 0) break;
    for (const job of dropped) skipped.add(job);
  }
  return result;
}

function solveOnce(
  groups: readonly GroupView[],
  machines: readonly MachineView[],
  rentable: readonly OptionView[],
  teamRoom: readonly TeamRoom[],
  options: RoundOptions,
  result: RoundResult,
  expired: () => boolean,
): number[] {
  const net = new FlowNetwork();
  const source = net.addNode();
  const sink = net.addNode();
  const unscheduled = net.addNode();
  const targets: Target[] = [];
  for (const view of machines) {
    let before = NO_ROOM;
    let room = view.free;
    for (let step = -1; step < view.leaving.length; step++) {
      if (step >= 0) {
        before = room;
        room = { ...room };
        takeRoom(room, view.leaving[step]!.room, -1);
      }
      targets.push({ node: net.addNode(), view, step, before, room, option: null, slots: 0, wanted: 0 });
    }
  }
  for (const option of rentable) {
    const node = net.addNode();
    targets.push({
      node,
      view: null,
      step: -1,
      before: NO_ROOM,
      room: option.size,
      option,
      slots: 0,
      wanted: 0,
    });
  }
  const edges: Edge[] = [];
  let supply = 0;

  groups.forEach((group, index) => {
    const wanted = Math.min(group.pending, teamFits(group.need, teamRoom[group.team]!));
    if (wanted <= 0 || (group.gang && wanted < group.pending)) return;
    const node = net.addNode();
    net.addArc(source, node, wanted, 0);
    // Urgency counts once between room now and room to come, and again between that and no room at all.
    const press = urgency(group);
    net.addArc(node, unscheduled, wanted, UNSCHEDULED + 2 * press);
    supply += wanted;
    const onlyZone = group.oneZone ? pickZone(group, machines, rentable) : -1;
    if (group.oneZone && onlyZone < 0) return;
    const zoneNodes = new Map<number, number>();
    const entry = (zone: number): number => {
      if (group.zoneCap === Infinity) return node;
      let found = zoneNodes.get(zone);
      if (found === undefined) {
        found = net.addNode();
        zoneNodes.set(zone, found);
        net.addArc(node, found, Math.max(0, group.zoneCap - (group.liveByZone.get(zone) ?? 0)), 0);
      }
      return found;
    };
    const usable = (type: number, zone: number, spot: boolean): boolean =>
      allowed(group, type, zone, spot) && (onlyZone < 0 || onlyZone === zone);
    let cheapest = Infinity;
    for (const { view, option } of targets) {
      const place = view ?? option!;
      if (!usable(place.type, place.zone, place.spot)) continue;
      if (fits(group.need, view ? view.free : option!.size) > 0) cheapest = Math.min(cheapest, place.price);
    }
    targets.forEach((target, at) => {
      const { view, option } = target;
      const place = view ?? option!;
      if (!usable(place.type, place.zone, place.spot)) return;
      if (view) {
        if (group.avoid.has(view.machine)) return;
        if (group.only >= 0 && group.only !== view.machine) return;
        const holder = result.reserved.get(view.machine);
        if (holder !== undefined && holder !== group.job) return;
        const step = target.step;
        const fresh = fits(group.need, target.room) - fits(group.need, target.before);
        const count = Math.min(wanted, fresh);
        if (count <= 0) return;
        const own = machineCost(group, view, cheapest, options);
        const later = step < 0 ? view.bootsInS : view.leaving[step]!.inS;
        const cost =
          later > 0
            ? BAND + press + clamp((view.fetchS(group.image, group.imageGb) + later) * STEP)
            : clamp(own);
        edges.push({ group: index, target: at, arc: net.addArc(entry(view.zone), target.node, count, cost) });
        // Room for all groups together, not for the largest one: a machine once took no more than that in a round.
        target.slots = Math.max(target.slots, fresh);
        target.wanted += count;
      } else if (option && group.only < 0) {
        const each = fits(group.need, option.size);
        const count = Math.min(wanted, each * option.max);
        if (count === 0) return;
        const waitS =
          option.bootS + fetchTime(group.imageGb, option.fetchGbPerS) + group.patienceS + options.rentBiasS;
        const cost = BAND + press + clamp((option.price / each) * options.rentSteps + waitS * STEP);
        edges.push({
          group: index,
          target: at,
          arc: net.addArc(entry(option.zone), target.node, count, cost),
        });
        target.slots = Math.max(target.slots, each * option.max);
        target.wanted += count;
      }
    });
  });
  for (const target of targets) {
    const slots = Math.min(target.slots, target.wanted);
    if (slots === 0) continue;
    if (target.option || target.step >= 0) {
      net.addArc(target.node, sink, slots, 0);
      continue;
    }
    const load = target.view!.load;
    for (let k = 0; k < slots; k++) net.addArc(target.node, sink, 1, (load + k) * STEP);
  }
  net.addArc(unscheduled, sink, supply, 0);
  net.solve(source, sink, supply, expired);
  return extract(groups, targets, edges, net, teamRoom, options, result);
}

/** Takes the placements out of the flow, in order of urgency, as far as room and limits really allow. */
function extract(
  groups: readonly GroupView[],
  targets: readonly Target[],
  edges: readonly Edge[],
  net: FlowNetwork,
  teamRoom: readonly TeamRoom[],
  options: RoundOptions,
  result: RoundResult,
): number[] {
  const rooms = targets.map((t) => (t.view && t.step < 0 ? { ...t.view.free } : null));
  const teams = teamRoom.map((t) => ({ ...t }));
  const demand = new Map<number, number>();
  const dropped: number[] = [];
  const byGroup: Edge[][] = groups.map(() => []);
  for (const edge of edges) if (net.flow(edge.arc) > 0) byGroup[edge.group]!.push(edge);
  groups.forEach((group, index) => {
    const placed: Placement[] = [];
    let total = 0;
    let later = 0;
    const wants: { option: number; machines: number }[] = [];
    for (const edge of byGroup[index]!) {
      const target = targets[edge.target]!;
      let count = net.flow(edge.arc);
      if (target.option) {
        wants.push({ option: target.option.option, machines: count / fits(group.need, target.option.size) });
        later += count;
        continue;
      }
      const room = rooms[edge.target];
      if (!room) {
        later += count;
        continue;
      }
      count = Math.min(count, fits(group.need, room), teamFits(group.need, teams[group.team]!));
      if (count <= 0) continue;
      takeRoom(room, group.need, count);
      if (target.view!.bootsInS > 0) {
        later += count;
        continue;
      }
      teams[group.team]!.cpus -= group.need.cpus * count;
      teams[group.team]!.gpus -= group.need.gpus * count;
      placed.push({ job: group.job, machine: target.view!.machine, count });
      total += count;
    }
    for (const want of wants) demand.set(want.option, (demand.get(want.option) ?? 0) + want.machines);
    if (group.expected) {
      for (const p of placed) result.held.add(p.machine);
      return;
    }
    if (later > 0) result.awaiting.set(group.job, later);
    const missing = group.pending - total - later;
    if (missing > 0) result.unplaced.set(group.job, missing);
    else result.unplaced.delete(group.job);
    if (group.gang && total < group.pending) {
      // With the rest on its way the room found is kept; otherwise the gang steps back for this round.
      if (total > 0 && missing > 0) dropped.push(group.job);
      return;
    }
    result.placements.push(...placed);
  });
  for (const [option, amount] of demand) {
    // A small part of a further machine isn't worth one: those tasks find room when others end.
    const spared = amount > 1 ? options.rentRound : 1e-6;
    result.rents.set(option, Math.max(1, Math.ceil(amount - spared)));
  }
  return dropped;
}
