import { required } from '../base/required.ts';
import type { RuleContext, Violation } from './checker.ts';
import type { Placement, SimEvent } from './events.ts';
import type { JobBody } from './protocol.ts';

type Event<K extends SimEvent['kind']> = Extract<SimEvent, { kind: K }>;

const ROUNDING = 1e-9;
const key = (p: Placement): string => `${p.machine} ${p.job}/${p.task}#${p.attempt}`;

/** Where tasks may be: `ran_twice`, `quota`, `wrong_place` and `ran_cancelled`. */
class PlacementCheck {
  readonly violations: Violation[] = [];
  private readonly jobs = new Map<string, JobBody>();
  private readonly machines = new Map<string, Event<'machine_up'>>();
  /** Tasks that are on their machines. */
  private readonly on = new Map<string, Event<'task_on'>>();
  /** When a user was first told that a job is cancelled. */
  private readonly cancelledAt = new Map<string, number>();
  private readonly asked = new Map<number, string>();

  constructor(private readonly context: RuleContext) {}

  see(event: SimEvent): void {
    switch (event.kind) {
      case 'asked':
        this.asked.set(event.request, event.job);
        if (event.body && !this.jobs.has(event.job)) this.jobs.set(event.job, event.body);
        break;
      case 'answered':
        this.seeAnswer(event);
        break;
      case 'machine_up':
        this.machines.set(event.machine, event);
        break;
      case 'task_launched':
        this.seeLaunch(event);
        break;
      case 'task_on':
        this.seeStart(event);
        break;
      case 'task_off':
        this.seeEnd(event, event.at);
    }
  }

  /** Tasks that are still on their machines when the day ends. */
  finish(): void {
    for (const task of this.on.values()) this.overdue(task, this.context.endMs);
  }

  private report(rule: Violation['rule'], at: number, task: Placement, text: string): void {
    const where = `${task.job}/${task.task} (attempt ${task.attempt}) on ${task.machine}`;
    this.violations.push({ rule, atMs: at, job: task.job, text: `${where}: ${text}` });
  }

  private seeAnswer(event: Event<'answered'>): void {
    const job = required(this.asked.get(event.request), 'request of the answer');
    if (event.stage === 'aborted' && !this.cancelledAt.has(job)) this.cancelledAt.set(job, event.at);
  }

  private seeLaunch(event: Event<'task_launched'>): void {
    const told = this.cancelledAt.get(event.job);
    if (told === undefined || event.sentAt <= told) return;
    this.report('ran_cancelled', event.at, event, 'start command sent after the confirmed cancellation');
  }

  private seeStart(event: Event<'task_on'>): void {
    const others = [...this.on.values()];
    this.on.set(key(event), event);
    const job = this.jobs.get(event.job);
    if (!job) {
      this.report('invented', event.at, event, 'runs although nobody submitted it');
      return;
    }
    const machine = required(this.machines.get(event.machine), 'machine of the task');
    const twin = others.find((o) => o.job === event.job && o.task === event.task);
    if (twin) this.report('ran_twice', event.at, event, `is on ${twin.machine} (attempt ${twin.attempt})`);
    this.checkQuota(event, job, others);
    this.checkPlace(event, job, machine, others);
    const told = this.cancelledAt.get(event.job);
    if (told !== undefined && event.at > told + this.context.cancelMs) {
      this.report('ran_cancelled', event.at, event, 'starts long after the confirmed cancellation');
    }
  }

  private checkQuota(event: Event<'task_on'>, job: JobBody, others: readonly Event<'task_on'>[]): void {
    const team = this.context.teams.find((t) => t.name === job.crew);
    if (!team) return;
    const of = others
      .map((o) => this.jobs.get(o.job))
      .filter((j) => j !== undefined)
      .filter((j) => j.crew === job.crew);
    const cores = of.reduce((sum, j) => sum + j.cores, job.cores);
    const accelerators = of.reduce((sum, j) => sum + j.accelerators, job.accelerators);
    const over =
      (team.cpus_max > 0 && cores > team.cpus_max + ROUNDING) ||
      (team.gpus_max > 0 && accelerators > team.gpus_max + ROUNDING);
    if (over)
      this.report('quota', event.at, event, `team ${team.name}: ${cores} cores, ${accelerators} accel.`);
  }

  private checkPlace(
    event: Event<'task_on'>,
    job: JobBody,
    machine: Event<'machine_up'>,
    others: readonly Event<'task_on'>[],
  ): void {
    const wrong = (text: string): void => {
      this.report('wrong_place', event.at, event, text);
    };
    if (machine.spot && !job.borrowed) wrong('a spot machine');
    if (job.yard !== null && job.yard !== machine.zone) wrong(`zone ${machine.zone}`);
    if (job.ovens && !job.ovens.includes(machine.type)) wrong(`type ${machine.type}`);
    const own = others.filter((o) => o.job === event.job);
    const zoneOf = (o: Placement): string =>
      required(this.machines.get(o.machine), 'machine of the task').zone;
    const here = own.filter((o) => zoneOf(o) === machine.zone);
    if (job.samePlace && here.length < own.length) wrong('another zone than the other tasks');
    if (job.apart && here.length + 1 > Math.ceil(job.loaves / 2)) wrong('too many tasks in one zone');
  }

  private seeEnd(task: Placement, at: number): void {
    const started = this.on.get(key(task));
    if (!started) return;
    this.on.delete(key(task));
    this.overdue(started, at);
  }

  private overdue(task: Event<'task_on'>, until: number): void {
    const told = this.cancelledAt.get(task.job);
    if (told === undefined || until <= told + this.context.cancelMs) return;
    const lateS = ((until - told) / 1000).toFixed(1);
    this.report(
      'ran_cancelled',
      told + this.context.cancelMs,
      task,
      `there until ${lateS} s after the confirmed cancellation`,
    );
  }
}

/** Judges where and when tasks ran; the events are in the order of time. */
export function checkPlacements(events: readonly SimEvent[], context: RuleContext): Violation[] {
  const checking = new PlacementCheck(context);
  for (const event of events) checking.see(event);
  checking.finish();
  return checking.violations;
}
