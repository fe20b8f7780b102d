/** Reconciles what the leader knows of a machine with its worker's heartbeats, and derives the worker's commands. */
import type { Job } from '../jobs/job.ts';
import type { Command, Heartbeat, TaskPhase, TaskStatus } from '../wire/worker.ts';
import { Attempt, attemptKey } from './attempt.ts';
import type { Machine } from './machine.ts';

/** What a heartbeat means for jobs; events must be applied in the order in which they were returned. */
export type WorkerEvent =
  /** The worker reports the attempt for the first time. */
  | { kind: 'observed'; attempt: Attempt }
  | { kind: 'running'; attempt: Attempt }
  /** The attempt holds nothing any more. Its exit reason is null if it is gone without having said why. */
  | { kind: 'released'; attempt: Attempt; checkpointed: boolean };

/** What reconciliation needs beside the machine and the heartbeat. */
export interface ReconcileContext {
  /** Milliseconds on the steady clock. */
  now: number;
  /** The open job of this id, or null. */
  jobOf(id: string): Job | null;
}

/** Releases an attempt of which nothing is known but that it is gone. */
function releaseLost(attempt: Attempt, events: WorkerEvent[]): void {
  if (attempt.release(null)) events.push({ kind: 'released', attempt, checkpointed: false });
}

/** Everything on the machine is surely gone: a new incarnation, an expired lease, or a machine that was returned. */
export function releaseAll(machine: Machine): WorkerEvent[] {
  const events: WorkerEvent[] = [];
  for (const attempt of machine.attempts.values()) releaseLost(attempt, events);
  machine.attempts.clear();
  return events;
}

/** True if the heartbeat is newer than all before. Late copies must change nothing. */
export function isNewerHeartbeat(machine: Machine, heartbeat: Heartbeat): boolean {
  if (heartbeat.incarnation > machine.incarnation) return true;
  return (
    heartbeat.incarnation === machine.incarnation &&
    heartbeat.sequence > machine.sequence &&
    !machine.leaseExpired
  );
}

/**
 * Applies a newer heartbeat. `direct`: it came as the answer to direct commands, so a start that is in flight on
 * another path may still follow; only a heartbeat of the worker's own proves that the start in an earlier response
 * was executed or never will be.
 */
export function applyHeartbeat(
  machine: Machine,
  heartbeat: Heartbeat,
  direct: boolean,
  context: ReconcileContext,
): WorkerEvent[] {
  const events: WorkerEvent[] = [];
  if (heartbeat.incarnation > machine.incarnation) {
    // The worker has killed and forgotten what it had; starts meant for the old incarnation are refused.
    if (machine.incarnation > 0) events.push(...releaseAll(machine));
    machine.beginIncarnation(heartbeat.incarnation, context.now);
  }
  machine.noteHeartbeat(heartbeat, direct, context.now);
  const reported = new Set<string>();
  for (const status of heartbeat.tasks) {
    const key = attemptKey(status.jobId, status.task, status.attempt);
    reported.add(key);
    const attempt = machine.attempts.get(key) ?? adoptAttempt(machine, key, status, context);
    applyTaskStatus(attempt, status, context.now, events);
  }
  releaseMissing(machine, reported, direct, events);
  return events;
}

/** Tracks an attempt that an earlier leader started. */
function adoptAttempt(machine: Machine, key: string, status: TaskStatus, context: ReconcileContext): Attempt {
  const job = context.jobOf(status.jobId);
  const attempt = new Attempt({
    machine,
    job: job && status.task < job.spec.tasks ? job : null,
    jobId: status.jobId,
    task: status.task,
    number: status.attempt,
    assignedAt: context.now,
  });
  machine.attempts.set(key, attempt);
  return attempt;
}

function applyTaskStatus(attempt: Attempt, status: TaskStatus, now: number, events: WorkerEvent[]): void {
  const firstObservation = !attempt.observed;
  const beginsToRun = attempt.observe(status.phase, now);
  if (attempt.job && hasImage(status.phase)) attempt.machine.images.notePresent(attempt.job.spec.image, now);
  if (firstObservation) events.push({ kind: 'observed', attempt });
  if (beginsToRun) events.push({ kind: 'running', attempt });
  if (status.phase === 'ended' && attempt.release(status.exitReason ?? 'error'))
    events.push({ kind: 'released', attempt, checkpointed: status.checkpointed });
}

/** A task in this phase has its image on the machine. */
function hasImage(phase: TaskPhase): boolean {
  return phase === 'running' || phase === 'waiting' || phase === 'saving';
}

/** Releases the attempts that the heartbeat doesn't show and that can't be on the machine any more. */
function releaseMissing(
  machine: Machine,
  reported: ReadonlySet<string>,
  direct: boolean,
  events: WorkerEvent[],
): void {
  for (const [key, attempt] of machine.attempts) {
    if (reported.has(key)) continue;
    // Known to the worker before and not any more: it has forgotten it.
    const forgotten = attempt.observed;
    // Its start can't be executed any more: responses before this heartbeat were, and no command is in flight.
    const neverStarts = attempt.stopGraceS !== null && !direct && attempt.directStartsSettled;
    if (!forgotten && !neverStarts) continue;
    machine.attempts.delete(key);
    releaseLost(attempt, events);
  }
}

/**
 * Notes the starts that the response to a heartbeat carries. A direct command can overtake that response: a task that
 * was refused and forgotten meanwhile would be started anew by it, while it runs elsewhere.
 */
export function noteStartsInResponse(machine: Machine, commands: readonly Command[]): void {
  for (const command of commands) {
    if (command.op !== 'start') continue;
    machine.attempts.get(attemptKey(command.jobId, command.task, command.attempt))?.noteStartInResponse();
  }
}

/** May the worker forget this ended attempt? Not while a start may arrive, nor before its end is durable. */
export function canForget(attempt: Attempt): boolean {
  if (attempt.phase !== 'ended' || !attempt.directStartsSettled || attempt.startInResponse) return false;
  return attempt.exitReason !== 'done' || attempt.job === null || attempt.job.isDurable(attempt.task);
}

/** The store says that the task may have been started. */
export function isStartDurable(attempt: Attempt): boolean {
  return attempt.job !== null && attempt.task < attempt.job.durableStartWatermark;
}

/** All that the worker should do now. `mayStart`: new tasks too, which takes a valid lease. */
export function buildCommands(machine: Machine, canStart: boolean): Command[] {
  const commands: Command[] = [];
  for (const attempt of machine.attempts.values()) {
    const target = { jobId: attempt.jobId, task: attempt.task, attempt: attempt.number };
    if (attempt.phase === 'ended') {
      if (canForget(attempt)) commands.push({ op: 'forget', ...target });
    } else if (attempt.stopGraceS !== null) {
      if (attempt.observed) commands.push({ op: 'stop', ...target, graceS: attempt.stopGraceS });
    } else if (!attempt.observed && canStart && isStartDurable(attempt)) {
      commands.push({ op: 'start', ...target });
    }
  }
  return commands;
}
