import { required } from '../base/required.ts';
import type { HttpResult } from '../http/client.ts';
import type { EventLog } from './events.ts';
import type { Exchange, Host, SimNetwork } from './network.ts';
import {
  parse,
  type Cause,
  type JobBody,
  type MachineType,
  type Order,
  type OrdersBody,
  type ReportAnswer,
  type ReportBody,
  type TaskStage,
} from './protocol.ts';
import type { EventQueue } from './queue.ts';
import type { Random } from './random.ts';

/** Settings of the workers, as the platform gives them. */
interface WorkerLimits {
  report_s: number;
  lease_s: number;
  gang_wait_s: number;
  gang_peer_s: number;
}

/** A task that fails does so this long after it has begun to run. */
const TIME_TO_ERROR_MS = 1000;

/** What all workers of a day share. */
export interface WorkerWorld {
  queue: EventQueue;
  random: Random;
  network: SimNetwork;
  log: EventLog;
  limits: WorkerLimits;
  controllers: readonly Host[];
  /** All workers that are not gone. */
  workers: Map<string, Worker>;
  /** The description of a job that users uploaded. */
  jobOf(uid: string): JobBody | undefined;
  /** Results of tasks that completed, by task name. */
  results: Set<string>;
  /** Jobs that were submitted with a mistake: their tasks fail on every machine. */
  mistakenJobs: ReadonlySet<string>;
  /** Machines on which every task fails. */
  faultyMachines: ReadonlySet<string>;
  /** A report leaves a worker; troubles may keep copies of it. */
  onReport(report: ReportBody): void;
  onTaskDone(uid: string, task: number): void;
}

interface Task {
  job: JobBody;
  loaf: string;
  index: number;
  attempt: number;
  stage: TaskStage;
  cause: Cause | null;
  saved: boolean;
  /** It has its image: it counts as on its machine until it ends. */
  on: boolean;
  worker: Worker;
}

/** What a machine is for as long as it exists. */
export interface MachineIdentity {
  name: string;
  type: MachineType;
  zone: string;
  spot: boolean;
}

const ANSWER_WAIT_MS = 4000;
const LEAST_REPORT_GAP_MS = 500;
const NEXT_NODE_MS = 1000;
const REDIRECT_MS = 500;
const FETCH_MS = { least: 50, most: 3000 };
/** Actual run times, in times of the owner's estimate. */
const RUN_TIME = { least: 0.5, most: 1.8 };
/** Steady clocks drift by up to this share. */
const DRIFT = 0.0005;

const taskKey = (loaf: string, attempt: number): string => `${loaf}#${attempt}`;

/** A machine and its worker: reports, tokens, sessions, leases, commands and tasks. */
export class Worker implements Host {
  readonly kind = 'worker';
  readonly name: string;
  readonly zone: string;
  private session = 1;
  private sequence = 0;
  private token = 0;
  private gone = false;
  private hungUntil = 0;
  private takenAt: number | null = null;
  private readonly tasks = new Map<string, Task>();
  private readonly leaseMs: number;
  /** When the last answered report was sent, or the session began. */
  private renewedAt: number;
  private inFlight = false;
  private lastSentAt = -Infinity;
  private notBefore = 0;
  private changed = true;
  private tokenChangeAt = -Infinity;
  private node: number;
  private dueTurn = 0;

  constructor(
    private readonly world: WorkerWorld,
    readonly identity: MachineIdentity,
  ) {
    this.name = identity.name;
    this.zone = identity.zone;
    const { queue, random, limits, log } = world;
    this.leaseMs = limits.lease_s * 1000 * (1 + random.between(-DRIFT, DRIFT));
    this.renewedAt = queue.at;
    this.node = Math.floor(random.next() * world.controllers.length);
    const { type, zone, spot } = identity;
    log.record({
      kind: 'machine_up',
      machine: this.name,
      type: type.name,
      zone,
      spot,
      cores: type.cores,
      accelerators: type.accelerators,
      memGb: type.memGb,
    });
    this.expectLeaseEnd();
    this.scheduleReport();
  }

  up(): boolean {
    return !this.gone;
  }

  heldUntil(): number {
    return this.hungUntil;
  }

  // ---- troubles ----

  hang(ms: number): void {
    this.hungUntil = Math.max(this.hungUntil, this.world.queue.at + ms);
  }

  /** The cloud takes the machine away after a notice. */
  notice(ms: number): void {
    this.takenAt = this.world.queue.at + ms;
    this.world.log.record({ kind: 'machine_notice', machine: this.name });
    this.noteChange();
    this.world.queue.after(ms, () => {
      this.remove();
    });
  }

  /** The machine and everything on it are gone. */
  remove(): void {
    if (this.gone) return;
    this.killAll();
    this.gone = true;
    this.world.workers.delete(this.name);
    this.world.log.record({ kind: 'machine_gone', machine: this.name });
  }

  /** Names of the jobs that have tasks on this machine. */
  jobs(): string[] {
    return [...this.tasks.values()].filter((t) => t.on).map((t) => t.job.uid);
  }

  // ---- reports ----

  private report(): ReportBody {
    this.sequence += 1;
    const { type, zone, spot } = this.identity;
    const left = this.takenAt === null ? null : (this.takenAt - this.world.queue.at) / 1000;
    return {
      hearth: this.name,
      address: `${this.name}:1`,
      oven: type.name,
      yard: zone,
      borrowed: spot,
      shift: this.session,
      tick: this.sequence,
      baton: this.token,
      warningS: left === null ? null : Math.max(0, left),
      loaves: [...this.tasks.values()].map((t) => ({
        loaf: t.loaf,
        try: t.attempt,
        stage: t.stage,
        ...(t.cause === null ? {} : { cause: t.cause }),
        ...(t.saved ? { saved: true } : {}),
      })),
    };
  }

  private noteChange(): void {
    this.changed = true;
    this.scheduleReport();
  }

  private scheduleReport(): void {
    if (this.gone || this.inFlight) return;
    const { queue, random, limits } = this.world;
    const turn = ++this.dueTurn;
    const gap = this.changed
      ? LEAST_REPORT_GAP_MS
      : Math.max(LEAST_REPORT_GAP_MS, limits.report_s * 1000 * random.between(0.75, 1.25));
    const dueAt = Math.max(this.lastSentAt + gap, this.notBefore, this.hungUntil);
    queue.after(dueAt - queue.at, () => {
      if (turn !== this.dueTurn || this.gone || this.inFlight) return;
      if (queue.at < this.hungUntil) this.scheduleReport();
      else this.sendReport();
    });
  }

  private sendReport(): void {
    const { queue, network, controllers } = this.world;
    this.inFlight = true;
    this.changed = false;
    this.lastSentAt = queue.at;
    const sent = { at: queue.at, session: this.session };
    const report = this.report();
    this.world.onReport(report);
    const request = { method: 'POST', path: '/checkin', body: JSON.stringify(report) };
    const node = required(controllers[this.node], 'controller to report to');
    void network.exchange(this, node, request, ANSWER_WAIT_MS).then((result) => {
      if (this.gone) return;
      this.inFlight = false;
      this.takeAnswer(result, sent);
      this.scheduleReport();
    });
  }

  private takeAnswer(result: HttpResult, sent: { at: number; session: number }): void {
    const { queue, random, controllers } = this.world;
    if (result.kind === 'answer' && result.status === 200) {
      const body = parse(result.body) as ReportAnswer | null;
      if (body) this.takeCommands(body, sent);
      return;
    }
    const foreman =
      result.kind === 'answer' && result.status === 421
        ? (parse(result.body) as { foreman?: string } | null)?.foreman
        : undefined;
    const named = controllers.findIndex((c) => c.name === foreman);
    if (named >= 0 && named !== this.node) {
      this.node = named;
      this.changed = true;
      this.lastSentAt = -Infinity;
      this.notBefore = queue.at + random.between(0, REDIRECT_MS);
    } else {
      this.node = (this.node + 1) % controllers.length;
      this.changed = true;
      this.lastSentAt = -Infinity;
      this.notBefore = queue.at + NEXT_NODE_MS;
    }
  }

  /** A response to a report; one that is too old or carries a lower token is dropped. */
  private takeCommands(body: ReportAnswer, sent: { at: number; session: number }): void {
    if (sent.session !== this.session) return;
    if (body.baton === undefined || body.baton < this.token) return;
    this.seeToken(body.baton);
    this.renewedAt = sent.at;
    this.execute(body.orders ?? [], this.world.queue.at);
  }

  private seeToken(token: number): void {
    if (token <= this.token) return;
    this.token = token;
    const { queue, limits } = this.world;
    if (queue.at - this.tokenChangeAt < limits.lease_s * 500) return;
    this.tokenChangeAt = queue.at;
    this.noteChange();
  }

  private expectLeaseEnd(): void {
    const { queue } = this.world;
    queue.after(this.renewedAt + this.leaseMs - queue.at + 1, () => {
      if (this.gone) return;
      if (queue.at - this.renewedAt > this.leaseMs) {
        this.killAll();
        this.session += 1;
        this.renewedAt = queue.at;
        this.noteChange();
      }
      this.expectLeaseEnd();
    });
  }

  private killAll(): void {
    for (const task of this.tasks.values()) if (task.stage !== 'ended') this.leave(task, null);
    this.tasks.clear();
  }

  // ---- direct commands ----

  serve({ request, sentAt, reply }: Exchange): void {
    if (request.path === '/inspect') {
      reply({ status: 200, body: JSON.stringify(this.report()) });
      return;
    }
    const body = parse(request.body) as OrdersBody | null;
    if (body?.baton === undefined || body.shift === undefined) {
      reply({ status: 400, body: '{}' });
      return;
    }
    const current = body.baton >= this.token;
    if (current) this.seeToken(body.baton);
    const executed = current && body.shift === this.session;
    if (executed) this.execute(body.orders ?? [], sentAt);
    reply({ status: executed ? 200 : 409, body: JSON.stringify(this.report()) });
  }

  private execute(orders: readonly Order[], sentAt: number): void {
    for (const order of orders) {
      const key = taskKey(order.loaf, order.try);
      const task = this.tasks.get(key);
      if (order.verb === 'launch') {
        if (!task) this.launch(order, sentAt);
      } else if (task && order.verb === 'clear') {
        if (task.stage === 'ended') this.tasks.delete(key);
      } else if (task && order.verb === 'stop') {
        this.stop(task, order.windDownS ?? 0);
      }
    }
  }

  private stop(task: Task, graceS: number): void {
    if (task.stage === 'ended') return;
    const { job } = task;
    if (task.stage === 'saving') {
      if (graceS === 0) this.end(task, 'stopped');
      return;
    }
    if (task.stage !== 'running' || job.proofS === 0 || graceS < job.coolS) {
      this.end(task, 'stopped');
      return;
    }
    task.stage = 'saving';
    this.noteChange();
    this.later(task, job.coolS * 1000, () => {
      if (task.stage !== 'saving') return;
      task.saved = true;
      this.end(task, 'stopped');
    });
  }

  // ---- tasks ----

  private launch(order: Order, sentAt: number): void {
    const slash = order.loaf.lastIndexOf('/');
    const job = this.world.jobOf(order.loaf.slice(0, slash));
    const index = Number(order.loaf.slice(slash + 1));
    if (!job || !(index < job.loaves)) throw new Error(`start of ${order.loaf}, which nobody submitted`);
    const task: Task = {
      job,
      loaf: order.loaf,
      index,
      attempt: order.try,
      stage: 'fetching',
      cause: null,
      saved: false,
      on: false,
      worker: this,
    };
    const others = [...this.tasks.values()].filter((t) => t.stage !== 'ended');
    this.tasks.set(taskKey(order.loaf, order.try), task);
    const sum = (amount: (job: JobBody) => number): number =>
      others.reduce((n, t) => n + amount(t.job), amount(job));
    const { type } = this.identity;
    const full =
      sum((j) => j.cores) > type.cores ||
      sum((j) => j.accelerators) > type.accelerators ||
      sum((j) => j.memGb) > type.memGb;
    if (others.some((t) => t.loaf === order.loaf)) this.end(task, 'busy');
    else if (full) this.end(task, 'full');
    else {
      this.world.log.record({ kind: 'task_launched', sentAt, ...this.placement(task) });
      this.noteChange();
      const { random } = this.world;
      this.later(task, random.between(FETCH_MS.least, FETCH_MS.most), () => {
        this.begin(task);
      });
    }
  }

  private placement(task: Task): { machine: string; job: string; task: number; attempt: number } {
    return { machine: this.name, job: task.job.uid, task: task.index, attempt: task.attempt };
  }

  /** Runs a step of a task that is still there; a machine that hangs takes it up when it resumes. */
  private later(task: Task, ms: number, run: () => void): void {
    const { queue } = this.world;
    queue.after(ms, () => {
      if (!this.holds(task)) return;
      if (queue.at < this.hungUntil) this.later(task, this.hungUntil - queue.at + 1, run);
      else run();
    });
  }

  private holds(task: Task): boolean {
    return !this.gone && task.stage !== 'ended' && this.tasks.get(taskKey(task.loaf, task.attempt)) === task;
  }

  /** The image is there. */
  private begin(task: Task): void {
    task.on = true;
    this.world.log.record({ kind: 'task_on', ...this.placement(task) });
    if (this.world.results.has(task.loaf)) this.end(task, 'done');
    else if (task.job.shape === 'array') this.run(task);
    else this.awaitGang(task);
  }

  private awaitGang(task: Task): void {
    task.stage = 'waiting';
    this.noteChange();
    const members = this.members(task);
    if (members.filter((m) => m.stage === 'waiting').length === task.job.loaves) {
      for (const member of members) member.worker.run(member);
      return;
    }
    this.later(task, this.world.limits.gang_wait_s * 1000, () => {
      if (task.stage === 'waiting') this.end(task, 'incomplete');
    });
  }

  /** Tasks of the same attempt of a gang that have not ended. */
  private members(of: Task): Task[] {
    const found: Task[] = [];
    for (const worker of this.world.workers.values()) {
      for (const task of worker.tasks.values()) {
        if (task.job.uid === of.job.uid && task.attempt === of.attempt && task.stage !== 'ended') {
          found.push(task);
        }
      }
    }
    return found;
  }

  private run(task: Task): void {
    task.stage = 'running';
    this.noteChange();
    if (this.world.mistakenJobs.has(task.job.uid) || this.world.faultyMachines.has(this.name)) {
      this.later(task, TIME_TO_ERROR_MS, () => {
        this.end(task, 'error');
      });
      return;
    }
    const { random, limits } = this.world;
    const runMs = task.job.bakeS * 1000 * random.between(RUN_TIME.least, RUN_TIME.most);
    this.later(task, runMs, () => {
      this.complete(task);
    });
    if (task.job.shape === 'ensemble') this.watchPeers(task, limits.gang_peer_s * 1000);
  }

  private complete(task: Task): void {
    if (task.stage !== 'running') return;
    if (task.job.shape === 'array') {
      this.end(task, 'done');
      return;
    }
    const members = this.members(task);
    if (members.length < task.job.loaves || members.some((m) => m.stage !== 'running')) return;
    for (const member of members) member.worker.end(member, 'done');
  }

  private watchPeers(task: Task, everyMs: number): void {
    this.later(task, everyMs, () => {
      if (task.stage !== 'running') return;
      if (this.members(task).length < task.job.loaves) this.end(task, 'peers');
      else this.watchPeers(task, everyMs);
    });
  }

  private end(task: Task, cause: Cause): void {
    if (task.stage === 'ended') return;
    const started = task.stage !== 'fetching' || cause === 'stopped' || cause === 'done';
    task.stage = 'ended';
    task.cause = cause;
    if (started) this.leave(task, cause);
    task.on = false;
    this.noteChange();
    if (cause !== 'done') return;
    this.world.results.add(task.loaf);
    this.world.onTaskDone(task.job.uid, task.index);
  }

  private leave(task: Task, cause: Cause | null): void {
    this.world.log.record({ kind: 'task_off', cause, ...this.placement(task) });
    task.on = false;
  }
}
