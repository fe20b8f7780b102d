/** The state of one leadership: its jobs, machines and attempts, with the invariants between them. */
import { required } from '../base/required.ts';
import type { Job } from '../jobs/job.ts';
import type { Attempt } from '../workers/attempt.ts';
import type { Machine } from '../workers/machine.ts';

/** One run of a gang: the attempts of all its tasks under one number. */
export interface Gang {
  /** The attempt number that all members share; a later run has a higher one. */
  number: number;
  members: Set<Attempt>;
  /** Set when the run has ended or must end; a new one starts once all members are released. */
  ending: boolean;
}

/** What a team uses now, in CPUs and GPUs. */
interface TeamUsage {
  cpus: number;
  gpus: number;
}

/** Shared by the parts of a leadership. It starts empty and is discarded as a whole. */
export class Cluster {
  readonly jobs = new Map<string, Job>();
  readonly jobsByIndex = new Map<number, Job>();
  private readonly jobIndex = new Map<Job, number>();
  private nextJobIndex = 0;
  readonly machines = new Map<string, Machine>();
  /** All machines that ever joined; an index is never used again. */
  readonly machinesByIndex: Machine[] = [];
  readonly gangs = new Map<Job, Gang>();
  /** Attempts of a job that may be on their machine. */
  readonly liveAttempts = new Map<Job, Set<Attempt>>();
  /** What each team uses, by team index. */
  readonly usage: TeamUsage[];
  /** What earlier leaders stored is known: all open jobs, and all machines that may hold their tasks. */
  recovered = false;
  /** Something changed that a scheduling round should see. */
  dirty = true;
  /** Zones that seem to be cut off, by index: no machine is provisioned or waited for there. */
  readonly unreachableZones = new Set<number>();
  /** Machines that may need commands sent directly. */
  readonly commandsDue = new Set<Machine>();
  /**
   * Jobs whose outcome this leader has decided, until the watch reports their terminal record: a late event of their
   * creation must not add them again.
   */
  readonly completedJobs = new Set<string>();

  constructor(teams: number) {
    this.usage = Array.from({ length: teams }, () => ({ cpus: 0, gpus: 0 }));
  }

  /** Adds an open job under the next index. */
  addJob(job: Job): void {
    const index = this.nextJobIndex++;
    this.jobs.set(job.id, job);
    this.jobsByIndex.set(index, job);
    this.jobIndex.set(job, index);
    this.dirty = true;
  }

  /** Removes a job in a terminal state once none of its attempts can be on any machine. */
  removeIfCompleted(job: Job): void {
    if (job.terminalState === null || (this.liveAttempts.get(job)?.size ?? 0) > 0) return;
    this.jobs.delete(job.id);
    const index = this.jobIndex.get(job);
    if (index !== undefined) this.jobsByIndex.delete(index);
    this.jobIndex.delete(job);
    this.gangs.delete(job);
    this.liveAttempts.delete(job);
  }

  /** True once nothing that an earlier leader started can be on a machine without being known. */
  allReconciled(): boolean {
    for (const machine of this.machines.values()) if (!machine.reconciled) return false;
    return true;
  }

  /** From now on the attempt may be on its machine. */
  track(attempt: Attempt): void {
    const { job } = attempt;
    if (!job) return;
    let live = this.liveAttempts.get(job);
    if (!live) {
      live = new Set();
      this.liveAttempts.set(job, live);
    }
    live.add(attempt);
    job.attemptCounts.set(attempt.task, (job.attemptCounts.get(attempt.task) ?? 0) + 1);
    const usage = this.usageOf(job);
    usage.cpus += job.spec.cpus;
    usage.gpus += job.spec.gpus;
  }

  /**
   * The attempt is on no machine any more, for certain. Returns how many other attempts hold its task, or -1 if the
   * attempt wasn't tracked.
   */
  release(attempt: Attempt): number {
    const { job } = attempt;
    if (!job || !this.liveAttempts.get(job)?.delete(attempt)) return -1;
    const otherHolders =
      required(job.attemptCounts.get(attempt.task), 'count of the attempts that hold a task') - 1;
    if (otherHolders > 0) job.attemptCounts.set(attempt.task, otherHolders);
    else job.attemptCounts.delete(attempt.task);
    const usage = this.usageOf(job);
    usage.cpus -= job.spec.cpus;
    usage.gpus -= job.spec.gpus;
    return otherHolders;
  }

  private usageOf(job: Job): TeamUsage {
    return required(this.usage[job.team], 'usage of the team of a job');
  }

  /** Decides that an attempt must stop, with a grace in seconds; a shorter grace replaces a longer one. */
  stop(attempt: Attempt, graceS: number): void {
    if (attempt.released || (attempt.stopGraceS !== null && attempt.stopGraceS <= graceS)) return;
    attempt.decideStop(graceS);
    attempt.machine.expediteCommand();
    this.commandsDue.add(attempt.machine);
  }

  /** Decides that all attempts of a job must stop, with a grace in seconds. */
  stopAll(job: Job, graceS: number): void {
    for (const attempt of this.liveAttempts.get(job) ?? []) this.stop(attempt, graceS);
  }

  /** Adds the machine that `create` makes for the next index. */
  addMachine(create: (index: number) => Machine): Machine {
    const machine = create(this.machinesByIndex.length);
    this.machines.set(machine.name, machine);
    this.machinesByIndex.push(machine);
    return machine;
  }
}
