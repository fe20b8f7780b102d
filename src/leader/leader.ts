import type { Logger } from '../base/log.ts';
import { Attempts } from './attempts.ts';
import type { StoredState } from './stored-state.ts';
import { Cluster } from './cluster.ts';
import type { LeaderDeps } from './context.ts';
import { Completion } from './completion.ts';
import { Gangs } from './gangs.ts';
import { WorkerCommands } from './worker-commands.ts';
import { Rounds } from './rounds.ts';
import { PlanningViews } from './planning-views.ts';
import { MachineMonitor } from './machine-monitor.ts';
import { Fleet } from '../fleet/fleet.ts';
import { Archive } from '../jobs/archive.ts';
import { BegunNotes } from '../jobs/begun.ts';
import { Job } from '../jobs/job.ts';
import type { LeaderView } from '../jobs/knowledge.ts';
import { readChunk, readFinal, readOpen } from '../jobs/records.ts';
import { ArrivalForecast } from '../scheduling/forecast.ts';
import { KEYS } from '../store/keys.ts';
import type { Item, WatchEvent } from '../wire/state.ts';
import type { JobStatus } from '../wire/user.ts';
import type { Command, Report } from '../wire/worker.ts';
import { Machine, type MachineIdentity } from '../workers/machine.ts';
import { applyReport, commandsFor, isNewer, loseAll, noteAnswer } from '../workers/reconcile.ts';
import { MachineRegistry } from '../workers/machine-registry.ts';

const QUICK_IMAGES = 64;
const COUNT_KEPT_MS = 500;
const PAGE_BYTES = 4000;
/** Final records that a new leader may have to read past: a few pages of a listing. */
const FINALS_KEPT = 2000;

/** Everything one leadership knows. It starts empty and is thrown away whole when the leadership ends. */
export class Leader {
  private readonly cluster: Cluster;
  private readonly gangs: Gangs;
  private readonly begun: BegunNotes;
  private readonly archive: Archive;
  private readonly endings: Completion;
  private readonly attempts: Attempts;
  private readonly orders: WorkerCommands;
  private readonly rounds: Rounds;
  private readonly watch: MachineMonitor;
  private readonly roster: MachineRegistry;
  private readonly fleet: Fleet;
  private readonly forecast: ArrivalForecast;
  private readonly quickImages = new Set<string>();
  private loaded = false;
  private counted = { at: -Infinity, machines: 0 };
  private readonly startedAt: number;
  private answeredEarly = -Infinity;
  private stopped = false;
  private readonly log: Logger;

  constructor(private readonly deps: LeaderDeps) {
    const { host, settings, options, catalog, writer } = deps;
    this.startedAt = host.clock.now();
    this.log = host.log;
    this.cluster = new Cluster(deps.teams.length);
    const waits = settings.settings.objectives.filter((o) => o.kind === 'wait' && o.class);
    this.forecast = new ArrivalForecast(new Set(waits.map((o) => o.class!)));
    this.fleet = new Fleet({
      clock: host.clock,
      log: this.log,
      cloud: deps.cloud,
      catalog,
      zones: deps.zones,
      options,
      term: deps.term,
      surelyLeading: () => host.surelyLeading(),
      post: (command) => {
        host.post(command);
      },
      pause: (ms) => host.pause(ms),
      returning: (names) => {
        this.markReturning(names);
      },
      gone: (names) => {
        for (const name of names) this.machineGone(name);
      },
    });
    const views = new PlanningViews(
      { cluster: this.cluster, fleet: this.fleet, forecast: this.forecast, quickImages: this.quickImages },
      deps,
    );
    this.gangs = new Gangs(this.cluster, this.log);
    const pageBytes = Math.min(PAGE_BYTES, settings.settings.state.value_kb * 900);
    const post = (command: () => void): void => {
      host.post(command);
    };
    this.begun = new BegunNotes({
      pageBytes,
      push: (job) => {
        writer.push(job, 'starts');
      },
      post,
    });
    this.archive = new Archive({
      keep: FINALS_KEPT,
      txnOps: settings.settings.state.txn_ops,
      idle: () => writer.idle,
      push: (job) => {
        writer.push(job, 'background');
      },
      post,
    });
    this.endings = new Completion(this.cluster, this.begun, this.archive, deps);
    this.attempts = new Attempts(this.cluster, this.gangs, this.endings, this.begun, deps);
    this.orders = new WorkerCommands(this.cluster, deps, (report) => {
      this.onDirectReport(report);
    });
    this.rounds = new Rounds(this.cluster, this.fleet, views, this.attempts, deps);
    this.watch = new MachineMonitor(
      this.cluster,
      this.fleet,
      this.attempts,
      this.orders,
      deps,
      this.startedAt,
      (a, reason) => {
        this.rounds.stopOrderly(a, reason);
      },
    );
    this.roster = new MachineRegistry({
      pageBytes,
      push: (job, urgent) => {
        writer.push(job, urgent ? 'starts' : 'background');
      },
      post,
    });
  }

  get term(): number {
    return this.deps.term;
  }

  /** Machines that are up as far as is known, heard or not; null until the state is read. */
  get machineCount(): number | null {
    if (!this.loaded) return null;
    const now = this.now();
    // Asked with each report, and counted now and then.
    if (now - this.counted.at > COUNT_KEPT_MS)
      this.counted = { at: now, machines: this.cluster.machines.size + this.fleet.runningUnheard };
    return this.counted.machines;
  }

  stop(): void {
    this.stopped = true;
    this.deps.writer.stop();
    this.releaseWaiting();
  }

  /** Whoever waits for the end of a job is told that this leadership won't see it, so that nobody waits in vain. */
  private releaseWaiting(): void {
    for (const job of this.cluster.jobs.values()) {
      for (const settled of job.whenFinal.splice(0)) settled();
    }
  }

  private now(): number {
    return this.deps.host.clock.now();
  }

  // ---- taking over ----

  /** Takes over what the state service holds. */
  load(found: Omit<StoredState, 'revision'>): void {
    const malformed = (key: string): void => {
      this.log.error({ key }, 'a record is malformed');
    };
    const stale = (item: Item): void => {
      this.deps.writer.push({ changes: [{ delete: item.key }], done: () => undefined }, 'background');
    };
    for (const item of found.open) this.loadRecord(item, malformed);
    this.loadBegun(found.begun, malformed);
    for (const item of found.finished) {
      const [, id, chunk] = item.key.split('/');
      const job = this.cluster.jobs.get(id ?? '');
      const bits = readChunk(item.value);
      if (job && bits) job.markChunkDurable(Number(chunk), bits);
      else if (!job) stale(item);
    }
    for (const id of this.roster.load(found.roster, malformed)) {
      const machine = this.cluster.machines.get(id.name) ?? this.addMachine(id);
      machine.rostered = true;
    }
    this.loaded = true;
    this.cluster.dirty = true;
    this.log.info(
      { jobs: this.cluster.jobs.size, roster: this.cluster.machines.size, term: this.term },
      'state read, reaching the machines of the roster',
    );
    for (const job of this.cluster.jobs.values()) this.endings.finishIfDone(job);
  }

  private loadRecord(item: Item, malformed: (key: string) => void): void {
    if (readFinal(item.value)) {
      this.archive.add(item.key.slice(KEYS.openPrefix.length), item.value);
      return;
    }
    const record = readOpen(item.value);
    if (record) this.addJob(record.job.id, item.value);
    else malformed(item.key);
  }

  private loadBegun(pages: readonly Item[], malformed: (key: string) => void): void {
    const { jobs } = this.cluster;
    const { begun, unreadable } = this.begun.load(pages, (id) => jobs.has(id), malformed);
    for (const job of jobs.values()) {
      // What can't be read may have noted all tasks of any job.
      const inherited = unreadable ? job.spec.tasks : begun.get(job.id);
      if (inherited !== undefined) job.inherit(inherited, this.now());
    }
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
    if (!this.loaded || !this.fleet.listed || this.now() - this.startedAt < waitMs) return false;
    return this.cluster.allAccounted() && this.deps.host.surelyLeading();
  }

  // ---- jobs ----

  private addJob(id: string, value: unknown): void {
    if (this.cluster.jobs.has(id)) return;
    const record = readOpen(value);
    if (!record) return;
    const team = this.deps.teams.findIndex((t) => t.name === record.job.team);
    if (team < 0) {
      this.log.error({ job: id, team: record.job.team }, 'a job of a team that the settings lack');
      return;
    }
    const { clock } = this.deps.host;
    // It has waited since its user was answered, whoever led meanwhile.
    const ageMs = Math.max(0, clock.wall() - record.createdWall);
    const job = new Job(record.job, team, record.createdWall, clock.now() - ageMs);
    this.cluster.addJob(job);
    this.forecast.note(job.spec, record.createdWall);
    if (this.forecast.watches(job.spec.className)) this.noteQuickImage(job.spec.image);
    this.log.debug({ job: id, tasks: job.spec.tasks, class: job.spec.className }, 'job taken in');
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
      // Events come in order: after that of its end no older one of the job follows.
      if (e.deleted || readFinal(e.value)) this.cluster.over.delete(id);
      else if (!this.cluster.over.has(id)) this.addJob(id, e.value);
    }
  }

  /** All records, read anew because the watch has missed events; it goes on after this reading. */
  onStoreListed(items: readonly Item[]): void {
    const listed = new Set(items.map((item) => item.key.slice(KEYS.openPrefix.length)));
    // Ended, written and moved to the archive meanwhile.
    for (const id of this.cluster.over) if (!listed.has(id)) this.cluster.over.delete(id);
    this.onStoreEvents(items.map((item) => ({ ...item, deleted: false })));
  }

  /** Found open in the store by this node; the watch would bring it a little later. */
  created(id: string, value: unknown): void {
    if (this.loaded && !this.cluster.over.has(id) && !this.deps.host.isFinal(id)) this.addJob(id, value);
  }

  /** The job is to end, and its final record isn't known to be durable. */
  isEnding(id: string): boolean {
    return this.cluster.jobs.get(id)?.endUnconfirmed ?? false;
  }

  /** What this leader can say of a job as of now. */
  view(id: string): LeaderView {
    if (!this.loaded || !this.deps.host.surelyLeading()) return { kind: 'unknown' };
    const job = this.cluster.jobs.get(id);
    if (!job) return { kind: 'unknown' };
    if (job.endUnconfirmed && this.deps.host.endMayBeWritten(id)) return { kind: 'uncertain' };
    return { kind: 'status', status: job.status() };
  }

  /**
   * Cancels a job. The callback comes once the outcome is durable, or with null when this leadership ends before
   * that; false: the job is not known here.
   */
  cancel(id: string, settled: (status: JobStatus | null) => void): boolean {
    const job = this.cluster.jobs.get(id);
    if (!this.loaded || !job || !this.deps.host.surelyLeading()) return false;
    if (job.final !== null) {
      settled(job.status());
      return true;
    }
    job.whenFinal.push(() => {
      settled(job.final === null ? null : job.status());
    });
    if (job.ending === null) this.endings.finish(job, 'cancelled');
    return true;
  }

  // ---- machines ----

  private addMachine(id: MachineIdentity): Machine {
    const answeredBefore = Math.max(this.startedAt + this.deps.graceMs, this.answeredEarly);
    const type = this.deps.catalog.typeIndex(id.machineType);
    const zone = this.deps.zones.index(id.zone);
    return this.cluster.addMachine((index) => new Machine(index, id, type, zone, this.now(), answeredBefore));
  }

  /** A worker's own report. Returns the commands of the answer, or null if it must not be answered with 200. */
  onReport(report: Report): Command[] | null {
    if (report.token > this.term) {
      this.deps.host.superseded();
      return null;
    }
    // Until the state is read no cancellation is known: an answer would renew the lease of tasks that must be gone
    // within `cancel_s`, without stopping them. Their worker tries again a second later.
    if (!this.loaded) return null;
    const machine = this.takeReport(report, false);
    if (!machine) {
      // Answered all the same, so its lease may be renewed before its machine is known here.
      this.answeredEarly = this.now();
      return [];
    }
    if (machine.lapsing) return null;
    const commands = commandsFor(machine, this.orders.mayStartOn(machine));
    noteAnswer(machine, commands);
    return commands;
  }

  /** What a worker answered to orders or to a question. Answers still come after the end of this leadership. */
  private onDirectReport(report: Report): void {
    if (this.stopped) return;
    if (report.token > this.term) {
      this.deps.host.superseded();
      return;
    }
    // Only of machines that are still there: an answer can be older than the machine's end.
    if (this.cluster.machines.has(report.machine)) this.takeReport(report, true);
  }

  private takeReport(report: Report, direct: boolean): Machine | null {
    const now = this.now();
    const machine = this.cluster.machines.get(report.machine) ?? this.newcomer(report);
    if (!machine) return null;
    if (!isNewer(machine, report) || this.writtenOff(machine, report)) {
      // Sent before the newest message that was heard, so the lease that its answer renews counts from before that.
      if (!direct) machine.answeredAt = Math.max(machine.answeredAt, machine.heardAt);
      return machine;
    }
    this.fleet.up(report.machine);
    const { lease_s, report_s } = this.deps.settings.settings.workers;
    machine.noteContact(report, direct, this.term, now, {
      leaseMs: lease_s * 1000,
      reportMs: report_s * 1000,
    });
    this.attempts.apply(
      applyReport(machine, report, direct, { now, jobOf: (id) => this.cluster.jobs.get(id) ?? null }),
    );
    // Whatever the answer says, the lease of this worker may be renewed by it.
    if (!direct) machine.answeredAt = Math.max(machine.answeredAt, now);
    if (report.token === this.term && !machine.accounted) {
      machine.accounted = true;
      this.cluster.dirty = true;
    }
    if (!machine.rostered && !machine.rosterQueued) this.enroll(machine);
    if (this.orders.needsPush(machine)) this.cluster.toPush.add(machine);
    return machine;
  }

  /**
   * Once nothing that an earlier leader started can be on a machine, a report without our token is a copy from
   * before, or of a worker that has lost everything: it shows no task that still counts. Of a machine that was given
   * up unheard, such a copy once brought back tasks that tied their job to the wrong zone.
   */
  private writtenOff(machine: Machine, report: Report): boolean {
    return machine.accounted && report.token !== this.term;
  }

  /**
   * A machine nobody here knows. With a token from before, it is a new worker that has seen no answer of ours
   * yet, and will report again once it has; or a copy of an old report, of a machine that is gone: what holds
   * tasks is in the roster. Taken for a machine, such a copy held up work until its lease was over.
   */
  private newcomer(report: Report): Machine | null {
    if (report.token !== this.term || this.fleet.wasReturned(report.machine)) return null;
    const { machine: name, address, machineType, zone, spot } = report;
    this.log.info({ machine: name, type: machineType, zone }, 'machine up');
    this.cluster.dirty = true;
    const machine = this.addMachine({ name, address, machineType, zone, spot });
    // It came up after it had been given up: the cloud may take it back at any moment.
    machine.returning = this.fleet.isReturning(name);
    return machine;
  }

  private enroll(machine: Machine): void {
    machine.rosterQueued = true;
    this.roster.enroll(machine.id, () => {
      machine.rostered = true;
      this.cluster.dirty = true;
      this.cluster.toPush.add(machine);
    });
  }

  /** A machine that the fleet gives back takes no new tasks from that moment. */
  private markReturning(names: readonly string[]): void {
    for (const name of names) {
      const m = this.cluster.machines.get(name);
      if (m) m.returning = true;
    }
  }

  /** The machine and everything on it are gone for certain. */
  private machineGone(name: string): void {
    const machine = this.cluster.machines.get(name);
    if (!machine) return;
    this.attempts.apply(loseAll(machine));
    this.cluster.machines.delete(name);
    this.cluster.toPush.delete(machine);
    this.cluster.dirty = true;
    this.roster.remove(name);
  }

  // ---- batches ----

  /** Runs after each batch of commands: writes, a round if something changed, orders to workers. */
  afterBatch(): void {
    if (this.stopped || !this.loaded) return;
    this.endings.flush();
    this.watch.tick();
    if (this.mayPlace()) {
      this.gangs.checkOnce();
      this.rounds.run(true);
    } else if (this.mayRent()) {
      this.rounds.run(false);
    }
    this.roster.flush(this.deps.writer.backlog === 0);
    this.orders.pushDue();
    this.archive.tick();
  }
}
