import { newJobFailures } from '../workers/failure-attribution.ts';
import type { JobRequest, JobStatus } from '../wire/user.ts';

export const PENDING = 0;
export const ASSIGNED = 1;
/** Done, but not yet durable. */
export const DONE = 2;
export const DURABLE = 3;

/** Finished tasks are kept in the store in chunks of this many bits. */
export const CHUNK_TASKS = 4096;

/** A job as the leader knows it. Work on it goes by counts and short lists, never over all its tasks. */
export class Job {
  readonly taskStates: Uint8Array;
  /** Next task that was never assigned; tasks below it that came back are in `returned`. */
  private next = 0;
  private returned: number[] = [];
  pendingCount: number;
  doneCount = 0;
  durableCount = 0;
  /** Tasks reported as running. */
  running = 0;
  /** Chunks with finished tasks that are not durable yet. */
  readonly dirtyChunks = new Set<number>();
  /** Chunks that have a record in the store. */
  readonly storedChunks = new Set<number>();
  /** Set once the job is to end; no task starts from then on. */
  pendingOutcome: 'done' | 'cancelled' | null = null;
  /** Called with the final state once it is durable. */
  readonly onTerminal: (() => void)[] = [];
  terminalState: 'done' | 'cancelled' | null = null;
  readonly failures = newJobFailures();
  /** No task is started before this time, in milliseconds on the steady clock. */
  notBefore = 0;
  /**
   * How many attempts hold a task. After a takeover a late report can show a task on a machine that is gone
   * while it runs elsewhere: the end of one of the two must not free the task.
   */
  readonly holders = new Map<number, number>();
  /** A machine on which room is being made for it, and until when it waits for that. */
  nominatedMachine: { machine: number; until: number } | null = null;
  /** Machines (by index) on which others were stopped for it or that it waits for besides, and until when. */
  reservation: { machines: ReadonlySet<number>; zone: number; until: number } | null = null;
  /** The zone that the last round chose for a job that must stay in one, or -1. */
  zoneHint = -1;
  /** Machines (by index) on which a task of this job failed. */
  readonly excludedMachines = new Set<number>();
  /** Tasks below this may be started: the store says that they may have been. No task starts before that. */
  durableStartWatermark = 0;
  /** What the store has been asked to say. */
  requestedStartWatermark = 0;
  /** Of an earlier leader: tasks below it may run on machines that are not heard yet, the others surely don't. */
  inheritedStartWatermark = 0;
  /** When the job began to wait, on the steady clock; moves on whenever a task is placed. */
  waitingSince: number;

  constructor(
    readonly spec: JobRequest,
    readonly team: number,
    readonly createdWall: number,
    now: number,
  ) {
    this.taskStates = new Uint8Array(spec.tasks);
    this.pendingCount = spec.tasks;
    this.waitingSince = now;
  }

  get id(): string {
    return this.spec.id;
  }

  /** Found in the store by a new leader. */
  restore(begun: number, now: number): void {
    if (begun > 0) this.waitingSince = now;
    this.durableStartWatermark = begun;
    this.requestedStartWatermark = begun;
    this.inheritedStartWatermark = begun;
  }

  /** No task of it has ever been started. */
  get neverStarted(): boolean {
    return this.requestedStartWatermark === 0;
  }

  /** Tasks that nobody can be running while machines of an earlier leader are unheard. */
  startableCount(): number {
    if (this.inheritedStartWatermark === 0) return this.pendingCount;
    // Where the others of the job are decides where these may go.
    if (this.spec.gang || this.spec.oneZone || this.spec.spread) return 0;
    let count = 0;
    for (let task = this.inheritedStartWatermark; task < this.spec.tasks; task++) {
      if (this.taskStates[task] === PENDING) count += 1;
    }
    return count;
  }

  /** Takes the next pending task, or -1; `sure`: only one that nobody can be running. */
  takePending(sure = false): number {
    if (sure && this.inheritedStartWatermark > 0) {
      for (let task = this.inheritedStartWatermark; task < this.spec.tasks; task++) {
        if (this.taskStates[task] === PENDING) return this.assign(task);
      }
      return -1;
    }
    while (this.returned.length > 0) {
      const task = this.returned.pop()!;
      if (this.taskStates[task] === PENDING) return this.assign(task);
    }
    while (this.next < this.spec.tasks) {
      const task = this.next++;
      if (this.taskStates[task] === PENDING) return this.assign(task);
    }
    return -1;
  }

  /** Assigns a certain task, found running after a takeover. */
  adopt(task: number): boolean {
    if (this.taskStates[task] !== PENDING) return false;
    this.assign(task);
    return true;
  }

  private assign(task: number): number {
    this.taskStates[task] = ASSIGNED;
    this.pendingCount -= 1;
    return task;
  }

  /** A task that was assigned is surely nowhere any more. */
  requeue(task: number, now: number): void {
    if (this.taskStates[task] !== ASSIGNED) return;
    this.taskStates[task] = PENDING;
    this.pendingCount += 1;
    if (this.pendingCount === 1) this.waitingSince = now;
    this.returned.push(task);
  }

  markDone(task: number): boolean {
    const state = this.taskStates[task];
    if (state === undefined || state >= DONE) return false;
    if (state === PENDING) this.pendingCount -= 1;
    this.taskStates[task] = DONE;
    this.doneCount += 1;
    this.dirtyChunks.add(Math.floor(task / CHUNK_TASKS));
    return true;
  }

  markChunkDurable(chunk: number, bits: Uint8Array): void {
    this.storedChunks.add(chunk);
    const from = chunk * CHUNK_TASKS;
    const to = Math.min(this.spec.tasks, from + CHUNK_TASKS);
    for (let task = from; task < to; task++) {
      const at = task - from;
      const set = ((bits[at >> 3] ?? 0) & (1 << (at & 7))) !== 0;
      const before = this.taskStates[task]!;
      if (!set || before === DURABLE) continue;
      if (before === PENDING) this.pendingCount -= 1;
      if (before < DONE) this.doneCount += 1;
      this.failures.succeededBefore = true;
      this.taskStates[task] = DURABLE;
      this.durableCount += 1;
    }
  }

  chunkBits(chunk: number): Uint8Array {
    const from = chunk * CHUNK_TASKS;
    const to = Math.min(this.spec.tasks, from + CHUNK_TASKS);
    const bits = new Uint8Array(Math.ceil((to - from) / 8));
    for (let task = from; task < to; task++) {
      if (this.taskStates[task]! >= DONE) bits[(task - from) >> 3]! |= 1 << ((task - from) & 7);
    }
    return bits;
  }

  isDone(task: number): boolean {
    return this.taskStates[task]! >= DONE;
  }

  isDurable(task: number): boolean {
    return this.terminalState === 'done' || this.taskStates[task] === DURABLE;
  }

  get allDone(): boolean {
    return this.doneCount === this.spec.tasks;
  }

  /** The job is to end, and its final record isn't known to be durable. */
  get outcomeUnconfirmed(): boolean {
    return this.pendingOutcome !== null && this.terminalState === null;
  }

  status(): JobStatus {
    if (this.terminalState) return { stage: this.terminalState, done: this.doneCount, running: 0 };
    return {
      stage: this.running > 0 ? 'running' : 'pending',
      done: this.durableCount,
      running: this.running,
    };
  }
}
