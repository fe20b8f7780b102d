/** Creates the inputs of scheduling rounds from the leader's state. */
import { required } from '../base/required.ts';
import type { Job } from '../jobs/job.ts';
import type { BestEffortTask } from '../scheduling/best-effort-tasks.ts';
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

/**
 * A task with checkpoints that has run for less than this counts as a greater loss, so that other tasks are preempted
 * first: stopping it wastes its start.
 */
const RECENT_START_MS = 30_000;
/** The loss, in seconds of work, that is added for such a task. */
const RECENT_START_LOSS_S = 5;

/** Creates the inputs of a round from the leader's state. It changes nothing but the snapshots that it creates. */
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

  /** Snapshots of all machines that a round may use. */
  createMachineSnapshots(): MachineSnapshot[] {
    return this.machineSnapshots.createAll();
  }

  /** The groups of all jobs that wait. */
  createTaskGroups(): TaskGroup[] {
    return this.taskGroups.createGroups();
  }

  /** Groups of the tasks that are expected to arrive soon. */
  createExpectedGroups(): TaskGroup[] {
    return this.taskGroups.createExpectedGroups();
  }

  /** Jobs that fit into their team's guarantee. */
  findGuaranteedJobs(): Set<Job> {
    return this.taskGroups.findGuaranteedJobs();
  }

  /** The tasks of a machine that runs only best-effort tasks which can be stopped; else null. */
  findStoppableTasks(machine: Machine): BestEffortTask[] | null {
    return this.bestEffort.findStoppableTasks(machine);
  }

  /** CPUs and GPUs that each team may still use under its limit, by team index. */
  computeQuotaHeadroom(): QuotaHeadroom[] {
    // A machine that is not reconciled, or holds unknown tasks, may run tasks of any team, up to its capacity.
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
   * Marks the surplus machines: those beyond what running and waiting tasks need. A round uses them only when the other
   * machines are full, though before future capacity, so that surplus machines drain and can be terminated.
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
        if (
          group.bestEffort ||
          (group.types && !group.types.has(type)) ||
          countFittingTasks(group.need, size) === 0
        )
          continue;
        neededMachines += group.pending / countFittingTasks(group.need, size);
      }
      const neededCount = Math.ceil(neededMachines + park_headroom);
      present.sort(
        (a, b) =>
          a.price - b.price ||
          b.load - a.load ||
          a.warmImageCount - b.warmImageCount ||
          a.machine - b.machine,
      );
      for (const snapshot of present.slice(neededCount)) snapshot.surplus = true;
    });
  }

  /**
   * Adds a further release of the whole capacity of each machine, later than its last release by the mean estimated run
   * time of the waiting tasks: by then the tasks that the machine takes next are expected to have ended. Jobs that can
   * wait that long need no further machines.
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
        resources: resourcesOf(size),
      });
    }
  }

  /** The tasks of a machine, given by index, that may be preempted, with the work that stopping each would lose. */
  findPreemptionCandidates(index: number, guaranteed: ReadonlySet<Job>): PreemptionCandidate<Attempt>[] {
    const machine = this.cluster.machinesByIndex[index];
    if (!machine) return [];
    const now = this.deps.host.clock.now();
    return machine.liveAttempts().map((attempt) => ({
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
