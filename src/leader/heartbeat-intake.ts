/** Takes in what workers report: their own heartbeats, and their answers to commands and probes. */
import type { MachineProvisioner } from '../fleet/machine-provisioner.ts';
import type { Command, Heartbeat } from '../wire/worker.ts';
import type { Machine } from '../workers/machine.ts';
import {
  applyHeartbeat,
  buildCommands,
  isNewerHeartbeat,
  noteStartsInResponse,
} from '../workers/reconcile.ts';
import type { Attempts } from './attempts.ts';
import type { Cluster } from './cluster.ts';
import type { CommandDispatcher } from './command-dispatcher.ts';
import type { LeaderDeps } from './context.ts';
import type { MachineMembership } from './machine-membership.ts';

/** The parts of a leadership that heartbeats are applied to. */
interface HeartbeatIntakeParts {
  readonly cluster: Cluster;
  readonly provisioner: MachineProvisioner;
  readonly attempts: Attempts;
  readonly dispatcher: CommandDispatcher;
  readonly membership: MachineMembership;
}

/** Applies messages of workers to the state of the leadership, and answers heartbeats with commands. */
export class HeartbeatIntake {
  constructor(
    private readonly parts: HeartbeatIntakeParts,
    private readonly deps: LeaderDeps,
  ) {}

  /** A worker's own heartbeat. Returns the commands of the response, or null if it must not be answered with 200. */
  onHeartbeat(heartbeat: Heartbeat): Command[] | null {
    const { cluster, membership, dispatcher } = this.parts;
    if (this.isSuperseded(heartbeat)) return null;
    // Before recovery no cancellation is known: an answer would renew the lease of tasks that must be gone within
    // `cancel_s`, without stopping them. Their worker tries again a second later.
    if (!cluster.recovered) return null;
    const machine = this.applyMessage(heartbeat, false);
    if (!machine) {
      membership.noteAnswerBeforeJoining();
      return [];
    }
    if (machine.awaitingLeaseExpiry) return null;
    const commands = buildCommands(machine, dispatcher.canStartOn(machine));
    noteStartsInResponse(machine, commands);
    return commands;
  }

  /** What a worker answered to commands or to a probe. */
  onDirectResponse(heartbeat: Heartbeat): void {
    if (this.isSuperseded(heartbeat)) return;
    // Only of machines that are still members: an answer can be older than the machine's termination.
    if (this.parts.cluster.machines.has(heartbeat.machine)) this.applyMessage(heartbeat, true);
  }

  /** A higher fencing token than ours shows that another controller leads by now. */
  private isSuperseded(heartbeat: Heartbeat): boolean {
    if (heartbeat.fencingToken <= this.deps.term) return false;
    this.deps.host.onSuperseded();
    return true;
  }

  /** `direct`: the answer to commands or to a probe, not a heartbeat. Returns null for a machine that doesn't join. */
  private applyMessage(heartbeat: Heartbeat, direct: boolean): Machine | null {
    const { cluster, membership } = this.parts;
    const now = this.deps.host.clock.now();
    const machine = cluster.machines.get(heartbeat.machine) ?? membership.admit(heartbeat);
    if (!machine) return null;
    if (!isNewerHeartbeat(machine, heartbeat) || this.isStale(machine, heartbeat)) {
      // The heartbeat was sent before the newest known message, so the lease that its answer renews begins before that
      // message.
      if (!direct) machine.noteLeaseRenewal(machine.connectivity.lastMessageAt);
      return machine;
    }
    this.applyNewer(machine, heartbeat, direct, now);
    return machine;
  }

  private applyNewer(machine: Machine, heartbeat: Heartbeat, direct: boolean, now: number): void {
    const { cluster, provisioner, attempts, dispatcher, membership } = this.parts;
    const { lease_s, report_s } = this.deps.settings.settings.workers;
    provisioner.onMachineUp(heartbeat.machine);
    machine.assessConnectivity(heartbeat, {
      direct,
      term: this.deps.term,
      now,
      leaseMs: lease_s * 1000,
      heartbeatIntervalMs: report_s * 1000,
    });
    attempts.apply(
      applyHeartbeat(machine, heartbeat, direct, { now, jobOf: (id) => cluster.jobs.get(id) ?? null }),
    );
    // The response may renew the lease of this worker, with or without commands.
    if (!direct) machine.noteLeaseRenewal(now);
    if (heartbeat.fencingToken === this.deps.term && !machine.reconciled) {
      machine.markReconciled();
      cluster.dirty = true;
    }
    membership.ensureRegistered(machine);
    if (dispatcher.hasDueCommands(machine)) cluster.commandsDue.add(machine);
  }

  /**
   * Whether the heartbeat shows no task that still counts. A reconciled machine holds no unknown task of an earlier
   * leader, so a heartbeat without our fencing token is a late copy, or comes from a worker that has lost all its
   * tasks. If a machine's lease expired before its first heartbeat, applying such a copy would restore tasks that bind
   * their job to the wrong zone.
   */
  private isStale(machine: Machine, heartbeat: Heartbeat): boolean {
    return machine.reconciled && heartbeat.fencingToken !== this.deps.term;
  }
}
