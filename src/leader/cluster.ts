import type { Job } from '../jobs/job.ts';
import type { Attempt, Machine } from '../workers/machine.ts';

export interface Gang {
  number: number;
  members: Set<Attempt>;
  /** Set when the run is over or must end; a new one starts once all members are released. */
  ending: boolean;
}

/** The state of one leadership, shared by its parts. It starts empty and is thrown away whole. */
export class Cluster {
  readonly jobs = new Map<string, Job>();
  readonly jobsByIndex = new Map<number, Job>();
  private readonly jobIndex = new Map<Job, number>();
  private nextJob = 0;
  readonly machines = new Map<string, Machine>();
  readonly machinesByIndex: Machine[] = [];
  readonly gangs = new Map<Job, Gang>();
  /** Attempts of a job that may be anywhere. */
  readonly liveAttempts = new Map<Job, Set<Attempt>>();
  readonly usage: { cpus: number; gpus: number }[];
  /** What earlier leaders stored is known: all open jobs, and all machines that may hold their tasks. */
  recovered = false;
  /** Something changed that a round should see. */
  dirty = true;
  /** Zones that are cut off, as far as can be told: nothing is rented or waited for there. */
  readonly unreachableZones = new Set<number>();
  /** Machines that may need orders sent straight to them. */
  readonly commandsDue = new Set<Machine>();
  /**
   * Jobs that this leader has ended, until the watch tells of their final record: a late event of their creation must not
   * bring them back to life.
   */
  readonly completedJobs = new Set<string>();

  constructor(teams: number) {
    this.usage = Array.from({ length: teams }, () => ({ cpus: 0, gpus: 0 }));
  }

  addJob(job: Job): void {
    const index = this.nextJob++;
    this.jobs.set(job.id, job);
    this.jobsByIndex.set(index, job);
    this.jobIndex.set(job, index);
    this.dirty = true;
  }

  /** Drops a job that is over once none of its tasks can be anywhere. */
  removeIfCompleted(job: Job): void {
    if (job.terminalState === null || (this.liveAttempts.get(job)?.size ?? 0) > 0) return;
    this.jobs.delete(job.id);
    const index = this.jobIndex.get(job);
    if (index !== undefined) this.jobsByIndex.delete(index);
    this.jobIndex.delete(job);
    this.gangs.delete(job);
    this.liveAttempts.delete(job);
  }

  /** Nothing an earlier leader started can be unknown any more. */
  allReconciled(): boolean {
    for (const m of this.machines.values()) if (!m.reconciled) return false;
    return true;
  }

  /** From now on the attempt may be on its machine. */
  track(a: Attempt): void {
    if (!a.job) return;
    let live = this.liveAttempts.get(a.job);
    if (!live) {
      live = new Set();
      this.liveAttempts.set(a.job, live);
    }
    live.add(a);
    a.job.holders.set(a.task, (a.job.holders.get(a.task) ?? 0) + 1);
    const use = this.usage[a.job.team]!;
    use.cpus += a.job.spec.cpus;
    use.gpus += a.job.spec.gpus;
  }

  /** The attempt is surely nowhere; returns how many others hold its task, or -1 if it wasn't held. */
  release(a: Attempt): number {
    const { job } = a;
    if (!job || !this.liveAttempts.get(job)?.delete(a)) return -1;
    const others = job.holders.get(a.task)! - 1;
    if (others > 0) job.holders.set(a.task, others);
    else job.holders.delete(a.task);
    const use = this.usage[job.team]!;
    use.cpus -= job.spec.cpus;
    use.gpus -= job.spec.gpus;
    return others;
  }

  /** Decides that a task must stop; a shorter grace replaces a longer one. */
  stop(a: Attempt, graceS: number): void {
    if (a.released || (a.stopGraceS !== null && a.stopGraceS <= graceS)) return;
    a.stopGraceS = graceS;
    a.machine.commandNotBefore = 0;
    this.commandsDue.add(a.machine);
  }

  stopAll(job: Job, graceS: number): void {
    for (const a of this.liveAttempts.get(job) ?? []) this.stop(a, graceS);
  }

  addMachine(make: (index: number) => Machine): Machine {
    const machine = make(this.machinesByIndex.length);
    this.machines.set(machine.name, machine);
    this.machinesByIndex.push(machine);
    return machine;
  }
}
