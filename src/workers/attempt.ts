/** One attempt to run a task on a machine: its life cycle, its stop, and the delivery of its start. */
import type { Job } from '../jobs/job.ts';
import type { ExitReason, TaskPhase } from '../wire/worker.ts';
import type { Machine } from './machine.ts';

/** `launching` until the worker has reported the attempt; from then on the phase that it reported last. */
export type AttemptPhase = 'launching' | TaskPhase;

/** Where an attempt belongs, and when it was decided. */
export interface AttemptInit {
  readonly machine: Machine;
  /** null: a task of a job that isn't open, left over from an earlier leader. */
  readonly job: Job | null;
  readonly jobId: string;
  readonly task: number;
  readonly number: number;
  /** Milliseconds on the steady clock. */
  readonly assignedAt: number;
}

/**
 * One start of a task on a machine, from the decision until the machine has forgotten it.
 *
 * Three things are tracked, each with its own transitions:
 *
 * - The life cycle as the worker reports it: `launching`, then the reported phases (`observe`).
 * - Whether the attempt still counts: it is live until `release`, which sets the exit reason and is final. A released
 *   attempt stays with its machine in phase `ended` until the worker may forget it.
 * - The delivery of its start. These flags do not exclude each other: a start can be in flight on a direct connection,
 *   in doubt because of an earlier one, and carried by a heartbeat response, while the attempt is stopped as well.
 */
export class Attempt {
  readonly machine: Machine;
  readonly job: Job | null;
  readonly jobId: string;
  readonly task: number;
  readonly number: number;
  /** When it was decided, or first reported if an earlier leader decided it; milliseconds on the steady clock. */
  readonly assignedAt: number;

  private currentPhase: AttemptPhase = 'launching';
  private runningSinceMs: number | null = null;
  private isReleased = false;
  private finalExitReason: ExitReason | null = null;

  private decidedStopGraceS: number | null = null;

  private directStartsInFlightCount = 0;
  private startMayBeExecuted = false;
  private responseMayCarryStart = false;
  /** When the monitor first found that it may still start though its job is cancelled, or null. */
  private unwantedStartSinceMs: number | null = null;
  private leaseExpiryAwaited = false;

  constructor(init: AttemptInit) {
    this.machine = init.machine;
    this.job = init.job;
    this.jobId = init.jobId;
    this.task = init.task;
    this.number = init.number;
    this.assignedAt = init.assignedAt;
  }

  // ---- life cycle ----

  /** The phase that the worker reported last. */
  get phase(): AttemptPhase {
    return this.currentPhase;
  }

  /** The worker has reported it in its present incarnation. */
  get observed(): boolean {
    return this.currentPhase !== 'launching';
  }

  /** When it was first reported as running, or as running again; null before. Milliseconds on the steady clock. */
  get runningSince(): number | null {
    return this.runningSinceMs;
  }

  /** The worker reports it in this phase. Returns true if the task has begun to run. */
  observe(phase: TaskPhase, now: number): boolean {
    const beginsToRun = phase === 'running' && this.currentPhase !== 'running';
    this.currentPhase = phase;
    if (beginsToRun) this.runningSinceMs = now;
    return beginsToRun;
  }

  /** It no longer counts: it has ended, or can't be anywhere any more. */
  get released(): boolean {
    return this.isReleased;
  }

  /** Why it ended; null while it is live, and if it is gone without having said why. */
  get exitReason(): ExitReason | null {
    return this.finalExitReason;
  }

  /** Ends its life; the first call decides. Returns false if it had been released before. */
  release(exitReason: ExitReason | null): boolean {
    if (this.isReleased) return false;
    this.isReleased = true;
    this.finalExitReason = exitReason;
    return true;
  }

  // ---- stop ----

  /** Grace in seconds of the stop that was decided, or null. */
  get stopGraceS(): number | null {
    return this.decidedStopGraceS;
  }

  /** Decides that it must stop, or changes the grace of its stop. */
  decideStop(graceS: number): void {
    this.decidedStopGraceS = graceS;
  }

  // ---- delivery of the start ----

  /** Direct commands with its start that are on their way. */
  get directStartsInFlight(): number {
    return this.directStartsInFlightCount;
  }

  /** A direct start had no answer: it may be executed as long as the worker's incarnation lasts. */
  get startInDoubt(): boolean {
    return this.startMayBeExecuted;
  }

  /** The response to the worker's last heartbeat carried its start, and may still be on its way. */
  get startInResponse(): boolean {
    return this.responseMayCarryStart;
  }

  /** No direct start can be executed any more that isn't known from a heartbeat. */
  get directStartsSettled(): boolean {
    return !this.startMayBeExecuted && this.directStartsInFlightCount === 0;
  }

  /** Its start leaves on a direct connection. */
  noteDirectStartSent(): void {
    this.directStartsInFlightCount += 1;
  }

  /** A direct start is settled; one without an answer may be executed yet. */
  noteDirectStartCompleted(unanswered: boolean): void {
    this.directStartsInFlightCount -= 1;
    if (unanswered) this.startMayBeExecuted = true;
  }

  /** The response to a heartbeat carries its start. */
  noteStartInResponse(): void {
    this.responseMayCarryStart = true;
  }

  /** A newer heartbeat arrived: the response to the one before was carried out or given up. */
  noteResponseSettled(): void {
    this.responseMayCarryStart = false;
  }

  // ---- a start that must not happen ----

  /** The lease of its machine must expire, as nothing else surely keeps it from starting too late. */
  get awaitingLeaseExpiry(): boolean {
    return this.leaseExpiryAwaited;
  }

  /** Tracks that it may still start though it must not; returns for how long that has been known, in milliseconds. */
  trackUnwantedStart(now: number): number {
    this.unwantedStartSinceMs ??= now;
    return now - this.unwantedStartSinceMs;
  }

  /** From now on its machine's heartbeats stay unanswered until its lease has expired. */
  awaitLeaseExpiry(): void {
    this.leaseExpiryAwaited = true;
  }
}

/** The key of an attempt among those of its machine. */
export function attemptKey(jobId: string, task: number, number: number): string {
  return `${jobId}/${task}#${number}`;
}
