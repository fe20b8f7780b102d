/** Practises a leader's work on a controller that follows. */
import { Job } from '../jobs/job.ts';
import { runRound, type RoundOptions } from '../scheduling/round.ts';
import type { TaskGroup, MachineSnapshot, ProvisioningOption } from '../scheduling/snapshot.ts';
import { decodeStoredJob } from '../wire/user.ts';
import { decodeHeartbeat, encodeCommands, encodeHeartbeatResponse } from '../wire/worker.ts';
import { Machine } from '../workers/machine.ts';
import { applyHeartbeat, commandsFor, isNewer } from '../workers/reconcile.ts';
import { PRACTICE_MACHINE, practiceHeartbeat, practiceJobRecord } from './practice-messages.ts';

const MACHINES = 40;
const GROUPS = 10;
const HEARTBEATS_PER_STEP = 8;
const MACHINE_SIZE = { cpus: 8, gpus: 2, memory: 64 };
const TASK_SIZE = { cpus: 2, gpus: 0, memory: 8 };
const TEAM_ROOM = [{ cpus: 100, gpus: 100 }];
const ROUND_OPTIONS: RoundOptions = {
  reserveAfterMs: 1000,
  maxGroups: GROUPS,
  roundNumber: 0,
  roundDownFraction: 0,
  rentBiasS: 1,
  warmSteps: 1,
  fetchSteps: 1,
  rentSteps: 1,
  priceSteps: 1,
};

function practiceGroups(step: number): TaskGroup[] {
  return Array.from({ length: GROUPS }, (_, job) => ({
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
    probe: false,
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

function practiceMachines(step: number): MachineSnapshot[] {
  return Array.from({ length: MACHINES }, (_, machine) => {
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
 * A controller that has just started and is to lead a thousand workers would do so with code that is not compiled yet:
 * heartbeats and rounds then take several times as long, and a lease was lost over it. While it follows, it practises
 * on made-up heartbeats and rounds, whose results go nowhere.
 */
export class WarmUp {
  private step = 0;
  private readonly machine = new Machine({
    index: 0,
    id: { name: PRACTICE_MACHINE, address: 'x:1', machineType: 'x', zone: 'x', spot: false },
    type: 0,
    zone: 0,
    now: 0,
    leaseRenewedBefore: 0,
  });
  private readonly job: Job | null;

  constructor(private readonly steps: number) {
    const decoded = decodeStoredJob(practiceJobRecord());
    this.job = decoded.ok ? new Job(decoded.value, 0, 0, 0) : null;
  }

  /** True after the last step. */
  get isDone(): boolean {
    return this.step >= this.steps;
  }

  /** One short piece of practice. */
  practise(): void {
    this.step += 1;
    runRound(
      practiceGroups(this.step),
      practiceMachines(this.step),
      PROVISIONING_OPTIONS,
      TEAM_ROOM,
      () => MACHINE_SIZE,
      ROUND_OPTIONS,
    );
    for (let i = 0; i < HEARTBEATS_PER_STEP; i++) this.heartbeat(this.step * HEARTBEATS_PER_STEP + i);
  }

  private heartbeat(sequence: number): void {
    const decoded = decodeHeartbeat(practiceHeartbeat(sequence));
    if (!decoded.ok || !isNewer(this.machine, decoded.value)) return;
    applyHeartbeat(this.machine, decoded.value, false, { now: sequence, jobOf: () => this.job });
    const commands = commandsFor(this.machine, true);
    encodeHeartbeatResponse(1, commands);
    encodeCommands(1, 1, commands);
  }
}
