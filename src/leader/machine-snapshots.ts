import { required } from '../base/required.ts';
import {
  computeFetchS,
  mergeReleases,
  resourcesOf,
  allocate,
  type MachineSnapshot,
  type Resources,
} from '../scheduling/snapshot.ts';
import { isFailing, machineHealth } from '../workers/failure-attribution.ts';
import type { Machine } from '../workers/machine.ts';
import { OUTLIVED_SHARE, type SnapshotDeps, type SnapshotSources } from './snapshot-sources.ts';

/** Reports that a machine may leave out and still be given work; one may have been overtaken by a direct answer. */
const MOST_REPORTS_MISSED = 2.5;
/** The same, with direct answers counted. */
const MOST_SILENT_REPORTS = 1.6;
/** Cost steps of a machine for each job that has failed on it. */
const PENALTY_STEPS = 5;

/** The share of a machine that belongs to each of its accelerators. */
function perAccelerator(size: Resources): Resources | null {
  if (size.gpus === 0) return null;
  return { cpus: size.cpus / size.gpus, gpus: 1, memory: size.memory / size.gpus };
}

/** The machines as a round sees them: those that can take work now, and those that boot. */
export class MachineSnapshots {
  constructor(
    private readonly sources: SnapshotSources,
    private readonly deps: SnapshotDeps,
  ) {}

  /** All machines that a round may use. */
  all(): MachineSnapshot[] {
    return [...this.present(), ...this.booting()];
  }

  private freeOf(m: Machine): Resources {
    const type = this.deps.catalog.types[m.type];
    if (!type || m.hasUnknownTasks) return { cpus: 0, gpus: 0, memory: 0 };
    const free = resourcesOf(type);
    for (const a of m.attempts.values()) if (!a.released && a.job) allocate(free, a.job.spec);
    return free;
  }

  /** When the running tasks of a machine are expected to leave, by their owners' estimates. */
  private leavingOf(m: Machine, now: number): MachineSnapshot['releases'] {
    const leaving: MachineSnapshot['releases'] = [];
    for (const a of m.attempts.values()) {
      if (a.released || !a.job) continue;
      const { spec } = a.job;
      const room = resourcesOf(spec);
      let inS: number;
      if (a.stopGraceS !== null) inS = a.stopGraceS;
      else {
        const ranS = a.runningSince === null ? 0 : (now - a.runningSince) / 1000;
        // A task past its estimate has outlived it: it is given a good part of what it has run.
        inS = Math.max(spec.estimateS - ranS, ranS * OUTLIVED_SHARE, 3);
      }
      leaving.push({ inS, resources: room });
    }
    return mergeReleases(leaving.sort((x, y) => x.inS - y.inS));
  }

  /** Cost steps of a machine that failed tasks of jobs which are not known to fail everywhere. */
  private failurePenalty(m: Machine): number {
    let jobs = 0;
    for (const job of m.failures.jobs) if (!isFailing(job)) jobs += 1;
    return jobs * PENALTY_STEPS;
  }

  private warmth(m: Machine): number {
    let warm = 0;
    for (const image of m.images.keys()) if (this.sources.latencySensitiveImages.has(image)) warm += 1;
    return warm;
  }

  private present(): MachineSnapshot[] {
    const views: MachineSnapshot[] = [];
    const now = this.deps.host.clock.now();
    for (const m of this.sources.cluster.machines.values()) {
      const type = this.deps.catalog.types[m.type];
      if (!type || m.terminating || m.reclaimedAt !== null) continue;
      if (m.incarnation === 0 || m.leaseExpired) continue;
      const reportMs = this.deps.settings.settings.workers.report_s * 1000;
      if (now - m.connectivity.lastMessageAt > reportMs * MOST_SILENT_REPORTS) continue;
      // Answers to orders and questions renew no lease: what is started on a machine that reaches nobody dies with it.
      if (now - m.connectivity.lastHeartbeatAt > reportMs * MOST_REPORTS_MISSED) continue;
      // Work must not wait on a machine that may be no more than a late copy of a report, or that hears nothing.
      if (m.fencingToken !== this.deps.term || m.connectivity.missedAcknowledgements > 0) continue;
      if (machineHealth(m.failures, m.index, now) !== 'healthy') continue;
      const { fetchingUntil } = m.images;
      const fetchingS = fetchingUntil > now ? (fetchingUntil - now) / 1000 : 0;
      views.push({
        machine: m.index,
        type: m.type,
        zone: m.zone,
        spot: m.id.spot,
        free: this.freeOf(m),
        perAccelerator: perAccelerator(type),
        releases: this.leavingOf(m, now),
        load: m.liveCount,
        // Up, but not yet written to the roster: that takes a moment, no new machine.
        bootsInS: m.registered ? 0 : 1,
        fetchS: (image, gb) => {
          const readyAt = m.images.get(image);
          // Several images share the rate.
          if (readyAt === undefined) return computeFetchS(gb, type.fetchGbPerS) + fetchingS;
          return Math.max(0, readyAt - now) / 1000;
        },
        warmImageCount: this.warmth(m),
        surplus: false,
        penalty: this.failurePenalty(m),
        price: m.id.spot ? type.spotPrice : type.price,
      });
    }
    return views;
  }

  private booting(): MachineSnapshot[] {
    const views: MachineSnapshot[] = [];
    const now = this.deps.host.clock.now();
    for (const b of this.sources.provisioner.booting()) {
      if (this.sources.cluster.unreachableZones.has(b.zone)) continue;
      const type = required(this.deps.catalog.types[b.type], 'machine type of a booting machine');
      views.push({
        machine: -1 - b.index,
        type: b.type,
        zone: b.zone,
        spot: b.spot,
        free: resourcesOf(type),
        perAccelerator: perAccelerator(type),
        releases: [],
        load: 0,
        bootsInS: Math.max(1, type.bootS - (now - b.rentedAt) / 1000),
        fetchS: (_image, gb) => computeFetchS(gb, type.fetchGbPerS),
        warmImageCount: 0,
        surplus: false,
        penalty: 0,
        price: b.spot ? type.spotPrice : type.price,
      });
    }
    return views;
  }
}
