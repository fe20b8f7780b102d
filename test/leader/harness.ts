/** A leader with fakes of all that it reaches, on a clock that the test moves. */
import { NameIndex } from '../../src/base/name-index.ts';
import { defaultOptions } from '../../src/config/options.ts';
import type { Settings } from '../../src/config/settings.ts';
import { Catalog } from '../../src/fleet/catalog.ts';
import { encodeStartWatermarks, encodeOpenRecord } from '../../src/jobs/records.ts';
import { Leader } from '../../src/leader/leader.ts';
import { KEYS } from '../../src/store/keys.ts';
import type { ListedMachine } from '../../src/wire/cloud.ts';
import type { Item } from '../../src/wire/state.ts';
import type { JobRequest } from '../../src/wire/user.ts';
import type { Command } from '../../src/wire/worker.ts';
import type { CommandResult, InspectResult } from '../../src/workers/worker-client.ts';
import { SETTINGS } from '../config/sample.ts';
import { BIG, FakeClock } from '../helpers.ts';
import {
  createTokens,
  fakeCloud,
  fakeHost,
  FakeWorker,
  instantWrites,
  responseOf,
  settle,
  TERM,
} from './fakes.ts';

/** Time for which a leader without a valid lease still answers heartbeats. */
const HEARTBEAT_GRACE_MS = 6000;
const STEP_MS = 200;
const STEPS_PER_SECOND = 5;

/** Commands on their way to a worker, to be answered by the test. */
export interface SentCommands {
  machine: string;
  incarnation: number;
  fencingToken: number;
  commands: Command[];
  answer: (result: CommandResult) => void;
}

/** A probe on its way to a worker, to be answered by the test. */
export interface SentProbe {
  machine: string;
  answer: (result: InspectResult) => void;
}

/** One leader with fakes for all that it reaches; what it writes is durable at once. */
export class LeaderHarness {
  readonly clock = new FakeClock();
  readonly sentCommands: SentCommands[] = [];
  readonly probes: SentProbe[] = [];
  /** Workers that execute commands and answer probes at once; requests to other machines wait for the test. */
  readonly workers = new Map<string, FakeWorker>();
  /** Machines that the cloud has terminated, in order. */
  readonly terminated: string[] = [];
  /** What the cloud lists. */
  listedMachines: ListedMachine[] = [];
  leaseValid = true;
  cloudAvailable = true;
  /** How often the leader was told that another one leads by now. */
  supersededCount = 0;
  readonly leader: Leader;

  constructor() {
    this.leader = new Leader({
      host: fakeHost(this.clock, {
        hasValidLease: () => this.leaseValid,
        sendCommands: (machine, fencingToken, commands) =>
          new Promise((answer) => {
            this.sentCommands.push({
              machine: machine.name,
              incarnation: machine.incarnation,
              fencingToken,
              commands,
              answer,
            });
            const worker = this.workers.get(machine.name);
            if (worker) answer(responseOf(worker.execute(commands, fencingToken), true));
          }),
        inspect: (machine) =>
          new Promise((answer) => {
            this.probes.push({ machine: machine.name, answer });
            const worker = this.workers.get(machine.name);
            if (worker) answer({ kind: 'answered', heartbeat: worker.nextHeartbeat() });
          }),
        onSuperseded: () => {
          this.supersededCount += 1;
        },
      }),
      settings: SETTINGS satisfies Settings,
      options: defaultOptions(),
      teams: SETTINGS.settings.teams.map((team) => ({
        name: team.name,
        cpus: team.cpus,
        gpus: team.gpus,
        cpusMax: team.cpus_max,
        gpusMax: team.gpus_max,
      })),
      zones: new NameIndex(['a', 'b']),
      catalog: new Catalog([BIG]),
      cloud: fakeCloud({
        terminate: (names) => {
          if (this.cloudAvailable) this.terminated.push(...names);
          return Promise.resolve(this.cloudAvailable);
        },
        list: () => Promise.resolve(this.listedMachines),
      }),
      writer: instantWrites,
      term: TERM,
      tokens: createTokens(),
      heartbeatGraceMs: HEARTBEAT_GRACE_MS,
    });
  }

  /** Lets the leader recover the state of an earlier one: all tasks of the jobs may have been started. */
  recover(jobs: readonly JobRequest[], machines: readonly (readonly [name: string, zone: string])[]): void {
    const item = (key: string, value: unknown): Item => ({ key, value, version: 1, lease: null });
    const watermarks = new Map(jobs.map((job) => [job.id, job.tasks]));
    const registered = machines.map(([name, zone]) => [name, `${name}:9000`, BIG.name, zone, false]);
    this.leader.recover({
      open: jobs.map((job) => item(KEYS.open(job.id), encodeOpenRecord(job, this.clock.wall()))),
      startWatermarks: [item(KEYS.startWatermarks(0), encodeStartWatermarks(watermarks))],
      completions: [],
      machineRegistry: registered.length > 0 ? [item(KEYS.machineRegistry(0), { m: registered })] : [],
    });
  }

  /** Adds a worker; `name` is that of its machine. */
  addWorker(name: string, zone: string): FakeWorker {
    const worker = new FakeWorker(name, zone);
    this.workers.set(name, worker);
    return worker;
  }

  /** Lets time pass: each worker sends a heartbeat once a second, and all answers are settled. */
  async advance(seconds: number): Promise<void> {
    for (let step = 0; step < seconds * STEPS_PER_SECOND; step++) {
      this.clock.at += STEP_MS;
      if (step % STEPS_PER_SECOND === 0) this.exchangeHeartbeats();
      this.leader.afterBatch();
      await settle();
    }
  }

  private exchangeHeartbeats(): void {
    for (const worker of this.workers.values()) {
      if (worker.heartbeatsLost) continue;
      const answer = this.leader.onHeartbeat(worker.nextHeartbeat());
      if (answer) worker.execute(answer.commands, answer.fencingToken);
    }
  }
}
