import type { Cause, Command, Report, ReportedTask } from '../../src/wire/worker.ts';
import type { JobRequest } from '../../src/wire/user.ts';
import type { Sim } from './sim.ts';

export interface Held {
  job: JobRequest;
  task: number;
  attempt: number;
  phase: ReportedTask['phase'];
  cause: Cause | null;
  saved: boolean;
  worker: WorkerModel;
  /** It has its image: from here on it counts as on its machine. */
  on: boolean;
}

export interface WorkerWorld {
  sim: Sim;
  leaseMs: number;
  reportMs: number;
  gangWaitMs: number;
  gangPeerMs: number;
  jobs: Map<string, JobRequest>;
  all: Map<string, WorkerModel>;
  /** Checked when a task starts. */
  onStart(held: Held): void;
  onDone(held: Held): void;
  /** Sends a report; the callback gets the answer, if one comes in time. */
  send(worker: WorkerModel, report: Report, answer: (token: number, commands: Command[]) => void): void;
  runMs(job: JobRequest): number;
  /** Whether the task ends with an error soon after it has begun to run. */
  fails(held: Held): boolean;
}

const TIME_TO_ERROR_MS = 1000;

/** A worker as the protocol describes it: tokens, sessions, leases, and commands that may be repeated. */
export class WorkerModel {
  session = 1;
  seq = 0;
  token = 0;
  gone = false;
  hungUntil = 0;
  cutUntil = 0;
  /** Its reports arrive; answers and commands don't reach it. */
  deafUntil = 0;
  takenAt: number | null = null;
  readonly held = new Map<string, Held>();
  private answeredSentAt: number;
  private inFlight = false;
  private lastSent = -Infinity;
  private changed = true;
  private readonly results = new Set<string>();

  constructor(
    private readonly w: WorkerWorld,
    readonly name: string,
    readonly machineType: string,
    readonly zone: string,
    readonly spot: boolean,
    readonly size: { cpus: number; gpus: number; memory: number },
  ) {
    this.answeredSentAt = w.sim.at;
    this.tick();
  }

  private tick(): void {
    if (this.gone) return;
    const { sim } = this.w;
    // A hanging machine resumes within its lease or finds its tasks killed: past the lease they count as gone.
    if (sim.at - this.answeredSentAt > this.w.leaseMs) {
      this.held.clear();
      this.session += 1;
      this.answeredSentAt = sim.at;
      this.changed = true;
    }
    if (sim.at >= this.hungUntil) {
      const due = this.lastSent + this.w.reportMs * sim.between(0.75, 1.25);
      if (!this.inFlight && (sim.at >= due || (this.changed && sim.at - this.lastSent >= 500))) this.report();
    }
    sim.after(100, () => {
      this.tick();
    });
  }

  snapshot(): Report {
    this.seq += 1;
    return {
      machine: this.name,
      address: `${this.name}:1`,
      machineType: this.machineType,
      zone: this.zone,
      spot: this.spot,
      session: this.session,
      seq: this.seq,
      token: this.token,
      noticeS: this.takenAt === null ? null : Math.max(0, (this.takenAt - this.w.sim.at) / 1000),
      tasks: [...this.held.values()].map((h) => ({
        jobId: h.job.id,
        task: h.task,
        attempt: h.attempt,
        phase: h.phase,
        cause: h.cause,
        saved: h.saved,
      })),
    };
  }

  private report(): void {
    const { sim } = this.w;
    this.inFlight = true;
    this.changed = false;
    this.lastSent = sim.at;
    const sentAt = sim.at;
    const session = this.session;
    let over = false;
    sim.after(4000, () => {
      over = true;
      this.inFlight = false;
    });
    this.w.send(this, this.snapshot(), (token, commands) => {
      if (over || this.gone || sim.at < this.hungUntil) return;
      over = true;
      this.inFlight = false;
      if (session !== this.session || token < this.token) return;
      if (token > this.token) this.changed = true;
      this.token = token;
      this.answeredSentAt = sentAt;
      this.execute(commands);
    });
  }

  /** Straight orders: executed only for the highest token seen and this session. */
  orders(token: number, session: number, commands: Command[]): { executed: boolean; report: Report } {
    if (token > this.token) {
      this.token = token;
      this.changed = true;
    }
    const executed = token === this.token && session === this.session;
    if (executed) this.execute(commands);
    return { executed, report: this.snapshot() };
  }

  private key(jobId: string, task: number, attempt: number): string {
    return `${jobId}/${task}#${attempt}`;
  }

  private execute(commands: readonly Command[]): void {
    for (const c of commands) {
      const key = this.key(c.jobId, c.task, c.attempt);
      const held = this.held.get(key);
      if (c.op === 'start') {
        if (!held) this.start(c.jobId, c.task, c.attempt, key);
      } else if (held && c.op === 'forget') {
        if (held.phase === 'ended') this.held.delete(key);
      } else if (held && c.op === 'stop' && held.phase !== 'ended') {
        const saves = held.phase === 'running' && held.job.checkpointS > 0 && c.graceS >= held.job.saveS;
        if (saves) {
          held.phase = 'saving';
          this.w.sim.after(held.job.saveS * 1000, () => {
            this.end(held, 'stopped', true);
          });
        } else if (held.phase !== 'saving' || c.graceS === 0) this.end(held, 'stopped', false);
      }
    }
  }

  private start(jobId: string, task: number, attempt: number, key: string): void {
    const job = this.w.jobs.get(jobId);
    if (!job) throw new Error('a start of a job that nobody submitted');
    const held: Held = {
      job,
      task,
      attempt,
      phase: 'fetching',
      cause: null,
      saved: false,
      worker: this,
      on: false,
    };
    this.held.set(key, held);
    this.changed = true;
    const live = [...this.held.values()].filter((h) => h !== held && h.phase !== 'ended');
    const sum = (f: (j: JobRequest) => number): number => live.reduce((n, h) => n + f(h.job), f(job));
    if (live.some((h) => h.job.id === jobId && h.task === task)) this.end(held, 'busy', false);
    else if (sum((j) => j.cpus) > this.size.cpus || sum((j) => j.gpus) > this.size.gpus)
      this.end(held, 'full', false);
    else this.w.sim.after(this.w.sim.between(50, 3000), () => this.imageThere(held));
  }

  private alive(held: Held): boolean {
    return !this.gone && [...this.held.values()].includes(held) && held.phase !== 'ended';
  }

  private imageThere(held: Held): void {
    if (!this.alive(held)) return;
    const { sim } = this.w;
    if (sim.at < this.hungUntil) {
      sim.after(this.hungUntil - sim.at + 1, () => this.imageThere(held));
      return;
    }
    held.on = true;
    this.changed = true;
    this.w.onStart(held);
    if (this.results.has(`${held.job.id}/${held.task}`)) {
      this.end(held, 'done', false);
    } else if (!held.job.gang) {
      this.run(held);
    } else {
      held.phase = 'waiting';
      const members = this.members(held);
      if (members.filter((m) => m.phase === 'waiting').length === held.job.tasks) {
        for (const m of members) m.worker.run(m);
      }
      sim.after(this.w.gangWaitMs, () => {
        if (this.alive(held) && held.phase === 'waiting') this.end(held, 'alone', false);
      });
    }
  }

  private members(of: Held): Held[] {
    const found: Held[] = [];
    for (const w of this.w.all.values()) {
      if (w.gone) continue;
      for (const h of w.held.values()) {
        if (h.job.id === of.job.id && h.attempt === of.attempt && h.phase !== 'ended') found.push(h);
      }
    }
    return found;
  }

  private run(held: Held): void {
    held.phase = 'running';
    this.changed = true;
    const { sim } = this.w;
    const finish = (): void => {
      if (!this.alive(held) || held.phase !== 'running') return;
      if (sim.at < this.hungUntil) {
        sim.after(this.hungUntil - sim.at + 1, finish);
        return;
      }
      if (held.job.gang) {
        const members = this.members(held);
        if (members.length < held.job.tasks || members.some((m) => m.phase !== 'running')) return;
        for (const m of members) m.worker.end(m, 'done', false);
      } else this.end(held, 'done', false);
    };
    if (this.w.fails(held)) {
      sim.after(TIME_TO_ERROR_MS, () => {
        if (this.alive(held)) this.end(held, 'error', false);
      });
      return;
    }
    sim.after(this.w.runMs(held.job), finish);
    if (held.job.gang) this.watchPeers(held);
  }

  private watchPeers(held: Held): void {
    this.w.sim.after(this.w.gangPeerMs, () => {
      if (!this.alive(held) || held.phase !== 'running') return;
      if (this.members(held).length < held.job.tasks) this.end(held, 'peers', false);
      else this.watchPeers(held);
    });
  }

  private end(held: Held, cause: Cause, saved: boolean): void {
    if (held.phase === 'ended') return;
    held.phase = 'ended';
    held.cause = cause;
    held.saved = saved;
    held.on = false;
    this.changed = true;
    if (cause !== 'done') return;
    this.w.onDone(held);
    for (const w of this.w.all.values()) w.results.add(`${held.job.id}/${held.task}`);
  }

  kill(): void {
    this.gone = true;
    this.held.clear();
  }
}
