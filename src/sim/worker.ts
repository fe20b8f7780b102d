import { required } from '../base/required.ts';
import type { HttpResult } from '../http/client.ts';
import type { EventLog } from './events.ts';
import type { Exchange, Host, SimNetwork } from './network.ts';
import {
  parseJson,
  type ExitCause,
  type JobBody,
  type MachineType,
  type Command,
  type CommandsBody,
  type HeartbeatResponse,
  type HeartbeatBody,
  type TaskPhase,
} from './protocol.ts';
import type { EventQueue } from './queue.ts';
import type { Random } from './random.ts';

/** Settings of the workers from the platform's settings, in seconds. */
interface WorkerLimits {
  report_s: number;
  lease_s: number;
  gang_wait_s: number;
  gang_peer_s: number;
}

/** A failing task ends this long after it has started to run. */
const TIME_TO_ERROR_MS = 1000;

/** Dependencies and state that all workers of a simulated day share. */
export interface WorkerContext {
  queue: EventQueue;
  random: Random;
  network: SimNetwork;
  log: EventLog;
  limits: WorkerLimits;
  controllers: readonly Host[];
  /** All workers whose machines exist, by name. */
  workers: Map<string, Worker>;
  /** Returns the description of a submitted job. */
  findJob(uid: string): JobBody | undefined;
  /** Ids of the tasks that have completed and whose results are stored. */
  doneTasks: Set<string>;
  /** Jobs whose tasks fail on every machine. */
  failingJobs: ReadonlySet<string>;
  /** Machines on which every task fails. */
  faultyMachines: ReadonlySet<string>;
  /** Called with each heartbeat that a worker sends; the fault `late_reports` copies some of them. */
  onHeartbeat(report: HeartbeatBody): void;
  onTaskDone(uid: string, task: number): void;
}

interface Task {
  job: JobBody;
  id: string;
  index: number;
  attempt: number;
  phase: TaskPhase;
  exitCause: ExitCause | null;
  checkpointed: boolean;
  /** The image has been fetched: the task counts as on its machine until it ends. */
  placed: boolean;
  worker: Worker;
}

/** Properties of a machine that never change. */
export interface MachineIdentity {
  name: string;
  type: MachineType;
  zone: string;
  spot: boolean;
}

const HEARTBEAT_TIMEOUT_MS = 4000;
const MIN_HEARTBEAT_INTERVAL_MS = 500;
const NEXT_CONTROLLER_DELAY_MS = 1000;
const MAX_REDIRECT_DELAY_MS = 500;
const IMAGE_FETCH_MS = { min: 50, max: 3000 };
/** Actual run time relative to the job's estimate. */
const RUN_TIME_RATIO = { min: 0.5, max: 1.8 };
/** Monotonic clocks of workers drift by up to this ratio. */
const MAX_CLOCK_DRIFT_RATIO = 0.0005;

const taskKey = (taskId: string, attempt: number): string => `${taskId}#${attempt}`;

/** A machine and its worker: heartbeats, fencing tokens, incarnations, leases, commands and tasks. */
export class Worker implements Host {
  readonly kind = 'worker';
  readonly name: string;
  readonly zone: string;
  private incarnation = 1;
  private sequenceNumber = 0;
  private fencingToken = 0;
  private removed = false;
  private hungUntil = 0;
  private awayUntil = 0;
  /** Number of restarts: answers to heartbeats from before a restart are lost. */
  private restartCount = 0;
  private reclaimAt: number | null = null;
  private readonly tasks = new Map<string, Task>();
  private readonly leaseMs: number;
  /** When the last answered heartbeat was sent, or the incarnation began. */
  private leaseRenewedAt: number;
  private heartbeatInFlight = false;
  private lastSentAt = -Infinity;
  private earliestSendAt = 0;
  private hasChanges = true;
  private tokenReportedAt = -Infinity;
  private controllerIndex: number;
  private scheduleNumber = 0;

  constructor(
    private readonly context: WorkerContext,
    readonly identity: MachineIdentity,
  ) {
    this.name = identity.name;
    this.zone = identity.zone;
    const { queue, random, limits, log } = context;
    this.leaseMs =
      limits.lease_s * 1000 * (1 + random.between(-MAX_CLOCK_DRIFT_RATIO, MAX_CLOCK_DRIFT_RATIO));
    this.leaseRenewedAt = queue.nowMs;
    this.controllerIndex = Math.floor(random.next() * context.controllers.length);
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
    this.scheduleLeaseExpiry();
    this.scheduleHeartbeat();
  }

  isUp(): boolean {
    return !this.removed && this.context.queue.nowMs >= this.awayUntil;
  }

  heldUntil(): number {
    return this.hungUntil;
  }

  // ---- faults ----

  /** Hangs the machine: tasks and heartbeats pause, and messages are held until the hang is over. */
  hang(ms: number): void {
    this.hungUntil = Math.max(this.hungUntil, this.context.queue.nowMs + ms);
  }

  /** Announces that the cloud reclaims the machine after a notice period. */
  announceReclaim(ms: number): void {
    this.reclaimAt = this.context.queue.nowMs + ms;
    this.context.log.record({ kind: 'machine_notice', machine: this.name });
    this.reportChange();
    this.context.queue.after(ms, () => {
      this.remove();
    });
  }

  /**
   * Takes the machine away for some time, in which it refuses connections. Its worker comes back as it was; or emptied,
   * with everything from the beginning.
   */
  restart(ms: number, emptied: boolean): void {
    const { queue } = this.context;
    this.awayUntil = Math.max(this.awayUntil, queue.nowMs + ms);
    this.restartCount += 1;
    this.heartbeatInFlight = false;
    this.earliestSendAt = this.awayUntil;
    if (emptied) {
      this.killAllTasks();
      this.incarnation = 1;
      this.sequenceNumber = 0;
      this.fencingToken = 0;
      this.leaseRenewedAt = this.awayUntil;
    }
    this.reportChange();
  }

  /** Removes the machine and kills its tasks. */
  remove(): void {
    if (this.removed) return;
    this.killAllTasks();
    this.removed = true;
    this.context.workers.delete(this.name);
    this.context.log.record({ kind: 'machine_gone', machine: this.name });
  }

  /** Ids of the jobs that have tasks on this machine. */
  jobIds(): string[] {
    return [...this.tasks.values()].filter((t) => t.placed).map((t) => t.job.uid);
  }

  // ---- heartbeats ----

  private createHeartbeat(): HeartbeatBody {
    this.sequenceNumber += 1;
    const { type, zone, spot } = this.identity;
    const remainingS = this.reclaimAt === null ? null : (this.reclaimAt - this.context.queue.nowMs) / 1000;
    return {
      hearth: this.name,
      address: `${this.name}:1`,
      oven: type.name,
      yard: zone,
      borrowed: spot,
      shift: this.incarnation,
      tick: this.sequenceNumber,
      baton: this.fencingToken,
      warningS: remainingS === null ? null : Math.max(0, remainingS),
      loaves: [...this.tasks.values()].map((t) => ({
        loaf: t.id,
        try: t.attempt,
        stage: t.phase,
        ...(t.exitCause === null ? {} : { cause: t.exitCause }),
        ...(t.checkpointed ? { saved: true } : {}),
      })),
    };
  }

  private reportChange(): void {
    this.hasChanges = true;
    this.scheduleHeartbeat();
  }

  private scheduleHeartbeat(): void {
    if (this.removed || this.heartbeatInFlight) return;
    const { queue, random, limits } = this.context;
    const number = ++this.scheduleNumber;
    const intervalMs = this.hasChanges
      ? MIN_HEARTBEAT_INTERVAL_MS
      : Math.max(MIN_HEARTBEAT_INTERVAL_MS, limits.report_s * 1000 * random.between(0.75, 1.25));
    const dueAt = Math.max(this.lastSentAt + intervalMs, this.earliestSendAt, this.hungUntil);
    queue.after(dueAt - queue.nowMs, () => {
      if (number !== this.scheduleNumber || this.removed || this.heartbeatInFlight) return;
      if (queue.nowMs < this.hungUntil) this.scheduleHeartbeat();
      else this.sendHeartbeat();
    });
  }

  private sendHeartbeat(): void {
    const { queue, network, controllers } = this.context;
    this.heartbeatInFlight = true;
    this.hasChanges = false;
    this.lastSentAt = queue.nowMs;
    const sent = { at: queue.nowMs, incarnation: this.incarnation };
    const { restartCount } = this;
    const heartbeat = this.createHeartbeat();
    this.context.onHeartbeat(heartbeat);
    const request = { method: 'POST', path: '/checkin', body: JSON.stringify(heartbeat) };
    const controller = required(controllers[this.controllerIndex], 'controller to report to');
    void network.exchange(this, controller, request, HEARTBEAT_TIMEOUT_MS).then((result) => {
      if (this.removed || restartCount !== this.restartCount) return;
      this.heartbeatInFlight = false;
      this.handleResult(result, sent);
      this.scheduleHeartbeat();
    });
  }

  private handleResult(result: HttpResult, sent: { at: number; incarnation: number }): void {
    const { queue, random, controllers } = this.context;
    if (result.kind === 'answer' && result.status === 200) {
      const body = parseJson(result.body) as HeartbeatResponse | null;
      if (body) this.handleResponse(body, sent);
      return;
    }
    const leaderName =
      result.kind === 'answer' && result.status === 421
        ? (parseJson(result.body) as { foreman?: string } | null)?.foreman
        : undefined;
    const leaderIndex = controllers.findIndex((c) => c.name === leaderName);
    if (leaderIndex >= 0 && leaderIndex !== this.controllerIndex) {
      this.controllerIndex = leaderIndex;
      this.hasChanges = true;
      this.lastSentAt = -Infinity;
      this.earliestSendAt = queue.nowMs + random.between(0, MAX_REDIRECT_DELAY_MS);
    } else {
      this.controllerIndex = (this.controllerIndex + 1) % controllers.length;
      this.hasChanges = true;
      this.lastSentAt = -Infinity;
      this.earliestSendAt = queue.nowMs + NEXT_CONTROLLER_DELAY_MS;
    }
  }

  /** Processes the response to a heartbeat. One for an earlier incarnation or with a lower token is dropped. */
  private handleResponse(body: HeartbeatResponse, sent: { at: number; incarnation: number }): void {
    if (sent.incarnation !== this.incarnation) return;
    if (body.baton === undefined || body.baton < this.fencingToken) return;
    this.adoptToken(body.baton);
    this.leaseRenewedAt = sent.at;
    this.executeCommands(body.orders ?? [], this.context.queue.nowMs);
  }

  private adoptToken(token: number): void {
    if (token <= this.fencingToken) return;
    this.fencingToken = token;
    const { queue, limits } = this.context;
    if (queue.nowMs - this.tokenReportedAt < limits.lease_s * 500) return;
    this.tokenReportedAt = queue.nowMs;
    this.reportChange();
  }

  private scheduleLeaseExpiry(): void {
    const { queue } = this.context;
    queue.after(this.leaseRenewedAt + this.leaseMs - queue.nowMs + 1, () => {
      if (this.removed) return;
      if (queue.nowMs - this.leaseRenewedAt > this.leaseMs) {
        this.killAllTasks();
        this.incarnation += 1;
        this.leaseRenewedAt = queue.nowMs;
        this.reportChange();
      }
      this.scheduleLeaseExpiry();
    });
  }

  private killAllTasks(): void {
    for (const task of this.tasks.values()) if (task.phase !== 'ended') this.recordTaskOff(task, null);
    this.tasks.clear();
  }

  // ---- direct commands ----

  serve({ request, sentAt, reply }: Exchange): void {
    if (request.path === '/inspect') {
      reply({ status: 200, body: JSON.stringify(this.createHeartbeat()) });
      return;
    }
    const body = parseJson(request.body) as CommandsBody | null;
    if (body?.baton === undefined || body.shift === undefined) {
      reply({ status: 400, body: '{}' });
      return;
    }
    const hasCurrentToken = body.baton >= this.fencingToken;
    if (hasCurrentToken) this.adoptToken(body.baton);
    const isAccepted = hasCurrentToken && body.shift === this.incarnation;
    if (isAccepted) this.executeCommands(body.orders ?? [], sentAt);
    reply({ status: isAccepted ? 200 : 409, body: JSON.stringify(this.createHeartbeat()) });
  }

  private executeCommands(commands: readonly Command[], sentAt: number): void {
    for (const command of commands) {
      const key = taskKey(command.loaf, command.try);
      const task = this.tasks.get(key);
      if (command.verb === 'launch') {
        if (!task) this.launchTask(command, sentAt);
      } else if (task && command.verb === 'clear') {
        if (task.phase === 'ended') this.tasks.delete(key);
      } else if (task && command.verb === 'stop') {
        this.stopTask(task, command.windDownS ?? 0);
      }
    }
  }

  private stopTask(task: Task, graceS: number): void {
    if (task.phase === 'ended') return;
    const { job } = task;
    if (task.phase === 'saving') {
      if (graceS === 0) this.endTask(task, 'stopped');
      return;
    }
    if (task.phase !== 'running' || job.proofS === 0 || graceS < job.coolS) {
      this.endTask(task, 'stopped');
      return;
    }
    task.phase = 'saving';
    this.reportChange();
    this.scheduleTaskStep(task, job.coolS * 1000, () => {
      if (task.phase !== 'saving') return;
      task.checkpointed = true;
      this.endTask(task, 'stopped');
    });
  }

  // ---- tasks ----

  private launchTask(command: Command, sentAt: number): void {
    const slash = command.loaf.lastIndexOf('/');
    const job = this.context.findJob(command.loaf.slice(0, slash));
    const index = Number(command.loaf.slice(slash + 1));
    if (!job || !(index < job.loaves)) throw new Error(`start command for unknown task ${command.loaf}`);
    const task: Task = {
      job,
      id: command.loaf,
      index,
      attempt: command.try,
      phase: 'fetching',
      exitCause: null,
      checkpointed: false,
      placed: false,
      worker: this,
    };
    const activeTasks = [...this.tasks.values()].filter((t) => t.phase !== 'ended');
    this.tasks.set(taskKey(command.loaf, command.try), task);
    const totalOf = (amount: (job: JobBody) => number): number =>
      activeTasks.reduce((n, t) => n + amount(t.job), amount(job));
    const { type } = this.identity;
    const exceedsCapacity =
      totalOf((j) => j.cores) > type.cores ||
      totalOf((j) => j.accelerators) > type.accelerators ||
      totalOf((j) => j.memGb) > type.memGb;
    if (activeTasks.some((t) => t.id === command.loaf)) this.endTask(task, 'busy');
    else if (exceedsCapacity) this.endTask(task, 'full');
    else {
      this.context.log.record({ kind: 'task_launched', sentAt, ...this.placementOf(task) });
      this.reportChange();
      const { random } = this.context;
      this.scheduleTaskStep(task, random.between(IMAGE_FETCH_MS.min, IMAGE_FETCH_MS.max), () => {
        this.onImageFetched(task);
      });
    }
  }

  private placementOf(task: Task): { machine: string; job: string; task: number; attempt: number } {
    return { machine: this.name, job: task.job.uid, task: task.index, attempt: task.attempt };
  }

  /** Runs a step after a delay unless the task has ended. While the machine hangs, the step waits. */
  private scheduleTaskStep(task: Task, ms: number, step: () => void): void {
    const { queue } = this.context;
    queue.after(ms, () => {
      if (!this.hasTask(task)) return;
      if (queue.nowMs < this.hungUntil) this.scheduleTaskStep(task, this.hungUntil - queue.nowMs + 1, step);
      else step();
    });
  }

  private hasTask(task: Task): boolean {
    return !this.removed && task.phase !== 'ended' && this.tasks.get(taskKey(task.id, task.attempt)) === task;
  }

  /** Begins the task once its image has been fetched; a task whose result is stored ends at once as done. */
  private onImageFetched(task: Task): void {
    task.placed = true;
    this.context.log.record({ kind: 'task_on', ...this.placementOf(task) });
    if (this.context.doneTasks.has(task.id)) this.endTask(task, 'done');
    else if (task.job.shape === 'array') this.runTask(task);
    else this.waitForGang(task);
  }

  private waitForGang(task: Task): void {
    task.phase = 'waiting';
    this.reportChange();
    const gangTasks = this.findGangTasks(task);
    if (gangTasks.filter((m) => m.phase === 'waiting').length === task.job.loaves) {
      for (const member of gangTasks) member.worker.runTask(member);
      return;
    }
    this.scheduleTaskStep(task, this.context.limits.gang_wait_s * 1000, () => {
      if (task.phase === 'waiting') this.endTask(task, 'incomplete');
    });
  }

  /** Returns the tasks of the same attempt of a gang that have not ended. */
  private findGangTasks(member: Task): Task[] {
    const found: Task[] = [];
    for (const worker of this.context.workers.values()) {
      for (const task of worker.tasks.values()) {
        if (task.job.uid === member.job.uid && task.attempt === member.attempt && task.phase !== 'ended') {
          found.push(task);
        }
      }
    }
    return found;
  }

  private runTask(task: Task): void {
    task.phase = 'running';
    this.reportChange();
    if (this.context.failingJobs.has(task.job.uid) || this.context.faultyMachines.has(this.name)) {
      this.scheduleTaskStep(task, TIME_TO_ERROR_MS, () => {
        this.endTask(task, 'error');
      });
      return;
    }
    const { random, limits } = this.context;
    const runMs = task.job.bakeS * 1000 * random.between(RUN_TIME_RATIO.min, RUN_TIME_RATIO.max);
    this.scheduleTaskStep(task, runMs, () => {
      this.completeTask(task);
    });
    if (task.job.shape === 'ensemble') this.monitorGang(task, limits.gang_peer_s * 1000);
  }

  private completeTask(task: Task): void {
    if (task.phase !== 'running') return;
    if (task.job.shape === 'array') {
      this.endTask(task, 'done');
      return;
    }
    const gangTasks = this.findGangTasks(task);
    if (gangTasks.length < task.job.loaves || gangTasks.some((m) => m.phase !== 'running')) return;
    for (const member of gangTasks) member.worker.endTask(member, 'done');
  }

  private monitorGang(task: Task, intervalMs: number): void {
    this.scheduleTaskStep(task, intervalMs, () => {
      if (task.phase !== 'running') return;
      if (this.findGangTasks(task).length < task.job.loaves) this.endTask(task, 'peers');
      else this.monitorGang(task, intervalMs);
    });
  }

  private endTask(task: Task, exitCause: ExitCause): void {
    if (task.phase === 'ended') return;
    const started = task.phase !== 'fetching' || exitCause === 'stopped' || exitCause === 'done';
    task.phase = 'ended';
    task.exitCause = exitCause;
    if (started) this.recordTaskOff(task, exitCause);
    task.placed = false;
    this.reportChange();
    if (exitCause !== 'done') return;
    this.context.doneTasks.add(task.id);
    this.context.onTaskDone(task.job.uid, task.index);
  }

  private recordTaskOff(task: Task, cause: ExitCause | null): void {
    this.context.log.record({ kind: 'task_off', cause, ...this.placementOf(task) });
    task.placed = false;
  }
}
