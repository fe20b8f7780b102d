import { required } from '../base/required.ts';
import type { RuleContext, Violation } from './checker.ts';
import type { Placement, SimEvent } from './events.ts';
import type { JobBody } from './protocol.ts';

type EventOfKind<K extends SimEvent['kind']> = Extract<SimEvent, { kind: K }>;

const ROUNDING_TOLERANCE = 1e-9;
const placementKey = (p: Placement): string => `${p.machine} ${p.job}/${p.task}#${p.attempt}`;

/** Checks where and when tasks run: `ran_twice`, `quota`, `wrong_place`, `ran_cancelled` and `invented`. */
class PlacementCheck {
  readonly violations: Violation[] = [];
  private readonly jobs = new Map<string, JobBody>();
  private readonly machines = new Map<string, EventOfKind<'machine_up'>>();
  /** Tasks that are on their machines. */
  private readonly placedTasks = new Map<string, EventOfKind<'task_on'>>();
  /** When the cancellation of a job was first confirmed to a user. */
  private readonly cancelConfirmedAt = new Map<string, number>();
  private readonly jobOfRequest = new Map<number, string>();

  constructor(private readonly context: RuleContext) {}

  processEvent(event: SimEvent): void {
    switch (event.kind) {
      case 'asked':
        this.jobOfRequest.set(event.request, event.job);
        if (event.body && !this.jobs.has(event.job)) this.jobs.set(event.job, event.body);
        break;
      case 'answered':
        this.processAnswer(event);
        break;
      case 'machine_up':
        this.machines.set(event.machine, event);
        break;
      case 'task_launched':
        this.checkLaunch(event);
        break;
      case 'task_on':
        this.checkStart(event);
        break;
      case 'task_off':
        this.processEnd(event, event.at);
    }
  }

  /** Checks the tasks that are still on their machines at the end of the day. */
  finish(): void {
    for (const task of this.placedTasks.values()) this.checkOverdue(task, this.context.endMs);
  }

  private report(rule: Violation['rule'], at: number, task: Placement, text: string): void {
    const prefix = `${task.job}/${task.task} (attempt ${task.attempt}) on ${task.machine}`;
    this.violations.push({ rule, atMs: at, job: task.job, text: `${prefix}: ${text}` });
  }

  private processAnswer(event: EventOfKind<'answered'>): void {
    const job = required(this.jobOfRequest.get(event.request), 'request of the answer');
    if (event.stage === 'aborted' && !this.cancelConfirmedAt.has(job))
      this.cancelConfirmedAt.set(job, event.at);
  }

  private checkLaunch(event: EventOfKind<'task_launched'>): void {
    const confirmedAt = this.cancelConfirmedAt.get(event.job);
    if (confirmedAt === undefined || event.sentAt <= confirmedAt) return;
    this.report('ran_cancelled', event.at, event, 'start command sent after the confirmed cancellation');
  }

  private checkStart(event: EventOfKind<'task_on'>): void {
    const otherTasks = [...this.placedTasks.values()];
    this.placedTasks.set(placementKey(event), event);
    const job = this.jobs.get(event.job);
    if (!job) {
      this.report('invented', event.at, event, 'runs without having been submitted');
      return;
    }
    const machine = required(this.machines.get(event.machine), 'machine of the task');
    const duplicate = otherTasks.find((o) => o.job === event.job && o.task === event.task);
    if (duplicate)
      this.report('ran_twice', event.at, event, `is on ${duplicate.machine} (attempt ${duplicate.attempt})`);
    this.checkQuota(event, job, otherTasks);
    this.checkPlace(event, job, machine, otherTasks);
    const confirmedAt = this.cancelConfirmedAt.get(event.job);
    if (confirmedAt !== undefined && event.at > confirmedAt + this.context.cancelMs) {
      this.report('ran_cancelled', event.at, event, 'starts long after the confirmed cancellation');
    }
  }

  private checkQuota(
    event: EventOfKind<'task_on'>,
    job: JobBody,
    otherTasks: readonly EventOfKind<'task_on'>[],
  ): void {
    const team = this.context.teams.find((t) => t.name === job.crew);
    if (!team) return;
    const teamJobs = otherTasks
      .map((o) => this.jobs.get(o.job))
      .filter((j) => j !== undefined)
      .filter((j) => j.crew === job.crew);
    const cores = teamJobs.reduce((sum, j) => sum + j.cores, job.cores);
    const accelerators = teamJobs.reduce((sum, j) => sum + j.accelerators, job.accelerators);
    const isOverQuota =
      (team.cpus_max > 0 && cores > team.cpus_max + ROUNDING_TOLERANCE) ||
      (team.gpus_max > 0 && accelerators > team.gpus_max + ROUNDING_TOLERANCE);
    if (isOverQuota)
      this.report('quota', event.at, event, `team ${team.name}: ${cores} cores, ${accelerators} accel.`);
  }

  private checkPlace(
    event: EventOfKind<'task_on'>,
    job: JobBody,
    machine: EventOfKind<'machine_up'>,
    otherTasks: readonly EventOfKind<'task_on'>[],
  ): void {
    const reportWrongPlace = (text: string): void => {
      this.report('wrong_place', event.at, event, text);
    };
    if (machine.spot && !job.borrowed) reportWrongPlace('a spot machine');
    if (job.yard !== null && job.yard !== machine.zone) reportWrongPlace(`zone ${machine.zone}`);
    if (job.ovens && !job.ovens.includes(machine.type)) reportWrongPlace(`type ${machine.type}`);
    const jobTasks = otherTasks.filter((o) => o.job === event.job);
    const zoneOf = (o: Placement): string =>
      required(this.machines.get(o.machine), 'machine of the task').zone;
    const tasksInZone = jobTasks.filter((o) => zoneOf(o) === machine.zone);
    if (job.samePlace && tasksInZone.length < jobTasks.length)
      reportWrongPlace('another zone than the other tasks');
    if (job.apart && tasksInZone.length + 1 > Math.ceil(job.loaves / 2))
      reportWrongPlace('too many tasks in one zone');
  }

  private processEnd(task: Placement, at: number): void {
    const started = this.placedTasks.get(placementKey(task));
    if (!started) return;
    this.placedTasks.delete(placementKey(task));
    this.checkOverdue(started, at);
  }

  private checkOverdue(task: EventOfKind<'task_on'>, until: number): void {
    const confirmedAt = this.cancelConfirmedAt.get(task.job);
    if (confirmedAt === undefined || until <= confirmedAt + this.context.cancelMs) return;
    const lateS = ((until - confirmedAt) / 1000).toFixed(1);
    this.report(
      'ran_cancelled',
      confirmedAt + this.context.cancelMs,
      task,
      `on its machine until ${lateS} s after the confirmed cancellation`,
    );
  }
}

/** Checks where and when tasks ran; the events are in the order of time. */
export function checkPlacements(events: readonly SimEvent[], context: RuleContext): Violation[] {
  const placementCheck = new PlacementCheck(context);
  for (const event of events) placementCheck.processEvent(event);
  placementCheck.finish();
  return placementCheck.violations;
}
