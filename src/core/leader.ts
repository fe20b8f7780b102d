import type { Logger } from './log.ts';
import { Attempts } from './attempts.ts';
import { Cluster } from './cluster.ts';
import type { LeaderDeps } from './context.ts';
import { Endings } from './endings.ts';
import { Gangs } from './gangs.ts';
import { Orders } from './orders.ts';
import { Rounds } from './rounds.ts';
import { Views } from './views.ts';
import { Watch } from './watch.ts';
import { Fleet } from '../fleet/fleet.ts';
import { Job } from '../jobs/job.ts';
import { readBegun, readChunk, readOpen } from '../jobs/records.ts';
import { ArrivalForecast } from '../scheduling/forecast.ts';
import { KEYS } from '../store/keys.ts';
import type { Item, WatchEvent } from '../wire/state.ts';
import type { JobStatus } from '../wire/user.ts';
import type { Command, Report } from '../wire/worker.ts';
import { Machine, type MachineIdentity } from '../workers/machine.ts';
import { applyReport, commandsFor, isNewer, loseAll } from '../workers/reconcile.ts';
import { Roster } from '../workers/roster.ts';

const QUICK_IMAGES = 64;
const ROSTER_PAGE_BYTES = 4000;

/** Everything one leadership knows. It starts empty and is thrown away whole when the leadership ends. */
export class Leader {
  private readonly cluster: Cluster;
  private readonly gangs: Gangs;
  private readonly endings: Endings;
  private readonly attempts: Attempts;
  private readonly orders: Orders;
  private readonly rounds: Rounds;
  private readonly watch: Watch;
  private readonly roster: Roster;
  private readonly fleet: Fleet;
  private readonly forecast: ArrivalForecast;
  private readonly quickImages = new Set<string>();
  private loaded = false;
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
    const views = new Views(
      { cluster: this.cluster, fleet: this.fleet, forecast: this.forecast, quickImages: this.quickImages },
      deps,
    );
    this.gangs = new Gangs(this.cluster, this.log);
    this.endings = new Endings(this.cluster, deps);
    this.attempts = new Attempts(this.cluster, this.gangs, this.endings, deps);
    this.orders = new Orders(this.cluster, deps, (report) => {
      // Only of machines that are still there: an answer can be older than the machine's end.
      if (!this.stopped && this.cluster.machines.has(report.machine)) this.takeReport(report, true);
    });
    this.rounds = new Rounds(this.cluster, this.fleet, views, this.attempts, deps);
    this.watch = new Watch(
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
    this.roster = new Roster({
      pageBytes: Math.min(ROSTER_PAGE_BYTES, settings.settings.state.value_kb * 900),
      push: (job, urgent) => {
        writer.push(job, urgent);
      },
      post: (command) => {
        host.post(command);
      },
    });
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

  load(found: {
    open: readonly Item[];
    finished: readonly Item[];
    begun: readonly Item[];
    roster: readonly Item[];
  }): void {
    const malformed = (key: string): void => {
      this.log.error({ key }, 'a record is malformed');
    };
    const stale = (item: Item): void => {
      this.deps.writer.push({ changes: [{ delete: item.key }], done: () => undefined }, false);
    };
    for (const item of found.open) {
      const record = readOpen(item.value);
      if (record) this.addJob(record.job.id, item.value);
      else malformed(item.key);
    }
    for (const item of found.begun) {
      const job = this.cluster.jobs.get(item.key.slice(KEYS.begunPrefix.length));
      // What can't be read is taken for all of the job.
      if (job) job.inherit(readBegun(item.value) ?? job.spec.tasks, this.now());
      else stale(item);
    }
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
      if (e.deleted) this.cluster.over.delete(id);
      else if (!this.cluster.over.has(id)) this.addJob(id, e.value);
    }
  }

  /** Found open in the store by this node; the watch would bring it a little later. */
  created(id: string, value: unknown): void {
    if (this.loaded && !this.cluster.over.has(id) && !this.deps.host.isFinal(id)) this.addJob(id, value);
  }

  /** The state of a job as of now, or null if this leader doesn't know it. */
  status(id: string): JobStatus | null {
    if (!this.loaded || !this.deps.host.surelyLeading()) return null;
    return this.cluster.jobs.get(id)?.status() ?? null;
  }

  /** Cancels a job. The callback comes once the outcome is durable; false: the job is not known here. */
  cancel(id: string, settled: (status: JobStatus) => void): boolean {
    const job = this.cluster.jobs.get(id);
    if (!this.loaded || !job || !this.deps.host.surelyLeading()) return false;
    job.whenFinal.push(() => {
      settled(job.status());
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
    // It doesn't know yet what was cancelled: an answer without commands would renew the lease of such tasks.
    if (!this.loaded) return null;
    const machine = this.takeReport(report, false);
    if (!machine) {
      // Answered all the same, so its lease may be renewed before its machine is known here.
      this.answeredEarly = this.now();
      return [];
    }
    return commandsFor(machine, this.orders.mayStartOn(machine));
  }

  private takeReport(report: Report, direct: boolean): Machine | null {
    const now = this.now();
    const machine = this.cluster.machines.get(report.machine) ?? this.newcomer(report);
    if (!machine) return null;
    if (!isNewer(machine, report)) {
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
   * A machine nobody here knows. With a token from before, it is a new worker that has seen no answer of ours
   * yet, and will report again once it has; or a copy of an old report, of a machine that is gone: what holds
   * tasks is in the roster. Taken for a machine, such a copy held up work until its lease was over.
   */
  private newcomer(report: Report): Machine | null {
    if (report.token !== this.term || this.fleet.wasReturned(report.machine)) return null;
    const { machine: name, address, machineType, zone, spot } = report;
    this.log.info({ machine: name, type: machineType, zone }, 'machine up');
    this.cluster.dirty = true;
    return this.addMachine({ name, address, machineType, zone, spot });
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
  }
}
