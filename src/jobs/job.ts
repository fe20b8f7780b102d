/** The leader's state of one job: which of its tasks are pending, assigned, done and durable. */
import type { JobRequest, JobStatus } from '../wire/user.ts';
import { createJobFailures } from '../workers/failure-attribution.ts';
import { chunkOf, chunkRange, hasBit, newBitmap, setBit } from './completion-chunks.ts';

/** State of a task that waits to be assigned to a machine. */
const PENDING = 0;
/** State of a task that is assigned to a machine, or may still run on one. */
export const ASSIGNED = 1;
/** State of a task that is done, but whose completion is not yet durable. */
const DONE = 2;
/** State of a task whose completion is durable. */
const DURABLE = 3;

/** How a job ended, or is to end. */
export type JobOutcome = 'done' | 'cancelled';

/** A machine on which other tasks are being preempted so that a job's single task can start there. */
export interface NominatedMachine {
  /** Index of the machine. */
  machine: number;
  /** When the nomination ends, in ms on the steady clock. */
  until: number;
}

/** Machines reserved for a gang: those on which tasks were preempted for it, and others that it counts on. */
export interface Reservation {
  /** Indices of the machines. */
  machines: ReadonlySet<number>;
  /** Index of the zone that the machines are in. */
  zone: number;
  /** When the reservation ends, in ms on the steady clock. */
  until: number;
}

/** The leader's state of a job. Frequent operations use counts and short lists and don't iterate over all tasks. */
export class Job {
  /** State of each task: `PENDING`, `ASSIGNED`, `DONE` or `DURABLE`. */
  readonly taskStates: Uint8Array;
  /** The first task that `takePending` has not reached yet; tasks below it that were requeued are in `requeued`. */
  private nextTask = 0;
  private readonly requeued: number[] = [];
  pendingCount: number;
  /** Number of tasks that are done, durable ones included. */
  doneCount = 0;
  durableCount = 0;
  /** Number of tasks reported as running. */
  runningCount = 0;
  /** Chunks of the completion bitmap with tasks that are done and not durable yet. */
  readonly dirtyChunks = new Set<number>();
  /** Chunks of the completion bitmap that have a record in the store. */
  readonly storedChunks = new Set<number>();
  /** Set once the job is to end; no task starts from then on. */
  pendingOutcome: JobOutcome | null = null;
  /** Called once the terminal state is durable, or this leadership has ended. */
  readonly onTerminal: (() => void)[] = [];
  /** Set once the terminal record is durable. */
  terminalState: JobOutcome | null = null;
  readonly failures = createJobFailures();
  /** No task is started before this time, in ms on the steady clock. */
  notBefore = 0;
  /**
   * Number of attempts that hold each task. After a failover, a late heartbeat can report a task on a machine that no
   * longer exists while the task runs on another one; the end of one of the two attempts must not free the task.
   */
  readonly attemptCounts = new Map<number, number>();
  nominatedMachine: NominatedMachine | null = null;
  reservation: Reservation | null = null;
  /** Index of the zone that scheduling last chose for a job whose tasks must be in one zone, or -1. */
  zoneHint = -1;
  /** Indices of the machines on which a task of this job failed. */
  readonly excludedMachines = new Set<number>();
  /**
   * The start watermark that is durable in the store. Only tasks below it may be started: a later leader then learns
   * from the store that they may be running.
   */
  durableStartWatermark = 0;
  /** The highest start watermark whose write has been requested. */
  requestedStartWatermark = 0;
  /**
   * The start watermark of an earlier leader: tasks below it may be running on machines that have not sent a heartbeat
   * yet, all others can't be running. 0: no earlier leader has started a task.
   */
  inheritedStartWatermark = 0;
  /** When the job began to wait, in ms on the steady clock; reset whenever a task is placed. */
  waitingSince: number;

  /** `team`: index of the team. `createdAtWallMs`: wall-clock time of acceptance. `now`: steady ms. */
  constructor(
    readonly spec: JobRequest,
    readonly team: number,
    readonly createdAtWallMs: number,
    now: number,
  ) {
    this.taskStates = new Uint8Array(spec.tasks);
    this.pendingCount = spec.tasks;
    this.waitingSince = now;
  }

  get id(): string {
    return this.spec.id;
  }

  /** Restores the start watermark that a new leader has read from the store. `now`: steady ms. */
  restore(startWatermark: number, now: number): void {
    if (startWatermark > 0) this.waitingSince = now;
    this.durableStartWatermark = startWatermark;
    this.requestedStartWatermark = startWatermark;
    this.inheritedStartWatermark = startWatermark;
  }

  /** Whether no task of the job can have been started so far. */
  get hasNeverStarted(): boolean {
    return this.requestedStartWatermark === 0;
  }

  /**
   * Number of pending tasks that may be assigned while machines of an earlier leader are not reconciled: those that
   * can't be running on any of these machines.
   */
  startableCount(): number {
    if (this.inheritedStartWatermark === 0) return this.pendingCount;
    // The placement of these tasks depends on the job's running tasks, which are not all known yet.
    if (this.spec.gang || this.spec.oneZone || this.spec.spread) return 0;
    let count = 0;
    for (let task = this.inheritedStartWatermark; task < this.spec.tasks; task++) {
      if (this.taskStates[task] === PENDING) count += 1;
    }
    return count;
  }

  /**
   * Assigns the next pending task and returns it, or -1. `onlyStartable`: skips tasks that may be running on a machine
   * that is not reconciled.
   */
  takePending(onlyStartable = false): number {
    if (onlyStartable && this.inheritedStartWatermark > 0) return this.takeStartable();
    for (let task = this.requeued.pop(); task !== undefined; task = this.requeued.pop()) {
      if (this.taskStates[task] === PENDING) return this.assign(task);
    }
    while (this.nextTask < this.spec.tasks) {
      const task = this.nextTask++;
      if (this.taskStates[task] === PENDING) return this.assign(task);
    }
    return -1;
  }

  private takeStartable(): number {
    for (let task = this.inheritedStartWatermark; task < this.spec.tasks; task++) {
      if (this.taskStates[task] === PENDING) return this.assign(task);
    }
    return -1;
  }

  /** Assigns a task that was found running after a failover. Returns false if the task is not pending. */
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

  /** Makes an assigned task pending again; no machine may be running it any more. `now`: steady ms. */
  requeue(task: number, now: number): void {
    if (this.taskStates[task] !== ASSIGNED) return;
    this.taskStates[task] = PENDING;
    this.pendingCount += 1;
    if (this.pendingCount === 1) this.waitingSince = now;
    this.requeued.push(task);
  }

  /** Marks a task as done. Returns false if there is no such task or it was done before. */
  markDone(task: number): boolean {
    const state = this.taskStates[task];
    if (state === undefined || state >= DONE) return false;
    if (state === PENDING) this.pendingCount -= 1;
    this.taskStates[task] = DONE;
    this.doneCount += 1;
    this.dirtyChunks.add(chunkOf(task));
    return true;
  }

  /** Marks the tasks whose bits are set as durable: the store holds these bits of the completion bitmap. */
  markChunkDurable(chunk: number, bits: Uint8Array): void {
    this.storedChunks.add(chunk);
    const { first, end } = chunkRange(chunk, this.spec.tasks);
    for (let task = first; task < end; task++) {
      const state = this.taskStates[task] ?? PENDING;
      if (!hasBit(bits, task - first) || state === DURABLE) continue;
      if (state === PENDING) this.pendingCount -= 1;
      if (state < DONE) this.doneCount += 1;
      this.failures.hasDurableSuccess = true;
      this.taskStates[task] = DURABLE;
      this.durableCount += 1;
    }
  }

  /** The current completion bitmap of a chunk, to be written to the store. */
  chunkBits(chunk: number): Uint8Array {
    const { first, end } = chunkRange(chunk, this.spec.tasks);
    const bits = newBitmap(end - first);
    for (let task = first; task < end; task++) {
      if (this.isDone(task)) setBit(bits, task - first);
    }
    return bits;
  }

  isDone(task: number): boolean {
    return (this.taskStates[task] ?? PENDING) >= DONE;
  }

  isDurable(task: number): boolean {
    return this.terminalState === 'done' || this.taskStates[task] === DURABLE;
  }

  get allDone(): boolean {
    return this.doneCount === this.spec.tasks;
  }

  /** Whether the job is to end and its terminal record isn't known to be durable. */
  get isOutcomeUnconfirmed(): boolean {
    return this.pendingOutcome !== null && this.terminalState === null;
  }

  /** The status for users: as long as the job is open, only tasks whose completion is durable count as done. */
  status(): JobStatus {
    if (this.terminalState) return { stage: this.terminalState, done: this.doneCount, running: 0 };
    return {
      stage: this.runningCount > 0 ? 'running' : 'pending',
      done: this.durableCount,
      running: this.runningCount,
    };
  }
}
