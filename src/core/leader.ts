import type { Logger } from './log.ts';
import { DRIFT, type Clock } from './clock.ts';
import type { Intern } from './intern.ts';
import type { Settings } from '../config/settings.ts';
import type { Options } from '../config/options.ts';
import type { TeamLimits } from '../jobs/admission.ts';
import type { Catalog } from '../fleet/catalog.ts';
import { Fleet, type IdleMachine } from '../fleet/fleet.ts';
import type { Cloud } from '../fleet/cloud.ts';
import { ASSIGNED, Job } from '../jobs/job.ts';
import { chunkValue, finalValue, readChunk, readOpen } from '../jobs/records.ts';
import { KEYS } from '../store/keys.ts';
import type { LeaderWriter } from '../store/writer.ts';
import type { Item, WatchEvent } from '../wire/state.ts';
import type { JobStatus } from '../wire/user.ts';
import type { Command, Report } from '../wire/worker.ts';
import { attemptKey, Machine, newAttempt, type Attempt, type MachineIdentity } from '../workers/machine.ts';
import { applyReport, commandsFor, isNewer, loseAll, type WorkerEvent } from '../workers/reconcile.ts';
import { ArrivalForecast } from '../scheduling/forecast.ts';
import { Views } from './views.ts';
import { runRound } from '../scheduling/round.ts';
import { pickVictims, type VictimView } from '../scheduling/preempt.ts';
import {
  fetchTime,
  roomOf,
  type GroupView,
  type MachineView,
  type RoundResult,
  type TeamRoom,
} from '../scheduling/view.ts';

/** What the leader does to the world; all of it goes through here, so tests can watch. */
export interface LeaderHost {
  clock: Clock;
  log: Logger;
  /** True while no other node can hold the leader key. */
  surelyLeading(): boolean;
  /** Sends orders straight to a worker; null without an answer. `executed` false: it refused them. */
  order(
    machine: Machine,
    commands: Command[],
  ): Promise<{ report: Report; executed: boolean } | 'not_sent' | 'silent'>;
  inspect(machine: Machine): Promise<Report | null>;
  final(id: string, status: JobStatus): void;
  isFinal(id: string): boolean;
  /** Something changed: schedule a batch. */
  post(command: () => void): void;
  pause(ms: number): Promise<void>;
  superseded(): void;
}

interface Gang {
  number: number;
  members: Set<Attempt>;
  /** Set when the run is over or must end; a new one starts once all members are released. */
  ending: boolean;
}

export interface LeaderDeps {
  host: LeaderHost;
  settings: Settings;
  options: Options;
  teams: readonly TeamLimits[];
  zones: Intern;
  catalog: Catalog;
  cloud: Cloud;
  writer: LeaderWriter;
  term: number;
  graceMs: number;
}

const ATTEMPTS_PER_TERM = 2 ** 24;
const QUICK_IMAGES = 64;
const MOST_MADE_ROOM = 8;
/** Time for orders and reports around a stop or a start. */
const SETTLE_S = 2;

/** Everything one leadership knows. It starts empty and is thrown away whole when the leadership ends. */
export class Leader {
  readonly jobs = new Map<string, Job>();
  readonly jobList = new Map<number, Job>();
  private readonly jobIndex = new Map<Job, number>();
  private nextJob = 0;
  readonly machines = new Map<string, Machine>();
  private readonly byIndex: Machine[] = [];
  private readonly gangs = new Map<Job, Gang>();
  private readonly fleet: Fleet;
  private readonly forecast: ArrivalForecast;
  private readonly quickImages = new Set<string>();
  private readonly usage: { cpus: number; gpus: number }[];
  private loaded = false;
  private readonly startedAt: number;
  private answeredEarly = -Infinity;
  private attemptCount = 0;
  private dirty = true;
  private lastRoundAt = -Infinity;
  private flushDueAt = Infinity;
  private lastFlushAt = -Infinity;
  private gangsChecked = false;
  private readonly dirtyJobs = new Set<Job>();
  private stopped = false;
  private readonly log: Logger;
  private readonly views: Views;

  constructor(private readonly deps: LeaderDeps) {
    this.startedAt = deps.host.clock.now();
    this.log = deps.host.log;
    const waits = deps.settings.settings.objectives.filter((o) => o.kind === 'wait' && o.class);
    this.forecast = new ArrivalForecast(new Set(waits.map((o) => o.class!)));
    this.usage = deps.teams.map(() => ({ cpus: 0, gpus: 0 }));
    this.fleet = new Fleet({
      clock: deps.host.clock,
      log: this.log,
      cloud: deps.cloud,
      catalog: deps.catalog,
      zones: deps.zones,
      options: deps.options,
      term: deps.term,
      post: (command) => {
        deps.host.post(command);
      },
      pause: (ms) => deps.host.pause(ms),
      returning: (names) => {
        this.markReturning(names);
      },
      gone: (names) => {
        for (const name of names) this.machineGone(name);
      },
    });
    this.views = new Views(
      {
        jobs: this.jobs,
        jobList: this.jobList,
        machines: this.machines,
        byIndex: this.byIndex,
        gangs: this.gangs,
        liveOf: this.liveOf,
        usage: this.usage,
        fleet: this.fleet,
        forecast: this.forecast,
        quickImages: this.quickImages,
        allAccounted: () => this.allAccounted(),
      },
      deps,
    );
  }

  get term(): number {
    return this.deps.term;
  }

  stop(): void {
    this.stopped = true;
    this.deps.writer.stop();
  }

  private now(): number {
    return this.deps.host.clock.now();
  }

  // ---- taking over ----

  load(open: readonly Item[], finished: readonly Item[], roster: readonly Item[]): void {
    for (const item of open) {
      const record = readOpen(item.value);
      if (!record) {
        this.log.error({ key: item.key }, 'a job record is malformed');
        continue;
      }
      this.addJob(record.job.id, item.value, true);
    }
    for (const item of finished) {
      const [, id, chunk] = item.key.split('/');
      const job = this.jobs.get(id ?? '');
      const bits = readChunk(item.value);
      if (job && bits) job.markChunkDurable(Number(chunk), bits);
      else if (!job) this.deps.writer.push({ changes: [{ delete: item.key }], done: () => undefined }, false);
    }
    for (const item of roster) {
      const id = item.value as MachineIdentity;
      if (typeof id.address !== 'string' || typeof id.machineType !== 'string') continue;
      const known = this.machines.get(id.name);
      if (known) {
        known.rostered = true;
        continue;
      }
      const machine = this.addMachine(id);
      machine.rostered = true;
    }
    this.loaded = true;
    this.dirty = true;
    this.log.info(
      { jobs: this.jobs.size, roster: roster.length, term: this.term },
      'state read, reaching the machines of the roster',
    );
    for (const job of this.jobs.values()) this.maybeFinish(job);
  }

  /** Nothing an earlier leader started can be unknown any more. */
  private allAccounted(): boolean {
    for (const m of this.machines.values()) if (!m.accounted) return false;
    return true;
  }

  private mayPlace(): boolean {
    return (
      this.loaded &&
      this.now() - this.startedAt >= this.deps.options.scheduling.takeover_wait_s * 1000 &&
      this.deps.host.surelyLeading()
    );
  }

  /**
   * Renting needs no wait for what may still run: it starts once all that exists is known, so that machines
   * boot while the new leader waits before it places.
   */
  private mayRent(): boolean {
    const waitMs = this.deps.options.fleet.takeover_rent_s * 1000;
    return this.loaded && this.fleet.listed && this.now() - this.startedAt >= waitMs && this.allAccounted();
  }

  // ---- jobs ----

  private addJob(id: string, value: unknown, inherited: boolean): Job | null {
    if (this.jobs.has(id)) return this.jobs.get(id)!;
    const record = readOpen(value);
    if (!record) return null;
    const team = this.deps.teams.findIndex((t) => t.name === record.job.team);
    if (team < 0) {
      this.log.error({ job: id, team: record.job.team }, 'a job of a team that the settings lack');
      return null;
    }
    const job = new Job(record.job, team, record.createdWall, inherited, this.now());
    const index = this.nextJob++;
    this.jobs.set(id, job);
    this.jobList.set(index, job);
    this.jobIndex.set(job, index);
    this.forecast.note(job.spec, record.createdWall);
    if (this.forecast.watches(job.spec.className)) this.noteQuickImage(job.spec.image);
    this.dirty = true;
    this.log.debug({ job: id, tasks: job.spec.tasks, class: job.spec.className }, 'job taken in');
    return job;
  }

  /** The images used lately by classes that must start soon; the oldest is dropped. */
  private noteQuickImage(image: string): void {
    this.quickImages.delete(image);
    this.quickImages.add(image);
    const oldest = this.quickImages.values().next();
    if (this.quickImages.size > QUICK_IMAGES && !oldest.done) this.quickImages.delete(oldest.value);
  }

  onStoreEvents(events: readonly WatchEvent[]): void {
    for (const e of events) {
      const id = e.key.slice(KEYS.openPrefix.length);
      if (e.deleted) this.over.delete(id);
      else if (!this.over.has(id)) this.addJob(id, e.value, false);
    }
  }

  /** Found open in the store by this node; the watch would bring it a little later. */
  created(id: string, value: unknown): void {
    if (this.loaded && !this.over.has(id) && !this.deps.host.isFinal(id)) this.addJob(id, value, false);
  }

  /** The state of a job as of now, or null if this leader doesn't know it. */
  status(id: string): JobStatus | null {
    if (!this.loaded || !this.deps.host.surelyLeading()) return null;
    return this.jobs.get(id)?.status() ?? null;
  }

  /** Cancels a job. The callback comes once the outcome is durable; false: the job is not known here. */
  cancel(id: string, settled: (status: JobStatus) => void): boolean {
    const job = this.jobs.get(id);
    if (!this.loaded || !job || !this.deps.host.surelyLeading()) return false;
    job.whenFinal.push(() => {
      settled(job.status());
    });
    if (job.ending === null) this.finish(job, 'cancelled');
    return true;
  }

  private finish(job: Job, outcome: 'done' | 'cancelled'): void {
    job.ending = outcome;
    this.over.add(job.id);
    this.dirty = true;
    this.log.debug({ job: job.id, outcome }, 'job ends');
    if (outcome === 'cancelled') this.stopTasks(job, 0);
    const changes = [
      { delete: KEYS.open(job.id) },
      { put: KEYS.final(job.id), value: finalValue(outcome, job.doneCount) },
    ];
    const chunks: { delete: string }[] = [];
    for (const chunk of job.storedChunks) chunks.push({ delete: KEYS.finished(job.id, chunk) });
    const together = chunks.length + changes.length < this.deps.settings.settings.state.txn_ops;
    this.deps.writer.push(
      {
        changes: together ? [...changes, ...chunks] : changes,
        done: () => {
          this.deps.host.post(() => {
            this.ended(job, outcome);
          });
        },
      },
      outcome === 'cancelled',
    );
    if (!together) {
      for (const change of chunks) this.deps.writer.push({ changes: [change], done: () => undefined }, false);
    }
  }

  private ended(job: Job, outcome: 'done' | 'cancelled'): void {
    job.final = outcome;
    this.deps.host.final(job.id, job.status());
    for (const settled of job.whenFinal) settled();
    job.whenFinal.length = 0;
    this.log.info({ job: job.id, outcome }, 'job over');
    this.forgetIfEmpty(job);
  }

  /** Drops a job that is over once none of its tasks can be anywhere. */
  private forgetIfEmpty(job: Job): void {
    if (job.final === null || (this.liveOf.get(job)?.size ?? 0) > 0) return;
    this.jobs.delete(job.id);
    const index = this.jobIndex.get(job);
    if (index !== undefined) this.jobList.delete(index);
    this.jobIndex.delete(job);
    this.gangs.delete(job);
    this.liveOf.delete(job);
  }

  /**
   * Jobs that this leader has ended, until the watch tells of the end: a late event of their creation must not
   * bring them back to life.
   */
  private readonly over = new Set<string>();
  private readonly liveOf = new Map<Job, Set<Attempt>>();

  private stopTasks(job: Job, graceS: number): void {
    for (const a of this.liveOf.get(job) ?? []) this.stopAttempt(a, graceS);
  }

  private stopAttempt(a: Attempt, graceS: number): void {
    if (a.released || (a.stopGraceS !== null && a.stopGraceS <= graceS)) return;
    a.stopGraceS = graceS;
    a.machine.pushAfter = 0;
  }

  private maybeFinish(job: Job): void {
    if (job.ending === null && job.allDone) this.finish(job, 'done');
  }

  // ---- attempts ----

  private hold(a: Attempt): void {
    if (!a.job) return;
    let live = this.liveOf.get(a.job);
    if (!live) {
      live = new Set();
      this.liveOf.set(a.job, live);
    }
    live.add(a);
    a.job.holders.set(a.task, (a.job.holders.get(a.task) ?? 0) + 1);
    const use = this.usage[a.job.team]!;
    use.cpus += a.job.spec.cpus;
    use.gpus += a.job.spec.gpus;
  }

  private start(job: Job, machine: Machine, number: number): Attempt | null {
    const task = job.takePending();
    if (task < 0) return null;
    const a = newAttempt(machine, job, job.id, task, number, this.now());
    machine.attempts.set(attemptKey(a.jobId, task, number), a);
    machine.pushAfter = 0;
    const rate = this.deps.catalog.types[machine.type]?.fetchGbPerS ?? 0;
    if (!machine.images.has(job.spec.image) && rate > 0) {
      machine.images.set(job.spec.image, this.now() + fetchTime(job.spec.imageGb, rate) * 1000);
    }
    this.hold(a);
    job.waitingSince = this.now();
    return a;
  }

  private nextAttempt(): number {
    this.attemptCount += 1;
    return this.term * ATTEMPTS_PER_TERM + this.attemptCount;
  }

  private apply(events: readonly WorkerEvent[]): void {
    for (const e of events) {
      switch (e.kind) {
        case 'seen':
          this.onSeen(e.attempt);
          break;
        case 'running':
          if (e.attempt.job) e.attempt.job.running += 1;
          this.log.debug(
            {
              job: e.attempt.jobId,
              task: e.attempt.task,
              machine: e.attempt.machine.name,
              type: e.attempt.machine.id.machineType,
              after: Math.round(this.now() - e.attempt.assignedAt),
            },
            'task running',
          );
          break;
        case 'released':
          this.onReleased(e.attempt, e.saved);
          break;
      }
    }
  }

  private onSeen(a: Attempt): void {
    const job = a.job;
    if (!job || this.liveOf.get(job)?.has(a)) {
      if (!job) a.stopGraceS = 0;
      return;
    }
    // A task that an earlier leader started.
    this.hold(a);
    if (!job.adopt(a.task)) {
      // Done already, or held elsewhere: one of the two must go, and this one is the older news.
      a.stopGraceS = 0;
    }
    if (job.ending !== null) a.stopGraceS = 0;
    if (job.spec.gang) this.adoptGangMember(job, a);
  }

  private adoptGangMember(job: Job, a: Attempt): void {
    const gang = this.joinGang(job, a);
    if (gang.number !== a.number) {
      this.log.info({ job: job.id }, 'tasks of two attempts of a gang: all are stopped');
      this.endGang(job, gang);
    }
    if (gang.ending) this.stopAttempt(a, 0);
  }

  private endGang(job: Job, gang: Gang): void {
    gang.ending = true;
    for (const member of gang.members) this.stopAttempt(member, 0);
    this.dirty = true;
    this.log.debug({ job: job.id }, 'gang ends');
  }

  private onReleased(a: Attempt, saved: boolean): void {
    this.dirty = true;
    const job = a.job;
    if (!job) return;
    const live = this.liveOf.get(job);
    if (!live?.delete(a)) {
      if (a.cause === 'done') this.taskDone(job, a.task);
      return;
    }
    const others = job.holders.get(a.task)! - 1;
    if (others > 0) job.holders.set(a.task, others);
    else job.holders.delete(a.task);
    const use = this.usage[job.team]!;
    use.cpus -= job.spec.cpus;
    use.gpus -= job.spec.gpus;
    if (a.runningSince !== null) job.running = Math.max(0, job.running - 1);
    this.log.debug(
      {
        job: job.id,
        task: a.task,
        machine: a.machine.name,
        cause: a.cause,
        saved,
        after: this.now() - a.assignedAt,
      },
      'task ended',
    );
    if (a.machine.liveCount === 0) a.machine.idleSince = this.now();
    // A fetch is given up with the last task that waits for it: the machine is no warmer for it.
    const readyAt = a.machine.images.get(job.spec.image) ?? -Infinity;
    if (readyAt > this.now() && !a.machine.live().some((other) => other.job?.spec.image === job.spec.image)) {
      a.machine.images.delete(job.spec.image);
    }
    const gang = job.spec.gang ? this.gangs.get(job) : undefined;
    if (a.cause === 'done') {
      if (gang) for (let task = 0; task < job.spec.tasks; task++) job.markDone(task);
      this.taskDone(job, a.task);
    } else if (job.state[a.task] === ASSIGNED && others === 0) {
      job.giveBack(a.task, this.now());
      if (a.cause === 'error') this.onError(job, a.machine);
      else if (a.cause === 'unknown') job.notBefore = this.now() + 2000;
    }
    if (gang) {
      gang.members.delete(a);
      if (gang.members.size === 0) this.gangs.delete(job);
      else if (a.cause !== 'done' && !gang.ending) this.endGang(job, gang);
    }
    if (job.final) this.forgetIfEmpty(job);
  }

  private onError(job: Job, machine: Machine): void {
    const now = this.now();
    job.failures += 1;
    job.avoid.add(machine.index);
    machine.errors += 1;
    machine.lastErrorAt = now;
    // Failing on several machines points to the job: it is tried ever more seldom, anywhere.
    if (job.failures >= 3) {
      job.notBefore = now + Math.min(120_000, 5000 * 2 ** Math.min(5, job.failures - 3));
      job.avoid.clear();
    }
    this.log.info({ job: job.id, machine: machine.name, failures: job.failures }, 'a task failed');
  }

  private taskDone(job: Job, task: number): void {
    job.markDone(task);
    if (job.ending !== null) return;
    this.dirtyJobs.add(job);
    if (this.flushDueAt === Infinity) {
      this.flushDueAt = Math.max(this.now(), this.lastFlushAt + this.deps.options.scheduling.finish_batch_ms);
    }
  }

  /** Writes finished tasks, at most twice a second. A job that is complete goes straight to its final state. */
  private flushFinished(): void {
    if (this.now() < this.flushDueAt || this.deps.writer.backlog > 50) return;
    this.flushDueAt = Infinity;
    this.lastFlushAt = this.now();
    for (const job of this.dirtyJobs) {
      if (job.ending !== null) continue;
      if (job.allDone) {
        this.finish(job, 'done');
        continue;
      }
      for (const chunk of job.dirtyChunks) {
        const bits = job.chunkBits(chunk);
        job.storedChunks.add(chunk);
        this.deps.writer.push(
          {
            changes: [{ put: KEYS.finished(job.id, chunk), value: chunkValue(bits) }],
            done: () => {
              this.deps.host.post(() => {
                job.markChunkDurable(chunk, bits);
              });
            },
          },
          false,
        );
      }
      job.dirtyChunks.clear();
    }
    this.dirtyJobs.clear();
  }

  // ---- machines ----

  private addMachine(id: MachineIdentity): Machine {
    const answeredBefore = Math.max(this.startedAt + this.deps.graceMs, this.answeredEarly);
    const machine = new Machine(
      this.byIndex.length,
      id,
      this.deps.catalog.typeIndex(id.machineType),
      this.deps.zones.index(id.zone),
      this.now(),
      answeredBefore,
    );
    this.machines.set(id.name, machine);
    this.byIndex.push(machine);
    return machine;
  }

  /** A worker's own report. Returns the commands of the answer, or null if it must not be answered with 200. */
  onReport(report: Report): Command[] | null {
    if (report.token > this.term) {
      this.deps.host.superseded();
      return null;
    }
    if (!this.loaded) {
      // Answered all the same, so its lease may be renewed before its machine is known here.
      this.answeredEarly = this.now();
      return [];
    }
    const machine = this.takeReport(report, false);
    if (!machine) return [];
    // Whatever the answer says, the lease of this worker may be renewed by it.
    machine.answeredAt = Math.max(machine.answeredAt, this.now());
    return commandsFor(machine, this.mayStartOn(machine));
  }

  private mayStartOn(machine: Machine): boolean {
    return machine.rostered && !machine.returning && this.deps.host.surelyLeading();
  }

  private takeReport(report: Report, direct: boolean): Machine | null {
    let machine = this.machines.get(report.machine);
    if (!machine) {
      if (this.fleet.wasReturned(report.machine)) return null;
      machine = this.addMachine({
        name: report.machine,
        address: report.address,
        machineType: report.machineType,
        zone: report.zone,
        spot: report.spot,
      });
      this.log.info({ machine: report.machine, type: report.machineType, zone: report.zone }, 'machine up');
      this.dirty = true;
    }
    if (!isNewer(machine, report)) return machine;
    this.fleet.up(report.machine);
    this.apply(
      applyReport(machine, report, direct, { now: this.now(), jobOf: (id) => this.jobs.get(id) ?? null }),
    );
    if (report.token === this.term && !machine.accounted) {
      machine.accounted = true;
      this.dirty = true;
    }
    if (!machine.rostered && !machine.rosterQueued) this.enroll(machine);
    return machine;
  }

  private enroll(machine: Machine): void {
    machine.rosterQueued = true;
    this.deps.writer.push(
      {
        changes: [{ put: KEYS.machine(machine.name), value: machine.id }],
        done: () => {
          this.deps.host.post(() => {
            machine.rostered = true;
            this.dirty = true;
          });
        },
      },
      true,
    );
  }

  /** The machine and everything on it are gone for certain. */
  private machineGone(name: string): void {
    const machine = this.machines.get(name);
    if (!machine) return;
    this.apply(loseAll(machine));
    this.machines.delete(name);
    this.dirty = true;
    if (machine.rostered || machine.rosterQueued) {
      this.deps.writer.push({ changes: [{ delete: KEYS.machine(name) }], done: () => undefined }, false);
    }
  }

  // ---- batches ----

  /** Runs after each batch of commands: writes, a round if something changed, orders to workers. */
  afterBatch(): void {
    if (this.stopped || !this.loaded) return;
    this.flushFinished();
    this.watchMachines();
    if (this.mayPlace()) {
      this.checkGangs();
      this.round(true);
    } else if (this.mayRent() && this.deps.host.surelyLeading()) {
      this.round(false);
    }
    this.pushOrders();
  }

  private leaseOver(machine: Machine): boolean {
    const lease = this.deps.settings.settings.workers.lease_s * 1000;
    return this.now() > machine.answeredAt + lease * (1 + DRIFT) + 500;
  }

  private lastWatch = -Infinity;

  private watchMachines(): void {
    const now = this.now();
    if (now - this.lastWatch < 400) return;
    this.lastWatch = now;
    const reportMs = this.deps.settings.settings.workers.report_s * 1000;
    const silentMs = reportMs * this.deps.options.workers.silent_reports;
    const silentByZone = new Map<number, number>();
    const totalByZone = new Map<number, number>();
    for (const m of this.machines.values()) {
      totalByZone.set(m.zone, (totalByZone.get(m.zone) ?? 0) + 1);
      if (now - Math.max(m.heardAt, this.startedAt) > silentMs) {
        silentByZone.set(m.zone, (silentByZone.get(m.zone) ?? 0) + 1);
      }
    }
    for (const m of [...this.machines.values()]) {
      if (this.leaseOver(m) && !m.sessionOver) {
        // Its session has ended on its own clock, and launches meant for that session are refused.
        this.log.info({ machine: m.name }, 'lease surely over');
        this.apply(loseAll(m));
        m.sessionOver = true;
        m.accounted = true;
        this.dirty = true;
      }
      const quietMs = now - Math.max(m.heardAt, this.startedAt);
      if (quietMs > reportMs * 1.5) this.probe(m);
      else m.probesFailed = 0;
      if (quietMs > silentMs && m.probesFailed > 0 && !m.returning) {
        // Many silent machines of one zone point to a cut, which may end; single ones have died.
        const silent = silentByZone.get(m.zone) ?? 0;
        const cut = silent >= 3 && silent * 2 > (totalByZone.get(m.zone) ?? 0);
        if (!cut || this.leaseOver(m)) {
          this.log.info({ machine: m.name, quietMs: Math.round(quietMs) }, 'silent machine, returned');
          this.fleet.giveBack([m.name]);
        }
      }
      for (const a of m.attempts.values()) this.watchAttempt(m, a, now);
    }
    this.probeUnaccounted();
    this.fleet.tick();
    this.fleet.syncList(new Set(this.machines.keys()));
  }

  private watchAttempt(m: Machine, a: Attempt, now: number): void {
    if (a.released) return;
    // A launch in doubt of a task that must not run: returning the machine is the only sure end before the lease.
    const cancelMs = this.deps.settings.settings.workers.cancel_s * 1000;
    if (a.stopGraceS !== null && !a.seen && a.doubt && now - a.assignedAt > cancelMs / 4 && !m.returning) {
      this.log.info(
        { machine: m.name, job: a.jobId },
        'launch in doubt of a task to be stopped: machine returned',
      );
      this.fleet.giveBack([m.name]);
    }
    if (m.takenAt === null || a.stopGraceS !== null || !a.job) return;
    const spec = a.job.spec;
    if (spec.checkpointS <= 0) return;
    const leftMs = m.takenAt - now;
    if (leftMs < (spec.saveS + this.deps.options.workers.save_margin_s) * 1000)
      this.stopOrderly(a, 'spot notice');
  }

  /** Stops a task so that it can save; of a gang all tasks at the same time. */
  private stopOrderly(a: Attempt, reason: string): void {
    const job = a.job!;
    const graceS = job.spec.checkpointS > 0 ? job.spec.saveS + 2 : 0;
    const gang = job.spec.gang ? this.gangs.get(job) : undefined;
    this.log.info(
      { job: job.id, task: a.task, machine: a.machine.name, reason },
      'task stopped to make room',
    );
    if (!gang) {
      this.stopAttempt(a, graceS);
      return;
    }
    gang.ending = true;
    for (const member of gang.members) this.stopAttempt(member, graceS);
  }

  private probing = new Set<Machine>();

  /** Asks a quiet worker directly: its reports may be lost on the way while it lives. */
  private probe(m: Machine): void {
    if (this.probing.has(m) || m.id.address === '') return;
    this.probing.add(m);
    void this.deps.host.inspect(m).then((report) => {
      void this.deps.host.pause(800).then(() => this.probing.delete(m));
      if (!report) m.probesFailed += 1;
      else {
        m.probesFailed = 0;
        this.deps.host.post(() => {
          if (!this.stopped && this.machines.has(report.machine)) this.takeReport(report, true);
        });
      }
    });
  }

  /** A roster machine is accounted for once it has seen our token: an empty order makes sure of that. */
  private probeUnaccounted(): void {
    for (const m of this.machines.values()) {
      if (m.accounted || m.pushing) continue;
      if (m.session === 0) this.probe(m);
      else this.push(m, []);
    }
  }

  private checkGangs(): void {
    if (this.gangsChecked || !this.allAccounted()) return;
    this.gangsChecked = true;
    for (const [job, gang] of this.gangs) {
      // A gang of which tasks are missing after everything is known can't go on.
      if (!gang.ending && gang.members.size < job.spec.tasks && job.ending === null) {
        this.log.info({ job: job.id }, 'gang incomplete after the takeover');
        this.endGang(job, gang);
      }
    }
  }

  private pushOrders(): void {
    const now = this.now();
    for (const m of this.machines.values()) {
      if (m.pushing || now < m.pushAfter || m.session === 0 || m.sessionOver) continue;
      if (!this.needsPush(m)) continue;
      this.push(m, commandsFor(m, this.mayStartOn(m)));
    }
  }

  private needsPush(m: Machine): boolean {
    for (const a of m.attempts.values()) {
      if (a.released) continue;
      if (a.stopGraceS !== null ? a.seen : !a.seen && this.mayStartOn(m)) return true;
    }
    return false;
  }

  private push(m: Machine, commands: Command[]): void {
    m.pushing = true;
    const launched: Attempt[] = [];
    for (const c of commands) {
      if (c.op !== 'start') continue;
      const a = m.attempts.get(attemptKey(c.jobId, c.task, c.attempt));
      if (a) launched.push(a);
    }
    for (const a of launched) a.underWay += 1;
    const session = m.session;
    void this.deps.host.order(m, commands).then((result) => {
      this.deps.host.post(() => {
        m.pushing = false;
        for (const a of launched) {
          a.underWay -= 1;
          if (result === 'silent') a.doubt = true;
        }
        if (result === 'silent' || result === 'not_sent') {
          m.pushAfter = this.now() + 1000;
          return;
        }
        m.pushAfter = this.now() + (result.executed ? 300 : 50);
        if (result.report.token > this.term) {
          this.deps.host.superseded();
          return;
        }
        if (!this.stopped && this.machines.get(m.name) === m && result.report.session >= session) {
          this.takeReport(result.report, true);
        }
      });
    });
  }

  // ---- rounds ----

  private round(place: boolean): void {
    const now = this.now();
    const { scheduling } = this.deps.options;
    const due = this.dirty ? scheduling.round_gap_ms : 1000;
    if (now - this.lastRoundAt < due) return;
    this.lastRoundAt = now;
    this.dirty = false;
    const groups = this.views.groups();
    const machines = this.views.machineViews();
    this.views.park(machines, groups);
    this.views.addNextWave(machines, groups);
    const { catalog } = this.deps;
    const sizeOf = (type: number) => {
      const t = catalog.types[type];
      return t ? roomOf(t) : null;
    };
    const teamRoom = this.views.teamRooms();
    const deadline = now + scheduling.round_limit_ms;
    const result = runRound(
      [...groups, ...this.views.expectedGroups()],
      machines,
      this.fleet.rentable(),
      // Expected tasks have no team yet.
      [...teamRoom, { cpus: Infinity, gpus: Infinity }],
      sizeOf,
      {
        reserveAfterMs: scheduling.reserve_after_s * 1000,
        maxGroups: scheduling.max_groups,
        fetchSteps: scheduling.fetch_steps,
        priceSteps: scheduling.price_steps,
        rentSteps: scheduling.rent_steps,
        rentBiasS: scheduling.rent_bias_s,
        warmSteps: scheduling.warm_steps,
        rentRound: scheduling.rent_round,
      },
      () => this.now() > deadline,
    );
    this.fleet.want(result.rents);
    if (!place) return;
    const gangNumbers = new Map<number, number>();
    for (const p of result.placements) {
      const job = this.jobList.get(p.job)!;
      const machine = this.byIndex[p.machine]!;
      const group = groups.find((g) => g.job === p.job);
      if (group && this.makeWarmRoom(job, group, p.machine, machines)) continue;
      for (let i = 0; i < p.count; i++) {
        let number: number;
        if (job.spec.gang) {
          number = gangNumbers.get(p.job) ?? this.nextAttempt();
          gangNumbers.set(p.job, number);
        } else {
          number = this.nextAttempt();
        }
        const a = this.start(job, machine, number);
        if (!a) break;
        if (job.spec.gang) this.joinGang(job, a);
      }
      this.log.info({ job: job.id, machine: machine.name, tasks: p.count }, 'placed');
    }
    this.fleet.spare(this.idleMachines(result.held));
    // Seen anew: the placements of this round take room, and what they take is not free for a second time.
    if (result.unplaced.size + result.awaiting.size > 0) {
      this.makeRoom(groups, result, this.views.machineViews(), this.views.teamRooms());
    }
    this.log.debug(
      {
        groups: groups.length,
        machines: machines.length,
        placed: result.placements.length,
        unplaced: result.unplaced.size,
        awaiting: result.awaiting.size,
        ms: Math.round(this.now() - now),
      },
      'round',
    );
  }

  private joinGang(job: Job, a: Attempt): Gang {
    let gang = this.gangs.get(job);
    if (!gang) {
      gang = { number: a.number, members: new Set(), ending: false };
      this.gangs.set(job, gang);
    }
    gang.members.add(a);
    return gang;
  }

  private idleMachines(held: ReadonlySet<number>): IdleMachine[] {
    const now = this.now();
    const idle: IdleMachine[] = [];
    for (const m of this.machines.values()) {
      if (m.returning || m.liveCount > 0 || !m.accounted || held.has(m.index)) continue;
      idle.push({ name: m.name, type: m.type, idleMs: now - m.idleSince });
    }
    return idle;
  }

  /** A machine that the fleet gives back takes no new tasks from that moment. */
  private markReturning(names: readonly string[]): void {
    for (const name of names) {
      const m = this.machines.get(name);
      if (m) m.returning = true;
    }
  }

  private makeRoom(
    groups: readonly GroupView[],
    result: RoundResult,
    machines: readonly MachineView[],
    teamRoom: readonly TeamRoom[],
  ): void {
    if (!this.deps.options.scheduling.preempt) return;
    const guaranteed = this.views.guaranteedJobs();
    const waitingOf = (g: GroupView): number =>
      g.only >= 0 ? 0 : (result.unplaced.get(g.job) ?? 0) + (result.awaiting.get(g.job) ?? 0);
    const pressing = groups.filter((g) => waitingOf(g) > 0).sort((a, b) => b.priority - a.priority);
    // A swarm of waiting jobs must not make a round long: the others get their turn in the next.
    for (const group of pressing.slice(0, MOST_MADE_ROOM)) {
      const waiting = waitingOf(group);
      // With room on its way, a guarantee alone is no reason to stop others.
      const guaranteeAfterMs = result.unplaced.has(group.job)
        ? this.deps.options.scheduling.guarantee_after_s * 1000
        : Infinity;
      const victims = pickVictims(
        group,
        waiting,
        machines,
        (index) => this.views.victims(index, guaranteed),
        teamRoom,
        guaranteeAfterMs,
        result.reserved,
      );
      for (const a of victims) this.stopOrderly(a, `preempted for ${this.jobList.get(group.job)?.id ?? '?'}`);
    }
  }

  /**
   * A single task that must start soon and would spend its time fetching: if tasks of lower rank that can save
   * hold a machine with its image, they make room there. True if the task waits for that room.
   */
  private makeWarmRoom(
    job: Job,
    group: GroupView,
    placed: number,
    machines: readonly MachineView[],
  ): boolean {
    const fetchS = (m: MachineView): number => m.fetchS(group.image, group.imageGb);
    const chosen = machines.find((m) => m.machine === placed);
    if (
      !group.quick ||
      job.spec.tasks !== 1 ||
      group.only >= 0 ||
      !chosen ||
      !this.deps.options.scheduling.preempt
    )
      return false;
    const slackS = group.slackS - SETTLE_S;
    if (fetchS(chosen) <= slackS) return false;
    const warm = machines.filter((m) => m.bootsInS === 0 && m.load > 0 && fetchS(m) === 0);
    const savable = (index: number): VictimView<Attempt>[] =>
      this.views.victims(index, new Set()).filter((v) => {
        const spec = v.item.job?.spec;
        return v.stopping || (spec !== undefined && spec.checkpointS > 0 && spec.saveS < slackS);
      });
    const victims = pickVictims(group, 1, warm, savable, this.views.teamRooms(), Infinity, new Map());
    const first = victims[0];
    if (!first) return false;
    let saveS = 0;
    for (const a of victims) {
      this.stopOrderly(a, `warm room for ${job.id}`);
      saveS = Math.max(saveS, a.job?.spec.saveS ?? 0);
    }
    job.aim = { machine: first.machine.index, until: this.now() + (saveS + SETTLE_S) * 1000 };
    return true;
  }
}
