/**
 * What a round sees. Everything is a dense index; no slice's own objects reach the graph.
 *
 * A room is an amount of processor cores, accelerators and GB of memory.
 */
export interface Resources {
  cpus: number;
  gpus: number;
  memory: number;
}

/** The tasks of one job that wait for a place, which are all alike. Prices are an hour's, in the cloud's currency. */
export interface TaskGroup {
  job: number;
  team: number;
  /** Tasks to place; for a gang all of them. */
  pending: number;
  gang: boolean;
  priority: number;
  need: Resources;
  /** Allowed machine types by index, or null. */
  types: Set<number> | null;
  /** The only allowed zone, or -1. */
  zone: number;
  spot: boolean;
  oneZone: boolean;
  /** The zone that the last round chose for it, or -1. */
  zoneHint: number;
  /** With `spread`: how many tasks may be in one zone. */
  maxTasksPerZone: number;
  /** Tasks of the job that are or may be on machines, by zone. */
  liveByZone: Map<number, number>;
  /** Of a class whose tasks must start soon. */
  latencySensitive: boolean;
  /** Tasks that are only expected: they hold room and rent, but nothing is placed for them. */
  expected: boolean;
  waitedMs: number;
  /** A further attempt of a job that has failed everywhere: nothing is stopped or kept free for it. */
  probe: boolean;
  /** Machines may be rented for it. */
  mayProvision: boolean;
  /** Work of the lowest rank of a team without a guarantee: it leaves each free accelerator its share of a machine. */
  bestEffort: boolean;
  /** Greatest hourly price per task at which a machine is rented for it. */
  maxProvisionPrice: number;
  image: string;
  imageGb: number;
  excludedMachines: ReadonlySet<number>;
  /** The only machine it takes for now, since room is being made there; or -1. */
  nominatedMachine: number;
  /** Machines on which room was made for it a moment ago: they are kept for it. */
  reservedMachines: ReadonlySet<number>;
  /** How much longer than a rented machine's boot the job would rather wait for room on a present one. */
  maxQueueingDelayS: number;
  /** How long it can still wait without being late; Infinity: nothing is expected of it, -1: it is late. */
  slackS: number;
  /** Its tasks fit into what is left of its team's guarantee. */
  guaranteed: boolean;
  /** Room it still needs, as a multiple of what the jobs of its class need; 0 where tasks count, not jobs. */
  relativeWork: number;
}

/** A machine that is up or booting, with what it has free. */
export interface MachineSnapshot {
  machine: number;
  type: number;
  zone: number;
  spot: boolean;
  free: Resources;
  /** Room of the machine for each of its accelerators; null: it has none. */
  perAccelerator: Resources | null;
  /** Room that running tasks are expected to leave, soonest first; each entry adds to those before. */
  releases: { inS: number; resources: Resources }[];
  /** Tasks on it. */
  load: number;
  /** 0 for a machine that is up; else seconds until it is expected. */
  bootsInS: number;
  /** Seconds until an image is there: 0 if cached, what is left of a fetch under way, else the whole fetch. */
  fetchS: (image: string, gb: number) => number;
  /** Images on it that classes which must start soon have used lately. */
  warmImageCount: number;
  /** Beyond the present need: taken last, so that it can be given back. Quick classes don't mind. */
  surplus: boolean;
  /** Extra cost in steps, for machines known as slow or faulty. */
  penalty: number;
  price: number;
}

/** Machines of one type, zone and kind that could be rented: room and boot time of each, price an hour. */
export interface ProvisioningOption {
  option: number;
  type: number;
  zone: number;
  spot: boolean;
  size: Resources;
  /** Machines that may be rented in this round. */
  maxMachines: number;
  price: number;
  bootS: number;
  fetchGbPerS: number;
}

/** Cores and accelerators that a team's limit leaves it. */
export interface QuotaHeadroom {
  cpus: number;
  gpus: number;
}

/** So many tasks of a job go to a machine. */
export interface Placement {
  job: number;
  machine: number;
  count: number;
}

/** What a round has decided, by index of job, machine or rent option. */
export interface RoundResult {
  placements: Placement[];
  /** Machines wanted by option. */
  demand: Map<number, number>;
  /** Tasks by job that wait for machines still booting. */
  awaiting: Map<number, number>;
  /** Tasks by job that found no place at all. */
  unplaced: Map<number, number>;
  /** Machines kept free for a job that waits long. */
  reserved: Map<number, number>;
  /** Machines with room that is kept for expected tasks. */
  heldForExpected: Set<number>;
  /** Groups that had no place in this round. */
  deferredGroupCount: number;
  /** The zone chosen for each job that must stay in one. */
  zones: Map<number, number>;
}

const EPSILON = 1e-6;

/** How many tasks of this need the free room takes; 1000 for a task that needs nothing. */
export function countFittingTasks(need: Resources, free: Resources): number {
  let count = Infinity;
  if (need.cpus > 0) count = Math.min(count, (free.cpus + EPSILON) / need.cpus);
  if (need.gpus > 0) count = Math.min(count, (free.gpus + EPSILON) / need.gpus);
  if (need.memory > 0) count = Math.min(count, (free.memory + EPSILON) / need.memory);
  return count === Infinity ? 1000 : Math.max(0, Math.floor(count));
}

/** How many of a group's tasks fit into the free room of a machine. */
export function countFittingGroupTasks(
  group: { need: Resources; bestEffort: boolean },
  free: Resources,
  perAccelerator: Resources | null,
): number {
  if (!group.bestEffort || perAccelerator === null || group.need.gpus > 0)
    return countFittingTasks(group.need, free);
  // Guests that filled the processors beside idle accelerators had to be stopped for each task that needs one.
  const remaining = { ...free };
  allocate(remaining, { ...perAccelerator, gpus: 0 }, Math.max(0, free.gpus));
  return countFittingTasks(group.need, remaining);
}

/** Takes the room of `count` tasks away from `free`; a negative count gives it back. */
export function allocate(free: Resources, need: Resources, count = 1): void {
  free.cpus -= need.cpus * count;
  free.gpus -= need.gpus * count;
  free.memory -= need.memory * count;
}

/** Room to come that is this close in time, in seconds or as a part of the time until then, counts as one. */
const MERGE_WINDOW_S = 1;
const MERGE_WINDOW_RATIO = 0.1;

/**
 * Room that tasks leave at about the same time as one entry, at the later time; `leaving` is sorted by time. A sweep of
 * short tasks has dozens on each machine, and each entry costs a round a part of its network.
 */
export function mergeReleases(releases: MachineSnapshot['releases']): MachineSnapshot['releases'] {
  const merged: MachineSnapshot['releases'] = [];
  let startS = -Infinity;
  for (const { inS, resources } of releases) {
    const last = merged.at(-1);
    if (last && inS - startS <= Math.max(MERGE_WINDOW_S, startS * MERGE_WINDOW_RATIO)) {
      last.inS = inS;
      allocate(last.resources, resources, -1);
      continue;
    }
    startS = inS;
    merged.push({ inS, resources: { ...resources } });
  }
  return merged;
}

/** Just the amounts of something that has them: a job's need of a task, a machine type's size. */
export function resourcesOf({ cpus, gpus, memory }: Resources): Resources {
  return { cpus, gpus, memory };
}

/** Seconds to fetch an image; a rate that isn't known counts as no time. */
export function computeFetchS(gb: number, gbPerS: number): number {
  return gbPerS > 0 ? gb / gbPerS : 0;
}

/** How many tasks a team's limit still takes. */
export function countTasksWithinQuota(need: Resources, headroom: QuotaHeadroom): number {
  return countFittingTasks({ ...need, memory: 0 }, { ...headroom, memory: 0 });
}
