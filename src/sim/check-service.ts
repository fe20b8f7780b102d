import { required } from '../base/required.ts';
import type { RuleContext, Violation } from './checker.ts';
import type { Placement, SimEvent } from './events.ts';
import type { JobBody } from './protocol.ts';

type Event<K extends SimEvent['kind']> = Extract<SimEvent, { kind: K }>;

/** An accepted job about which no question is answered for so long, once the troubles are over, is forgotten. */
const FORGOTTEN_MS = 75_000;
/** No job waits for so long while a machine that fits has room. */
const LEFT_WAITING_MS = 90_000;
const LOOK_MS = 1000;
/** The largest jobs of a class have to begin within this time. */
const BEGIN_MS = 240_000;
/** Of a class's jobs those that are at least so large, in parts of the largest, count as its largest. */
const LARGEST = 2 / 3;
/** At least this share of a class, a team and a class's largest jobs is served. */
const LEAST_SERVED = 0.5;
const ROUNDING = 1e-9;

interface Job {
  uid: string;
  body: JobBody;
  firstAskedAt: number;
  acceptedAt: number | null;
  cancelled: boolean;
  final: boolean;
  firstStartAt: number | null;
  lastAnswerAt: number;
  forgotten: boolean;
  waitingSince: number | null;
  leftWaiting: boolean;
  tasksDone: Set<number>;
  /** Tasks on or on their way to a machine. */
  held: number;
}

interface Room {
  up: Event<'machine_up'>;
  leaving: boolean;
  cores: number;
  accelerators: number;
  memGb: number;
}

const key = (p: Placement): string => `${p.machine} ${p.job}/${p.task}#${p.attempt}`;

/** What must hold once the troubles are over, and at the end of the day. */
class ServiceCheck {
  readonly violations: Violation[] = [];
  private readonly jobs = new Map<string, Job>();
  private readonly asked = new Map<number, Event<'asked'>>();
  private readonly machines = new Map<string, Room>();
  private readonly held = new Set<string>();
  private readonly usage = new Map<string, { cores: number; accelerators: number }>();
  private started = 0;

  constructor(private readonly context: RuleContext) {}

  see(event: SimEvent): void {
    switch (event.kind) {
      case 'asked':
        this.seeRequest(event);
        break;
      case 'answered':
        this.seeAnswer(event);
        break;
      case 'machine_up':
        this.machines.set(event.machine, {
          up: event,
          leaving: false,
          cores: event.cores,
          accelerators: event.accelerators,
          memGb: event.memGb,
        });
        break;
      case 'machine_notice':
        required(this.machines.get(event.machine), 'machine with a notice').leaving = true;
        break;
      case 'machine_gone':
        this.machines.delete(event.machine);
        break;
      case 'task_launched':
        this.hold(event);
        break;
      case 'task_on':
        this.started += 1;
        this.seeStart(event);
        break;
      case 'task_off':
        this.letGo(event);
    }
  }

  private seeRequest(event: Event<'asked'>): void {
    this.asked.set(event.request, event);
    const known = this.jobs.get(event.job);
    if (known && event.about === 'cancel') known.cancelled = true;
    if (known || event.about !== 'submit' || !event.body || event.expected !== 'accepted') return;
    this.jobs.set(event.job, {
      uid: event.job,
      body: event.body,
      firstAskedAt: event.at,
      acceptedAt: null,
      cancelled: false,
      final: false,
      firstStartAt: null,
      lastAnswerAt: event.at,
      forgotten: false,
      waitingSince: null,
      leftWaiting: false,
      tasksDone: new Set(),
      held: 0,
    });
  }

  private seeAnswer(event: Event<'answered'>): void {
    const request = required(this.asked.get(event.request), 'request of the answer');
    const job = this.jobs.get(request.job);
    if (!job || event.stage === null) return;
    job.acceptedAt ??= event.at;
    job.lastAnswerAt = event.at;
    if (event.stage === 'done' || event.stage === 'aborted') job.final = true;
  }

  private hold(event: Event<'task_launched'>): void {
    const job = this.jobs.get(event.job);
    if (!job || this.held.has(key(event))) return;
    this.held.add(key(event));
    this.use(event, job, 1);
  }

  private use(task: Placement, job: Job, sign: 1 | -1): void {
    const { cores, accelerators, memGb, crew } = job.body;
    job.held += sign;
    const room = this.machines.get(task.machine);
    if (room) {
      room.cores -= sign * cores;
      room.accelerators -= sign * accelerators;
      room.memGb -= sign * memGb;
    }
    const used = this.usage.get(crew) ?? { cores: 0, accelerators: 0 };
    used.cores += sign * cores;
    used.accelerators += sign * accelerators;
    this.usage.set(crew, used);
  }

  private seeStart(event: Event<'task_on'>): void {
    const job = this.jobs.get(event.job);
    if (job) job.firstStartAt ??= event.at;
  }

  private letGo(event: Event<'task_off'>): void {
    const job = this.jobs.get(event.job);
    if (!job) return;
    if (event.cause === 'done') job.tasksDone.add(event.task);
    if (this.held.delete(key(event))) this.use(event, job, -1);
  }

  // ---- once the troubles are over ----

  /** Looked at about every second. */
  look(at: number): void {
    if (at < this.context.calmAtMs) return;
    for (const job of this.jobs.values()) {
      if (job.acceptedAt === null || job.final) continue;
      this.checkForgotten(job, at);
      this.checkWaiting(job, at);
    }
  }

  private checkForgotten(job: Job, at: number): void {
    const since = Math.max(job.lastAnswerAt, this.context.calmAtMs);
    if (job.forgotten || at - since <= FORGOTTEN_MS) return;
    job.forgotten = true;
    this.report('forgotten', at, job, `no question answered for ${FORGOTTEN_MS / 1000} s`);
  }

  private checkWaiting(job: Job, at: number): void {
    const waits = !job.cancelled && job.held === 0 && job.tasksDone.size === 0 && this.hasRoom(job);
    if (!waits) job.waitingSince = null;
    else job.waitingSince ??= at;
    if (job.leftWaiting || job.waitingSince === null || at - job.waitingSince < LEFT_WAITING_MS) return;
    job.leftWaiting = true;
    this.report('left_waiting', at, job, `waits for ${LEFT_WAITING_MS / 1000} s while a machine has room`);
  }

  /** Whether what must start at once could: one task of an array, all tasks of a gang. */
  private hasRoom(job: Job): boolean {
    const { body } = job;
    const wanted = body.shape === 'ensemble' ? body.loaves : 1;
    if (!this.underLimit(body, wanted)) return false;
    const byZone = new Map<string, number>();
    for (const room of this.machines.values()) {
      const { up } = room;
      if (room.leaving || (up.spot && !body.borrowed)) continue;
      if (body.yard !== null && up.zone !== body.yard) continue;
      if (body.ovens && !body.ovens.includes(up.type)) continue;
      const fit = Math.min(
        body.cores > 0 ? Math.floor((room.cores + ROUNDING) / body.cores) : wanted,
        body.accelerators > 0 ? Math.floor((room.accelerators + ROUNDING) / body.accelerators) : wanted,
        body.memGb > 0 ? Math.floor((room.memGb + ROUNDING) / body.memGb) : wanted,
      );
      byZone.set(up.zone, (byZone.get(up.zone) ?? 0) + Math.max(0, fit));
    }
    const rooms = [...byZone.values()];
    if (body.samePlace) return rooms.some((n) => n >= wanted);
    const most = body.apart ? Math.ceil(body.loaves / 2) : wanted;
    return rooms.reduce((sum, n) => sum + Math.min(n, most), 0) >= wanted;
  }

  private underLimit(body: JobBody, tasks: number): boolean {
    const team = this.context.teams.find((t) => t.name === body.crew);
    const used = this.usage.get(body.crew) ?? { cores: 0, accelerators: 0 };
    if (!team) return false;
    const fits = (most: number, now: number, more: number): boolean =>
      most === 0 || now + more <= most + ROUNDING;
    return (
      fits(team.cpus_max, used.cores, body.cores * tasks) &&
      fits(team.gpus_max, used.accelerators, body.accelerators * tasks)
    );
  }

  // ---- the end of the day ----

  finish(): void {
    const jobs = [...this.jobs.values()].filter((j) => j.acceptedAt !== null && !j.cancelled);
    if (this.started === 0 && jobs.length > 0) {
      this.violations.push({
        rule: 'nothing_ran',
        atMs: this.context.endMs,
        job: null,
        text: 'no task started',
      });
    }
    // Only of what had the time to begin after the troubles.
    const due = jobs.filter(
      (j) => Math.max(j.firstAskedAt, this.context.calmAtMs) + BEGIN_MS <= this.context.endMs,
    );
    this.checkServed(
      'class',
      groupBy(due, (j) => j.body.batch),
      (j) => this.done(j),
    );
    this.checkServed(
      'team',
      groupBy(due, (j) => j.body.crew),
      (j) => this.done(j),
    );
    const largest = new Map<string, Job[]>();
    for (const [name, group] of groupBy(due, (j) => j.body.batch)) {
      const most = Math.max(...group.map((j) => j.body.loaves));
      largest.set(
        name,
        group.filter((j) => j.body.loaves >= most * LARGEST),
      );
    }
    this.checkServed('largest jobs of class', largest, (j) => this.began(j));
  }

  private done(job: Job): boolean {
    return job.tasksDone.size > 0 && (job.body.shape === 'ensemble' || job.tasksDone.size >= job.body.loaves);
  }

  private began(job: Job): boolean {
    const from = Math.max(job.firstAskedAt, this.context.calmAtMs);
    return job.firstStartAt !== null && job.firstStartAt - from <= BEGIN_MS;
  }

  private checkServed(what: string, groups: Map<string, Job[]>, served: (job: Job) => boolean): void {
    for (const [name, group] of groups) {
      const count = group.filter(served).length;
      if (count >= group.length * LEAST_SERVED) continue;
      const text = `${what} ${name}: ${count} of ${group.length} served`;
      this.violations.push({ rule: 'unserved', atMs: this.context.endMs, job: null, text });
    }
  }

  private report(rule: Violation['rule'], atMs: number, job: Job, text: string): void {
    this.violations.push({ rule, atMs, job: job.uid, text: `${job.uid}: ${text}` });
  }
}

function groupBy(jobs: readonly Job[], nameOf: (job: Job) => string): Map<string, Job[]> {
  const groups = new Map<string, Job[]>();
  for (const job of jobs) groups.set(nameOf(job), [...(groups.get(nameOf(job)) ?? []), job]);
  return groups;
}

/** Judges whether jobs were served in time; the events are in the order of time. */
export function checkService(events: readonly SimEvent[], context: RuleContext): Violation[] {
  const checking = new ServiceCheck(context);
  let next = 0;
  for (const event of events) {
    for (; next <= event.at; next += LOOK_MS) checking.look(next);
    checking.see(event);
  }
  for (; next <= context.endMs; next += LOOK_MS) checking.look(next);
  checking.finish();
  return checking.violations;
}
