/** Warms up the code of a leader on a follower, so that the JIT compiler has compiled it before a takeover. */
import { Job } from '../jobs/job.ts';
import { runRound, type RoundOptions } from '../scheduling/round.ts';
import type { TaskGroup, MachineSnapshot, ProvisioningOption } from '../scheduling/snapshot.ts';
import { decodeStoredJob } from '../wire/user.ts';
import { decodeHeartbeat, encodeCommands, encodeHeartbeatResponse } from '../wire/worker.ts';
import { Machine } from '../workers/machine.ts';
import { applyHeartbeat, buildCommands, isNewerHeartbeat } from '../workers/reconcile.ts';
import { SYNTHETIC_MACHINE, syntheticHeartbeat, syntheticJobRecord } from './synthetic-messages.ts';

const MACHINE_COUNT = 40;
const GROUP_COUNT = 10;
const HEARTBEATS_PER_STEP = 8;
const MACHINE_SIZE = { cpus: 8, gpus: 2, memory: 64 };
const TASK_SIZE = { cpus: 2, gpus: 0, memory: 8 };
const TEAM_HEADROOM = [{ cpus: 100, gpus: 100 }];
const ROUND_OPTIONS: RoundOptions = {
  reserveAfterMs: 1000,
  maxGroups: GROUP_COUNT,
  roundNumber: 0,
  roundDownFraction: 0,
  rentBiasS: 1,
  warmSteps: 1,
  fetchSteps: 1,
  rentSteps: 1,
  priceSteps: 1,
};

function syntheticGroups(step: number): TaskGroup[] {
  return Array.from({ length: GROUP_COUNT }, (_, job) => ({
    job,
    team: 0,
    pending: 1 + ((job + step) % 7),
    gang: job % 3 === 0,
    priority: job % 2,
    need: { ...TASK_SIZE, cpus: 1 + (job % 4) },
    types: null,
    zone: -1,
    spot: true,
    oneZone: job % 3 === 0,
    zoneHint: -1,
    maxTasksPerZone: Infinity,
    liveByZone: new Map(),
    latencySensitive: job % 2 === 0,
    expected: false,
    waitedMs: job * 300,
    failing: false,
    mayProvision: true,
    bestEffort: job % 5 === 0,
    maxProvisionPrice: Infinity,
    image: `i${job % 3}`,
    imageGb: 2,
    excludedMachines: new Set(),
    nominatedMachine: -1,
    reservedMachines: new Set<number>(),
    maxQueueingDelayS: 10,
    slackS: 20 * job - 20,
    guaranteed: job % 2 === 0,
    relativeWork: 0,
  }));
}

function syntheticMachines(step: number): MachineSnapshot[] {
  return Array.from({ length: MACHINE_COUNT }, (_, machine) => {
    const tasks = (machine * 3 + step) % 5;
    return {
      machine,
      type: 0,
      zone: machine % 2,
      spot: machine % 3 === 0,
      free: {
        cpus: MACHINE_SIZE.cpus - TASK_SIZE.cpus * tasks,
        gpus: MACHINE_SIZE.gpus,
        memory: MACHINE_SIZE.memory - TASK_SIZE.memory * tasks,
      },
      perAccelerator: TASK_SIZE,
      releases: Array.from({ length: tasks }, (_task, index) => ({
        inS: 10 * (index + 1),
        resources: TASK_SIZE,
      })),
      load: tasks,
      bootsInS: machine % 11 === 0 ? 20 : 0,
      fetchS: (image: string, gb: number) => (image === `i${machine % 3}` ? 0 : gb),
      warmImageCount: 0,
      surplus: false,
      penalty: 0,
      price: 1 + (machine % 3),
    };
  });
}

const PROVISIONING_OPTIONS: ProvisioningOption[] = [0, 1].map((zone) => ({
  option: zone,
  type: 0,
  zone,
  spot: zone === 0,
  size: MACHINE_SIZE,
  maxMachines: 10,
  price: 1,
  bootS: 30,
  fetchGbPerS: 1,
}));

/**
 * Runs scheduling rounds and heartbeat handling on synthetic input while a controller follows, and discards the
 * results. Without it, a controller that takes over a thousand workers soon after its start runs code that isn't
 * JIT-compiled yet: heartbeats and rounds then take several times as long, which can cost it the lease.
 */
export class WarmUp {
  private step = 0;
  private readonly machine = new Machine({
    index: 0,
    identity: { name: SYNTHETIC_MACHINE, address: 'x:1', machineType: 'x', zone: 'x', spot: false },
    type: 0,
    zone: 0,
    now: 0,
    leaseRenewedBefore: 0,
    firstToken: 1,
  });
  private readonly job: Job | null;

  constructor(private readonly stepCount: number) {
    const decoded = decodeStoredJob(syntheticJobRecord());
    this.job = decoded.ok ? new Job(decoded.value, 0, 0, 0) : null;
  }

  /** True after the last step. */
  get isDone(): boolean {
    return this.step >= this.stepCount;
  }

  /** Runs one round and a few heartbeats. */
  runStep(): void {
    this.step += 1;
    runRound(
      syntheticGroups(this.step),
      syntheticMachines(this.step),
      PROVISIONING_OPTIONS,
      TEAM_HEADROOM,
      () => MACHINE_SIZE,
      ROUND_OPTIONS,
    );
    for (let i = 0; i < HEARTBEATS_PER_STEP; i++) this.processHeartbeat(this.step * HEARTBEATS_PER_STEP + i);
  }

  private processHeartbeat(sequence: number): void {
    const decoded = decodeHeartbeat(syntheticHeartbeat(sequence));
    if (!decoded.ok || !isNewerHeartbeat(this.machine, decoded.value)) return;
    applyHeartbeat(this.machine, decoded.value, false, { now: sequence, jobOf: () => this.job });
    const commands = buildCommands(this.machine, true);
    encodeHeartbeatResponse(1, commands);
    encodeCommands(1, 1, commands);
  }
}
