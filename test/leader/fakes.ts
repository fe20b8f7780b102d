/** Fakes of what a leader reaches (host, cloud, writes, workers), and builders of jobs, tasks and heartbeats. */
import type { Clock } from '../../src/base/clock.ts';
import type { Cloud } from '../../src/fleet/cloud.ts';
import type { LeaderHost, WriteQueue } from '../../src/leader/context.ts';
import { decodeStoredJob, type JobRequest } from '../../src/wire/user.ts';
import type { Command, Heartbeat, TaskStatus } from '../../src/wire/worker.ts';
import type { CommandResult } from '../../src/workers/worker-client.ts';
import { FencingTokens, TOKENS_PER_RESERVATION } from '../../src/workers/fencing-tokens.ts';
import { BIG, silent } from '../helpers.ts';
import { JOB } from '../wire/sample.ts';

/** The first fencing token of the leader under test, and the number that its term stands for in tests. */
export const TERM = 7;

/** The fencing tokens of the leader under test; `count`: how many it has reserved. */
export function createTokens(count = TOKENS_PER_RESERVATION): FencingTokens {
  return new FencingTokens(TERM, TERM + count - 1);
}

/** The fencing token of workers that have heard from a later leader. */
export const LATER_TOKEN = TERM + TOKENS_PER_RESERVATION;
/** The fencing token of workers that have not heard from the leader under test yet. */
export const EARLIER_TERM = TERM - 1;

/** Commands were sent, and no response came: they may be executed or not. */
export const NO_RESPONSE: CommandResult = { kind: 'unanswered' };

/** The commands were executed, or refused. */
export function responseOf(heartbeat: Heartbeat, executed: boolean): CommandResult {
  return { kind: 'answered', heartbeat, executed };
}

/** Lets all pending promises settle. */
export function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/** A host with a valid lease whose workers never respond; commands of its queue run at once. */
export function fakeHost(clock: Clock, overrides: Partial<LeaderHost> = {}): LeaderHost {
  return {
    clock,
    log: silent,
    hasValidLease: () => true,
    sendCommands: () => Promise.resolve(NO_RESPONSE),
    inspect: () => Promise.resolve({ kind: 'unanswered' }),
    onTerminalState: () => undefined,
    isTerminal: () => false,
    outcomeMayBeWritten: () => false,
    enqueue: (command) => {
      command();
    },
    pause: () => new Promise(() => undefined),
    onSuperseded: () => undefined,
    onAllWorkersLost: () => undefined,
    directHeartbeatAgeMs: () => 0,
    lagMs: () => 0,
    ...overrides,
  };
}

/** A cloud without capacity and without machines. */
export function fakeCloud(overrides: Partial<Cloud> = {}): Cloud {
  return {
    canRequest: () => true,
    catalog: () => Promise.resolve(null),
    rent: () => Promise.resolve({ kind: 'no_capacity' }),
    terminate: () => Promise.resolve(true),
    list: () => Promise.resolve([]),
    ...overrides,
  };
}

/** Every write is durable at once. */
export const instantWrites: WriteQueue = {
  backlog: 0,
  idle: false,
  enqueue: (write) => {
    if (write.kind === 'deferred') write.build();
    write.onCommitted();
  },
  stop: () => undefined,
};

/** A worker whose tasks run from the moment of their start until the test ends them. */
export class FakeWorker {
  readonly tasks = new Map<string, TaskStatus>();
  incarnation = 1;
  sequence = 0;
  fencingToken = TERM;
  /** Its heartbeats reach no controller, while commands and probes reach it. */
  heartbeatsLost = false;

  constructor(
    readonly name: string,
    readonly zone: string,
  ) {}

  /** Adds a task, or replaces its status. */
  setTask(status: TaskStatus): this {
    this.tasks.set(`${status.jobId}/${status.task}#${status.attempt}`, status);
    return this;
  }

  nextHeartbeat(): Heartbeat {
    this.sequence += 1;
    const { incarnation, sequence, fencingToken } = this;
    const position = { incarnation, sequence, fencingToken };
    return heartbeatOf(this.name, this.zone, position, [...this.tasks.values()]);
  }

  /** Executes the commands of a message under this fencing token, which is not below one seen before. */
  execute(commands: readonly Command[], fencingToken: number): Heartbeat {
    this.fencingToken = Math.max(this.fencingToken, fencingToken);
    for (const command of commands) {
      const key = `${command.jobId}/${command.task}#${command.attempt}`;
      const known = this.tasks.get(key);
      if (command.op === 'start' && !known)
        this.setTask(taskStatus(command.jobId, command.task, command.attempt));
      if (command.op === 'stop' && known) this.setTask({ ...known, phase: 'ended', exitReason: 'stopped' });
      if (command.op === 'forget' && known?.phase === 'ended') this.tasks.delete(key);
    }
    return this.nextHeartbeat();
  }

  /** The tasks of a job that run here. */
  runningTasks(jobId: string): number[] {
    return [...this.tasks.values()]
      .filter((status) => status.jobId === jobId && status.phase === 'running')
      .map((status) => status.task);
  }
}

/** Fields of a job that a test may set besides its id. */
type JobOverrides = Partial<Pick<JobRequest, 'tasks' | 'gang' | 'oneZone'>>;

/**
 * A job of team `other`, which has no limit, for machines of the type BIG. It is decoded from its wire form, since that
 * is what the store holds of a job.
 */
export function jobOf(id: string, overrides: JobOverrides = {}): JobRequest {
  const { tasks = 4, gang = false, oneZone = false } = overrides;
  const decoded = decodeStoredJob({
    ...JOB,
    uid: id,
    crew: 'other',
    shape: gang ? 'ensemble' : 'array',
    loaves: tasks,
    cores: 2,
    accelerators: 0,
    memGb: 4,
    ovens: null,
    yard: null,
    samePlace: oneZone,
    apart: false,
    borrowed: false,
    bakeS: 300,
    proofS: 0,
    coolS: 0,
  });
  if (!decoded.ok) throw new Error(decoded.reason);
  return decoded.value;
}

/** The status of an attempt, running unless said otherwise. */
export function taskStatus(
  jobId: string,
  task: number,
  attempt: number,
  overrides: Partial<TaskStatus> = {},
): TaskStatus {
  return { jobId, task, attempt, phase: 'running', exitReason: null, checkpointed: false, ...overrides };
}

/** Where a heartbeat stands among those of its machine. */
type HeartbeatPosition = Pick<Heartbeat, 'incarnation' | 'sequence' | 'fencingToken'>;

export function heartbeatOf(
  machine: string,
  zone: string,
  position: HeartbeatPosition,
  tasks: TaskStatus[] = [],
): Heartbeat {
  return {
    machine,
    address: `${machine}:9000`,
    machineType: BIG.name,
    zone,
    spot: false,
    ...position,
    interruptionNoticeS: null,
    tasks,
  };
}
