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
  readonly jobList = new Map<number, Job>();
  private readonly jobIndex = new Map<Job, number>();
  private nextJob = 0;
  readonly machines = new Map<string, Machine>();
  readonly byIndex: Machine[] = [];
  readonly gangs = new Map<Job, Gang>();
  /** Attempts of a job that may be anywhere. */
  readonly liveOf = new Map<Job, Set<Attempt>>();
  readonly usage: { cpus: number; gpus: number }[];
  /** Something changed that a round should see. */
  dirty = true;
  /** Zones that are cut off, as far as can be told: nothing is rented or waited for there. */
  readonly darkZones = new Set<number>();
  /** Machines that may need orders sent straight to them. */
  readonly toPush = new Set<Machine>();
  /**
   * Jobs that this leader has ended, until the watch tells of their final record: a late event of their creation must not
   * bring them back to life.
   */
  readonly over = new Set<string>();

  constructor(teams: number) {
    this.usage = Array.from({ length: teams }, () => ({ cpus: 0, gpus: 0 }));
  }

  addJob(job: Job): void {
    const index = this.nextJob++;
    this.jobs.set(job.id, job);
    this.jobList.set(index, job);
    this.jobIndex.set(job, index);
    this.dirty = true;
  }

  /** Drops a job that is over once none of its tasks can be anywhere. */
  forgetIfEmpty(job: Job): void {
    if (job.final === null || (this.liveOf.get(job)?.size ?? 0) > 0) return;
    this.jobs.delete(job.id);
    const index = this.jobIndex.get(job);
    if (index !== undefined) this.jobList.delete(index);
    this.jobIndex.delete(job);
    this.gangs.delete(job);
    this.liveOf.delete(job);
  }

  /** Nothing an earlier leader started can be unknown any more. */
  allAccounted(): boolean {
    for (const m of this.machines.values()) if (!m.accounted) return false;
    return true;
  }

  /** From now on the attempt may be on its machine. */
  hold(a: Attempt): void {
    if (!a.job) return;
    let live = this.liveOf.get(a.job);
    if (!live) {
      live = new Set();
      this.liveOf.set(a.job, live);
    }
    live.add(a);
    a.job.holders.set(a.task, (a.job.holders.get(a.task) ?? 0) + 1);
    const use = this.usage[a.job.team]!;
    use.cpus += a.job.spec.cpus;
    use.gpus += a.job.spec.gpus;
  }

  /** The attempt is surely nowhere; returns how many others hold its task, or -1 if it wasn't held. */
  letGo(a: Attempt): number {
    const { job } = a;
    if (!job || !this.liveOf.get(job)?.delete(a)) return -1;
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
    a.machine.pushAfter = 0;
    this.toPush.add(a.machine);
  }

  stopAll(job: Job, graceS: number): void {
    for (const a of this.liveOf.get(job) ?? []) this.stop(a, graceS);
  }

  addMachine(make: (index: number) => Machine): Machine {
    const machine = make(this.byIndex.length);
    this.machines.set(machine.name, machine);
    this.byIndex.push(machine);
    return machine;
  }
}
