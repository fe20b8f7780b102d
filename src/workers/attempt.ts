/** One attempt to run a task on a machine: its life cycle, its stop, and the delivery of its start. */
import type { Job } from '../jobs/job.ts';
import type { ExitReason, TaskPhase } from '../wire/worker.ts';
import type { Machine } from './machine.ts';

/** `launching` until the worker has reported the attempt; from then on the phase that it reported last. */
export type AttemptPhase = 'launching' | TaskPhase;

/**
 * How a direct command ended for the start that it carried. `notExecuted`: it was not sent, or was refused for its token
 * or incarnation and so always will be. `unanswered`: it may be executed, now or later.
 */
export type StartDelivery = 'executed' | 'notExecuted' | 'unanswered';

/** What identifies an attempt, and when its task was assigned to the machine. */
export interface AttemptInit {
  readonly machine: Machine;
  /** null: the job isn't open; an earlier leader started the task. */
  readonly job: Job | null;
  readonly jobId: string;
  readonly task: number;
  readonly number: number;
  /** In milliseconds on the steady clock. */
  readonly assignedAt: number;
}

/**
 * One start of a task on a machine, from the leader's decision until the worker has forgotten the attempt.
 *
 * Three things are tracked, each with its own transitions:
 *
 * - The life cycle as the worker reports it: `launching`, then the reported phases (`observe`).
 * - Whether the attempt is live: it is until `release`, which sets the exit reason and is final. An attempt released
 *   because it has ended stays with its machine in phase `ended` until the worker may forget it.
 * - The delivery of its start. These flags do not exclude each other: a start can be in flight in a direct command, in
 *   doubt because of an earlier command, and carried by a heartbeat response, while a stop is decided as well. A direct
 *   command that was executed and answered can still arrive again: only a higher fencing token ends that.
 */
export class Attempt {
  readonly machine: Machine;
  readonly job: Job | null;
  readonly jobId: string;
  readonly task: number;
  readonly number: number;
  /**
   * When this leader assigned the task to the machine, or the first report of the attempt if an earlier leader did; in
   * milliseconds on the steady clock.
   */
  readonly assignedAt: number;

  private currentPhase: AttemptPhase = 'launching';
  private runningSinceMs: number | null = null;
  private isReleased = false;
  private finalExitReason: ExitReason | null = null;

  private decidedStopGraceS: number | null = null;

  private directStartsInFlightCount = 0;
  private startMayBeExecuted = false;
  /**
   * The highest fencing token of a direct command with the start that was executed or had no answer; null: there was
   * none. Such a command can arrive again at any time, and is accepted by a worker that has not seen a higher token.
   */
  private highestStartToken: number | null = null;
  private isReleaseAwaitingToken = false;
  private responseMayCarryStart = false;
  /** When the monitor first found that the task may still start though its job is cancelled, or null. */
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

  /** The phase that the worker reported last, `launching` before the first report. */
  get phase(): AttemptPhase {
    return this.currentPhase;
  }

  /** Whether the worker's present incarnation has reported the attempt. */
  get observed(): boolean {
    return this.currentPhase !== 'launching';
  }

  /** When the task was last reported to have started to run, in milliseconds on the steady clock; null before. */
  get runningSince(): number | null {
    return this.runningSinceMs;
  }

  /** Records the phase that the worker reports. Returns true if the task has started to run. */
  observe(phase: TaskPhase, now: number): boolean {
    const beginsToRun = phase === 'running' && this.currentPhase !== 'running';
    this.isReleaseAwaitingToken = false;
    this.currentPhase = phase;
    if (beginsToRun) this.runningSinceMs = now;
    return beginsToRun;
  }

  /**
   * Whether the attempt is released once its worker shows a higher token than its start had: the worker's latest report
   * lacks it, and it must stop or was reported before.
   */
  get awaitsHigherToken(): boolean {
    return this.isReleaseAwaitingToken;
  }

  /** The worker's latest report lacks the attempt, but the worker would still accept its start. */
  awaitHigherToken(): void {
    this.isReleaseAwaitingToken = true;
  }

  /** Whether the attempt is no longer live: it has ended, or can't be on its machine any more. */
  get released(): boolean {
    return this.isReleased;
  }

  /** Why the attempt ended; null while it is live, and if it is gone without a reported reason. */
  get exitReason(): ExitReason | null {
    return this.finalExitReason;
  }

  /** Ends the live attempt; `exitReason` is null if it is not known. A later call changes nothing and returns false. */
  release(exitReason: ExitReason | null): boolean {
    if (this.isReleased) return false;
    this.isReleased = true;
    this.finalExitReason = exitReason;
    return true;
  }

  // ---- stop ----

  /** Grace period in seconds of the stop that was decided, or null. */
  get stopGraceS(): number | null {
    return this.decidedStopGraceS;
  }

  /** Whether the worker is to be told to stop the task: a stop is decided, and the worker holds the attempt. */
  get stopDue(): boolean {
    return this.decidedStopGraceS !== null && this.observed && !this.isReleaseAwaitingToken;
  }

  /** Decides that the task must stop, or changes the grace period of its stop. */
  decideStop(graceS: number): void {
    this.decidedStopGraceS = graceS;
  }

  // ---- delivery of the start ----

  /** The number of direct commands with the attempt's start that are in flight. */
  get directStartsInFlight(): number {
    return this.directStartsInFlightCount;
  }

  /** Whether a worker that has seen this token accepts a copy of a direct command with the start. */
  isStartAcceptedAfter(token: number): boolean {
    return this.highestStartToken !== null && token <= this.highestStartToken;
  }

  /**
   * Whether a direct start had no answer: it may be executed until the worker's incarnation ends, or the worker has seen
   * a higher token.
   */
  get startInDoubt(): boolean {
    return this.startMayBeExecuted;
  }

  /** Whether the response to the worker's last heartbeat carried the start and may still be on its way. */
  get startInResponse(): boolean {
    return this.responseMayCarryStart;
  }

  /** A direct command with the start is sent. */
  noteDirectStartSent(): void {
    this.directStartsInFlightCount += 1;
  }

  /** A direct command with the start has completed, which carried this fencing token. */
  noteDirectStartCompleted(delivery: StartDelivery, token: number): void {
    this.directStartsInFlightCount -= 1;
    if (delivery === 'notExecuted') return;
    this.highestStartToken = Math.max(this.highestStartToken ?? token, token);
    this.machine.noteStartToken(token);
    if (delivery === 'unanswered') this.startMayBeExecuted = true;
  }

  /** The worker has seen this token: a start in doubt with a lower one is not executed any more. */
  noteTokenSeen(token: number): void {
    if (this.startMayBeExecuted && !this.isStartAcceptedAfter(token)) this.startMayBeExecuted = false;
  }

  /** The response to a heartbeat carries the start. */
  noteStartInResponse(): void {
    this.responseMayCarryStart = true;
  }

  /** A newer heartbeat arrived: the worker has executed or discarded the response to the one before. */
  noteResponseSettled(): void {
    this.responseMayCarryStart = false;
  }

  // ---- a start that must not be executed ----

  /** Whether the machine's lease must expire, as nothing else is certain to prevent a start that is too late. */
  get awaitingLeaseExpiry(): boolean {
    return this.leaseExpiryAwaited;
  }

  /** Notes that the task may still start though it must not; returns the milliseconds since that was first noted. */
  trackUnwantedStart(now: number): number {
    this.unwantedStartSinceMs ??= now;
    return now - this.unwantedStartSinceMs;
  }

  /** From now on the machine's heartbeats stay unanswered until its lease has expired. */
  awaitLeaseExpiry(): void {
    this.leaseExpiryAwaited = true;
  }
}

/** The key of an attempt in `Machine.attempts`. */
export function attemptKey(jobId: string, task: number, number: number): string {
  return `${jobId}/${task}#${number}`;
}
