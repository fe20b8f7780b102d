/** Monitors machines for expired leases, workers that don't respond, partitions and interruption notices. */
import { MIN_BUSY_LAG_MS } from '../base/event-loop-lag.ts';
import type { MachineProvisioner } from '../fleet/machine-provisioner.ts';
import {
  isStartInDoubtOverdue,
  mustAwaitLeaseExpiry,
  mustCheckpointNow,
  type CancellationTimes,
} from '../workers/attempt-deadlines.ts';
import type { Attempt } from '../workers/attempt.ts';
import { assessMachineHealth } from '../workers/failure-attribution.ts';
import {
  hasLeaseExpired,
  detectLivenessFailure,
  needsProbe,
  computeSilenceMs,
  type LivenessContext,
} from '../workers/liveness.ts';
import type { Machine } from '../workers/machine.ts';
import {
  hasLostNearlyAll,
  MIN_MISSING_MACHINES,
  surveyMachines,
  decideZoneTransition,
  type Survey,
} from '../workers/reachability.ts';
import { releaseAll } from '../workers/reconcile.ts';
import type { Attempts } from './attempts.ts';
import type { Cluster } from './cluster.ts';
import type { CommandDispatcher } from './command-dispatcher.ts';
import type { LeaderDeps } from './context.ts';

const CHECK_INTERVAL_MS = 400;
/** Time between two checks from which on the process counts as paused. */
const PROCESS_PAUSED_MS = 5000;
/**
 * How long after the start of a leadership the unreconciled machines are contacted. Most workers find the new leader by
 * themselves before that, within about a heartbeat interval.
 */
const LEADER_DISCOVERY_MS = 4000;
/**
 * Heartbeat intervals after which a heartbeat is overdue. A worker that was answered shows our token with its next
 * heartbeat, and is contacted only if that one is overdue: contacting hundreds of workers earlier costs a new leader
 * seconds, in which it leaves other workers without an answer.
 */
const OVERDUE_INTERVALS = 1.3;
/** Heartbeat intervals without a heartbeat sent to this controller itself, after which it may be cut off. */
const NO_DIRECT_HEARTBEAT_INTERVALS = 2;
/**
 * Heartbeat intervals without a heartbeat sent to this controller itself, and without the answer of any worker to it,
 * after which the silence of a machine alone does not show that the machine has failed.
 */
const NO_CONTACT_INTERVALS = 1;

/** Why a machine is terminated. */
type TerminationReason = 'unresponsive' | 'unacknowledged' | 'faulty' | 'startInDoubt';

/** What the monitor checks, and the parts through which it acts. */
export interface MachineMonitorDeps extends Pick<LeaderDeps, 'host' | 'settings' | 'options' | 'zones'> {
  cluster: Cluster;
  provisioner: MachineProvisioner;
  attempts: Attempts;
  dispatcher: CommandDispatcher;
  /** Start of the leadership, in milliseconds on the steady clock. */
  leaderSince: number;
  /** Stops a task so that it can save a checkpoint. */
  stopGracefully(attempt: Attempt, reason: string): void;
}

/** What the check of a machine depends on: the bounds in force and the state of this controller. */
interface CheckContext extends LivenessContext {
  cancellation: CancellationTimes;
  /** This controller can't keep up with heartbeats, so it can't tell which machines are silent. */
  overloaded: boolean;
  /** This controller seems to be cut off from the workers itself. */
  isolated: boolean;
  /** No worker has been in contact with this controller itself lately, so it may be cut off. */
  withoutContact: boolean;
}

/**
 * Checks all machines at intervals. Functions in `workers/` decide by state and time, without I/O; one of them,
 * `mustAwaitLeaseExpiry`, records on an attempt when the attempt was first found to be unwanted.
 */
export class MachineMonitor {
  private lastCheckAt = -Infinity;
  /** Silence before this time does not count: the process was paused, or this controller was not the leader yet. */
  private listeningSince: number;

  constructor(private readonly deps: MachineMonitorDeps) {
    this.listeningSince = deps.leaderSince;
  }

  private get heartbeatIntervalMs(): number {
    return this.deps.settings.settings.workers.report_s * 1000;
  }

  private get cancellation(): CancellationTimes {
    const { cancel_s, lease_s } = this.deps.settings.settings.workers;
    return { cancelMs: cancel_s * 1000, leaseMs: lease_s * 1000 };
  }

  /** Checks all machines if the last check is long enough ago. */
  tick(): void {
    const { cluster, provisioner, host } = this.deps;
    const now = host.clock.now();
    if (now - this.lastCheckAt < CHECK_INTERVAL_MS) return;
    if (now - this.lastCheckAt > PROCESS_PAUSED_MS && this.lastCheckAt !== -Infinity)
      this.resumeAfterPause(now);
    this.lastCheckAt = now;
    const liveness = this.livenessContext(now);
    const survey = surveyMachines(cluster.machines.values(), liveness);
    const overloaded = host.lagMs() > MIN_BUSY_LAG_MS;
    this.updateZones(survey, overloaded);
    const isolated = !overloaded && (hasLostNearlyAll(survey) || this.reachesNoWorker());
    if (isolated) host.onAllWorkersLost();
    const withoutContact = this.isWithoutContact(now);
    const context = { ...liveness, cancellation: this.cancellation, overloaded, isolated, withoutContact };
    for (const machine of [...cluster.machines.values()]) {
      this.checkMachine(machine, context);
      for (const attempt of machine.attempts.values()) this.checkAttempt(attempt, context);
    }
    this.probeUnreconciled(now);
    provisioner.tick(overloaded);
    provisioner.reconcileMachineList(cluster.machines);
  }

  private livenessContext(now: number): LivenessContext {
    const { heartbeatIntervalMs, listeningSince } = this;
    const unresponsiveAfterMs = heartbeatIntervalMs * this.deps.options.workers.silent_reports;
    return { now, listeningSince, heartbeatIntervalMs, unresponsiveAfterMs };
  }

  /**
   * A leader that is cut off from the workers still receives the heartbeats that followers relay, and learns of the
   * partition only from unanswered requests. Without this check, each machine that it sends a command to looks as if it
   * received nothing, and is terminated, one after the other.
   */
  private reachesNoWorker(): boolean {
    const { host, dispatcher } = this.deps;
    const noHeartbeats =
      host.directHeartbeatAgeMs() > this.heartbeatIntervalMs * NO_DIRECT_HEARTBEAT_INTERVALS;
    return noHeartbeats && dispatcher.unansweredCount >= MIN_MISSING_MACHINES;
  }

  private isWithoutContact(now: number): boolean {
    const { host, dispatcher } = this.deps;
    const maxAgeMs = this.heartbeatIntervalMs * NO_CONTACT_INTERVALS;
    return host.directHeartbeatAgeMs() > maxAgeMs && now - dispatcher.lastAnswerAt > maxAgeMs;
  }

  /**
   * After a pause of the process all machines look silent at once, and all that were booting look as if they never came
   * up. A leader that keeps its lease through an outage, or does not know yet that its leadership is over, must not
   * terminate them for that reason.
   */
  private resumeAfterPause(now: number): void {
    this.listeningSince = now;
    this.deps.provisioner.extendBootGrace();
    this.deps.host.log.info({ pausedMs: Math.round(now - this.lastCheckAt) }, 'process paused');
  }

  /**
   * No zone becomes unreachable while this controller is overloaded, as it can't tell then which machines are missing.
   */
  private updateZones(survey: Survey, overloaded: boolean): void {
    const { cluster, host, zones } = this.deps;
    for (const [zone, zoneSurvey] of survey.zones) {
      const { total } = zoneSurvey;
      const missing = overloaded ? 0 : zoneSurvey.missing;
      switch (decideZoneTransition({ ...zoneSurvey, missing }, cluster.unreachableZones.has(zone))) {
        case 'becameUnreachable':
          cluster.unreachableZones.add(zone);
          host.log.info({ zone: zones.name(zone), missing, total }, 'zone unreachable');
          break;
        case 'becameReachable':
          cluster.unreachableZones.delete(zone);
          cluster.dirty = true;
          host.log.info({ zone: zones.name(zone) }, 'zone reachable again');
          break;
        case 'unchanged':
          break;
      }
    }
  }

  private checkMachine(machine: Machine, context: CheckContext): void {
    const leaseExpired = hasLeaseExpired(machine, context.cancellation.leaseMs, context.now);
    if (leaseExpired && !machine.leaseExpired) this.onLeaseExpired(machine);
    if (
      !machine.terminating &&
      assessMachineHealth(machine.failures, machine.index, context.now) === 'faulty'
    )
      this.terminate(machine, 'faulty', { jobs: machine.failures.jobs.size });
    if (needsProbe(machine, context)) this.deps.dispatcher.probe(machine);
    else machine.connectivity.clearFailedProbes();
    this.terminateUnresponsive(machine, leaseExpired, context);
  }

  /**
   * Releases the machine's attempts. Its incarnation has ended by the worker's own clock as well, and the worker
   * refuses starts that are meant for that incarnation.
   */
  private onLeaseExpired(machine: Machine): void {
    const { attempts, cluster, host } = this.deps;
    host.log.info({ machine: machine.name }, 'machine lease expired');
    attempts.apply(releaseAll(machine));
    machine.markLeaseExpired();
    cluster.dirty = true;
  }

  private terminateUnresponsive(machine: Machine, leaseExpired: boolean, context: CheckContext): void {
    // Without a valid lease, another leader may receive the heartbeats, so silence here proves nothing.
    if (!this.deps.host.hasValidLease()) return;
    const reason = detectLivenessFailure(machine, context);
    if (reason === null || machine.terminating) return;
    // Many silent machines of one zone point to a partition, which may end; single ones have failed, or receive
    // nothing.
    const unreachable = this.deps.cluster.unreachableZones.has(machine.zone);
    if ((unreachable || context.overloaded || context.isolated) && !leaseExpired) return;
    // While followers relay the heartbeats of most machines, a leader that is cut off misses only its own few.
    if (context.withoutContact && !leaseExpired && this.probeOthers(machine, context)) return;
    this.terminate(machine, reason, { silenceMs: Math.round(computeSilenceMs(machine, context)) });
  }

  /**
   * Probes a few machines whose heartbeats arrive: one answer shows that this controller is not cut off, and none that
   * it is. Returns false if there is no such machine.
   */
  private probeOthers(machine: Machine, context: CheckContext): boolean {
    let probed = 0;
    for (const other of this.deps.cluster.machines.values()) {
      if (probed === MIN_MISSING_MACHINES) break;
      const silenceMs = context.now - other.connectivity.lastMessageAt;
      if (other === machine || silenceMs > context.unresponsiveAfterMs) continue;
      this.deps.dispatcher.probe(other);
      probed += 1;
    }
    return probed > 0;
  }

  private terminate(machine: Machine, reason: TerminationReason, details: object): void {
    this.deps.host.log.info({ machine: machine.name, reason, ...details }, 'machine terminated');
    this.deps.provisioner.terminate([machine.name]);
  }

  private checkAttempt(attempt: Attempt, { now, overloaded, cancellation }: CheckContext): void {
    if (attempt.released) return;
    const { machine, jobId } = attempt;
    if (!machine.terminating && isStartInDoubtOverdue(attempt, cancellation, now, overloaded))
      this.terminate(machine, 'startInDoubt', { job: jobId });
    if (mustAwaitLeaseExpiry(attempt, cancellation, now)) {
      attempt.awaitLeaseExpiry();
      this.deps.host.log.info(
        { machine: machine.name, job: jobId, reason: 'startInDoubt' },
        'awaiting machine lease expiry',
      );
    }
    if (mustCheckpointNow(attempt, this.deps.options.workers.save_margin_s, now))
      this.deps.stopGracefully(attempt, 'spot interruption notice');
  }

  /**
   * Contacts the machines that are not reconciled. A registered machine is reconciled once it shows our token: a probe
   * finds its worker, and a message without commands then shows it the token.
   */
  private probeUnreconciled(now: number): void {
    const { cluster, dispatcher, leaderSince } = this.deps;
    if (now - leaderSince < LEADER_DISCOVERY_MS) return;
    for (const machine of cluster.machines.values()) {
      if (machine.reconciled || machine.commandInFlight) continue;
      const overdue = now - machine.connectivity.lastMessageAt > this.heartbeatIntervalMs * OVERDUE_INTERVALS;
      if (machine.incarnation === 0) dispatcher.probe(machine);
      else if (overdue && now >= machine.commandNotBefore) dispatcher.dispatch(machine, []);
    }
  }
}
