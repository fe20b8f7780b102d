import { defaultOptions } from '../../src/config/options.ts';
import type { Settings } from '../../src/config/settings.ts';
import { NameIndex } from '../../src/base/name-index.ts';
import { Leader } from '../../src/leader/leader.ts';
import { Catalog } from '../../src/fleet/catalog.ts';
import { startWatermarksValue, openValue } from '../../src/jobs/records.ts';
import { KEYS } from '../../src/store/keys.ts';
import type { LeaderWriter } from '../../src/store/leader-writer.ts';
import type { DeferredWrite, Write } from '../../src/store/write-queues.ts';
import type { ListedMachine } from '../../src/wire/cloud.ts';
import type { Item } from '../../src/wire/state.ts';
import { decodeStoredJob, type JobRequest } from '../../src/wire/user.ts';
import type { Command, Heartbeat, TaskStatus } from '../../src/wire/worker.ts';
import type { CommandResult } from '../../src/workers/worker-client.ts';
import type { Machine } from '../../src/workers/machine.ts';
import { SETTINGS } from '../config/sample.ts';
import { BIG, FakeClock, silent } from '../helpers.ts';
import { JOB } from '../wire/sample.ts';

export const TERM = 7;
/** Time for which a leader that isn't sure still answers reports. */
const GRACE_MS = 6000;

/** An order on its way, to be answered by the test. */
export interface SentOrder {
  machine: string;
  session: number;
  commands: Command[];
  answer: (result: CommandResult) => void;
}

/** A worker whose tasks run from the moment of their launch until the test ends them. */
export class FakeWorker {
  readonly tasks = new Map<string, TaskStatus>();
  session = 1;
  seq = 0;
  token = TERM;
  /** Its reports reach nobody, while orders and questions reach it. */
  mute = false;

  constructor(
    readonly name: string,
    readonly zone: string,
  ) {}

  put(t: TaskStatus): this {
    this.tasks.set(`${t.jobId}/${t.task}#${t.attempt}`, t);
    return this;
  }

  report(): Heartbeat {
    this.seq += 1;
    const at = { incarnation: this.session, sequence: this.seq, fencingToken: this.token };
    return reportOf(this.name, this.zone, at, [...this.tasks.values()]);
  }

  execute(commands: readonly Command[]): Heartbeat {
    for (const c of commands) {
      const key = `${c.jobId}/${c.task}#${c.attempt}`;
      const known = this.tasks.get(key);
      if (c.op === 'start' && !known) this.put(task(c.jobId, c.task, c.attempt));
      if (c.op === 'stop' && known) this.put({ ...known, phase: 'ended', exitReason: 'stopped' });
      if (c.op === 'forget' && known?.phase === 'ended') this.tasks.delete(key);
    }
    return this.report();
  }

  /** Its tasks of a job that run. */
  running(jobId: string): number[] {
    return [...this.tasks.values()]
      .filter((t) => t.jobId === jobId && t.phase === 'running')
      .map((t) => t.task);
  }
}

/** One leader with fakes for all that it reaches; what it writes is durable at once. */
export class LeaderHarness {
  readonly clock = new FakeClock();
  readonly orders: SentOrder[] = [];
  /** Workers that carry orders out at once; orders to all others wait for the test. */
  readonly workers = new Map<string, FakeWorker>();
  readonly inspected: { machine: string; answer: (report: Heartbeat | null) => void }[] = [];
  readonly returned: string[] = [];
  /** What the cloud lists. */
  listed: ListedMachine[] = [];
  sure = true;
  cloudUp = true;
  superseded = 0;
  readonly leader: Leader;

  constructor() {
    this.leader = new Leader({
      host: {
        clock: this.clock,
        log: silent,
        hasValidLease: () => this.sure,
        sendCommands: (machine: Machine, commands) =>
          new Promise((answer) => {
            this.orders.push({ machine: machine.name, session: machine.incarnation, commands, answer });
            const worker = this.workers.get(machine.name);
            if (worker) answer({ report: worker.execute(commands), executed: true });
          }),
        inspect: (machine) =>
          new Promise((answer) => {
            this.inspected.push({ machine: machine.name, answer });
            const worker = this.workers.get(machine.name);
            if (worker) answer(worker.report());
          }),
        onTerminalState: () => undefined,
        isTerminal: () => false,
        outcomeMayBeWritten: () => false,
        enqueue: (command) => {
          command();
        },
        pause: () => new Promise(() => undefined),
        superseded: () => {
          this.superseded += 1;
        },
        lostAllWorkers: () => undefined,
        directHeartbeatAgeMs: () => 0,
        lagMs: () => 0,
      },
      settings: SETTINGS as Settings,
      options: defaultOptions(),
      teams: SETTINGS.settings.teams.map((t) => ({
        name: t.name,
        cpus: t.cpus,
        gpus: t.gpus,
        cpusMax: t.cpus_max,
        gpusMax: t.gpus_max,
      })),
      zones: new NameIndex(['a', 'b']),
      catalog: new Catalog([BIG]),
      cloud: {
        ready: () => true,
        catalog: () => Promise.resolve(null),
        rent: () => Promise.resolve({ kind: 'no_capacity' }),
        terminate: (names) => {
          if (this.cloudUp) this.returned.push(...names);
          return Promise.resolve(this.cloudUp);
        },
        list: () => Promise.resolve(this.listed),
      },
      writer: {
        backlog: 0,
        idle: false,
        enqueue: (job: Write | DeferredWrite) => {
          if (job.kind === 'deferred') job.build();
          job.done();
        },
        stop: () => undefined,
      } as unknown as LeaderWriter,
      term: TERM,
      heartbeatGraceMs: GRACE_MS,
    });
  }

  /** The state as an earlier leader left it: all tasks of the jobs may have been started. */
  load(jobs: readonly JobRequest[], machines: readonly (readonly [name: string, zone: string])[]): void {
    const item = (key: string, value: unknown): Item => ({ key, value, version: 1, lease: null }) as Item;
    const m = machines.map(([name, zone]) => [name, `${name}:9000`, BIG.name, zone, false]);
    this.leader.recover({
      open: jobs.map((job) => item(KEYS.open(job.id), openValue(job, this.clock.wall()))),
      startWatermarks: [
        item(KEYS.startWatermarks(0), startWatermarksValue(new Map(jobs.map((job) => [job.id, job.tasks])))),
      ],
      completions: [],
      machineRegistry: m.length > 0 ? [item(KEYS.machineRegistry(0), { m })] : [],
    });
  }

  worker(name: string, zone: string): FakeWorker {
    const worker = new FakeWorker(name, zone);
    this.workers.set(name, worker);
    return worker;
  }

  /** Lets time pass: each worker reports once a second, and all answers are settled. */
  async pass(seconds: number): Promise<void> {
    for (let step = 0; step < seconds * 5; step++) {
      this.clock.at += 200;
      for (const w of this.workers.values()) {
        const commands = step % 5 === 0 && !w.mute ? this.leader.onHeartbeat(w.report()) : null;
        if (commands) w.execute(commands);
      }
      this.leader.afterBatch();
      await settle();
    }
  }
}

export function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/** A job of team `other`, which has no limit, for machines of the type BIG; `over` in the words of the wire. */
export function jobOf(id: string, over: Record<string, unknown> = {}): JobRequest {
  const decoded = decodeStoredJob({
    ...JOB,
    ...{
      uid: id,
      crew: 'other',
      shape: 'array',
      loaves: 4,
      cores: 2,
      accelerators: 0,
      memGb: 4,
      ovens: null,
    },
    ...{ yard: null, samePlace: false, apart: false, borrowed: false, bakeS: 300, proofS: 0, coolS: 0 },
    ...over,
  });
  if (!decoded.ok) throw new Error(decoded.reason);
  return decoded.value;
}

export function task(
  jobId: string,
  number: number,
  attempt: number,
  over: Partial<TaskStatus> = {},
): TaskStatus {
  return { jobId, task: number, attempt, phase: 'running', exitReason: null, checkpointed: false, ...over };
}

export function reportOf(
  machine: string,
  zone: string,
  at: { incarnation: number; sequence: number; fencingToken: number },
  tasks: TaskStatus[] = [],
): Heartbeat {
  const place = { machine, address: `${machine}:9000`, machineType: BIG.name, zone, spot: false };
  return { ...place, ...at, interruptionNoticeS: null, tasks };
}
