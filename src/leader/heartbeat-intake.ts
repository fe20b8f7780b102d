/** Takes in what workers report: their own heartbeats, and their answers to commands and probes. */
import type { MachineProvisioner } from '../fleet/machine-provisioner.ts';
import type { Command, Heartbeat } from '../wire/worker.ts';
import type { Machine } from '../workers/machine.ts';
import {
  applyHeartbeat,
  buildCommands,
  isAnswerOfResetWorker,
  isNewerHeartbeat,
  needsHigherToken,
  noteStartsInResponse,
} from '../workers/reconcile.ts';
import type { Attempts } from './attempts.ts';
import type { Cluster } from './cluster.ts';
import type { CommandDispatcher, DirectRequest } from './command-dispatcher.ts';
import type { LeaderDeps } from './context.ts';
import type { MachineMembership } from './machine-membership.ts';
import { TaskLog } from './task-log.ts';
import type { TokenReservation } from './token-reservation.ts';

/** The parts of a leadership that heartbeats are applied to. */
interface HeartbeatIntakeParts {
  readonly cluster: Cluster;
  readonly provisioner: MachineProvisioner;
  readonly attempts: Attempts;
  readonly dispatcher: CommandDispatcher;
  readonly membership: MachineMembership;
  readonly tokenReservation: TokenReservation;
}

/** The answer to a heartbeat that may be answered with 200. */
export interface HeartbeatAnswer {
  /** The fencing token for this worker. */
  readonly fencingToken: number;
  readonly commands: readonly Command[];
}

/** Applies messages of workers to the state of the leadership, and answers heartbeats with commands. */
export class HeartbeatIntake {
  private readonly taskLog: TaskLog;

  constructor(
    private readonly parts: HeartbeatIntakeParts,
    private readonly deps: LeaderDeps,
  ) {
    this.taskLog = new TaskLog(deps.host.log);
  }

  /** A worker's own heartbeat. Returns the answer, or null if it must not be answered with 200. */
  onHeartbeat(heartbeat: Heartbeat): HeartbeatAnswer | null {
    const { cluster, membership, dispatcher } = this.parts;
    if (this.isSuperseded(heartbeat)) return null;
    // Before recovery no cancellation is known: an answer would renew the lease of tasks that must be gone within
    // `cancel_s`, without stopping them. Their worker tries again a second later.
    if (!cluster.recovered) return null;
    const known = cluster.machines.get(heartbeat.machine);
    if (known && this.isOutdated(known, heartbeat)) return null;
    const machine = known ?? membership.admit(heartbeat);
    if (!machine) {
      membership.noteAnswerBeforeJoining();
      return { fencingToken: Math.max(this.deps.tokens.first, heartbeat.fencingToken), commands: [] };
    }
    this.applyMessage(machine, heartbeat, false);
    if (machine.awaitingLeaseExpiry) return null;
    const commands = buildCommands(machine, dispatcher.canStartOn(machine));
    noteStartsInResponse(machine, commands);
    this.taskLog.commandsSent(machine, machine.commandToken, commands, 'heartbeatResponse');
    return { fencingToken: machine.commandToken, commands };
  }

  /** What a worker answered to commands or to a probe. */
  onDirectResponse(heartbeat: Heartbeat, request: DirectRequest): void {
    if (this.isSuperseded(heartbeat)) return;
    // Only of machines that are still members: an answer can be older than the machine's termination.
    const machine = this.parts.cluster.machines.get(heartbeat.machine);
    if (!machine) return;
    // At the address of a machine that is gone, another one may answer.
    const isOwnAnswer = machine === request.machine;
    if (isOwnAnswer && isAnswerOfResetWorker(heartbeat, request.known))
      this.terminateReset(machine, heartbeat);
    else this.applyMessage(machine, heartbeat, true);
  }

  /**
   * A worker that lost its state has lost its tasks too, and its messages can't be told from late copies of its earlier
   * ones. Only the termination of its machine makes certain what is on it.
   */
  private terminateReset(machine: Machine, { incarnation, sequence }: Heartbeat): void {
    if (machine.terminating) return;
    const fields = { machine: machine.name, reason: 'workerReset', incarnation, sequence };
    this.deps.host.log.info({ ...fields, known: machine.newestMessage }, 'machine terminated');
    this.parts.provisioner.terminate([machine.name]);
  }

  /**
   * Whether the heartbeat is a late copy, or comes from a worker that lost its state, and must not be answered: the
   * answer would renew a lease that counts as not renewed. A heartbeat that the answer to a direct request has overtaken
   * arrives within one interval after that answer.
   */
  private isOutdated(machine: Machine, heartbeat: Heartbeat): boolean {
    if (isNewerHeartbeat(machine, heartbeat)) return false;
    const heartbeatIntervalMs = this.deps.settings.settings.workers.report_s * 1000;
    return this.deps.host.clock.now() - machine.connectivity.lastMessageAt > heartbeatIntervalMs;
  }

  /** A higher fencing token than ours shows that another controller leads by now. */
  private isSuperseded(heartbeat: Heartbeat): boolean {
    if (!this.deps.tokens.isSuperseding(heartbeat.fencingToken)) return false;
    this.deps.host.onSuperseded();
    return true;
  }

  /** `direct`: the answer to commands or to a probe, not a heartbeat. */
  private applyMessage(machine: Machine, heartbeat: Heartbeat, direct: boolean): void {
    const now = this.deps.host.clock.now();
    if (!isNewerHeartbeat(machine, heartbeat)) {
      if (!direct) machine.noteLeaseRenewal(now);
    } else if (this.isStale(machine, heartbeat)) {
      // The worker holds no task that counts, so its lease matters for none.
      if (!direct) machine.noteLeaseRenewal(machine.connectivity.lastMessageAt);
    } else {
      this.applyNewer(machine, heartbeat, direct, now);
    }
  }

  private applyNewer(machine: Machine, heartbeat: Heartbeat, direct: boolean, now: number): void {
    const { cluster, provisioner, attempts, dispatcher, membership } = this.parts;
    const { lease_s, report_s } = this.deps.settings.settings.workers;
    provisioner.onMachineUp(heartbeat.machine);
    machine.assessConnectivity(heartbeat, {
      direct,
      firstToken: this.deps.tokens.first,
      now,
      leaseMs: lease_s * 1000,
      heartbeatIntervalMs: report_s * 1000,
    });
    attempts.apply(
      applyHeartbeat(machine, heartbeat, direct, { now, jobOf: (id) => cluster.jobs.get(id) ?? null }),
    );
    if (!direct) {
      // The response may renew the lease of this worker, with or without commands.
      machine.noteLeaseRenewal(now);
      this.raiseTokenIfNeeded(machine);
    }
    if (this.deps.tokens.isCurrent(heartbeat.fencingToken) && !machine.reconciled) {
      machine.markReconciled();
      cluster.dirty = true;
    }
    membership.ensureRegistered(machine);
    if (dispatcher.hasDueCommands(machine)) cluster.commandsDue.add(machine);
  }

  /**
   * Raises the machine's fencing token with the response to a heartbeat. No response before it is on its way any more,
   * and no direct command may be: the worker would refuse that one, and would drop such a response, which renews its
   * lease.
   */
  private raiseTokenIfNeeded(machine: Machine): void {
    const { tokens } = this.deps;
    if (machine.commandInFlight || !needsHigherToken(machine)) return;
    if (machine.commandToken < tokens.last) {
      machine.raiseCommandToken();
      this.taskLog.tokenRaised(machine);
    }
    this.parts.tokenReservation.noteUsed(machine.commandToken);
  }

  /**
   * Whether the heartbeat shows no task that still counts. A reconciled machine holds no unknown task of an earlier
   * leader, so a heartbeat without our fencing token is a late copy, or comes from a worker that has lost all its
   * tasks. If a machine's lease expired before its first heartbeat, applying such a copy would restore tasks that bind
   * their job to the wrong zone.
   */
  private isStale(machine: Machine, heartbeat: Heartbeat): boolean {
    return machine.reconciled && !this.deps.tokens.isCurrent(heartbeat.fencingToken);
  }
}
