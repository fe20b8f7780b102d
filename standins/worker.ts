import { request } from 'node:http';
import { required } from '../src/base/required.ts';
import { serveJson, type Answer } from './http.ts';

interface Command {
  verb: 'launch' | 'stop' | 'clear';
  loaf: string;
  try: number;
  windDownS?: number;
}
interface TaskReport {
  loaf: string;
  try: number;
  stage: string;
  cause?: string;
}
/** The machine of a worker, under the wire names of heartbeats. */
export interface MachineIdentity {
  hearth: string;
  oven: string;
  yard: string;
  borrowed: boolean;
}

/** Descriptions of the submitted jobs by job id, which workers fetch from the users. */
export type JobDescriptions = Map<string, { loaves: number; shape: string; bakeS: number }>;

/** What a worker has seen of its controllers. */
export interface WorkerState {
  /** The highest fencing token. */
  token: number;
  incarnation: number;
}

const LEASE_MS = 20_000;
const HEARTBEAT_INTERVAL_MS = 1500;

/** A stand-in for a worker: sends heartbeats, checks fencing tokens and incarnations, and simulates tasks. */
export class WorkerStandIn {
  private static readonly running = new Set<WorkerStandIn>();
  private readonly tasks = new Map<string, TaskReport>();
  private incarnation = 1;
  private sequenceNumber = 0;
  private fencingToken = 0;
  private controllerIndex = 0;
  private leaseRenewedAt = Date.now();
  private stopped = false;
  address = '';

  constructor(
    private readonly identity: MachineIdentity,
    private readonly controllers: { name: string; address: string }[],
    private readonly jobDescriptions: JobDescriptions,
  ) {}

  async start(): Promise<void> {
    const { address } = await serveJson((_method, url, body) => this.route(url.pathname, body));
    this.address = address;
    WorkerStandIn.running.add(this);
    void this.sendHeartbeats();
  }

  stop(): void {
    this.stopped = true;
    WorkerStandIn.running.delete(this);
  }

  /** What this worker has seen so far. */
  state(): WorkerState {
    return { token: this.fencingToken, incarnation: this.incarnation };
  }

  private createHeartbeat(): object {
    this.sequenceNumber += 1;
    return {
      ...this.identity,
      address: this.address,
      shift: this.incarnation,
      tick: this.sequenceNumber,
      baton: this.fencingToken,
      warningS: null,
      loaves: [...this.tasks.values()],
    };
  }

  private route(path: string, body: Record<string, unknown>): Answer {
    if (this.stopped) return { status: 503, body: {} };
    if (path === '/inspect') return { status: 200, body: this.createHeartbeat() };
    const fencingToken = Number(body.baton);
    this.fencingToken = Math.max(this.fencingToken, fencingToken);
    if (fencingToken < this.fencingToken || Number(body.shift) !== this.incarnation)
      return { status: 409, body: this.createHeartbeat() };
    this.executeCommands((body.orders ?? []) as Command[]);
    return { status: 200, body: this.createHeartbeat() };
  }

  private async sendHeartbeats(): Promise<void> {
    while (!this.stopped) {
      const sentAt = Date.now();
      if (sentAt - this.leaseRenewedAt > LEASE_MS) {
        this.tasks.clear();
        this.incarnation += 1;
        this.leaseRenewedAt = sentAt;
      }
      const { incarnation } = this;
      const answer = await this.postHeartbeat(
        required(this.controllers[this.controllerIndex], 'controller to report to').address,
        JSON.stringify(this.createHeartbeat()),
      );
      if (
        answer?.status === 200 &&
        incarnation === this.incarnation &&
        Number(answer.body.baton) >= this.fencingToken
      ) {
        this.fencingToken = Number(answer.body.baton);
        this.leaseRenewedAt = sentAt;
        this.executeCommands((answer.body.orders ?? []) as Command[]);
      } else if (answer?.status !== 200) {
        const leaderIndex = this.controllers.findIndex((c) => c.name === answer?.body.foreman);
        this.controllerIndex =
          leaderIndex >= 0 ? leaderIndex : (this.controllerIndex + 1) % this.controllers.length;
      }
      await new Promise((resolve) =>
        setTimeout(resolve, answer?.status === 421 ? 300 : HEARTBEAT_INTERVAL_MS),
      );
    }
  }

  private postHeartbeat(
    address: string,
    body: string,
  ): Promise<{ status: number; body: Record<string, unknown> } | null> {
    return new Promise((resolve) => {
      const req = request(`http://${address}/checkin`, { method: 'POST', timeout: 4000 }, (res) => {
        const chunks: Buffer[] = [];
        res.on('data', (c: Buffer) => chunks.push(c));
        res.on('end', () => {
          const text = Buffer.concat(chunks).toString('utf8');
          resolve({ status: res.statusCode ?? 0, body: JSON.parse(text || '{}') as Record<string, unknown> });
        });
      });
      req.on('timeout', () => req.destroy());
      req.on('error', () => {
        resolve(null);
      });
      req.end(body);
    });
  }

  private executeCommands(commands: readonly Command[]): void {
    for (const command of commands) {
      const key = `${command.loaf}#${command.try}`;
      const task = this.tasks.get(key);
      if (command.verb === 'launch' && !task) this.launchTask(key, command);
      else if (command.verb === 'stop' && task && task.stage !== 'ended') this.endTask(task, 'stopped');
      else if (command.verb === 'clear' && task?.stage === 'ended') this.tasks.delete(key);
    }
  }

  private launchTask(key: string, command: Command): void {
    const task: TaskReport = { loaf: command.loaf, try: command.try, stage: 'fetching' };
    this.tasks.set(key, task);
    const [jobId = ''] = command.loaf.split('/');
    const jobDescription = this.jobDescriptions.get(jobId);
    if (!jobDescription) {
      this.endTask(task, 'no_such');
      return;
    }
    setTimeout(() => {
      if (task.stage !== 'fetching') return;
      task.stage = 'waiting';
      const gangTasks = jobDescription.shape === 'ensemble' ? this.findWaitingGangTasks(task) : [task];
      if (jobDescription.shape === 'ensemble' && gangTasks.length < jobDescription.loaves) return;
      for (const gangTask of gangTasks) {
        gangTask.stage = 'running';
        setTimeout(() => {
          if (gangTask.stage === 'running') this.endTask(gangTask, 'done');
        }, jobDescription.bakeS * 1000);
      }
    }, 500);
  }

  private findWaitingGangTasks(task: TaskReport): TaskReport[] {
    const [jobId = ''] = task.loaf.split('/');
    const found: TaskReport[] = [];
    for (const worker of WorkerStandIn.running) {
      for (const candidate of worker.tasks.values()) {
        if (
          candidate.stage === 'waiting' &&
          candidate.try === task.try &&
          candidate.loaf.startsWith(`${jobId}/`)
        )
          found.push(candidate);
      }
    }
    return found;
  }

  private endTask(task: TaskReport, cause: string): void {
    task.stage = 'ended';
    task.cause = cause;
  }
}
