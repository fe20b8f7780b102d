import type { Attempt, Machine } from '../workers/machine.ts';
import type { Cluster } from './cluster.ts';
import type { NameIndex } from '../base/name-index.ts';
import type { Clock } from '../base/clock.ts';
import type { Settings } from '../config/settings.ts';
import type { Options } from '../config/options.ts';
import type { Catalog } from '../fleet/catalog.ts';
import type { Fleet } from '../fleet/fleet.ts';
import type { TeamLimits } from '../jobs/admission.ts';
import type { Job } from '../jobs/job.ts';
import type { ArrivalForecast } from '../scheduling/forecast.ts';
import type { VictimView } from '../scheduling/preempt.ts';
import {
  fetchTime,
  fits,
  mergeLeaving,
  roomOf,
  takeRoom,
  type GroupView,
  type MachineView,
  type Room,
  type TeamRoom,
} from '../scheduling/view.ts';
import type { IdleTask } from '../scheduling/idle-work.ts';
import { isFailing, judgeMachine } from '../workers/failure-attribution.ts';
import { shareGuarantees, type GuaranteeLeft } from '../scheduling/urgency.ts';
import type { JobRequest } from '../wire/user.ts';

/** What a round is made of. */
export interface PlanningSources {
  readonly cluster: Cluster;
  readonly fleet: Fleet;
  readonly forecast: ArrivalForecast;
  readonly quickImages: ReadonlySet<string>;
}

export interface PlanningDeps {
  host: { clock: Clock };
  settings: Settings;
  options: Options;
  teams: readonly TeamLimits[];
  zones: NameIndex;
  catalog: Catalog;
  term: number;
}

/** With so many tasks a job that has waited long begins. */
const FIRST_TASKS = 4;
/** Longer than any job waits. */
const LONGEST_MS = 1e9;
/** A start that is undone at once was for nothing: others are stopped rather. */
const JUST_STARTED_MS = 30_000;
const JUST_STARTED_S = 5;
const NO_MACHINES: ReadonlySet<number> = new Set();
/**
 * So long after its last failure a job takes the machines that it failed on again: they may be the only ones that fit.
 */
const AVOID_MS = 30_000;
/** Reports that a machine may leave out and still be given work; one may have been overtaken by a direct answer. */
const MOST_REPORTS_MISSED = 2.5;
/** Cost steps of a machine for each job that has failed on it. */
const PENALTY_STEPS = 5;
/** A failing job that has found no room on a present machine for so long may have one rented. */
const PROBE_RENTS_AFTER_MS = 60_000;

/** Work that nobody waits for may cost as much again after each such time. */
const IDLE_PATIENCE_MS = 600_000;
/** Time to spare that a job must have beside its whole run time for its tasks to be stopped for their machine's price. */
const STOPPABLE_SLACK_S = 60;
/** A task past its estimate is given this part of what it has run. */
const OUTLIVED_SHARE = 0.3;

/** The share of a machine that belongs to each of its accelerators. */
function perAccelerator(size: Room): Room | null {
  if (size.gpus === 0) return null;
  return { cpus: size.cpus / size.gpus, gpus: 1, memory: size.memory / size.gpus };
}

/** The work that waits, of each job against what the jobs of its class have on average. */
class MeanWork {
  private readonly noted: { group: GroupView; className: string; work: number; perTask: boolean }[] = [];

  note(group: GroupView, className: string, work: number, perTask: boolean): void {
    this.noted.push({ group, className, work, perTask });
  }

  giveSizes(): void {
    const classes = new Map<string, { sum: number; count: number }>();
    for (const { className, work } of this.noted) {
      const known = classes.get(className) ?? { sum: 0, count: 0 };
      classes.set(className, { sum: known.sum + work, count: known.count + 1 });
    }
    for (const { group, className, work, perTask } of this.noted) {
      const { sum, count } = classes.get(className)!;
      if (!perTask && sum > 0) group.size = (work * count) / sum;
    }
  }
}

/** Turns what the leader knows into what a round sees. It changes nothing but the views it makes. */
export class PlanningViews {
  private readonly c: Cluster;

  constructor(
    private readonly sources: PlanningSources,
    private readonly deps: PlanningDeps,
  ) {
    this.c = sources.cluster;
  }

  private freeOf(m: Machine): Room {
    const type = this.deps.catalog.types[m.type];
    if (!type || m.hasForeign) return { cpus: 0, gpus: 0, memory: 0 };
    const free = roomOf(type);
    for (const a of m.attempts.values()) if (!a.released && a.job) takeRoom(free, a.job.spec);
    return free;
  }

  /** When the running tasks of a machine are expected to leave, by their owners' estimates. */
  private leavingOf(m: Machine, now: number): MachineView['leaving'] {
    const leaving: MachineView['leaving'] = [];
    for (const a of m.attempts.values()) {
      if (a.released || !a.job) continue;
      const { spec } = a.job;
      const room = roomOf(spec);
      let inS: number;
      if (a.stopGraceS !== null) inS = a.stopGraceS;
      else {
        const ranS = a.runningSince === null ? 0 : (now - a.runningSince) / 1000;
        // A task past its estimate has outlived it: it is given a good part of what it has run.
        inS = Math.max(spec.estimateS - ranS, ranS * OUTLIVED_SHARE, 3);
      }
      leaving.push({ inS, room });
    }
    return mergeLeaving(leaving.sort((x, y) => x.inS - y.inS));
  }

  /**
   * Seconds that a job can still wait without missing the next thing expected of its class, or -1 if it has
   * missed them all. Estimates are often too low, so a part is added.
   */
  private slackOf(job: Job, guaranteed: boolean): { slackS: number; patienceS: number; perTask: boolean } {
    const { spec } = job;
    const ageS = (this.deps.host.clock.wall() - job.createdWall) / 1000;
    const runS = spec.estimateS * this.deps.options.scheduling.estimate_margin;
    let slackS = Infinity;
    // A guarantee decides who goes first; whether to rent is for what is expected of the class.
    let ownS = Infinity;
    let watched = false;
    let perTask = false;
    for (const o of this.deps.settings.settings.objectives) {
      if (o.kind === 'guarantee' ? !guaranteed : o.class !== spec.className) continue;
      let left: number;
      if ((o.kind === 'wait' || o.kind === 'guarantee') && o.within_s) left = o.within_s - ageS;
      else if (o.kind === 'finished' && o.within_s) left = o.within_s - ageS - runS;
      else if (o.kind === 'deadline' && spec.deadlineS) left = spec.deadlineS * (o.times ?? 1) - ageS - runS;
      else continue;
      watched = true;
      if (left > 0 && left < slackS) {
        slackS = left;
        perTask = o.kind === 'wait' || o.kind === 'guarantee';
      }
      if (left > 0 && o.kind !== 'guarantee') ownS = Math.min(ownS, left);
    }
    const { patience_share, patience_max_s } = this.deps.options.fleet;
    // Once late, money decides.
    const patienceS =
      watched && ownS === Infinity ? patience_max_s / 2 : Math.min(patience_max_s, ownS * patience_share);
    return { slackS: watched && slackS === Infinity ? -1 : slackS, patienceS, perTask };
  }

  /** Work of the lowest rank of a team without a guarantee. */
  isGuest(job: Job): boolean {
    const team = this.deps.teams[job.team]!;
    return job.spec.priority === 0 && team.cpus === 0 && team.gpus === 0;
  }

  /**
   * The most that a machine may cost an hour for each task of work that nobody waits for. The bound rises with the
   * job's age, so that it begins at last where nothing cheap can be had.
   */
  private worthOf(job: Job): number {
    const { idle_price_times } = this.deps.options.fleet;
    let least = Infinity;
    for (const type of this.deps.catalog.types) {
      if (job.spec.types && !job.spec.types.includes(type.name)) continue;
      const tasks = fits(job.spec, type);
      if (tasks === 0) continue;
      const price = job.spec.spot ? Math.min(type.price, type.spotPrice) : type.price;
      least = Math.min(least, price / tasks);
    }
    const ageMs = this.deps.host.clock.wall() - job.createdWall;
    return least * idle_price_times * (1 + Math.max(0, ageMs) / IDLE_PATIENCE_MS);
  }

  /**
   * The tasks of a machine that runs nothing but guests' work which can be stopped without being late; else null.
   */
  idleTasks(m: Machine): IdleTask[] | null {
    const now = this.deps.host.clock.now();
    const tasks: IdleTask[] = [];
    for (const a of m.attempts.values()) {
      if (a.released) continue;
      const { job } = a;
      if (!job || !this.isGuest(job) || job.spec.gang || a.stopGraceS !== null) return null;
      if (a.runningSince === null || this.slackOf(job, false).slackS < STOPPABLE_SLACK_S) return null;
      const ranS = (now - a.runningSince) / 1000;
      const { checkpointS, saveS, estimateS } = job.spec;
      tasks.push({
        worth: this.worthOf(job),
        remainS: Math.max(estimateS - ranS, ranS * OUTLIVED_SHARE),
        lossS: checkpointS > 0 ? saveS : ranS,
      });
    }
    return tasks.length > 0 ? tasks : null;
  }

  /** Cost steps of a machine that failed tasks of jobs which are not known to fail everywhere. */
  private failurePenalty(m: Machine): number {
    let jobs = 0;
    for (const job of m.failures.jobs) if (!isFailing(job)) jobs += 1;
    return jobs * PENALTY_STEPS;
  }

  private warmth(m: Machine): number {
    let warm = 0;
    for (const image of m.images.keys()) if (this.sources.quickImages.has(image)) warm += 1;
    return warm;
  }

  machineViews(): MachineView[] {
    const views: MachineView[] = [];
    const now = this.deps.host.clock.now();
    for (const m of this.c.machines.values()) {
      const type = this.deps.catalog.types[m.type];
      if (!type || m.returning || m.takenAt !== null) continue;
      if (m.session === 0 || m.sessionOver) continue;
      const reportMs = this.deps.settings.settings.workers.report_s * 1000;
      if (now - m.heardAt > reportMs * 1.6) continue;
      // Answers to orders and questions renew no lease: what is started on a machine that reaches nobody dies with it.
      if (now - m.reportedAt > reportMs * MOST_REPORTS_MISSED) continue;
      // Work must not wait on a machine that may be no more than a late copy of a report, or that hears nothing.
      if (m.token !== this.deps.term || m.unheard > 0) continue;
      if (judgeMachine(m.failures, m.index, now) !== 'healthy') continue;
      const fetchingS = m.fetchingUntil > now ? (m.fetchingUntil - now) / 1000 : 0;
      views.push({
        machine: m.index,
        type: m.type,
        zone: m.zone,
        spot: m.id.spot,
        free: this.freeOf(m),
        perAccelerator: perAccelerator(type),
        leaving: this.leavingOf(m, now),
        load: m.liveCount,
        // Up, but not yet written to the roster: that takes a moment, no new machine.
        bootsInS: m.rostered ? 0 : 1,
        fetchS: (image, gb) => {
          const readyAt = m.images.get(image);
          // Several images share the rate.
          if (readyAt === undefined) return fetchTime(gb, type.fetchGbPerS) + fetchingS;
          return Math.max(0, readyAt - now) / 1000;
        },
        warm: this.warmth(m),
        parked: false,
        penalty: this.failurePenalty(m),
        price: m.id.spot ? type.spotPrice : type.price,
      });
    }
    for (const b of this.sources.fleet.booting()) {
      if (this.c.darkZones.has(b.zone)) continue;
      const type = this.deps.catalog.types[b.type]!;
      views.push({
        machine: -1 - b.index,
        type: b.type,
        zone: b.zone,
        spot: b.spot,
        free: roomOf(type),
        perAccelerator: perAccelerator(type),
        leaving: [],
        load: 0,
        bootsInS: Math.max(1, type.bootS - (now - b.rentedAt) / 1000),
        fetchS: (_image, gb) => fetchTime(gb, type.fetchGbPerS),
        warm: 0,
        parked: false,
        penalty: 0,
        price: b.spot ? type.spotPrice : type.price,
      });
    }
    return views;
  }

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

  /** Jobs that fit their team's guarantee together with the team's earlier unfinished ones. */
  guaranteedJobs(): Set<Job> {
    const found = new Set<Job>();
    const used = this.deps.teams.map(() => ({ cpus: 0, gpus: 0 }));
    const ordered = [...this.c.jobs.values()].filter((j) => j.ending === null);
    ordered.sort((a, b) => a.createdWall - b.createdWall);
    for (const job of ordered) {
      const team = this.deps.teams[job.team]!;
      const sum = used[job.team]!;
      const left = job.spec.tasks - job.doneCount;
      sum.cpus += job.spec.cpus * left;
      sum.gpus += job.spec.gpus * left;
      const gpus = job.spec.gpus === 0 || sum.gpus <= team.gpus + 1e-9;
      const cpus = team.cpus === 0 ? job.spec.gpus > 0 : sum.cpus <= team.cpus + 1e-9;
      if (gpus && cpus) found.add(job);
    }
    return found;
  }

  /** The only zone in which a job may be, or -1: its own, or the one in which room is being made for it. */
  private zoneOf(job: Job, now: number): number {
    const { spec, roomMade } = job;
    if (spec.zone !== null) return this.deps.zones.index(spec.zone);
    // Choosing another zone meanwhile, a gang stopped others in both, again and again.
    return spec.oneZone && roomMade && now <= roomMade.until ? roomMade.zone : -1;
  }

  groups(): GroupView[] {
    const now = this.deps.host.clock.now();
    const accounted = this.c.allAccounted();
    const guaranteed = this.guaranteedJobs();
    const groups: GroupView[] = [];
    const { scheduling } = this.deps.options;
    const work = new MeanWork();
    for (const [index, job] of this.c.jobList) {
      if (job.ending !== null || job.pendingCount === 0 || now < job.notBefore) continue;
      const able = accounted ? job.pendingCount : job.surelyPending();
      if (able === 0) continue;
      const live = this.c.liveOf.get(job)?.size ?? 0;
      if (job.spec.gang && (this.c.gangs.has(job) || live > 0)) continue;
      const probe = isFailing(job.failures);
      if (probe && live > 0) continue;
      const spec = job.spec;
      const waitedMs = now - job.waitingSince;
      // Under a backlog who is late soonest goes first, whoever comes: nothing bounds the wait for a first task. A few
      // first tasks go before everything else of their rank; the rest takes its turn.
      const starving = !spec.gang && job.untouched && waitedMs > scheduling.begin_after_s * 1000;
      let pending = starving ? Math.min(able, FIRST_TASKS) : able;
      // One task shows whether the job still fails; of a gang all are needed for that.
      if (probe && !spec.gang) pending = 1;
      const { slackS, patienceS, perTask } = this.slackOf(job, guaranteed.has(job));
      const guest = this.isGuest(job);
      // Nothing is expected of its class at any time.
      const idle = guest && slackS === Infinity;
      const liveByZone = new Map<number, number>();
      if (spec.oneZone || spec.spread) {
        for (const a of this.c.liveOf.get(job) ?? []) {
          liveByZone.set(a.machine.zone, (liveByZone.get(a.machine.zone) ?? 0) + 1);
        }
      }
      groups.push({
        job: index,
        team: job.team,
        pending,
        gang: spec.gang,
        priority: spec.priority,
        need: roomOf(spec),
        types: spec.types ? new Set(spec.types.map((t) => this.deps.catalog.typeIndex(t))) : null,
        zone: this.zoneOf(job, now),
        spot: spec.spot,
        // A single task is in one zone whatever its job says, so the flow may choose among all.
        oneZone: spec.oneZone && spec.tasks > 1,
        zoneHint: job.zoneHint,
        zoneCap: spec.spread ? Math.ceil(spec.tasks / 2) : Infinity,
        liveByZone,
        quick: this.sources.forecast.watches(spec.className),
        expected: false,
        waitedMs: probe ? 0 : starving ? LONGEST_MS + waitedMs : waitedMs,
        probe,
        guest: guest && !starving,
        rentPriceMost: idle ? this.worthOf(job) : Infinity,
        rents: !probe || now - job.notBefore > PROBE_RENTS_AFTER_MS,
        image: spec.image,
        imageGb: spec.imageGb,
        avoid: now - job.failures.lastStrikeAt > AVOID_MS ? NO_MACHINES : job.avoid,
        only: job.aim && now <= job.aim.until ? job.aim.machine : -1,
        roomMade: job.roomMade && now <= job.roomMade.until ? job.roomMade.machines : NO_MACHINES,
        patienceS,
        slackS,
        guaranteed: false,
        size: 0,
      });
      work.note(groups.at(-1)!, spec.className, job.pendingCount * spec.estimateS, perTask || spec.gang);
    }
    work.giveSizes();
    shareGuarantees(groups, this.guaranteesLeft(), scheduling.reserve_after_s * 1000);
    return groups;
  }

  private guaranteesLeft(): GuaranteeLeft[] {
    return this.deps.teams.map((team, i) => ({
      cpus: team.cpus > 0 ? team.cpus - this.c.usage[i]!.cpus : null,
      gpus: team.gpus - this.c.usage[i]!.gpus,
    }));
  }

  /** Room to keep at hand for classes that must start soon: groups like any other, but nothing is placed. */
  expectedGroups(): GroupView[] {
    const { scheduling } = this.deps.options;
    const bootOf = (job: JobRequest): number => {
      let best: { price: number; bootS: number } | null = null;
      for (const type of this.deps.catalog.types) {
        if (job.types && !job.types.includes(type.name)) continue;
        if (fits(job, type) === 0) continue;
        if (!best || type.price < best.price) best = type;
      }
      return best?.bootS ?? 0;
    };
    const expected = this.sources.forecast.expected(
      this.deps.host.clock.wall(),
      bootOf,
      scheduling.spare_swing,
    );
    return expected.map((e, i) => ({
      job: -1 - i,
      team: this.deps.teams.length,
      pending: e.tasks,
      gang: false,
      priority: 0,
      need: roomOf(e.like),
      types: e.like.types ? new Set(e.like.types.map((t) => this.deps.catalog.typeIndex(t))) : null,
      zone: -1,
      spot: e.like.spot,
      oneZone: false,
      zoneHint: -1,
      zoneCap: Infinity,
      liveByZone: new Map(),
      quick: true,
      expected: true,
      waitedMs: 0,
      probe: false,
      rents: true,
      guest: false,
      rentPriceMost: Infinity,
      image: e.like.image,
      imageGb: 0,
      avoid: new Set(),
      only: -1,
      roomMade: NO_MACHINES,
      patienceS: scheduling.spare_patience_s,
      slackS: Infinity,
      guaranteed: false,
      size: 0,
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
        this.takeGuests(m, used);
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

  /** Takes what guests use out of the used room of a machine: they make no machine needed. */
  private takeGuests(m: MachineView, used: Room): void {
    for (const a of this.c.byIndex[m.machine]?.attempts.values() ?? []) {
      if (!a.released && a.job && this.isGuest(a.job)) takeRoom(used, roomOf(a.job.spec));
    }
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
