import {
  fetchTime,
  fits,
  allocate,
  type TaskGroup,
  type MachineSnapshot,
  type ProvisioningOption,
  type Resources,
} from './snapshot.ts';

/** What a group's tasks can flow to. Machines that are equal to all groups of a round share one. */
export interface Target {
  node: number;
  kind: 'now' | 'later' | 'rent';
  type: number;
  zone: number;
  spot: boolean;
  price: number;
  /** The job these machines are kept free for, or -1. */
  holder: number;
  /** now: the equal machines. */
  views: MachineSnapshot[];
  /** later: parts of machines' rooms that come at about the same time. */
  parts: Part[];
  /** later: seconds until they come, on average. */
  inS: number;
  option: ProvisioningOption | null;
  /** Tasks one machine takes (now) or all parts take (later, rent) of the group that fits best. */
  slots: number;
  /** Tasks that could go there. */
  wanted: number;
  /** Tasks it takes by kind of need. */
  fitting: Int32Array;
}

interface Part {
  view: MachineSnapshot;
  /** Index into `releases`; -1: the room of a machine that is yet to come up. */
  step: number;
}

const UNKNOWN = -1;
/** Of more parts than this some stand for all: how much is to come only weighs waiting against renting. */
const MOST_COUNTED = 12;

/** With no more machines than this each part of their room to come stands for itself. */
const FEW_MACHINES = 100;

/** Room to come within the same of these bounds is as good as the same. */
const BUCKETS_S = [3, 8, 15, 30, 50, 80, 130, 200, 300];

function bucketOf(inS: number): number {
  let at = 0;
  while (at < BUCKETS_S.length && inS > BUCKETS_S[at]!) at += 1;
  return at;
}

/** Equal needs of several groups are counted once. */
export class Needs {
  readonly list: Resources[] = [];
  private readonly byKey = new Map<string, number>();
  private least: Resources = { cpus: Infinity, gpus: Infinity, memory: Infinity };

  index(need: Resources): number {
    const key = `${need.cpus}/${need.gpus}/${need.memory}`;
    let found = this.byKey.get(key);
    if (found === undefined) {
      found = this.list.length;
      this.list.push(need);
      this.byKey.set(key, found);
      const { cpus, gpus, memory } = this.least;
      this.least = {
        cpus: Math.min(cpus, need.cpus),
        gpus: Math.min(gpus, need.gpus),
        memory: Math.min(memory, need.memory),
      };
    }
    return found;
  }

  /** False: nobody's task fits in there. */
  anyFits(room: Resources): boolean {
    return fits(this.least, room) > 0;
  }
}

/** What tells machines with free room apart, as far as the groups of this round can see. */
function likeness(
  m: MachineSnapshot,
  images: ReadonlyMap<string, number>,
  holder: number,
  alone: boolean,
): string {
  let fetches = 0;
  for (const [image, gb] of images) fetches = (Math.imul(fetches, 31) + Math.round(m.fetchS(image, gb))) | 0;
  const { cpus, gpus, memory } = m.free;
  const self = alone ? m.machine : '';
  return `${m.type}/${m.zone}/${m.spot}/${cpus}/${gpus}/${memory}/${m.load}/${m.warm}/${m.surplus}/${m.penalty}/${holder}/${fetches}/${self}`;
}

/** Makes the middle of the graph: classes of equal machines, room to come by time, machines to be rented. */
export function makeTargets(
  groups: readonly TaskGroup[],
  needs: Needs,
  machines: readonly MachineSnapshot[],
  rentable: readonly ProvisioningOption[],
  reserved: ReadonlyMap<number, number>,
): Target[] {
  const targets: Target[] = [];
  const byKey = new Map<string, Target>();
  const images = new Map<string, number>();
  const alone = new Set<number>();
  for (const g of groups) {
    images.set(g.image, g.imageGb);
    for (const machine of g.excludedMachines) alone.add(machine);
    if (g.nominatedMachine >= 0) alone.add(g.nominatedMachine);
  }
  const add = (kind: Target['kind'], like: MachineSnapshot | ProvisioningOption, holder: number): Target => {
    const { type, zone, spot, price } = like;
    const target: Target = {
      node: -1,
      kind,
      type,
      zone,
      spot,
      price,
      holder,
      views: [],
      parts: [],
      inS: 0,
      option: null,
      slots: 0,
      wanted: 0,
      fitting: new Int32Array(needs.list.length).fill(UNKNOWN),
    };
    targets.push(target);
    return target;
  };
  const later = new Map<number, Target>();
  const apart = machines.length <= FEW_MACHINES;
  const addPart = (view: MachineSnapshot, inS: number, step: number): void => {
    const place = (view.type * 1024 + view.zone) * 2 + (view.spot ? 1 : 0);
    const key = place * (BUCKETS_S.length + 1) + bucketOf(inS);
    let target = apart ? undefined : later.get(key);
    if (!target) {
      target = add('later', view, apart ? (reserved.get(view.machine) ?? -1) : -1);
      later.set(key, target);
    }
    target.inS += (inS - target.inS) / (target.parts.length + 1);
    target.parts.push({ view, step });
  };
  for (const m of machines) {
    if (needs.anyFits(m.free)) {
      if (m.bootsInS > 0) {
        addPart(m, m.bootsInS, -1);
      } else {
        const holder = reserved.get(m.machine) ?? -1;
        const key = likeness(m, images, holder, alone.has(m.machine));
        let target = byKey.get(key);
        if (!target) {
          target = add('now', m, holder);
          byKey.set(key, target);
        }
        target.views.push(m);
      }
    }
    m.releases.forEach((step, at) => {
      addPart(m, step.inS, at);
    });
  }
  for (const o of rentable) add('rent', o, -1).option = o;
  return targets;
}

/** Tasks of one need that a target takes; of equal machines, of one of them. */
export function fitting(target: Target, needs: Needs, index: number): number {
  const known = target.fitting[index]!;
  if (known !== UNKNOWN) return known;
  const need = needs.list[index]!;
  let count: number;
  if (target.kind === 'now') count = fits(need, target.views[0]!.free);
  else if (target.option) count = fits(need, target.option.size) * target.option.max;
  else count = fittingParts(target.parts, need);
  target.fitting[index] = count;
  return count;
}

function fittingParts(parts: readonly Part[], need: Resources): number {
  const stride = Math.max(1, parts.length / MOST_COUNTED);
  let count = 0;
  let counted = 0;
  for (let at = 0; at < parts.length; at += stride) {
    const { view, step } = parts[Math.floor(at)]!;
    counted += 1;
    if (step < 0) {
      count += fits(need, view.free);
      continue;
    }
    const room = { ...view.free };
    for (let s = 0; s < step; s++) allocate(room, view.releases[s]!.room, -1);
    const before = fits(need, room);
    allocate(room, view.releases[step]!.room, -1);
    count += Math.max(0, fits(need, room) - before);
  }
  return Math.round((count * parts.length) / Math.max(1, counted));
}

/** Seconds until an image is on a machine of the target: of one of the equal ones, or on average. */
export function fetchOn(target: Target, image: string, gb: number): number {
  if (target.option) return fetchTime(gb, target.option.fetchGbPerS);
  if (target.kind === 'now') return target.views[0]!.fetchS(image, gb);
  // A few are asked for all: it only weighs waiting against renting.
  const asked = Math.min(4, target.parts.length);
  let sum = 0;
  for (let i = 0; i < asked; i++) sum += target.parts[i]!.view.fetchS(image, gb);
  return sum / asked;
}

/** Whether the group may use machines of this kind at all. */
export function allowed(group: TaskGroup, type: number, zone: number, spot: boolean): boolean {
  if (spot && !group.spot) return false;
  if (group.zone >= 0 && group.zone !== zone) return false;
  return group.types === null || group.types.has(type);
}
