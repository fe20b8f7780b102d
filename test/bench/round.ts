/** Benchmark of a scheduling round with a large fleet. */
import { defaultOptions } from '../../src/config/options.ts';
import { runRound } from '../../src/scheduling/round.ts';
import type {
  TaskGroup,
  MachineSnapshot,
  ProvisioningOption,
  Resources,
} from '../../src/scheduling/snapshot.ts';
import { createTaskGroup, createMachineSnapshot, createProvisioningOption } from '../helpers.ts';
import type { Benchmark } from './measure.ts';

const MACHINES = 1300;
const GROUPS = 60;
const ZONES = 3;
const TEAMS = 4;
const IMAGES = 12;
/** Number of inputs of a block; they differ slightly, like those of successive rounds. */
const VARIANTS = 2;

/** Machine types: small, with GPUs, and large without GPUs. */
const MACHINE_TYPES: readonly { size: Resources; price: number; bootS: number; fetchGbPerS: number }[] = [
  { size: { cpus: 16, gpus: 0, memory: 64 }, price: 0.8, bootS: 40, fetchGbPerS: 0.4 },
  { size: { cpus: 96, gpus: 8, memory: 768 }, price: 24, bootS: 90, fetchGbPerS: 1 },
  { size: { cpus: 64, gpus: 0, memory: 256 }, price: 3, bootS: 60, fetchGbPerS: 0.6 },
];
const machineTypeAt = (index: number): (typeof MACHINE_TYPES)[number] => {
  const type = MACHINE_TYPES[index % MACHINE_TYPES.length];
  if (!type) throw new RangeError('there is no machine type');
  return type;
};

/** The fleet: most machines run tasks, about a third of the capacity is free, and more becomes free later. */
function machineSnapshots(variant: number): MachineSnapshot[] {
  return Array.from({ length: MACHINES }, (_, index) => {
    const { size, price, fetchGbPerS } = machineTypeAt(index);
    const load = (index * 7 + variant * 3) % 5;
    const task: Resources = { cpus: size.cpus / 6, gpus: size.gpus / 8, memory: size.memory / 8 };
    const spot = index % 4 === 0;
    return createMachineSnapshot({
      machine: index,
      type: index % MACHINE_TYPES.length,
      zone: index % ZONES,
      spot,
      free: {
        cpus: size.cpus - load * task.cpus,
        gpus: size.gpus - load * task.gpus,
        memory: size.memory - load * task.memory,
      },
      perAccelerator:
        size.gpus > 0 ? { cpus: size.cpus / size.gpus, gpus: 1, memory: size.memory / size.gpus } : null,
      releases: Array.from({ length: load }, (_unused, nth) => ({
        inS: 15 * (nth + 1) + (index % 10),
        resources: { ...task },
      })),
      load,
      bootsInS: index % 40 === 0 ? 25 : 0,
      fetchS: (image, gb) => (image === `image-${index % IMAGES}` ? 0 : gb / fetchGbPerS),
      warmImageCount: index % 3,
      surplus: index % 50 === 0,
      penalty: index % 100 === 0 ? 5 : 0,
      price: spot ? price / 2 : price,
    });
  });
}

/** Pending gangs and arrays of four teams; most can be placed, and some have been waiting for long. */
function taskGroups(variant: number): TaskGroup[] {
  return Array.from({ length: GROUPS }, (_, job) => {
    const gang = job % 4 === 0;
    const accelerated = job % 3 === 0;
    return createTaskGroup({
      job,
      team: job % TEAMS,
      pending: gang ? 8 : 10 + ((job * 13 + variant * 5) % 60),
      gang,
      priority: job % 4,
      need: accelerated
        ? { cpus: 8, gpus: 1, memory: 32 }
        : { cpus: 1 + (job % 4), gpus: 0, memory: 4 * (1 + (job % 3)) },
      types: job % 5 === 0 ? new Set([1, 2]) : null,
      zone: job % 10 === 1 ? job % ZONES : -1,
      spot: job % 2 === 0,
      oneZone: gang,
      maxTasksPerZone: job % 6 === 5 ? 20 : Infinity,
      latencySensitive: job % 3 === 1,
      waitedMs: job * 1500 + variant * 250,
      bestEffort: job % 4 === 3,
      image: `image-${job % IMAGES}`,
      imageGb: 2 + (job % 5),
      excludedMachines: job % 15 === 2 ? new Set([job, job + 1]) : new Set(),
      maxQueueingDelayS: 20,
      slackS: job % 7 === 0 ? -1 : 30 * job,
      guaranteed: job % 2 === 1,
    });
  });
}

/** All machine types, on demand and spot, in every zone. */
function provisioningOptions(): ProvisioningOption[] {
  const options: ProvisioningOption[] = [];
  MACHINE_TYPES.forEach(({ size, price, bootS, fetchGbPerS }, type) => {
    for (let zone = 0; zone < ZONES; zone++) {
      for (const spot of [false, true]) {
        options.push(
          createProvisioningOption({
            option: options.length,
            type,
            zone,
            spot,
            size,
            maxMachines: 20,
            price: spot ? price / 2 : price,
            bootS,
            fetchGbPerS,
          }),
        );
      }
    }
  });
  return options;
}

/** Runs rounds over all machines with the default options and without a time limit; an operation is one round. */
export function schedulingRound(): Benchmark {
  const { scheduling } = defaultOptions();
  const options = provisioningOptions();
  return {
    operations: VARIANTS,
    prepare: () => {
      const inputs = Array.from({ length: VARIANTS }, (_, variant) => ({
        variant,
        groups: taskGroups(variant),
        machines: machineSnapshots(variant),
        teams: Array.from({ length: TEAMS }, (_unused, team) => ({ cpus: 2000 + 500 * team, gpus: 300 })),
      }));
      return () => {
        for (const { variant, groups, machines, teams } of inputs) {
          const { placements } = runRound(
            groups,
            machines,
            options,
            teams,
            (type) => MACHINE_TYPES[type]?.size ?? null,
            {
              reserveAfterMs: scheduling.reserve_after_s * 1000,
              roundNumber: variant,
              maxGroups: scheduling.max_groups,
              fetchSteps: scheduling.fetch_steps,
              priceSteps: scheduling.price_steps,
              rentSteps: scheduling.rent_steps,
              rentBiasS: scheduling.rent_bias_s,
              warmSteps: scheduling.warm_steps,
              roundDownFraction: scheduling.rent_round,
            },
          );
          if (placements.length === 0) throw new Error('nothing was placed');
        }
      };
    },
  };
}
