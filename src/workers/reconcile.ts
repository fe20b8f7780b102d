import type { Job } from '../jobs/job.ts';
import type { ExitReason, Command, Heartbeat } from '../wire/worker.ts';
import { attemptKey, newAttempt, type Attempt, type Machine } from './machine.ts';

/** What a report means for jobs; the order is the order in which it must be taken in. */
export type WorkerEvent =
  | { kind: 'seen'; attempt: Attempt }
  | { kind: 'running'; attempt: Attempt }
  /** The attempt holds nothing any more. `cause` null: it is gone without having said why. */
  | { kind: 'released'; attempt: Attempt; cause: ExitReason | null; saved: boolean };

export interface ReconcileContext {
  now: number;
  jobOf(id: string): Job | null;
}

function release(a: Attempt, cause: ExitReason | null, saved: boolean, events: WorkerEvent[]): void {
  if (a.released) return;
  a.released = true;
  a.exitReason = cause;
  events.push({ kind: 'released', attempt: a, cause, saved });
}

/** Everything on the machine is surely gone: a new session, its lease run out, or the machine returned. */
export function releaseAll(machine: Machine): WorkerEvent[] {
  const events: WorkerEvent[] = [];
  for (const a of machine.attempts.values()) release(a, null, false, events);
  machine.attempts.clear();
  return events;
}

/** True if the report is newer than all before. Late copies must change nothing. */
export function isNewer(machine: Machine, report: Heartbeat): boolean {
  if (report.incarnation > machine.incarnation) return true;
  return (
    report.incarnation === machine.incarnation && report.sequence > machine.sequence && !machine.leaseExpired
  );
}

/**
 * Takes a newer report in. `direct`: it came as the answer to orders, so a launch that is under way by
 * another path may still follow; only a report of the worker's own proves that an earlier answer's launch
 * was executed or never will be.
 */
export function applyHeartbeat(
  machine: Machine,
  report: Heartbeat,
  direct: boolean,
  ctx: ReconcileContext,
): WorkerEvent[] {
  const events: WorkerEvent[] = [];
  if (report.incarnation > machine.incarnation) {
    // The worker has killed and forgotten what it had; launches meant for the old session are refused.
    if (machine.incarnation > 0) events.push(...releaseAll(machine));
    machine.incarnation = report.incarnation;
    machine.leaseExpired = false;
    // The lease of a session counts from its start at the latest, and it had started when this was sent. Without
    // this, the end of the old session's lease was taken for the end of the new one's, and its tasks for lost.
    machine.leaseRenewedBefore = Math.max(machine.leaseRenewedBefore, ctx.now);
    machine.images.clear();
  }
  machine.sequence = report.sequence;
  machine.fencingToken = Math.max(machine.fencingToken, report.fencingToken);
  machine.lastMessageAt = ctx.now;
  if (!direct) machine.lastHeartbeatAt = ctx.now;
  machine.reclaimedAt =
    report.interruptionNoticeS === null ? null : ctx.now + report.interruptionNoticeS * 1000;
  // A worker has one report in flight: the answers to all earlier ones were carried out or given up.
  if (!direct) for (const a of machine.attempts.values()) a.startInResponse = false;

  const reported = new Set<string>();
  for (const t of report.tasks) {
    const key = attemptKey(t.jobId, t.task, t.attempt);
    reported.add(key);
    let a = machine.attempts.get(key);
    if (!a) {
      const job = ctx.jobOf(t.jobId);
      const known = job && t.task < job.spec.tasks ? job : null;
      a = newAttempt(machine, known, t.jobId, t.task, t.attempt, ctx.now);
      machine.attempts.set(key, a);
    }
    const first = !a.observed;
    a.observed = true;
    const before = a.phase;
    a.phase = t.phase;
    if (t.phase === 'running' || t.phase === 'waiting' || t.phase === 'saving') {
      if (a.job) machine.images.set(a.job.spec.image, ctx.now);
    }
    if (first) events.push({ kind: 'seen', attempt: a });
    if (t.phase === 'running' && before !== 'running') {
      a.runningSince = ctx.now;
      events.push({ kind: 'running', attempt: a });
    }
    if (t.phase === 'ended') release(a, t.exitReason ?? 'error', t.checkpointed, events);
  }
  for (const [key, a] of machine.attempts) {
    if (reported.has(key)) continue;
    if (a.observed) {
      // Known to the worker before and not any more: it was cleared.
      machine.attempts.delete(key);
      release(a, null, false, events);
    } else if (a.stopGraceS !== null && !direct && !a.inDoubt && a.inFlight === 0) {
      // Its launch can't be executed any more: answers before this report were, and no order is under way.
      machine.attempts.delete(key);
      release(a, null, false, events);
    }
  }
  return events;
}

/**
 * Notes the launches that the answer to a report carries. A direct order can overtake that answer: a task that was
 * refused and forgotten meanwhile would be started anew by it, while it runs elsewhere.
 */
export function noteResponse(machine: Machine, commands: readonly Command[]): void {
  for (const c of commands) {
    if (c.op !== 'start') continue;
    const a = machine.attempts.get(attemptKey(c.jobId, c.task, c.attempt));
    if (a) a.startInResponse = true;
  }
}

/** May the worker forget this ended attempt? Not while a launch may arrive, nor before its end is durable. */
export function mayClear(a: Attempt): boolean {
  if (a.phase !== 'ended' || a.inDoubt || a.inFlight > 0 || a.startInResponse) return false;
  return a.exitReason !== 'done' || a.job === null || a.job.isDurable(a.task);
}

/** The store says that the task may have been started. */
export function startIsDurable(a: Attempt): boolean {
  return a.job !== null && a.task < a.job.durableStartWatermark;
}

/** All that the worker should do now. Starts only while the leadership is sure. */
export function commandsFor(machine: Machine, mayStart: boolean): Command[] {
  const commands: Command[] = [];
  for (const a of machine.attempts.values()) {
    const id = { jobId: a.jobId, task: a.task, attempt: a.number };
    if (a.phase === 'ended') {
      if (mayClear(a)) commands.push({ op: 'forget', ...id });
    } else if (a.stopGraceS !== null) {
      if (a.observed) commands.push({ op: 'stop', ...id, graceS: a.stopGraceS });
    } else if (!a.observed && mayStart && startIsDurable(a)) {
      commands.push({ op: 'start', ...id });
    }
  }
  return commands;
}
