import { Job } from '../jobs/job.ts';
import { runRound, type RoundOptions } from '../scheduling/round.ts';
import type { TaskGroup, MachineSnapshot, ProvisioningOption } from '../scheduling/snapshot.ts';
import { decodeStoredJob } from '../wire/user.ts';
import { decodeHeartbeat, encodeCommands, encodeHeartbeatResponse } from '../wire/worker.ts';
import { Machine } from '../workers/machine.ts';
import { applyHeartbeat, commandsFor, isNewer } from '../workers/reconcile.ts';

const MACHINES = 40;
const GROUPS = 10;
const SIZE = { cpus: 8, gpus: 2, memory: 64 };
const NEED = { cpus: 2, gpus: 0, memory: 8 };
const OPTIONS: RoundOptions = {
  reserveAfterMs: 1000,
  maxGroups: GROUPS,
  turn: 0,
  rentRound: 0,
  rentBiasS: 1,
  warmSteps: 1,
  fetchSteps: 1,
  rentSteps: 1,
  priceSteps: 1,
};
const UID = 'req-000000';

function groups(turn: number): TaskGroup[] {
  return Array.from({ length: GROUPS }, (_, job) => ({
    job,
    team: 0,
    pending: 1 + ((job + turn) % 7),
    gang: job % 3 === 0,
    priority: job % 2,
    need: { ...NEED, cpus: 1 + (job % 4) },
    types: null,
    zone: -1,
    spot: true,
    oneZone: job % 3 === 0,
    zoneHint: -1,
    zoneCap: Infinity,
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
    size: 0,
  }));
}

function machines(turn: number): MachineSnapshot[] {
  return Array.from({ length: MACHINES }, (_, machine) => {
    const taken = (machine * 3 + turn) % 5;
    return {
      machine,
      type: 0,
      zone: machine % 2,
      spot: machine % 3 === 0,
      free: { cpus: SIZE.cpus - 2 * taken, gpus: 2, memory: SIZE.memory - 8 * taken },
      perAccelerator: NEED,
      releases: Array.from({ length: taken }, (_x, i) => ({ inS: 10 * (i + 1), room: NEED })),
      load: taken,
      bootsInS: machine % 11 === 0 ? 20 : 0,
      fetchS: (image: string, gb: number) => (image === `i${machine % 3}` ? 0 : gb),
      warm: 0,
      surplus: false,
      penalty: 0,
      price: 1 + (machine % 3),
    };
  });
}

const RENTABLE: ProvisioningOption[] = [0, 1].map((zone) => ({
  option: zone,
  type: 0,
  zone,
  spot: zone === 0,
  size: SIZE,
  max: 10,
  price: 1,
  bootS: 30,
  fetchGbPerS: 1,
}));

/**
 * A node that has just started and is to lead a thousand workers would do so with code that is not compiled yet:
 * reports and rounds then take several times as long, and a lease was lost over it. While it follows, it
 * practises on made-up reports and rounds, whose results go nowhere.
 */
export class WarmUp {
  private turn = 0;
  private readonly machine = new Machine({
    index: 0,
    id: { name: 'n-000000', address: 'x:1', machineType: 'x', zone: 'x', spot: false },
    type: 0,
    zone: 0,
    now: 0,
    leaseRenewedBefore: 0,
  });
  private readonly job: Job | null;

  constructor(private readonly turns: number) {
    const decoded = decodeStoredJob({
      ...{ uid: UID, batch: 'x', crew: 'x', shape: 'array', rank: 'standard', loaves: 8, cores: 1 },
      ...{ accelerators: 0, memGb: 1, recipe: 'x', imageGb: 1, ovens: null, yard: null, samePlace: false },
      ...{ apart: false, borrowed: false, bakeS: 1, proofS: 0, coolS: 0, dueS: null },
    });
    this.job = decoded.ok ? new Job(decoded.value, 0, 0, 0) : null;
  }

  get over(): boolean {
    return this.turn >= this.turns;
  }

  /** One short piece of practice. */
  step(): void {
    this.turn += 1;
    runRound(
      groups(this.turn),
      machines(this.turn),
      RENTABLE,
      [{ cpus: 100, gpus: 100 }],
      () => SIZE,
      OPTIONS,
    );
    for (let i = 0; i < 8; i++) this.heartbeat(this.turn * 8 + i);
  }

  private heartbeat(seq: number): void {
    const stages = ['fetching', 'running', 'saving', 'ended'];
    const loaves = Array.from({ length: 4 }, (_, i) => ({
      loaf: `${UID}/${i}`,
      try: Math.floor(seq / 4),
      stage: stages[seq % 4],
      cause: seq % 4 === 3 ? 'done' : undefined,
    }));
    const decoded = decodeHeartbeat(
      JSON.stringify({
        ...{ hearth: 'n-000000', address: 'x:1', oven: 'x', yard: 'x', borrowed: false, shift: 1, tick: seq },
        ...{ baton: 1, warningS: null, loaves },
      }),
    );
    if (!decoded.ok || !isNewer(this.machine, decoded.value)) return;
    applyHeartbeat(this.machine, decoded.value, false, { now: seq, jobOf: () => this.job });
    const commands = commandsFor(this.machine, true);
    encodeHeartbeatResponse(1, commands);
    encodeCommands(1, 1, commands);
  }
}
