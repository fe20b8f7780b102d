import { DRIFT } from '../base/clock.ts';
import type { MachineProvisioner } from '../fleet/machine-provisioner.ts';
import type { Attempt, Machine } from '../workers/machine.ts';
import { machineHealth } from '../workers/failure-attribution.ts';
import { releaseAll } from '../workers/reconcile.ts';
import type { Attempts } from './attempts.ts';
import type { Cluster } from './cluster.ts';
import type { LeaderDeps } from './context.ts';
import { BUSY_MS } from '../base/event-loop-lag.ts';
import type { CommandDispatcher } from './command-dispatcher.ts';

/**
 * In a cut all machines miss a report, one after the other: the first of them must not be given up before the
 * others count as missing.
 */
const MISSED_HEARTBEATS = 1.4;
/** Fewer silent machines say nothing of a cut. */
const MIN_SILENT_MACHINES = 3;
const NEARLY_ALL_SHARE = 0.75;
const CHECK_INTERVAL_MS = 400;
/** Between two looks at the machines this long passes only on a controller that stood still. */
const PROCESS_PAUSED_MS = 5000;
/** Workers find a new leader by themselves within about a report; only then are the others asked. */
const DISCOVERY_MS = 4000;
/**
 * A worker that was answered shows our token with its next report. Asked before that one is due, hundreds of them
 * cost a new leader seconds of its time, in which it left others without an answer.
 */
const OVERDUE = 1.3;

/** From the end of renewals, a report that is being answered and the watch's own rhythm included. */
const LEASE_EXPIRY_MARGIN_MS = 5000;

/** Looks after machines over time: silent and deaf ones, sessions that are surely over, notices, takeovers. */
export class MachineMonitor {
  private lastAt = -Infinity;
  /** Silence before this says nothing: this controller was not there to hear, or not the leader yet. */
  private listeningSince: number;

  constructor(
    private readonly cluster: Cluster,
    private readonly provisioner: MachineProvisioner,
    private readonly attempts: Attempts,
    private readonly dispatcher: CommandDispatcher,
    private readonly deps: LeaderDeps,
    private readonly startedAt: number,
    private readonly stopGracefully: (a: Attempt, reason: string) => void,
  ) {
    this.listeningSince = startedAt;
  }

  private get reportMs(): number {
    return this.deps.settings.settings.workers.report_s * 1000;
  }

  private isLeaseExpired(machine: Machine, now: number): boolean {
    const lease = this.deps.settings.settings.workers.lease_s * 1000;
    return now > machine.leaseRenewedBefore + lease * (1 + DRIFT) + 500;
  }

  tick(): void {
    const now = this.deps.host.clock.now();
    if (now - this.lastAt < CHECK_INTERVAL_MS) return;
    if (now - this.lastAt > PROCESS_PAUSED_MS && this.lastAt !== -Infinity) this.resumeAfterPause(now);
    this.lastAt = now;
    const silentMs = this.reportMs * this.deps.options.workers.silent_reports;
    const silentByZone = new Map<number, number>();
    const totalByZone = new Map<number, number>();
    const heardZones = new Set<number>();
    let known = 0;
    let lost = 0;
    for (const m of this.cluster.machines.values()) {
      totalByZone.set(m.zone, (totalByZone.get(m.zone) ?? 0) + 1);
      const quietMs = this.silenceMs(m, now);
      // Those that a new leader has never heard may still be with the last one: they get longer, and are asked.
      const heardOnce = m.lastRoundTripAt > this.listeningSince;
      const missing = heardOnce
        ? quietMs > this.reportMs * MISSED_HEARTBEATS
        : quietMs > silentMs && m.probesFailed > 0;
      if (heardOnce) known += 1;
      if (heardOnce && missing) lost += 1;
      if (missing) silentByZone.set(m.zone, (silentByZone.get(m.zone) ?? 0) + 1);
      else if (now - m.lastRoundTripAt < this.reportMs) heardZones.add(m.zone);
    }
    // Who can't keep up with reports knows little about who is silent.
    const busy = this.deps.host.lagMs() > BUSY_MS;
    for (const [zone, total] of totalByZone)
      this.updateZoneReachability(zone, busy ? 0 : (silentByZone.get(zone) ?? 0), total, heardZones);
    // Silent nearly everywhere: perhaps only this node is cut off, and the workers reach others.
    const alone =
      !busy && ((lost >= MIN_SILENT_MACHINES && lost >= known * NEARLY_ALL_SHARE) || this.reachesNoWorker());
    if (alone) this.deps.host.lostAllWorkers();
    for (const m of [...this.cluster.machines.values()]) {
      const cut = this.cluster.unreachableZones.has(m.zone);
      this.checkMachine(m, now, silentMs, cut || busy || alone);
      for (const a of m.attempts.values()) this.checkAttempt(m, a, now, busy);
    }
    this.probeUnreconciled(now);
    this.provisioner.tick(busy);
    this.provisioner.reconcileMachineList(this.cluster.machines);
  }

  /**
   * With followers that hand reports on, a leader that is cut off from workers still hears them. It took each machine
   * that it sent an order to for one that hears nothing, and would have returned them one after the other.
   */
  private reachesNoWorker(): boolean {
    const heardNone = this.deps.host.directHeartbeatAgeMs() > this.reportMs * 2;
    return heardNone && this.dispatcher.unreachedCount >= MIN_SILENT_MACHINES;
  }

  /**
   * After standing still all machines look silent at once, and all that were booting look as if they never came up;
   * a leader that kept its lease through an outage, or did not know yet that it was over, returned them.
   */
  private resumeAfterPause(now: number): void {
    this.listeningSince = now;
    this.provisioner.resumed();
    this.deps.host.log.info({ stoodStillMs: Math.round(now - this.lastAt) }, 'this controller stood still');
  }

  /**
   * Many silent machines of one zone point to a cut. Once they are returned nobody is left there to tell, so the
   * zone stays dark until one of its machines is heard: the fleet keeps one on trial. Machines once went on being
   * rented there for as long as a cut lasted, to be paid for and never to come up.
   */
  private updateZoneReachability(
    zone: number,
    silent: number,
    total: number,
    heard: ReadonlySet<number>,
  ): void {
    const dark = this.cluster.unreachableZones;
    if (silent >= MIN_SILENT_MACHINES && silent * 2 > total && !dark.has(zone)) {
      dark.add(zone);
      this.deps.host.log.info({ zone: this.deps.zones.name(zone), silent, total }, 'zone cut off');
    } else if (dark.has(zone) && heard.has(zone) && silent * 2 <= total) {
      dark.delete(zone);
      this.cluster.dirty = true;
      this.deps.host.log.info({ zone: this.deps.zones.name(zone) }, 'zone heard again');
    }
  }

  /** How long there has been no sign that the machine both speaks and hears. */
  private silenceMs(m: Machine, now: number): number {
    return now - Math.max(m.lastRoundTripAt, this.listeningSince);
  }

  /** `patient`: its silence may have another cause than its end. */
  private checkMachine(m: Machine, now: number, silentMs: number, patient: boolean): void {
    const over = this.isLeaseExpired(m, now);
    if (over && !m.leaseExpired) {
      // Its session has ended on its own clock, and launches meant for that session are refused.
      this.deps.host.log.info({ machine: m.name }, 'lease surely over');
      this.attempts.apply(releaseAll(m));
      m.leaseExpired = true;
      m.reconciled = true;
      this.cluster.dirty = true;
    }
    if (!m.terminating && machineHealth(m.failures, m.index, now) === 'faulty') {
      this.deps.host.log.info({ machine: m.name, jobs: m.failures.jobs.size }, 'faulty machine, returned');
      this.provisioner.terminate([m.name]);
    }
    const quietMs = this.silenceMs(m, now);
    if (quietMs > this.reportMs * 1.5 || m.missedAcknowledgements > 0) this.dispatcher.probe(m);
    else m.probesFailed = 0;
    // Another leader may hear it: its silence here says nothing.
    if (!this.deps.host.hasValidLease()) return;
    // Many silent machines of one zone point to a cut, which may end; single ones have died, or hear nothing.
    if (quietMs > silentMs && m.probesFailed > 0 && !m.terminating && (!patient || over)) {
      const deaf = now - m.lastMessageAt < silentMs;
      this.deps.host.log.info(
        { machine: m.name, quietMs: Math.round(quietMs), deaf },
        deaf ? 'machine hears nothing, returned' : 'silent machine, returned',
      );
      this.provisioner.terminate([m.name]);
    }
  }

  private checkAttempt(m: Machine, a: Attempt, now: number, busy: boolean): void {
    if (a.released) return;
    // A launch in doubt of a task that must not run: returning the machine is the only sure end before the lease.
    const cancelMs = this.deps.settings.settings.workers.cancel_s * 1000;
    // An overloaded controller misses answers; only a cancelled task is worth the machine then.
    const mustEnd =
      a.stopGraceS !== null && !a.observed && a.inDoubt && (a.job?.pendingOutcome === 'cancelled' || !busy);
    if (mustEnd && now - a.assignedAt > cancelMs / 4 && !m.terminating) {
      this.deps.host.log.info(
        { machine: m.name, job: a.jobId },
        'launch in doubt of a task to be stopped: machine returned',
      );
      this.provisioner.terminate([m.name]);
    }
    this.awaitLeaseExpiry(m, a, now);
    if (m.reclaimedAt === null || a.stopGraceS !== null || !a.job) return;
    const spec = a.job.spec;
    if (spec.checkpointIntervalS <= 0) return;
    const leftMs = m.reclaimedAt - now;
    const needMs = (spec.checkpointDurationS + this.deps.options.workers.save_margin_s) * 1000;
    if (leftMs < needMs) this.stopGracefully(a, 'spot notice');
  }

  /**
   * A launch in doubt of a cancelled task may be carried out for as long as the session lasts. If the cloud hasn't
   * taken the machine back in time, only the end of its lease keeps the task within `cancel_s`.
   */
  private awaitLeaseExpiry(m: Machine, a: Attempt, now: number): void {
    if (a.job?.pendingOutcome !== 'cancelled' || a.observed || !a.inDoubt || a.awaitingLeaseExpiry) return;
    a.unwantedSince ??= now;
    const { cancel_s, lease_s } = this.deps.settings.settings.workers;
    const mostMs = cancel_s * 1000 - lease_s * 1000 * (1 + DRIFT) - LEASE_EXPIRY_MARGIN_MS;
    if (now - a.unwantedSince < mostMs) return;
    a.awaitingLeaseExpiry = true;
    this.deps.host.log.info(
      { machine: m.name, job: a.jobId },
      'launch in doubt of a cancelled task, machine not returned: its lease is left to run out',
    );
  }

  /** A roster machine is accounted for once it has seen our token: an empty order makes sure of that. */
  private probeUnreconciled(now: number): void {
    if (now - this.startedAt < DISCOVERY_MS) return;
    for (const m of this.cluster.machines.values()) {
      if (m.reconciled || m.commandInFlight) continue;
      if (m.incarnation === 0) this.dispatcher.probe(m);
      else if (now - m.lastMessageAt > this.reportMs * OVERDUE && now >= m.commandNotBefore)
        this.dispatcher.dispatch(m, []);
    }
  }
}
