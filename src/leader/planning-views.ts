import type { Job } from '../jobs/job.ts';
import type { IdleTask } from '../scheduling/idle-work.ts';
import type { VictimView } from '../scheduling/preempt.ts';
import {
  fits,
  roomOf,
  type GroupView,
  type MachineView,
  type Room,
  type TeamRoom,
} from '../scheduling/view.ts';
import type { Attempt, Machine } from '../workers/machine.ts';
import type { Cluster } from './cluster.ts';
import { GuestWork } from './guest-work.ts';
import { JobGroups } from './job-groups.ts';
import { MachineViews } from './machine-views.ts';
import type { PlanningDeps, PlanningSources } from './planning-sources.ts';

/** A start that is undone at once was for nothing: others are stopped rather. */
const JUST_STARTED_MS = 30_000;
const JUST_STARTED_S = 5;

/** Turns what the leader knows into what a round sees. It changes nothing but the views it makes. */
export class PlanningViews {
  private readonly c: Cluster;
  private readonly guests: GuestWork;
  private readonly jobs: JobGroups;
  private readonly machines: MachineViews;

  constructor(
    sources: PlanningSources,
    private readonly deps: PlanningDeps,
  ) {
    this.c = sources.cluster;
    this.guests = new GuestWork(deps);
    this.jobs = new JobGroups(sources, deps, this.guests);
    this.machines = new MachineViews(sources, deps);
  }

  machineViews(): MachineView[] {
    return this.machines.all();
  }

  groups(): GroupView[] {
    return this.jobs.groups();
  }

  expectedGroups(): GroupView[] {
    return this.jobs.expectedGroups();
  }

  guaranteedJobs(): Set<Job> {
    return this.jobs.guaranteedJobs();
  }

  idleTasks(machine: Machine): IdleTask[] | null {
    return this.guests.idleTasks(machine);
  }

  /** What each team may still use, by its limit. */
  teamRooms(): TeamRoom[] {
    // Machines not accounted for may run anything of any team that they can hold.
    let hiddenCpus = 0;
    let hiddenGpus = 0;
    for (const m of this.c.machines.values()) {
      if (m.accounted && !m.hasForeign) continue;
      const type = this.deps.catalog.types[m.type];
      hiddenCpus += type?.cpus ?? Infinity;
      hiddenGpus += type?.gpus ?? Infinity;
    }
    return this.deps.teams.map((team, i) => ({
      cpus: team.cpusMax > 0 ? team.cpusMax - this.c.usage[i]!.cpus - hiddenCpus : Infinity,
      gpus: team.gpusMax > 0 ? team.gpusMax - this.c.usage[i]!.gpus - hiddenGpus : Infinity,
    }));
  }

  /**
   * Marks the machines beyond what the present work needs as dearer than the others, though never as dear as
   * room to come: they take tasks only when the others are full, and so run empty and can be given back.
   */
  park(machines: readonly MachineView[], groups: readonly GroupView[]): void {
    const { park_headroom } = this.deps.options.scheduling;
    const shareOf = (need: Room, size: Room): number =>
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
        this.guests.takeFrom(used, this.c.byIndex[m.machine]);
        need += shareOf(used, size);
      }
      for (const g of groups) {
        if (g.guest || (g.types && !g.types.has(type)) || fits(g.need, size) === 0) continue;
        need += g.pending / fits(g.need, size);
      }
      const active = Math.ceil(need + park_headroom);
      present.sort(
        (a, b) => a.price - b.price || b.load - a.load || a.warm - b.warm || a.machine - b.machine,
      );
      for (const m of present.slice(active)) m.parked = true;
    });
  }

  /**
   * Once more the whole room of each machine, for when the tasks that it runs or is about to take have ended:
   * a queue that can wait that long needs no machines of its own.
   */
  addNextWave(machines: readonly MachineView[], groups: readonly GroupView[]): void {
    let tasks = 0;
    let seconds = 0;
    for (const g of groups) {
      tasks += g.pending;
      seconds += g.pending * (this.c.jobList.get(g.job)?.spec.estimateS ?? 0);
    }
    if (tasks === 0) return;
    for (const m of machines) {
      const size = this.deps.catalog.types[m.type]!;
      const last = m.leaving.at(-1)?.inS ?? m.bootsInS;
      m.leaving.push({
        inS: last + seconds / tasks,
        room: roomOf(size),
      });
    }
  }

  /** The tasks of a machine that could be stopped to make room, with what stopping them would lose. */
  victims(index: number, guaranteed: ReadonlySet<Job>): VictimView<Attempt>[] {
    const m = this.c.byIndex[index];
    if (!m) return [];
    const now = this.deps.host.clock.now();
    return m.live().map((a) => ({
      item: a,
      priority: a.job?.spec.priority ?? 99,
      team: a.job?.team ?? -1,
      beyondGuarantee: a.job !== null && !guaranteed.has(a.job),
      stopping: a.stopGraceS !== null,
      need: a.job ? roomOf(a.job.spec) : { cpus: 0, gpus: 0, memory: 0 },
      lossS:
        a.runningSince === null
          ? 0
          : a.job && a.job.spec.checkpointS > 0
            ? a.job.spec.saveS + (now - a.runningSince < JUST_STARTED_MS ? JUST_STARTED_S : 0)
            : (now - a.runningSince) / 1000,
    }));
  }
}
