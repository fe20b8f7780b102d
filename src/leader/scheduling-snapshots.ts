import { required } from '../base/required.ts';
import type { Job } from '../jobs/job.ts';
import type { BestEffortTask } from '../scheduling/idle-work.ts';
import type { PreemptionCandidate } from '../scheduling/preempt.ts';
import {
  countFittingTasks,
  resourcesOf,
  type TaskGroup,
  type MachineSnapshot,
  type Resources,
  type QuotaHeadroom,
} from '../scheduling/snapshot.ts';
import type { Attempt } from '../workers/attempt.ts';
import type { Machine } from '../workers/machine.ts';
import type { Cluster } from './cluster.ts';
import { BestEffortWork } from './best-effort-work.ts';
import { TaskGroups } from './task-groups.ts';
import { MachineSnapshots } from './machine-snapshots.ts';
import type { SnapshotDeps, SnapshotSources } from './snapshot-sources.ts';

/** A start that is undone at once was for nothing: others are stopped rather. */
const JUST_STARTED_MS = 30_000;
const JUST_STARTED_S = 5;

/** Turns what the leader knows into what a round sees. It changes nothing but the views it makes. */
export class SchedulingSnapshots {
  private readonly cluster: Cluster;
  private readonly bestEffort: BestEffortWork;
  private readonly jobs: TaskGroups;
  private readonly machines: MachineSnapshots;

  constructor(
    sources: SnapshotSources,
    private readonly deps: SnapshotDeps,
  ) {
    this.cluster = sources.cluster;
    this.bestEffort = new BestEffortWork(deps);
    this.jobs = new TaskGroups(sources, deps, this.bestEffort);
    this.machines = new MachineSnapshots(sources, deps);
  }

  machineSnapshots(): MachineSnapshot[] {
    return this.machines.all();
  }

  groups(): TaskGroup[] {
    return this.jobs.groups();
  }

  expectedGroups(): TaskGroup[] {
    return this.jobs.expectedGroups();
  }

  guaranteedJobs(): Set<Job> {
    return this.jobs.guaranteedJobs();
  }

  idleTasks(machine: Machine): BestEffortTask[] | null {
    return this.bestEffort.idleTasks(machine);
  }

  /** What each team may still use, by its limit. */
  quotaHeadroom(): QuotaHeadroom[] {
    // Machines not accounted for may run anything of any team that they can hold.
    let hiddenCpus = 0;
    let hiddenGpus = 0;
    for (const m of this.cluster.machines.values()) {
      if (m.reconciled && !m.hasUnknownTasks) continue;
      const type = this.deps.catalog.types[m.type];
      hiddenCpus += type?.cpus ?? Infinity;
      hiddenGpus += type?.gpus ?? Infinity;
    }
    return this.deps.teams.map((team, index) => {
      const usage = required(this.cluster.usage[index], 'usage of the team');
      return {
        cpus: team.cpusMax > 0 ? team.cpusMax - usage.cpus - hiddenCpus : Infinity,
        gpus: team.gpusMax > 0 ? team.gpusMax - usage.gpus - hiddenGpus : Infinity,
      };
    });
  }

  /**
   * Marks the machines beyond what the present work needs as dearer than the others, though never as dear as
   * room to come: they take tasks only when the others are full, and so run empty and can be given back.
   */
  markSurplus(machines: readonly MachineSnapshot[], groups: readonly TaskGroup[]): void {
    const { park_headroom } = this.deps.options.scheduling;
    const shareOf = (need: Resources, size: Resources): number =>
      Math.max(
        need.cpus / size.cpus,
        size.gpus > 0 ? need.gpus / size.gpus : 0,
        size.memory > 0 ? need.memory / size.memory : 0,
      );
    this.deps.catalog.types.forEach((size, type) => {
      const present = machines.filter((m) => m.type === type && m.bootsInS === 0);
      let need = 0;
      for (const m of present) {
        const used = {
          cpus: size.cpus - m.free.cpus,
          gpus: size.gpus - m.free.gpus,
          memory: size.memory - m.free.memory,
        };
        this.bestEffort.takeFrom(used, this.cluster.machinesByIndex[m.machine]);
        need += shareOf(used, size);
      }
      for (const g of groups) {
        if (g.bestEffort || (g.types && !g.types.has(type)) || countFittingTasks(g.need, size) === 0)
          continue;
        need += g.pending / countFittingTasks(g.need, size);
      }
      const active = Math.ceil(need + park_headroom);
      present.sort(
        (a, b) =>
          a.price - b.price ||
          b.load - a.load ||
          a.warmImageCount - b.warmImageCount ||
          a.machine - b.machine,
      );
      for (const m of present.slice(active)) m.surplus = true;
    });
  }

  /**
   * Once more the whole room of each machine, for when the tasks that it runs or is about to take have ended:
   * a queue that can wait that long needs no machines of its own.
   */
  addNextWave(machines: readonly MachineSnapshot[], groups: readonly TaskGroup[]): void {
    let tasks = 0;
    let seconds = 0;
    for (const g of groups) {
      tasks += g.pending;
      seconds += g.pending * (this.cluster.jobsByIndex.get(g.job)?.spec.estimateS ?? 0);
    }
    if (tasks === 0) return;
    for (const m of machines) {
      const size = required(this.deps.catalog.types[m.type], 'machine type of a snapshot');
      const last = m.releases.at(-1)?.inS ?? m.bootsInS;
      m.releases.push({
        inS: last + seconds / tasks,
        resources: resourcesOf(size),
      });
    }
  }

  /** The tasks of a machine that could be stopped to make room, with what stopping them would lose. */
  preemptionCandidates(index: number, guaranteed: ReadonlySet<Job>): PreemptionCandidate<Attempt>[] {
    const m = this.cluster.machinesByIndex[index];
    if (!m) return [];
    const now = this.deps.host.clock.now();
    return m.live().map((a) => ({
      item: a,
      priority: a.job?.spec.priority ?? 99,
      team: a.job?.team ?? -1,
      beyondGuarantee: a.job !== null && !guaranteed.has(a.job),
      stopping: a.stopGraceS !== null,
      need: a.job ? resourcesOf(a.job.spec) : { cpus: 0, gpus: 0, memory: 0 },
      lossS:
        a.runningSince === null
          ? 0
          : a.job && a.job.spec.checkpointIntervalS > 0
            ? a.job.spec.checkpointDurationS + (now - a.runningSince < JUST_STARTED_MS ? JUST_STARTED_S : 0)
            : (now - a.runningSince) / 1000,
    }));
  }
}
