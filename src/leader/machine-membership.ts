/** The machines of a leadership: how they join, become durable in the machine registry, and leave. */
import type { MachineProvisioner } from '../fleet/machine-provisioner.ts';
import type { Heartbeat } from '../wire/worker.ts';
import { Machine, type MachineIdentity } from '../workers/machine.ts';
import type { MachineRegistry } from '../workers/machine-registry.ts';
import { releaseAll } from '../workers/reconcile.ts';
import type { Attempts } from './attempts.ts';
import type { Cluster } from './cluster.ts';
import type { LeaderDeps } from './context.ts';

/** Least time between two counts of the machines, whose number is needed with each heartbeat. */
const COUNT_INTERVAL_MS = 500;

/** The parts of a leadership that membership works on. */
interface MembershipParts {
  readonly cluster: Cluster;
  readonly provisioner: MachineProvisioner;
  readonly attempts: Attempts;
  readonly registry: MachineRegistry;
}

/** Adds machines to the cluster and removes them. */
export class MachineMembership {
  private lastCount = { at: -Infinity, machines: 0 };
  private lastAnswerBeforeJoining = -Infinity;

  /** `leaderSince`: when this leadership began, in milliseconds of the steady clock. */
  constructor(
    private readonly parts: MembershipParts,
    private readonly deps: LeaderDeps,
    private readonly leaderSince: number,
  ) {}

  private now(): number {
    return this.deps.host.clock.now();
  }

  /** Machines that run as far as is known, whether or not they have sent a heartbeat to this leader. */
  count(): number {
    const now = this.now();
    if (now - this.lastCount.at > COUNT_INTERVAL_MS) {
      const { cluster, provisioner } = this.parts;
      this.lastCount = { at: now, machines: cluster.machines.size + provisioner.runningUnregistered };
    }
    return this.lastCount.machines;
  }

  /** Adds a machine that an earlier leader registered. */
  restore(identity: MachineIdentity): void {
    const machine = this.parts.cluster.machines.get(identity.name) ?? this.add(identity);
    machine.markRegistered();
  }

  private add(identity: MachineIdentity): Machine {
    const leaseRenewedBefore = Math.max(
      this.leaderSince + this.deps.heartbeatGraceMs,
      this.lastAnswerBeforeJoining,
    );
    const type = this.deps.catalog.typeIndex(identity.machineType);
    const zone = this.deps.zones.getOrAddIndex(identity.zone);
    return this.parts.cluster.addMachine(
      (index) =>
        new Machine({
          index,
          identity,
          type,
          zone,
          now: this.now(),
          leaseRenewedBefore,
          firstToken: this.deps.tokens.first,
        }),
    );
  }

  /**
   * Adds an unknown machine that sends a heartbeat with a fencing token of ours. Every machine that holds tasks is in the
   * registry, so a heartbeat with an older token comes from a new worker that has not seen our answer yet, and sends
   * another once it has; or it is a copy of an old heartbeat of a machine that is gone. A machine added for such a copy
   * would hold up work until its lease expires. Returns null if the machine does not join.
   */
  admit(heartbeat: Heartbeat): Machine | null {
    const { cluster, provisioner } = this.parts;
    if (!this.deps.tokens.isCurrent(heartbeat.fencingToken)) return null;
    if (provisioner.wasTerminated(heartbeat.machine)) return null;
    const { machine: name, address, machineType, zone, spot } = heartbeat;
    this.deps.host.log.info({ machine: name, type: machineType, zone }, 'machine joined');
    cluster.dirty = true;
    const machine = this.add({ name, address, machineType, zone, spot });
    // It booted after its termination had been requested: the cloud may terminate it at any moment.
    if (provisioner.isTerminating(name)) machine.markTerminating();
    return machine;
  }

  /** A worker is answered although its machine has not joined: the answer may renew its lease all the same. */
  noteAnswerBeforeJoining(): void {
    this.lastAnswerBeforeJoining = this.now();
  }

  /** Writes the machine to the registry, which is the condition of its first start, unless that is done or queued. */
  ensureRegistered(machine: Machine): void {
    if (!machine.needsRegistration) return;
    const { cluster, registry } = this.parts;
    machine.markRegistrationQueued();
    registry.register(machine.identity, () => {
      machine.markRegistered();
      cluster.dirty = true;
      cluster.commandsDue.add(machine);
    });
  }

  /** The provisioner is about to terminate the machines: they take no new tasks from this moment. */
  markTerminating(names: readonly string[]): void {
    for (const name of names) {
      const machine = this.parts.cluster.machines.get(name);
      machine?.markTerminating();
    }
  }

  /** The machine and everything on it are gone for certain. */
  onTerminated(name: string): void {
    const { cluster, attempts, registry } = this.parts;
    const machine = cluster.machines.get(name);
    if (!machine) return;
    attempts.apply(releaseAll(machine));
    cluster.machines.delete(name);
    cluster.commandsDue.delete(machine);
    cluster.dirty = true;
    registry.remove(name);
  }
}
