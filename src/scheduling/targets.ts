/** The targets of the flow network: present machines, future capacity, and machines to be rented. */
import {
  computeFetchS,
  countFittingTasks,
  allocate,
  type TaskGroup,
  type MachineSnapshot,
  type ProvisioningOption,
  type Resources,
} from './snapshot.ts';

/** A node of the flow network that tasks can be assigned to. Machines that all groups see as equal share one. */
export interface Target {
  /** Index of the node in the network. */
  node: number;
  /** Free resources of present machines, future capacity, or machines to be rented. */
  kind: 'now' | 'later' | 'rent';
  type: number;
  zone: number;
  spot: boolean;
  price: number;
  /** The job that these machines are reserved for, or -1. */
  reservedFor: number;
  /** Kind `now`: the equivalent machines. */
  snapshots: MachineSnapshot[];
  /** Kind `later`: releases and booting machines that come at about the same time. */
  parts: Part[];
  /** Kind `later`: mean seconds until they come. */
  inS: number;
  /** Kind `rent`: the option, else null. */
  option: ProvisioningOption | null;
  /** Tasks that one machine (`now`) or the whole target (other kinds) takes, of the group that fits best. */
  slots: number;
  /** Tasks of all groups that may go there. */
  wanted: number;
  /** Tasks that fit, by index of the need; `UNKNOWN_COUNT` until counted. */
  taskCounts: Int32Array;
}

/** A release of a machine, or a machine that boots. */
interface Part {
  snapshot: MachineSnapshot;
  /** Index into the machine's `releases`; -1: the free resources of a machine that boots. */
  releaseIndex: number;
}

const UNKNOWN_COUNT = -1;
/** Of more parts than this only a sample is counted: future capacity is only weighed against renting. */
const MAX_COUNTED_PARTS = 12;

/** With no more machines than this each release and each booting machine has a target of its own. */
const MAX_UNMERGED_MACHINES = 100;

/** Upper bounds of periods: with more machines, future capacity that comes within one period shares a target. */
const BUCKET_BOUNDS_S = [3, 8, 15, 30, 50, 80, 130, 200, 300];

function findBucket(inS: number): number {
  let bucket = 0;
  while (bucket < BUCKET_BOUNDS_S.length && inS > BUCKET_BOUNDS_S[bucket]!) bucket += 1;
  return bucket;
}

/** The distinct needs of a round's tasks: for each of them, the tasks that fit on a target are counted once. */
export class DistinctNeeds {
  readonly list: Resources[] = [];
  private readonly byKey = new Map<string, number>();
  private smallest: Resources = { cpus: Infinity, gpus: Infinity, memory: Infinity };

  /** Index of a need, which is added if it is new. */
  getOrAddIndex(need: Resources): number {
    const key = `${need.cpus}/${need.gpus}/${need.memory}`;
    let index = this.byKey.get(key);
    if (index === undefined) {
      index = this.list.length;
      this.list.push(need);
      this.byKey.set(key, index);
      const { cpus, gpus, memory } = this.smallest;
      this.smallest = {
        cpus: Math.min(cpus, need.cpus),
        gpus: Math.min(gpus, need.gpus),
        memory: Math.min(memory, need.memory),
      };
    }
    return index;
  }

  /** False if no task fits. May be true although none does: the least of each resource may be of another need. */
  canFitAny(free: Resources): boolean {
    return countFittingTasks(this.smallest, free) > 0;
  }
}

/** Key of a present machine that is the same for machines that no group of the round can tell apart. */
function equivalenceKey(
  snapshot: MachineSnapshot,
  images: ReadonlyMap<string, number>,
  reservedFor: number,
  distinct: boolean,
): string {
  let fetchHash = 0;
  for (const [image, gb] of images)
    fetchHash = (Math.imul(fetchHash, 31) + Math.round(snapshot.fetchS(image, gb))) | 0;
  const { cpus, gpus, memory } = snapshot.free;
  const distinctIndex = distinct ? snapshot.machine : '';
  return `${snapshot.type}/${snapshot.zone}/${snapshot.spot}/${cpus}/${gpus}/${memory}/${snapshot.load}/${snapshot.warmImageCount}/${snapshot.surplus}/${snapshot.penalty}/${reservedFor}/${fetchHash}/${distinctIndex}`;
}

/** Makes the targets of a round: classes of equivalent machines, future capacity by time, machines to be rented. */
export function makeTargets(
  groups: readonly TaskGroup[],
  needs: DistinctNeeds,
  machines: readonly MachineSnapshot[],
  provisioningOptions: readonly ProvisioningOption[],
  reserved: ReadonlyMap<number, number>,
): Target[] {
  const targets: Target[] = [];
  const byKey = new Map<string, Target>();
  const images = new Map<string, number>();
  const distinctMachines = new Set<number>();
  for (const group of groups) {
    images.set(group.image, group.imageGb);
    for (const machine of group.excludedMachines) distinctMachines.add(machine);
    if (group.nominatedMachine >= 0) distinctMachines.add(group.nominatedMachine);
  }
  const add = (
    kind: Target['kind'],
    source: MachineSnapshot | ProvisioningOption,
    reservedFor: number,
  ): Target => {
    const { type, zone, spot, price } = source;
    const target: Target = {
      node: -1,
      kind,
      type,
      zone,
      spot,
      price,
      reservedFor,
      snapshots: [],
      parts: [],
      inS: 0,
      option: null,
      slots: 0,
      wanted: 0,
      taskCounts: new Int32Array(needs.list.length).fill(UNKNOWN_COUNT),
    };
    targets.push(target);
    return target;
  };
  const laterTargets = new Map<number, Target>();
  const unmerged = machines.length <= MAX_UNMERGED_MACHINES;
  const addPart = (snapshot: MachineSnapshot, inS: number, releaseIndex: number): void => {
    const typeZoneSpot = (snapshot.type * 1024 + snapshot.zone) * 2 + (snapshot.spot ? 1 : 0);
    const key = typeZoneSpot * (BUCKET_BOUNDS_S.length + 1) + findBucket(inS);
    let target = unmerged ? undefined : laterTargets.get(key);
    if (!target) {
      target = add('later', snapshot, unmerged ? (reserved.get(snapshot.machine) ?? -1) : -1);
      laterTargets.set(key, target);
    }
    target.inS += (inS - target.inS) / (target.parts.length + 1);
    target.parts.push({ snapshot, releaseIndex });
  };
  for (const snapshot of machines) {
    if (needs.canFitAny(snapshot.free)) {
      if (snapshot.bootsInS > 0) {
        addPart(snapshot, snapshot.bootsInS, -1);
      } else {
        const reservedFor = reserved.get(snapshot.machine) ?? -1;
        const key = equivalenceKey(snapshot, images, reservedFor, distinctMachines.has(snapshot.machine));
        let target = byKey.get(key);
        if (!target) {
          target = add('now', snapshot, reservedFor);
          byKey.set(key, target);
        }
        target.snapshots.push(snapshot);
      }
    }
    snapshot.releases.forEach((release, index) => {
      addPart(snapshot, release.inS, index);
    });
  }
  for (const option of provisioningOptions) add('rent', option, -1).option = option;
  return targets;
}

/** Number of tasks with a need that fit on a target; of equivalent machines, on one of them. */
export function countFittingOnTarget(target: Target, needs: DistinctNeeds, needIndex: number): number {
  const known = target.taskCounts[needIndex]!;
  if (known !== UNKNOWN_COUNT) return known;
  const need = needs.list[needIndex]!;
  let count: number;
  if (target.kind === 'now') count = countFittingTasks(need, target.snapshots[0]!.free);
  else if (target.option) count = countFittingTasks(need, target.option.size) * target.option.maxMachines;
  else count = countFittingInParts(target.parts, need);
  target.taskCounts[needIndex] = count;
  return count;
}

function countFittingInParts(parts: readonly Part[], need: Resources): number {
  const stride = Math.max(1, parts.length / MAX_COUNTED_PARTS);
  let count = 0;
  let counted = 0;
  for (let position = 0; position < parts.length; position += stride) {
    const { snapshot, releaseIndex } = parts[Math.floor(position)]!;
    counted += 1;
    if (releaseIndex < 0) {
      count += countFittingTasks(need, snapshot.free);
      continue;
    }
    const free = { ...snapshot.free };
    for (let i = 0; i < releaseIndex; i++) allocate(free, snapshot.releases[i]!.resources, -1);
    const before = countFittingTasks(need, free);
    allocate(free, snapshot.releases[releaseIndex]!.resources, -1);
    count += Math.max(0, countFittingTasks(need, free) - before);
  }
  return Math.round((count * parts.length) / Math.max(1, counted));
}

/** Seconds until an image is on a machine of the target: on one of the equivalent machines, or on average. */
export function estimateFetchS(target: Target, image: string, gb: number): number {
  if (target.option) return computeFetchS(gb, target.option.fetchGbPerS);
  if (target.kind === 'now') return target.snapshots[0]!.fetchS(image, gb);
  // The mean of a few parts is used for all: future capacity is only weighed against renting.
  const sampleSize = Math.min(4, target.parts.length);
  let sum = 0;
  for (let i = 0; i < sampleSize; i++) sum += target.parts[i]!.snapshot.fetchS(image, gb);
  return sum / sampleSize;
}

/** Whether the group may use machines of this type and zone, spot or not. */
export function isAllowed(group: TaskGroup, type: number, zone: number, spot: boolean): boolean {
  if (spot && !group.spot) return false;
  if (group.zone >= 0 && group.zone !== zone) return false;
  return group.types === null || group.types.has(type);
}
