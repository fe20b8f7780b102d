/**
 * The input and the result of a scheduling round, and arithmetic on resources. Jobs, teams, machines, machine types,
 * zones and provisioning options are given as dense indices, so that a round needs no objects of other modules.
 *
 * Free capacity means resources that tasks can use now; future capacity means those that become free when running
 * tasks end or booting machines come up.
 */

/** An amount of CPU cores, accelerators and memory in GB. */
export interface Resources {
  cpus: number;
  gpus: number;
  memory: number;
}

/** The waiting tasks of one job, which are all alike. Prices are per hour, in the cloud's currency. */
export interface TaskGroup {
  job: number;
  team: number;
  /** Tasks to place; for a gang all of them. */
  pending: number;
  gang: boolean;
  /** Priority of the job; a higher one goes first. */
  priority: number;
  /** Resources of each task. */
  need: Resources;
  /** Allowed machine types by index, or null. */
  types: Set<number> | null;
  /** The only allowed zone, or -1. */
  zone: number;
  /** Spot machines are allowed. */
  spot: boolean;
  /** All its tasks must run in the same zone. */
  oneZone: boolean;
  /** The zone that the last round chose for it, or -1. */
  zoneHint: number;
  /** Tasks of the job that may run in one zone; Infinity unless they are to be spread. */
  maxTasksPerZone: number;
  /** Tasks of the job that are or may be on machines, by zone. */
  liveByZone: Map<number, number>;
  /** Its class has an objective on when tasks start. */
  latencySensitive: boolean;
  /** Tasks that have not arrived yet: free capacity is held and machines are rented for them, but none is placed. */
  expected: boolean;
  waitedMs: number;
  /** The job fails on all machines and is retried: nothing is preempted or reserved for it. */
  failing: boolean;
  /** Machines may be rented for it. */
  mayProvision: boolean;
  /** Lowest-priority work of a team without a guarantee. It leaves each free accelerator its share of the machine. */
  bestEffort: boolean;
  /** Highest hourly price per task at which a machine is rented for it. */
  maxProvisionPrice: number;
  image: string;
  imageGb: number;
  excludedMachines: ReadonlySet<number>;
  /** The only machine that it may use while tasks are preempted for it there, or -1. */
  nominatedMachine: number;
  /** Machines on which tasks have just been preempted for it: they are reserved for it. */
  reservedMachines: ReadonlySet<number>;
  /** Seconds beyond the boot of a rented machine for which the job rather waits for capacity on a present one. */
  maxQueueingDelayS: number;
  /** Seconds that it can still wait without missing an objective; Infinity: it has none, -1: it has missed all. */
  slackS: number;
  /** Its tasks fit into the rest of its team's guarantee. */
  guaranteed: boolean;
  /** Waiting work as a multiple of the mean of its class; 0 where objectives are on tasks, not on the job. */
  relativeWork: number;
}

/** A machine that is up or booting, with its free resources. */
export interface MachineSnapshot {
  machine: number;
  type: number;
  zone: number;
  spot: boolean;
  free: Resources;
  /** Each accelerator's share of the machine; null if it has no accelerators. */
  perAccelerator: Resources | null;
  /** Resources that tasks are expected to release, soonest first; each entry adds to those before. */
  releases: { inS: number; resources: Resources }[];
  /** Number of tasks on it. */
  load: number;
  /** 0 for a machine that is up, else seconds until it is expected to be. */
  bootsInS: number;
  /** Seconds until an image is there: 0 if cached, the rest of a fetch in progress, else the whole fetch. */
  fetchS: (image: string, gb: number) => number;
  /** Number of images on it that latency-sensitive classes have used lately. */
  warmImageCount: number;
  /**
   * A surplus machine, beyond the present need: used last, except by latency-sensitive classes, so that it can be
   * terminated.
   */
  surplus: boolean;
  /** Extra cost in steps, for machines known to be slow or faulty. */
  penalty: number;
  /** Hourly price, in the cloud's currency. */
  price: number;
}

/** Machines of one type and zone, spot or not, that can be rented: size, hourly price and boot time of each. */
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

/** CPUs and GPUs that a team can still use within its quota. */
export interface QuotaHeadroom {
  cpus: number;
  gpus: number;
}

/** A number of a job's tasks that are to start on a machine. */
export interface Placement {
  job: number;
  machine: number;
  count: number;
}

/** What a round has decided, by index of the job, machine or provisioning option. */
export interface RoundResult {
  placements: Placement[];
  /** Number of machines to be rented by provisioning option. */
  demand: Map<number, number>;
  /** Tasks by job that wait for future capacity or for machines to be rented. */
  awaiting: Map<number, number>;
  /** Tasks by job for which there is neither free nor future capacity, nor a machine to be rented. */
  unplaced: Map<number, number>;
  /** The job that a machine is reserved for, by machine. */
  reserved: Map<number, number>;
  /** Machines with free capacity that is held for expected tasks. */
  heldForExpected: Set<number>;
  /** Number of groups that this round left to a later one. */
  deferredGroupCount: number;
  /** The zone chosen for each job whose tasks must stay in one. */
  zones: Map<number, number>;
}

const ROUNDING_TOLERANCE = 1e-6;

/** Number of tasks with this need that fit into the free resources; 1000 for a task that needs nothing. */
export function countFittingTasks(need: Resources, free: Resources): number {
  let count = Infinity;
  if (need.cpus > 0) count = Math.min(count, (free.cpus + ROUNDING_TOLERANCE) / need.cpus);
  if (need.gpus > 0) count = Math.min(count, (free.gpus + ROUNDING_TOLERANCE) / need.gpus);
  if (need.memory > 0) count = Math.min(count, (free.memory + ROUNDING_TOLERANCE) / need.memory);
  return count === Infinity ? 1000 : Math.max(0, Math.floor(count));
}

/** Number of a group's tasks that fit into the free resources of a machine. */
export function countFittingGroupTasks(
  group: { need: Resources; bestEffort: boolean },
  free: Resources,
  perAccelerator: Resources | null,
): number {
  if (!group.bestEffort || perAccelerator === null || group.need.gpus > 0)
    return countFittingTasks(group.need, free);
  // Best-effort tasks on the CPUs beside an idle accelerator would be preempted by each task that needs it.
  const remaining = { ...free };
  allocate(remaining, { ...perAccelerator, gpus: 0 }, Math.max(0, free.gpus));
  return countFittingTasks(group.need, remaining);
}

/** Subtracts the resources of `count` tasks from `free`; a negative count adds them. */
export function allocate(free: Resources, need: Resources, count = 1): void {
  free.cpus -= need.cpus * count;
  free.gpus -= need.gpus * count;
  free.memory -= need.memory * count;
}

/** Releases that follow the first one of an entry within this time are merged into the entry. */
const MERGE_WINDOW_S = 1;
/** The same as a part of the time until that first release; the longer of both applies. */
const MERGE_WINDOW_RATIO = 0.1;

/**
 * Merges releases at about the same time into one entry, at the latest of their times; `releases` is sorted by time.
 * A parameter sweep of short tasks has dozens of releases on each machine, and each entry makes the flow network
 * larger.
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

/** Only the resources of an object with further fields, such as a job's specification or a machine type. */
export function resourcesOf({ cpus, gpus, memory }: Resources): Resources {
  return { cpus, gpus, memory };
}

/** Seconds to fetch an image of this size; 0 if the rate is unknown. */
export function computeFetchS(gb: number, gbPerS: number): number {
  return gbPerS > 0 ? gb / gbPerS : 0;
}

/** Number of tasks with this need that a team's quota still admits. */
export function countTasksWithinQuota(need: Resources, headroom: QuotaHeadroom): number {
  return countFittingTasks({ ...need, memory: 0 }, { ...headroom, memory: 0 });
}
