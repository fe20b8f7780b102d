import { required } from '../base/required.ts';
import type { Job } from '../jobs/job.ts';
import type { IdleTask } from '../scheduling/idle-work.ts';
import type { PreemptionCandidate } from '../scheduling/preempt.ts';
import {
  fits,
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
const RECENT_START_MS = 30_000;
const RECENT_START_LOSS_S = 5;

/** Turns what the leader knows into what a round sees. It changes nothing but the views it makes. */
export class SchedulingSnapshots {
  private readonly cluster: Cluster;
  private readonly bestEffort: BestEffortWork;
  private readonly taskGroups: TaskGroups;
  private readonly machineSnapshots: MachineSnapshots;

  constructor(
    sources: SnapshotSources,
    private readonly deps: SnapshotDeps,
  ) {
    this.cluster = sources.cluster;
    this.bestEffort = new BestEffortWork(deps);
    this.taskGroups = new TaskGroups(sources, deps, this.bestEffort);
    this.machineSnapshots = new MachineSnapshots(sources, deps);
  }

  createMachineSnapshots(): MachineSnapshot[] {
    return this.machineSnapshots.createAll();
  }

  createTaskGroups(): TaskGroup[] {
    return this.taskGroups.createGroups();
  }

  createExpectedGroups(): TaskGroup[] {
    return this.taskGroups.createExpectedGroups();
  }

  findGuaranteedJobs(): Set<Job> {
    return this.taskGroups.findGuaranteedJobs();
  }

  findIdleTasks(machine: Machine): IdleTask[] | null {
    return this.bestEffort.findIdleTasks(machine);
  }

  /** What each team may still use, by its limit. */
  computeQuotaHeadroom(): QuotaHeadroom[] {
    // Machines not accounted for may run anything of any team that they can hold.
    let unaccountedCpus = 0;
    let unaccountedGpus = 0;
    for (const machine of this.cluster.machines.values()) {
      if (machine.reconciled && !machine.hasUnknownTasks) continue;
      const type = this.deps.catalog.types[machine.type];
      unaccountedCpus += type?.cpus ?? Infinity;
      unaccountedGpus += type?.gpus ?? Infinity;
    }
    return this.deps.teams.map((team, index) => {
      const usage = required(this.cluster.usage[index], 'usage of the team');
      return {
        cpus: team.cpusMax > 0 ? team.cpusMax - usage.cpus - unaccountedCpus : Infinity,
        gpus: team.gpusMax > 0 ? team.gpusMax - usage.gpus - unaccountedGpus : Infinity,
      };
    });
  }

  /**
   * Marks the machines beyond what the present work needs as dearer than the others, though never as dear as
   * room to come: they take tasks only when the others are full, and so run empty and can be given back.
   */
  markSurplus(machines: readonly MachineSnapshot[], groups: readonly TaskGroup[]): void {
    const { park_headroom } = this.deps.options.scheduling;
    const computeMachineShare = (need: Resources, size: Resources): number =>
      Math.max(
        need.cpus / size.cpus,
        size.gpus > 0 ? need.gpus / size.gpus : 0,
        size.memory > 0 ? need.memory / size.memory : 0,
      );
    this.deps.catalog.types.forEach((size, type) => {
      const present = machines.filter((m) => m.type === type && m.bootsInS === 0);
      let neededMachines = 0;
      for (const snapshot of present) {
        const used = {
          cpus: size.cpus - snapshot.free.cpus,
          gpus: size.gpus - snapshot.free.gpus,
          memory: size.memory - snapshot.free.memory,
        };
        this.bestEffort.subtractUsage(used, this.cluster.machinesByIndex[snapshot.machine]);
        neededMachines += computeMachineShare(used, size);
      }
      for (const group of groups) {
        if (group.bestEffort || (group.types && !group.types.has(type)) || fits(group.need, size) === 0)
          continue;
        neededMachines += group.pending / fits(group.need, size);
      }
      const neededCount = Math.ceil(neededMachines + park_headroom);
      present.sort(
        (a, b) => a.price - b.price || b.load - a.load || a.warm - b.warm || a.machine - b.machine,
      );
      for (const snapshot of present.slice(neededCount)) snapshot.surplus = true;
    });
  }

  /**
   * Once more the whole room of each machine, for when the tasks that it runs or is about to take have ended:
   * a queue that can wait that long needs no machines of its own.
   */
  addProjectedReleases(machines: readonly MachineSnapshot[], groups: readonly TaskGroup[]): void {
    let taskCount = 0;
    let totalEstimateS = 0;
    for (const group of groups) {
      taskCount += group.pending;
      totalEstimateS += group.pending * (this.cluster.jobsByIndex.get(group.job)?.spec.estimateS ?? 0);
    }
    if (taskCount === 0) return;
    for (const snapshot of machines) {
      const size = required(this.deps.catalog.types[snapshot.type], 'machine type of a snapshot');
      const lastReleaseS = snapshot.releases.at(-1)?.inS ?? snapshot.bootsInS;
      snapshot.releases.push({
        inS: lastReleaseS + totalEstimateS / taskCount,
        room: resourcesOf(size),
      });
    }
  }

  /** The tasks of a machine that could be stopped to make room, with what stopping them would lose. */
  findPreemptionCandidates(index: number, guaranteed: ReadonlySet<Job>): PreemptionCandidate<Attempt>[] {
    const machine = this.cluster.machinesByIndex[index];
    if (!machine) return [];
    const now = this.deps.host.clock.now();
    return machine.live().map((attempt) => ({
      item: attempt,
      priority: attempt.job?.spec.priority ?? 99,
      team: attempt.job?.team ?? -1,
      beyondGuarantee: attempt.job !== null && !guaranteed.has(attempt.job),
      stopping: attempt.stopGraceS !== null,
      need: attempt.job ? resourcesOf(attempt.job.spec) : { cpus: 0, gpus: 0, memory: 0 },
      lossS:
        attempt.runningSince === null
          ? 0
          : attempt.job && attempt.job.spec.checkpointIntervalS > 0
            ? attempt.job.spec.checkpointDurationS +
              (now - attempt.runningSince < RECENT_START_MS ? RECENT_START_LOSS_S : 0)
            : (now - attempt.runningSince) / 1000,
    }));
  }
}
