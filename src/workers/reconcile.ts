/** Reconciles the leader's state of a machine with its worker's heartbeats, and derives the commands for the worker. */
import type { Job } from '../jobs/job.ts';
import type { Command, Heartbeat, TaskPhase, TaskStatus } from '../wire/worker.ts';
import { Attempt, attemptKey } from './attempt.ts';
import type { Machine } from './machine.ts';

/** A change of an attempt. Events must be applied to jobs in the order in which they were returned. */
export type WorkerEvent =
  /** The worker reports the attempt for the first time. */
  | { kind: 'observed'; attempt: Attempt }
  /** The task has started to run. */
  | { kind: 'running'; attempt: Attempt }
  /** The attempt holds no resources any more. Its exit reason is null if it is gone without a reported reason. */
  | { kind: 'released'; attempt: Attempt; checkpointed: boolean };

/** What reconciliation depends on beside the machine and the heartbeat. */
export interface ReconcileContext {
  /** In milliseconds on the steady clock. */
  now: number;
  /** The open job of this id, or null. */
  jobOf(id: string): Job | null;
}

/** Releases an attempt that is gone without a reported exit reason. */
function releaseLost(attempt: Attempt, events: WorkerEvent[]): void {
  if (attempt.release(null)) events.push({ kind: 'released', attempt, checkpointed: false });
}

/**
 * Releases all attempts of a machine because they are surely gone: the worker has started a new incarnation, the lease
 * has expired, or the machine was returned to the cloud.
 */
export function releaseAll(machine: Machine): WorkerEvent[] {
  const events: WorkerEvent[] = [];
  for (const attempt of machine.attempts.values()) releaseLost(attempt, events);
  machine.attempts.clear();
  return events;
}

/**
 * Whether the heartbeat is newer than all before it; others are late copies, which must change nothing. After the lease
 * of an incarnation has expired, only heartbeats of a later incarnation are newer.
 */
export function isNewerHeartbeat(machine: Machine, heartbeat: Heartbeat): boolean {
  if (heartbeat.incarnation > machine.incarnation) return true;
  return (
    heartbeat.incarnation === machine.incarnation &&
    heartbeat.sequence > machine.sequence &&
    !machine.leaseExpired
  );
}

/** The newest message of a worker at some moment: its incarnation and sequence number order its messages. */
export type MessagePosition = Pick<Heartbeat, 'incarnation' | 'sequence'>;

/**
 * Whether the answer to a direct request shows that the worker has lost its state: the answer was given after the
 * request was sent, and yet is not newer than what the worker had sent before. Only its own answer shows that, since a
 * heartbeat may be a late copy.
 */
export function isAnswerOfResetWorker(answer: MessagePosition, knownAtRequest: MessagePosition): boolean {
  if (answer.incarnation !== knownAtRequest.incarnation)
    return answer.incarnation < knownAtRequest.incarnation;
  return answer.sequence <= knownAtRequest.sequence;
}

/**
 * Applies a newer heartbeat. `direct`: the heartbeat is the answer to a direct request, so a start that is in flight on
 * another path may still follow. Only a heartbeat that wasn't requested proves that the start in an earlier response
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
    // The worker has killed and forgotten all its tasks, and refuses starts that are meant for the old incarnation.
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
  releaseMissing(machine, reported, heartbeat.fencingToken, direct, events);
  return events;
}

/** Adds to the machine an attempt that an earlier leader started. */
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

/** Whether a task in this phase shows that its image is on the machine. */
function hasImage(phase: TaskPhase): boolean {
  return phase === 'running' || phase === 'waiting' || phase === 'saving';
}

/** Releases the attempts that the heartbeat doesn't show and that can't be on the machine any more. */
function releaseMissing(
  machine: Machine,
  reported: ReadonlySet<string>,
  seenToken: number,
  direct: boolean,
  events: WorkerEvent[],
): void {
  for (const [key, attempt] of machine.attempts) {
    if (reported.has(key)) continue;
    if (attempt.directStartsInFlight > 0) continue;
    // The worker has reported the attempt before and doesn't any more: it has forgotten the attempt.
    const forgotten = attempt.observed;
    // The task must stop, and the worker has executed or discarded the responses before this heartbeat.
    const mustNotStart = attempt.stopGraceS !== null && !direct;
    if (!forgotten && !mustNotStart) continue;
    if (attempt.isStartAcceptedAfter(seenToken)) {
      attempt.awaitHigherToken();
      continue;
    }
    machine.attempts.delete(key);
    releaseLost(attempt, events);
  }
}

/**
 * Notes the starts that the response to a heartbeat carries. Direct commands can overtake that response: if they make
 * the worker refuse and forget an attempt, the response starts the task again, although it may run on another machine
 * by then.
 */
export function noteStartsInResponse(machine: Machine, commands: readonly Command[]): void {
  for (const command of commands) {
    if (command.op !== 'start') continue;
    machine.attempts.get(attemptKey(command.jobId, command.task, command.attempt))?.noteStartInResponse();
  }
}

/**
 * Whether the worker may forget this attempt once no direct command with its start is accepted any more: it has ended,
 * no response with its start is on its way, and if the task is done, its completion is durable.
 */
function isForgettable(attempt: Attempt): boolean {
  if (attempt.phase !== 'ended' || attempt.directStartsInFlight > 0 || attempt.startInResponse) return false;
  return attempt.exitReason !== 'done' || attempt.job === null || attempt.job.isDurable(attempt.task);
}

/**
 * Whether a message under this fencing token may tell the worker to forget the attempt. The token must exceed that of
 * every direct command with the attempt's start: a copy of such a command, however late, is then refused, and doesn't
 * start the forgotten attempt anew beside a later one.
 */
export function canForget(attempt: Attempt, token: number): boolean {
  return isForgettable(attempt) && !attempt.isStartAcceptedAfter(token);
}

/**
 * Whether a higher fencing token is needed for the machine: an attempt can be forgotten, or be released, only once its
 * worker refuses copies of the direct command that started it.
 */
export function needsHigherToken(machine: Machine): boolean {
  if (!machine.acceptsStartCopies) return false;
  for (const attempt of machine.attempts.values()) {
    if (!attempt.isStartAcceptedAfter(machine.commandToken)) continue;
    if (attempt.awaitsHigherToken || isForgettable(attempt)) return true;
  }
  return false;
}

/** Whether the store durably records that the task may have been started, which must precede its start. */
export function isStartDurable(attempt: Attempt): boolean {
  return attempt.job !== null && attempt.task < attempt.job.durableStartWatermark;
}

/**
 * Builds all commands for the worker, for a message under the machine's present token. `canStart`: whether tasks may be
 * started, which requires a valid lease.
 */
export function buildCommands(machine: Machine, canStart: boolean): Command[] {
  const commands: Command[] = [];
  for (const attempt of machine.attempts.values()) {
    const target = { jobId: attempt.jobId, task: attempt.task, attempt: attempt.number };
    if (attempt.phase === 'ended') {
      if (canForget(attempt, machine.commandToken)) commands.push({ op: 'forget', ...target });
    } else if (attempt.stopGraceS !== null) {
      if (attempt.stopDue) commands.push({ op: 'stop', ...target, graceS: attempt.stopGraceS });
    } else if (!attempt.observed && canStart && isStartDurable(attempt)) {
      commands.push({ op: 'start', ...target });
    }
  }
  return commands;
}
