import type { Logger } from '../base/log.ts';
import { Attempts } from './attempts.ts';
import type { StoredState } from './stored-state.ts';
import { Cluster } from './cluster.ts';
import type { LeaderDeps } from './context.ts';
import { Completion } from './completion.ts';
import { Gangs } from './gangs.ts';
import { CommandDispatcher } from './command-dispatcher.ts';
import { SchedulingRounds } from './scheduling-rounds.ts';
import { SchedulingSnapshots } from './scheduling-snapshots.ts';
import { MachineMonitor } from './machine-monitor.ts';
import { MachineProvisioner } from '../fleet/machine-provisioner.ts';
import { Archive } from '../jobs/archive.ts';
import { StartWatermarks } from '../jobs/start-watermarks.ts';
import { Job } from '../jobs/job.ts';
import type { LeaderLookup } from '../jobs/job-lookup.ts';
import { readChunk, readTerminal, readOpen } from '../jobs/records.ts';
import { ArrivalForecast } from '../scheduling/forecast.ts';
import { KEYS } from '../store/keys.ts';
import type { Item, WatchEvent } from '../wire/state.ts';
import type { JobStatus } from '../wire/user.ts';
import type { Command, Heartbeat } from '../wire/worker.ts';
import { Machine, type MachineIdentity } from '../workers/machine.ts';
import { applyHeartbeat, commandsFor, isNewer, releaseAll, noteResponse } from '../workers/reconcile.ts';
import { MachineRegistry } from '../workers/machine-registry.ts';

const MAX_LATENCY_SENSITIVE_IMAGES = 64;
const COUNT_KEPT_MS = 500;
const PAGE_BYTES = 4000;
/** Final records that a new leader may have to read past: a few pages of a listing. */
const TERMINAL_RECORDS_KEPT = 2000;

/** Everything one leadership knows. It starts empty and is thrown away whole when the leadership ends. */
export class Leader {
  private readonly cluster: Cluster;
  private readonly gangs: Gangs;
  private readonly startWatermarks: StartWatermarks;
  private readonly archive: Archive;
  private readonly completion: Completion;
  private readonly attempts: Attempts;
  private readonly dispatcher: CommandDispatcher;
  private readonly rounds: SchedulingRounds;
  private readonly monitor: MachineMonitor;
  private readonly registry: MachineRegistry;
  private readonly provisioner: MachineProvisioner;
  private readonly forecast: ArrivalForecast;
  private readonly latencySensitiveImages = new Set<string>();
  private recovered = false;
  private counted = { at: -Infinity, machines: 0 };
  private readonly startedAt: number;
  private lastAnswerBeforeRegistration = -Infinity;
  private stopped = false;
  private readonly log: Logger;

  constructor(private readonly deps: LeaderDeps) {
    const { host, settings, options, catalog, writer } = deps;
    this.startedAt = host.clock.now();
    this.log = host.log;
    this.cluster = new Cluster(deps.teams.length);
    const waits = settings.settings.objectives.filter((o) => o.kind === 'wait' && o.class);
    this.forecast = new ArrivalForecast(new Set(waits.map((o) => o.class!)));
    this.provisioner = new MachineProvisioner({
      clock: host.clock,
      log: this.log,
      cloud: deps.cloud,
      catalog,
      zones: deps.zones,
      options,
      term: deps.term,
      hasValidLease: () => host.hasValidLease(),
      enqueue: (command) => {
        host.enqueue(command);
      },
      pause: (ms) => host.pause(ms),
      onTerminating: (names) => {
        this.markTerminating(names);
      },
      onTerminated: (names) => {
        for (const name of names) this.onMachineTerminated(name);
      },
    });
    const views = new SchedulingSnapshots(
      {
        cluster: this.cluster,
        provisioner: this.provisioner,
        forecast: this.forecast,
        latencySensitiveImages: this.latencySensitiveImages,
      },
      deps,
    );
    this.gangs = new Gangs(this.cluster, this.log);
    const pageBytes = Math.min(PAGE_BYTES, settings.settings.state.value_kb * 900);
    const enqueue = (command: () => void): void => {
      host.enqueue(command);
    };
    this.startWatermarks = new StartWatermarks({
      pageBytes,
      enqueueWrite: (job) => {
        writer.enqueue(job, 'starts');
      },
      enqueue,
    });
    this.archive = new Archive({
      keep: TERMINAL_RECORDS_KEPT,
      txnOps: settings.settings.state.txn_ops,
      idle: () => writer.idle,
      enqueueWrite: (job) => {
        writer.enqueue(job, 'background');
      },
      enqueue,
    });
    this.completion = new Completion(this.cluster, this.startWatermarks, this.archive, deps);
    this.attempts = new Attempts(this.cluster, this.gangs, this.completion, this.startWatermarks, deps);
    this.dispatcher = new CommandDispatcher(this.cluster, deps, (report) => {
      this.onDirectResponse(report);
    });
    this.rounds = new SchedulingRounds(this.cluster, this.provisioner, views, this.attempts, deps);
    this.monitor = new MachineMonitor(
      this.cluster,
      this.provisioner,
      this.attempts,
      this.dispatcher,
      deps,
      this.startedAt,
      (a, reason) => {
        this.rounds.stopGracefully(a, reason);
      },
    );
    this.registry = new MachineRegistry({
      pageBytes,
      enqueueWrite: (job, urgent) => {
        writer.enqueue(job, urgent ? 'starts' : 'background');
      },
      enqueue,
    });
  }

  get term(): number {
    return this.deps.term;
  }

  /** Machines that are up as far as is known, heard or not; null until the state is read. */
  get machineCount(): number | null {
    if (!this.recovered) return null;
    const now = this.now();
    // Asked with each report, and counted now and then.
    if (now - this.counted.at > COUNT_KEPT_MS)
      this.counted = { at: now, machines: this.cluster.machines.size + this.provisioner.runningUnregistered };
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
      for (const settled of job.onTerminal.splice(0)) settled();
    }
  }

  private now(): number {
    return this.deps.host.clock.now();
  }

  // ---- taking over ----

  /** Takes over what the state service holds. */
  recover(found: Omit<StoredState, 'revision'>): void {
    const malformed = (key: string): void => {
      this.log.error({ key }, 'a record is malformed');
    };
    const stale = (item: Item): void => {
      this.deps.writer.enqueue(
        { kind: 'ready', mutations: [{ delete: item.key }], done: () => undefined },
        'background',
      );
    };
    for (const item of found.open) this.recoverRecord(item, malformed);
    this.recoverStartWatermarks(found.startWatermarks, malformed);
    for (const item of found.completions) {
      const [, id, chunk] = item.key.split('/');
      const job = this.cluster.jobs.get(id ?? '');
      const bits = readChunk(item.value);
      if (job && bits) job.markChunkDurable(Number(chunk), bits);
      else if (!job) stale(item);
    }
    for (const id of this.registry.restore(found.machineRegistry, malformed)) {
      const machine = this.cluster.machines.get(id.name) ?? this.addMachine(id);
      machine.registered = true;
    }
    this.recovered = true;
    this.cluster.dirty = true;
    this.log.info(
      { jobs: this.cluster.jobs.size, roster: this.cluster.machines.size, term: this.term },
      'state read, reaching the machines of the roster',
    );
    for (const job of this.cluster.jobs.values()) this.completion.finishIfDone(job);
  }

  private recoverRecord(item: Item, malformed: (key: string) => void): void {
    if (readTerminal(item.value)) {
      this.archive.add(item.key.slice(KEYS.openPrefix.length), item.value);
      return;
    }
    const record = readOpen(item.value);
    if (record) this.addJob(record.job.id, item.value);
    else malformed(item.key);
  }

  private recoverStartWatermarks(pages: readonly Item[], malformed: (key: string) => void): void {
    const { jobs } = this.cluster;
    const { watermarks, unreadable } = this.startWatermarks.restore(pages, (id) => jobs.has(id), malformed);
    for (const job of jobs.values()) {
      // What can't be read may have noted all tasks of any job.
      const inherited = unreadable ? job.spec.tasks : watermarks.get(job.id);
      if (inherited !== undefined) job.restore(inherited, this.now());
    }
  }

  private mayPlace(): boolean {
    return (
      this.recovered &&
      this.now() - this.startedAt >= this.deps.options.scheduling.takeover_wait_s * 1000 &&
      this.deps.host.hasValidLease()
    );
  }

  /**
   * Renting needs no wait for what may still run: it starts once all that exists is known, so that machines
   * boot while the new leader waits before it places.
   */
  private mayRent(): boolean {
    const waitMs = this.deps.options.fleet.takeover_rent_s * 1000;
    if (!this.recovered || !this.provisioner.listed || this.now() - this.startedAt < waitMs) return false;
    return this.cluster.allReconciled() && this.deps.host.hasValidLease();
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
    if (this.forecast.watches(job.spec.className)) this.noteLatencySensitiveImage(job.spec.image);
    this.log.debug({ job: id, tasks: job.spec.tasks, class: job.spec.className }, 'job taken in');
  }

  /** The images used lately by classes that must start soon; the oldest is dropped. */
  private noteLatencySensitiveImage(image: string): void {
    this.latencySensitiveImages.delete(image);
    this.latencySensitiveImages.add(image);
    const oldest = this.latencySensitiveImages.values().next();
    if (this.latencySensitiveImages.size > MAX_LATENCY_SENSITIVE_IMAGES && !oldest.done)
      this.latencySensitiveImages.delete(oldest.value);
  }

  onStoreEvents(events: readonly WatchEvent[]): void {
    for (const e of events) {
      const id = e.key.slice(KEYS.openPrefix.length);
      // Events come in order: after that of its end no older one of the job follows.
      if (e.deleted || readTerminal(e.value)) this.cluster.completedJobs.delete(id);
      else if (!this.cluster.completedJobs.has(id)) this.addJob(id, e.value);
    }
  }

  /** All records, read anew because the watch has missed events; it goes on after this reading. */
  onStoreListed(items: readonly Item[]): void {
    const listed = new Set(items.map((item) => item.key.slice(KEYS.openPrefix.length)));
    // Ended, written and moved to the archive meanwhile.
    for (const id of this.cluster.completedJobs) if (!listed.has(id)) this.cluster.completedJobs.delete(id);
    this.onStoreEvents(items.map((item) => ({ ...item, deleted: false })));
  }

  /** Found open in the store by this node; the watch would bring it a little later. */
  observeOpenRecord(id: string, value: unknown): void {
    if (this.recovered && !this.cluster.completedJobs.has(id) && !this.deps.host.isTerminal(id))
      this.addJob(id, value);
  }

  /** The job is to end, and its final record isn't known to be durable. */
  isOutcomeUnconfirmed(id: string): boolean {
    return this.cluster.jobs.get(id)?.outcomeUnconfirmed ?? false;
  }

  /** What this leader can say of a job as of now. */
  lookup(id: string): LeaderLookup {
    if (!this.recovered || !this.deps.host.hasValidLease()) return { kind: 'unknown' };
    const job = this.cluster.jobs.get(id);
    if (!job) return { kind: 'unknown' };
    if (job.outcomeUnconfirmed && this.deps.host.outcomeMayBeWritten(id)) return { kind: 'uncertain' };
    return { kind: 'status', status: job.status() };
  }

  /**
   * Cancels a job. The callback comes once the outcome is durable, or with null when this leadership ends before
   * that; false: the job is not known here.
   */
  cancel(id: string, settled: (status: JobStatus | null) => void): boolean {
    const job = this.cluster.jobs.get(id);
    if (!this.recovered || !job || !this.deps.host.hasValidLease()) return false;
    if (job.terminalState !== null) {
      settled(job.status());
      return true;
    }
    job.onTerminal.push(() => {
      settled(job.terminalState === null ? null : job.status());
    });
    if (job.pendingOutcome === null) this.completion.finish(job, 'cancelled');
    return true;
  }

  // ---- machines ----

  private addMachine(id: MachineIdentity): Machine {
    const answeredBefore = Math.max(
      this.startedAt + this.deps.heartbeatGraceMs,
      this.lastAnswerBeforeRegistration,
    );
    const type = this.deps.catalog.typeIndex(id.machineType);
    const zone = this.deps.zones.index(id.zone);
    return this.cluster.addMachine((index) => new Machine(index, id, type, zone, this.now(), answeredBefore));
  }

  /** A worker's own report. Returns the commands of the answer, or null if it must not be answered with 200. */
  onHeartbeat(report: Heartbeat): Command[] | null {
    if (report.fencingToken > this.term) {
      this.deps.host.superseded();
      return null;
    }
    // Until the state is read no cancellation is known: an answer would renew the lease of tasks that must be gone
    // within `cancel_s`, without stopping them. Their worker tries again a second later.
    if (!this.recovered) return null;
    const machine = this.applyMessage(report, false);
    if (!machine) {
      // Answered all the same, so its lease may be renewed before its machine is known here.
      this.lastAnswerBeforeRegistration = this.now();
      return [];
    }
    if (machine.awaitingLeaseExpiry) return null;
    const commands = commandsFor(machine, this.dispatcher.mayStartOn(machine));
    noteResponse(machine, commands);
    return commands;
  }

  /** What a worker answered to orders or to a question. Answers still come after the end of this leadership. */
  private onDirectResponse(report: Heartbeat): void {
    if (this.stopped) return;
    if (report.fencingToken > this.term) {
      this.deps.host.superseded();
      return;
    }
    // Only of machines that are still there: an answer can be older than the machine's end.
    if (this.cluster.machines.has(report.machine)) this.applyMessage(report, true);
  }

  private applyMessage(report: Heartbeat, direct: boolean): Machine | null {
    const now = this.now();
    const machine = this.cluster.machines.get(report.machine) ?? this.admitNewMachine(report);
    if (!machine) return null;
    if (!isNewer(machine, report) || this.isStale(machine, report)) {
      // Sent before the newest message that was heard, so the lease that its answer renews counts from before that.
      if (!direct) machine.leaseRenewedBefore = Math.max(machine.leaseRenewedBefore, machine.lastMessageAt);
      return machine;
    }
    this.provisioner.onMachineUp(report.machine);
    const { lease_s, report_s } = this.deps.settings.settings.workers;
    machine.noteContact(report, direct, this.term, now, {
      leaseMs: lease_s * 1000,
      reportMs: report_s * 1000,
    });
    this.attempts.apply(
      applyHeartbeat(machine, report, direct, { now, jobOf: (id) => this.cluster.jobs.get(id) ?? null }),
    );
    // Whatever the answer says, the lease of this worker may be renewed by it.
    if (!direct) machine.leaseRenewedBefore = Math.max(machine.leaseRenewedBefore, now);
    if (report.fencingToken === this.term && !machine.reconciled) {
      machine.reconciled = true;
      this.cluster.dirty = true;
    }
    if (!machine.registered && !machine.registrationQueued) this.register(machine);
    if (this.dispatcher.hasDueCommands(machine)) this.cluster.commandsDue.add(machine);
    return machine;
  }

  /**
   * Once nothing that an earlier leader started can be on a machine, a report without our token is a copy from
   * before, or of a worker that has lost everything: it shows no task that still counts. Of a machine that was given
   * up unheard, such a copy once brought back tasks that tied their job to the wrong zone.
   */
  private isStale(machine: Machine, report: Heartbeat): boolean {
    return machine.reconciled && report.fencingToken !== this.term;
  }

  /**
   * A machine nobody here knows. With a token from before, it is a new worker that has seen no answer of ours
   * yet, and will report again once it has; or a copy of an old report, of a machine that is gone: what holds
   * tasks is in the roster. Taken for a machine, such a copy held up work until its lease was over.
   */
  private admitNewMachine(report: Heartbeat): Machine | null {
    if (report.fencingToken !== this.term || this.provisioner.wasTerminated(report.machine)) return null;
    const { machine: name, address, machineType, zone, spot } = report;
    this.log.info({ machine: name, type: machineType, zone }, 'machine up');
    this.cluster.dirty = true;
    const machine = this.addMachine({ name, address, machineType, zone, spot });
    // It came up after it had been given up: the cloud may take it back at any moment.
    machine.terminating = this.provisioner.isTerminating(name);
    return machine;
  }

  private register(machine: Machine): void {
    machine.registrationQueued = true;
    this.registry.register(machine.id, () => {
      machine.registered = true;
      this.cluster.dirty = true;
      this.cluster.commandsDue.add(machine);
    });
  }

  /** A machine that the fleet gives back takes no new tasks from that moment. */
  private markTerminating(names: readonly string[]): void {
    for (const name of names) {
      const m = this.cluster.machines.get(name);
      if (m) m.terminating = true;
    }
  }

  /** The machine and everything on it are gone for certain. */
  private onMachineTerminated(name: string): void {
    const machine = this.cluster.machines.get(name);
    if (!machine) return;
    this.attempts.apply(releaseAll(machine));
    this.cluster.machines.delete(name);
    this.cluster.commandsDue.delete(machine);
    this.cluster.dirty = true;
    this.registry.remove(name);
  }

  // ---- batches ----

  /** Runs after each batch of commands: writes, a round if something changed, orders to workers. */
  afterBatch(): void {
    if (this.stopped || !this.recovered) return;
    this.completion.flush();
    this.monitor.tick();
    if (this.mayPlace()) {
      this.gangs.checkOnce();
      this.rounds.run(true);
    } else if (this.mayRent()) {
      this.rounds.run(false);
    }
    this.registry.flush(this.deps.writer.backlog === 0);
    this.dispatcher.dispatchDue();
    this.archive.tick();
  }
}
