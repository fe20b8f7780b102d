import { required } from '../base/required.ts';
import type { RuleContext, Violation } from './checker.ts';
import type { Placement, SimEvent } from './events.ts';
import type { JobBody } from './protocol.ts';

type EventOfKind<K extends SimEvent['kind']> = Extract<SimEvent, { kind: K }>;

/** An accepted job counts as forgotten if no request about it is answered for this long after the end of all faults. */
const MAX_UNANSWERED_MS = 75_000;
/** A job counts as left waiting if machines have had capacity for it for this long. */
const MAX_WAITING_MS = 90_000;
const CHECK_INTERVAL_MS = 1000;
/** The largest jobs of a class must start within this time after their submission and the end of all faults. */
const MAX_START_DELAY_MS = 240_000;
/** Jobs with at least this ratio of the task count of their class's largest job count as its largest jobs. */
const LARGEST_JOB_RATIO = 2 / 3;
/** At least this share of the jobs of each class, of each team, and of the largest jobs of each class is served. */
const MIN_SERVED_RATIO = 0.5;
const ROUNDING_TOLERANCE = 1e-9;

interface JobRecord {
  uid: string;
  body: JobBody;
  submittedAt: number;
  acceptedAt: number | null;
  cancelled: boolean;
  ended: boolean;
  firstStartAt: number | null;
  lastAnswerAt: number;
  reportedForgotten: boolean;
  /** Since when the job has waited although machines have had capacity for it. */
  waitingSince: number | null;
  reportedLeftWaiting: boolean;
  doneTasks: Set<number>;
  /** Number of tasks that are launched and have not ended. */
  placedTaskCount: number;
}

/** A machine and its free resources. */
interface MachineCapacity {
  machine: EventOfKind<'machine_up'>;
  /** The cloud has announced that it reclaims the machine. */
  hasNotice: boolean;
  cores: number;
  accelerators: number;
  memGb: number;
}

const placementKey = (p: Placement): string => `${p.machine} ${p.job}/${p.task}#${p.attempt}`;

/** Checks the service after the end of all faults (`forgotten`, `left_waiting`) and at the end of the day. */
class ServiceCheck {
  readonly violations: Violation[] = [];
  private readonly jobs = new Map<string, JobRecord>();
  private readonly requests = new Map<number, EventOfKind<'asked'>>();
  private readonly machines = new Map<string, MachineCapacity>();
  private readonly placements = new Set<string>();
  private readonly usageByTeam = new Map<string, { cores: number; accelerators: number }>();
  private startedTaskCount = 0;

  constructor(private readonly context: RuleContext) {}

  processEvent(event: SimEvent): void {
    switch (event.kind) {
      case 'asked':
        this.processRequest(event);
        break;
      case 'answered':
        this.processAnswer(event);
        break;
      case 'machine_up':
        this.machines.set(event.machine, {
          machine: event,
          hasNotice: false,
          cores: event.cores,
          accelerators: event.accelerators,
          memGb: event.memGb,
        });
        break;
      case 'machine_notice':
        required(this.machines.get(event.machine), 'machine with a notice').hasNotice = true;
        break;
      case 'machine_gone':
        this.machines.delete(event.machine);
        break;
      case 'task_launched':
        this.processLaunch(event);
        break;
      case 'task_on':
        this.startedTaskCount += 1;
        this.processStart(event);
        break;
      case 'task_off':
        this.processEnd(event);
    }
  }

  private processRequest(event: EventOfKind<'asked'>): void {
    this.requests.set(event.request, event);
    const known = this.jobs.get(event.job);
    if (known && event.about === 'cancel') known.cancelled = true;
    if (known || event.about !== 'submit' || !event.body || event.expected !== 'accepted') return;
    this.jobs.set(event.job, {
      uid: event.job,
      body: event.body,
      submittedAt: event.at,
      acceptedAt: null,
      cancelled: false,
      ended: false,
      firstStartAt: null,
      lastAnswerAt: event.at,
      reportedForgotten: false,
      waitingSince: null,
      reportedLeftWaiting: false,
      doneTasks: new Set(),
      placedTaskCount: 0,
    });
  }

  private processAnswer(event: EventOfKind<'answered'>): void {
    const request = required(this.requests.get(event.request), 'request of the answer');
    const job = this.jobs.get(request.job);
    if (!job || event.stage === null) return;
    job.acceptedAt ??= event.at;
    job.lastAnswerAt = event.at;
    if (event.stage === 'done' || event.stage === 'aborted') job.ended = true;
  }

  private processLaunch(event: EventOfKind<'task_launched'>): void {
    const job = this.jobs.get(event.job);
    if (!job || this.placements.has(placementKey(event))) return;
    this.placements.add(placementKey(event));
    this.updateUsage(event, job, 1);
  }

  private updateUsage(task: Placement, job: JobRecord, sign: 1 | -1): void {
    const { cores, accelerators, memGb, crew } = job.body;
    job.placedTaskCount += sign;
    const capacity = this.machines.get(task.machine);
    if (capacity) {
      capacity.cores -= sign * cores;
      capacity.accelerators -= sign * accelerators;
      capacity.memGb -= sign * memGb;
    }
    const teamUsage = this.usageByTeam.get(crew) ?? { cores: 0, accelerators: 0 };
    teamUsage.cores += sign * cores;
    teamUsage.accelerators += sign * accelerators;
    this.usageByTeam.set(crew, teamUsage);
  }

  private processStart(event: EventOfKind<'task_on'>): void {
    const job = this.jobs.get(event.job);
    if (job) job.firstStartAt ??= event.at;
  }

  private processEnd(event: EventOfKind<'task_off'>): void {
    const job = this.jobs.get(event.job);
    if (!job) return;
    if (event.cause === 'done') job.doneTasks.add(event.task);
    if (this.placements.delete(placementKey(event))) this.updateUsage(event, job, -1);
  }

  // ---- after the end of all faults ----

  /** Checks all unfinished jobs; called every `CHECK_INTERVAL_MS`. */
  checkJobs(at: number): void {
    if (at < this.context.faultsEndMs) return;
    for (const job of this.jobs.values()) {
      if (job.acceptedAt === null || job.ended) continue;
      this.checkForgotten(job, at);
      this.checkWaiting(job, at);
    }
  }

  private checkForgotten(job: JobRecord, at: number): void {
    const since = Math.max(job.lastAnswerAt, this.context.faultsEndMs);
    if (job.reportedForgotten || at - since <= MAX_UNANSWERED_MS) return;
    job.reportedForgotten = true;
    this.report('forgotten', at, job, `no request answered for ${MAX_UNANSWERED_MS / 1000} s`);
  }

  private checkWaiting(job: JobRecord, at: number): void {
    const isWaiting =
      !job.cancelled && job.placedTaskCount === 0 && job.doneTasks.size === 0 && this.hasCapacity(job);
    if (!isWaiting) job.waitingSince = null;
    else job.waitingSince ??= at;
    if (job.reportedLeftWaiting || job.waitingSince === null || at - job.waitingSince < MAX_WAITING_MS)
      return;
    job.reportedLeftWaiting = true;
    this.report('left_waiting', at, job, `waits for ${MAX_WAITING_MS / 1000} s while machines have capacity`);
  }

  /** Whether machines have capacity for one task of an array, or for all tasks of a gang, which start together. */
  private hasCapacity(job: JobRecord): boolean {
    const { body } = job;
    const taskCount = body.shape === 'ensemble' ? body.loaves : 1;
    if (!this.isUnderQuota(body, taskCount)) return false;
    const fittingByZone = new Map<string, number>();
    for (const capacity of this.machines.values()) {
      const { machine } = capacity;
      if (capacity.hasNotice || (machine.spot && !body.borrowed)) continue;
      if (body.yard !== null && machine.zone !== body.yard) continue;
      if (body.ovens && !body.ovens.includes(machine.type)) continue;
      const fittingTasks = Math.min(
        body.cores > 0 ? Math.floor((capacity.cores + ROUNDING_TOLERANCE) / body.cores) : taskCount,
        body.accelerators > 0
          ? Math.floor((capacity.accelerators + ROUNDING_TOLERANCE) / body.accelerators)
          : taskCount,
        body.memGb > 0 ? Math.floor((capacity.memGb + ROUNDING_TOLERANCE) / body.memGb) : taskCount,
      );
      fittingByZone.set(machine.zone, (fittingByZone.get(machine.zone) ?? 0) + Math.max(0, fittingTasks));
    }
    const fittingCounts = [...fittingByZone.values()];
    if (body.samePlace) return fittingCounts.some((n) => n >= taskCount);
    const maxPerZone = body.apart ? Math.ceil(body.loaves / 2) : taskCount;
    return fittingCounts.reduce((sum, n) => sum + Math.min(n, maxPerZone), 0) >= taskCount;
  }

  private isUnderQuota(body: JobBody, tasks: number): boolean {
    const team = this.context.teams.find((t) => t.name === body.crew);
    const teamUsage = this.usageByTeam.get(body.crew) ?? { cores: 0, accelerators: 0 };
    if (!team) return false;
    const isWithin = (limit: number, used: number, added: number): boolean =>
      limit === 0 || used + added <= limit + ROUNDING_TOLERANCE;
    return (
      isWithin(team.cpus_max, teamUsage.cores, body.cores * tasks) &&
      isWithin(team.gpus_max, teamUsage.accelerators, body.accelerators * tasks)
    );
  }

  // ---- the end of the day ----

  finish(): void {
    const jobs = [...this.jobs.values()].filter((j) => j.acceptedAt !== null && !j.cancelled);
    if (this.startedTaskCount === 0 && jobs.length > 0) {
      this.violations.push({
        rule: 'nothing_ran',
        atMs: this.context.endMs,
        job: null,
        text: 'no task started',
      });
    }
    // Only jobs that had enough time to start after the end of all faults.
    const dueJobs = jobs.filter(
      (j) => Math.max(j.submittedAt, this.context.faultsEndMs) + MAX_START_DELAY_MS <= this.context.endMs,
    );
    this.checkServed(
      'class',
      groupBy(dueJobs, (j) => j.body.batch),
      (j) => this.isDone(j),
    );
    this.checkServed(
      'team',
      groupBy(dueJobs, (j) => j.body.crew),
      (j) => this.isDone(j),
    );
    const largestJobs = new Map<string, JobRecord[]>();
    for (const [name, group] of groupBy(dueJobs, (j) => j.body.batch)) {
      const maxTasks = Math.max(...group.map((j) => j.body.loaves));
      largestJobs.set(
        name,
        group.filter((j) => j.body.loaves >= maxTasks * LARGEST_JOB_RATIO),
      );
    }
    this.checkServed('largest jobs of class', largestJobs, (j) => this.hasStartedInTime(j));
  }

  private isDone(job: JobRecord): boolean {
    return job.doneTasks.size > 0 && (job.body.shape === 'ensemble' || job.doneTasks.size >= job.body.loaves);
  }

  private hasStartedInTime(job: JobRecord): boolean {
    const from = Math.max(job.submittedAt, this.context.faultsEndMs);
    return job.firstStartAt !== null && job.firstStartAt - from <= MAX_START_DELAY_MS;
  }

  private checkServed(
    groupKind: string,
    groups: Map<string, JobRecord[]>,
    isServed: (job: JobRecord) => boolean,
  ): void {
    for (const [name, group] of groups) {
      const count = group.filter(isServed).length;
      if (count >= group.length * MIN_SERVED_RATIO) continue;
      const text = `${groupKind} ${name}: ${count} of ${group.length} served`;
      this.violations.push({ rule: 'unserved', atMs: this.context.endMs, job: null, text });
    }
  }

  private report(rule: Violation['rule'], atMs: number, job: JobRecord, text: string): void {
    this.violations.push({ rule, atMs, job: job.uid, text: `${job.uid}: ${text}` });
  }
}

function groupBy(jobs: readonly JobRecord[], nameOf: (job: JobRecord) => string): Map<string, JobRecord[]> {
  const groups = new Map<string, JobRecord[]>();
  for (const job of jobs) groups.set(nameOf(job), [...(groups.get(nameOf(job)) ?? []), job]);
  return groups;
}

/** Checks whether jobs were served in time; the events are in the order of time. */
export function checkService(events: readonly SimEvent[], context: RuleContext): Violation[] {
  const serviceCheck = new ServiceCheck(context);
  let nextCheckAt = 0;
  for (const event of events) {
    for (; nextCheckAt <= event.at; nextCheckAt += CHECK_INTERVAL_MS) serviceCheck.checkJobs(nextCheckAt);
    serviceCheck.processEvent(event);
  }
  for (; nextCheckAt <= context.endMs; nextCheckAt += CHECK_INTERVAL_MS) serviceCheck.checkJobs(nextCheckAt);
  serviceCheck.finish();
  return serviceCheck.violations;
}
