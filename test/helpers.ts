/** Values and fakes that the tests of several folders share. */
import type { TaskGroup, MachineSnapshot, ProvisioningOption } from '../src/scheduling/snapshot.ts';
import type { MachineTypeInfo } from '../src/wire/cloud.ts';
import type { Clock } from '../src/base/clock.ts';
import { pino } from 'pino';

export const SEED = 20261201;
export const silent = pino({ level: 'silent' });

/** Handles errors that only a defect can cause: rethrows the error, and the unhandled rejection fails the test. */
export function failTest(error: unknown): never {
  throw error;
}

/** A machine type with accelerators that is offered in two zones. */
export const BIG: MachineTypeInfo = {
  name: 'big',
  cpus: 8,
  gpus: 4,
  memory: 64,
  cacheGb: 50,
  fetchGbPerS: 1,
  price: 4,
  spotPrice: 2,
  bootS: 8,
  zones: ['a', 'b'],
};

/** A clock that a test sets through `at`. */
export class FakeClock implements Clock {
  at = 0;
  now(): number {
    return this.at;
  }
  wall(): number {
    return 1_800_000_000_000 + this.at;
  }
}

/** Creates a group of one small pending task that may run on on-demand machines of any type in any zone. */
export function createTaskGroup(over: Partial<TaskGroup> = {}): TaskGroup {
  return {
    job: 0,
    team: 0,
    pending: 1,
    gang: false,
    priority: 1,
    need: { cpus: 1, gpus: 0, memory: 1 },
    types: null,
    zone: -1,
    spot: false,
    oneZone: false,
    zoneHint: -1,
    maxTasksPerZone: Infinity,
    liveByZone: new Map(),
    latencySensitive: false,
    expected: false,
    waitedMs: 0,
    failing: false,
    mayProvision: true,
    bestEffort: false,
    maxProvisionPrice: Infinity,
    image: 'i',
    imageGb: 0,
    excludedMachines: new Set(),
    nominatedMachine: -1,
    reservedMachines: new Set(),
    maxQueueingDelayS: 0,
    slackS: Infinity,
    guaranteed: false,
    relativeWork: 0,
    ...over,
  };
}

/** Creates an idle machine that has booted. */
export function createMachineSnapshot(over: Partial<MachineSnapshot> = {}): MachineSnapshot {
  return {
    machine: 0,
    type: 0,
    zone: 0,
    spot: false,
    free: { cpus: 4, gpus: 0, memory: 16 },
    perAccelerator: null,
    releases: [],
    load: 0,
    bootsInS: 0,
    fetchS: (_image, gb) => gb,
    warmImageCount: 0,
    surplus: false,
    penalty: 0,
    price: 1,
    ...over,
  };
}

/** Creates an option to provision on-demand machines. */
export function createProvisioningOption(over: Partial<ProvisioningOption> = {}): ProvisioningOption {
  return {
    option: 0,
    type: 0,
    zone: 0,
    spot: false,
    size: { cpus: 4, gpus: 0, memory: 16 },
    maxMachines: 4,
    price: 1,
    bootS: 30,
    fetchGbPerS: 1,
    ...over,
  };
}
