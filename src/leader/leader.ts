/** One leadership: it owns the parts that do its work, and runs the batch loop that drives them. */
import { MachineProvisioner } from '../fleet/machine-provisioner.ts';
import { Archive } from '../jobs/archive.ts';
import type { LeaderLookup } from '../jobs/job-lookup.ts';
import { StartWatermarks } from '../jobs/start-watermarks.ts';
import type { Item, WatchEvent } from '../wire/state.ts';
import type { JobStatus } from '../wire/user.ts';
import type { Heartbeat } from '../wire/worker.ts';
import { MachineRegistry } from '../workers/machine-registry.ts';
import { Arrivals } from './arrivals.ts';
import { Attempts } from './attempts.ts';
import { Cluster } from './cluster.ts';
import { CommandDispatcher } from './command-dispatcher.ts';
import { Completion } from './completion.ts';
import type { LeaderDeps } from './context.ts';
import { Gangs } from './gangs.ts';
import { HeartbeatIntake, type HeartbeatAnswer } from './heartbeat-intake.ts';
import { JobControl } from './job-control.ts';
import { JobRegistry } from './job-registry.ts';
import { MachineMembership } from './machine-membership.ts';
import { MachineMonitor } from './machine-monitor.ts';
import { SchedulingRounds } from './scheduling-rounds.ts';
import { SchedulingSnapshots } from './scheduling-snapshots.ts';
import { StateRecovery } from './state-recovery.ts';
import { TokenReservation } from './token-reservation.ts';
import type { StoredRecords } from './stored-state.ts';

/** Size in bytes of a stored page, by default: of start watermarks, and of the machine registry. */
const PAGE_BYTES = 4000;
/** Bytes of a page for each kilobyte that a stored value may have (`value_kb`): a tenth is left for its envelope. */
const PAGE_BYTES_PER_VALUE_KB = 900;
/** Terminal records that a new leader may have to read besides the open jobs: a few pages of a listing. */
const MAX_UNARCHIVED_RECORDS = 2000;

/** Everything one leadership knows. It starts empty and is discarded as a whole when the leadership ends. */
export class Leader {
  private readonly leaderSince: number;
  private readonly pageBytes: number;
  private stopped = false;

  private readonly cluster: Cluster;
  private readonly arrivals: Arrivals;
  private readonly provisioner: MachineProvisioner;
  private readonly gangs: Gangs;
  private readonly startWatermarks: StartWatermarks;
  private readonly archive: Archive;
  private readonly completion: Completion;
  private readonly attempts: Attempts;
  private readonly dispatcher: CommandDispatcher;
  private readonly rounds: SchedulingRounds;
  private readonly monitor: MachineMonitor;
  private readonly registry: MachineRegistry;
  private readonly membership: MachineMembership;
  private readonly heartbeats: HeartbeatIntake;
  private readonly jobs: JobRegistry;
  private readonly jobControl: JobControl;
  private readonly recovery: StateRecovery;

  constructor(private readonly deps: LeaderDeps) {
    const { host, settings } = deps;
    this.leaderSince = host.clock.now();
    this.pageBytes = Math.min(PAGE_BYTES, settings.settings.state.value_kb * PAGE_BYTES_PER_VALUE_KB);
    this.cluster = new Cluster(deps.teams.length);
    this.arrivals = new Arrivals(settings.settings);
    this.provisioner = this.createProvisioner();
    const snapshots = new SchedulingSnapshots(
      {
        cluster: this.cluster,
        provisioner: this.provisioner,
        forecast: this.arrivals.forecast,
        latencySensitiveImages: this.arrivals.latencySensitiveImages,
      },
      deps,
    );
    this.gangs = new Gangs(this.cluster, host.log);
    this.startWatermarks = this.createStartWatermarks();
    this.archive = this.createArchive();
    this.completion = new Completion(this.cluster, this.startWatermarks, this.archive, deps);
    this.attempts = new Attempts({
      ...deps,
      cluster: this.cluster,
      gangs: this.gangs,
      completion: this.completion,
      startWatermarks: this.startWatermarks,
    });
    this.dispatcher = new CommandDispatcher(this.cluster, deps, (heartbeat, request) => {
      // Answers still arrive after the end of this leadership.
      if (!this.stopped) this.heartbeats.onDirectResponse(heartbeat, request);
    });
    this.rounds = new SchedulingRounds(this.cluster, this.provisioner, snapshots, this.attempts, deps);
    this.monitor = new MachineMonitor({
      ...deps,
      cluster: this.cluster,
      provisioner: this.provisioner,
      attempts: this.attempts,
      dispatcher: this.dispatcher,
      leaderSince: this.leaderSince,
      stopGracefully: (attempt, reason) => {
        this.rounds.stopGracefully(attempt, reason);
      },
    });
    this.registry = this.createRegistry();
    this.membership = new MachineMembership(
      {
        cluster: this.cluster,
        provisioner: this.provisioner,
        attempts: this.attempts,
        registry: this.registry,
      },
      deps,
      this.leaderSince,
    );
    this.heartbeats = new HeartbeatIntake(
      {
        cluster: this.cluster,
        provisioner: this.provisioner,
        attempts: this.attempts,
        dispatcher: this.dispatcher,
        membership: this.membership,
        tokenReservation: new TokenReservation(deps),
      },
      deps,
    );
    this.jobs = new JobRegistry(this.cluster, this.arrivals, deps);
    this.jobControl = new JobControl(this.cluster, this.completion, host);
    this.recovery = new StateRecovery(
      {
        cluster: this.cluster,
        jobs: this.jobs,
        archive: this.archive,
        startWatermarks: this.startWatermarks,
        completion: this.completion,
        registry: this.registry,
        membership: this.membership,
      },
      deps,
    );
  }

  private createProvisioner(): MachineProvisioner {
    const { host, cloud, catalog, zones, options, term } = this.deps;
    return new MachineProvisioner({
      clock: host.clock,
      log: host.log,
      cloud,
      catalog,
      zones,
      options,
      term,
      hasValidLease: () => host.hasValidLease(),
      enqueue: this.enqueue,
      pause: (ms) => host.pause(ms),
      onTerminating: (names) => {
        this.membership.markTerminating(names);
      },
      onTerminated: (names) => {
        for (const name of names) this.membership.onTerminated(name);
      },
    });
  }

  private createStartWatermarks(): StartWatermarks {
    const { writer } = this.deps;
    return new StartWatermarks({
      pageBytes: this.pageBytes,
      enqueueWrite: (write) => {
        writer.enqueue(write, 'starts');
      },
      enqueue: this.enqueue,
    });
  }

  private createArchive(): Archive {
    const { writer, settings } = this.deps;
    return new Archive({
      maxUnarchived: MAX_UNARCHIVED_RECORDS,
      maxMutations: settings.settings.state.txn_ops,
      isWriterIdle: () => writer.idle,
      enqueueWrite: (write) => {
        writer.enqueue(write, 'background');
      },
      enqueue: this.enqueue,
    });
  }

  private createRegistry(): MachineRegistry {
    const { writer } = this.deps;
    return new MachineRegistry({
      pageBytes: this.pageBytes,
      enqueueWrite: (write, urgent) => {
        writer.enqueue(write, urgent ? 'starts' : 'background');
      },
      enqueue: this.enqueue,
    });
  }

  private readonly enqueue = (command: () => void): void => {
    this.deps.host.enqueue(command);
  };

  /** The election term of this leadership. */
  get term(): number {
    return this.deps.term;
  }

  /**
   * Machines that run as far as is known, whether or not they have sent a heartbeat to this leader; null before the
   * state is recovered.
   */
  get machineCount(): number | null {
    return this.cluster.recovered ? this.membership.count() : null;
  }

  /** Ends the leadership: nothing is written or sent any more, and callbacks that wait for an outcome are called. */
  stop(): void {
    this.stopped = true;
    this.deps.writer.stop();
    this.jobControl.releaseWaiting();
  }

  /** Restores the state that earlier leaders and submissions stored. */
  recover(records: StoredRecords): void {
    this.recovery.recover(records);
  }

  /** Applies the changes of job records that the watch reports, in order. */
  onStoreEvents(events: readonly WatchEvent[]): void {
    this.jobs.onStoreEvents(events);
  }

  /**
   * Applies a new listing of all job records, made because the watch has missed events; it continues after this one.
   */
  onStoreListed(items: readonly Item[]): void {
    this.jobs.onStoreListed(items);
  }

  /** Adds the job of a record that this node has read as open, before the watch reports the record. */
  observeOpenRecord(id: string, value: unknown): void {
    this.jobs.observeOpenRecord(id, value);
  }

  /** The job has a pending outcome, and its terminal record isn't known to be durable. */
  isOutcomeUnconfirmed(id: string): boolean {
    return this.jobControl.isOutcomeUnconfirmed(id);
  }

  /** What this leader can say of a job as of now. */
  lookup(id: string): LeaderLookup {
    return this.jobControl.lookup(id);
  }

  /**
   * Cancels a job. Calls back once the outcome is durable, or with null when this leadership ends before that.
   * Returns false if the job is not known here; the callback is not called then.
   */
  cancel(id: string, onOutcome: (status: JobStatus | null) => void): boolean {
    return this.jobControl.cancel(id, onOutcome);
  }

  /** A worker's own heartbeat. Returns the answer, or null if it must not be answered with 200. */
  onHeartbeat(heartbeat: Heartbeat): HeartbeatAnswer | null {
    return this.heartbeats.onHeartbeat(heartbeat);
  }

  /** Runs after each batch of commands: writes, a round if something changed, commands to workers. */
  afterBatch(): void {
    if (this.stopped || !this.cluster.recovered) return;
    this.completion.flush();
    this.monitor.tick();
    if (this.canPlace()) {
      this.gangs.endIncompleteRuns();
      this.rounds.run(true);
    } else if (this.canProvision()) {
      this.rounds.run(false);
    }
    this.registry.flush(this.deps.writer.backlog === 0);
    this.dispatcher.dispatchDue();
    this.archive.tick();
  }

  private msSinceStart(): number {
    return this.deps.host.clock.now() - this.leaderSince;
  }

  /** Placing waits until the workers have had time to show what they run (`takeover_wait_s`). */
  private canPlace(): boolean {
    const waitMs = this.deps.options.scheduling.takeover_wait_s * 1000;
    return this.cluster.recovered && this.msSinceStart() >= waitMs && this.deps.host.hasValidLease();
  }

  /**
   * Scaling out begins before placing: once the cloud's machine list is read, all machines are reconciled and
   * `takeover_rent_s` has passed. So machines boot while the new leader waits before it places.
   */
  private canProvision(): boolean {
    const waitMs = this.deps.options.fleet.takeover_rent_s * 1000;
    if (!this.cluster.recovered || !this.provisioner.hasListedMachines || this.msSinceStart() < waitMs)
      return false;
    return this.cluster.allReconciled() && this.deps.host.hasValidLease();
  }
}
