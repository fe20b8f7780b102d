/** The machines as inputs of a scheduling round. */
import { required } from '../base/required.ts';
import {
  computeFetchS,
  mergeReleases,
  resourcesOf,
  allocate,
  type MachineSnapshot,
  type Resources,
} from '../scheduling/snapshot.ts';
import { isFailing, assessMachineHealth } from '../workers/failure-attribution.ts';
import type { Machine } from '../workers/machine.ts';
import { OVERRUN_REMAINING_RATIO, type SnapshotDeps, type SnapshotSources } from './snapshot-sources.ts';

/**
 * Heartbeat intervals without a heartbeat of its own after which a machine takes no tasks. More than for messages of
 * any kind, since a heartbeat that a direct response has overtaken is out of date and does not count.
 */
const MAX_HEARTBEAT_AGE_INTERVALS = 2.5;
/** Heartbeat intervals without any message, direct responses included, after which a machine takes no tasks. */
const MAX_MESSAGE_AGE_INTERVALS = 1.6;
/** Cost steps of a machine for each job that failed on it and is not known to fail everywhere. */
const FAILURE_PENALTY_STEPS = 5;

/** The share of a machine's resources that belongs to each of its accelerators; null if it has none. */
function computeSharePerAccelerator(size: Resources): Resources | null {
  if (size.gpus === 0) return null;
  return { cpus: size.cpus / size.gpus, gpus: 1, memory: size.memory / size.gpus };
}

/** Creates the snapshots of the machines that can take tasks now, and of those that are booting. */
export class MachineSnapshots {
  constructor(
    private readonly sources: SnapshotSources,
    private readonly deps: SnapshotDeps,
  ) {}

  /** Snapshots of all machines that a round may use. */
  createAll(): MachineSnapshot[] {
    return [...this.createAvailable(), ...this.createBooting()];
  }

  private computeFreeResources(machine: Machine): Resources {
    const type = this.deps.catalog.types[machine.type];
    if (!type || machine.hasUnknownTasks) return { cpus: 0, gpus: 0, memory: 0 };
    const free = resourcesOf(type);
    for (const attempt of machine.attempts.values())
      if (!attempt.released && attempt.job) allocate(free, attempt.job.spec);
    return free;
  }

  /** When the tasks on a machine are expected to release their resources, by the run time estimates of their jobs. */
  private estimateReleases(machine: Machine, now: number): MachineSnapshot['releases'] {
    const releases: MachineSnapshot['releases'] = [];
    for (const attempt of machine.attempts.values()) {
      if (attempt.released || !attempt.job) continue;
      const { spec } = attempt.job;
      const releasedResources = resourcesOf(spec);
      let inS: number;
      if (attempt.stopGraceS !== null) inS = attempt.stopGraceS;
      else {
        const ranS = attempt.runningSince === null ? 0 : (now - attempt.runningSince) / 1000;
        // A task that exceeds its estimate is expected to run on for a share of the time that it has run.
        inS = Math.max(spec.estimateS - ranS, ranS * OVERRUN_REMAINING_RATIO, 3);
      }
      releases.push({ inS, resources: releasedResources });
    }
    return mergeReleases(releases.sort((x, y) => x.inS - y.inS));
  }

  /** Cost steps for the jobs that failed on the machine, except those that are known to fail everywhere. */
  private computeFailurePenalty(machine: Machine): number {
    let jobCount = 0;
    for (const job of machine.failures.jobs) if (!isFailing(job)) jobCount += 1;
    return jobCount * FAILURE_PENALTY_STEPS;
  }

  private countLatencySensitiveImages(machine: Machine): number {
    let imageCount = 0;
    for (const image of machine.images.keys())
      if (this.sources.latencySensitiveImages.has(image)) imageCount += 1;
    return imageCount;
  }

  private createAvailable(): MachineSnapshot[] {
    const snapshots: MachineSnapshot[] = [];
    const now = this.deps.host.clock.now();
    for (const machine of this.sources.cluster.machines.values()) {
      const type = this.deps.catalog.types[machine.type];
      if (!type || machine.terminating || machine.reclaimAt !== null) continue;
      if (machine.incarnation === 0 || machine.leaseExpired) continue;
      const heartbeatIntervalMs = this.deps.settings.settings.workers.report_s * 1000;
      if (now - machine.connectivity.lastMessageAt > heartbeatIntervalMs * MAX_MESSAGE_AGE_INTERVALS)
        continue;
      // Responses to direct commands and probes renew no lease: tasks that start on a machine whose heartbeats are lost
      // end when its lease expires.
      if (now - machine.connectivity.lastHeartbeatAt > heartbeatIntervalMs * MAX_HEARTBEAT_AGE_INTERVALS)
        continue;
      // Without a fencing token of ours, a machine may be known only from a late copy of a heartbeat; with missed
      // acknowledgements, it may not receive commands. Tasks that are placed on either may never start.
      if (!this.deps.tokens.isCurrent(machine.fencingToken)) continue;
      if (machine.connectivity.missedAcknowledgements > 0) continue;
      if (assessMachineHealth(machine.failures, machine.index, now) !== 'healthy') continue;
      const { fetchingUntil } = machine.images;
      const fetchingS = fetchingUntil > now ? (fetchingUntil - now) / 1000 : 0;
      snapshots.push({
        machine: machine.index,
        type: machine.type,
        zone: machine.zone,
        spot: machine.identity.spot,
        free: this.computeFreeResources(machine),
        perAccelerator: computeSharePerAccelerator(type),
        releases: this.estimateReleases(machine, now),
        load: machine.liveAttemptCount,
        // A machine that is up but not yet in the machine registry takes tasks after a moment: none is rented in its
        // place.
        bootsInS: machine.registered ? 0 : 1,
        fetchS: (image, gb) => {
          const readyAt = machine.images.getReadyAt(image);
          // The fetch begins after those under way.
          if (readyAt === undefined) return computeFetchS(gb, type.fetchGbPerS) + fetchingS;
          return Math.max(0, readyAt - now) / 1000;
        },
        warmImageCount: this.countLatencySensitiveImages(machine),
        surplus: false,
        penalty: this.computeFailurePenalty(machine),
        price: machine.identity.spot ? type.spotPrice : type.price,
      });
    }
    return snapshots;
  }

  private createBooting(): MachineSnapshot[] {
    const snapshots: MachineSnapshot[] = [];
    const now = this.deps.host.clock.now();
    for (const bootingMachine of this.sources.provisioner.booting()) {
      if (this.sources.cluster.unreachableZones.has(bootingMachine.zone)) continue;
      const type = required(
        this.deps.catalog.types[bootingMachine.type],
        'machine type of a booting machine',
      );
      snapshots.push({
        machine: -1 - bootingMachine.index,
        type: bootingMachine.type,
        zone: bootingMachine.zone,
        spot: bootingMachine.spot,
        free: resourcesOf(type),
        perAccelerator: computeSharePerAccelerator(type),
        releases: [],
        load: 0,
        bootsInS: Math.max(1, type.bootS - (now - bootingMachine.rentedAt) / 1000),
        fetchS: (_image, gb) => computeFetchS(gb, type.fetchGbPerS),
        warmImageCount: 0,
        surplus: false,
        penalty: 0,
        price: bootingMachine.spot ? type.spotPrice : type.price,
      });
    }
    return snapshots;
  }
}
