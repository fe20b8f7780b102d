import { required } from '../base/required.ts';
import type { MachineProvisioner, IdleMachine } from '../fleet/machine-provisioner.ts';
import type { Job } from '../jobs/job.ts';
import { selectVictims, type PreemptionCandidate } from '../scheduling/preempt.ts';
import { isWorthKeeping } from '../scheduling/idle-work.ts';
import { runRound } from '../scheduling/round.ts';
import {
  resourcesOf,
  allocate,
  type TaskGroup,
  type MachineSnapshot,
  type RoundResult,
  type QuotaHeadroom,
} from '../scheduling/snapshot.ts';
import { machineHealth } from '../workers/failure-attribution.ts';
import type { Attempt } from '../workers/attempt.ts';
import type { Machine } from '../workers/machine.ts';
import type { Attempts } from './attempts.ts';
import type { Cluster } from './cluster.ts';
import type { LeaderDeps } from './context.ts';
import { BUSY_MS } from '../base/event-loop-lag.ts';
import type { SchedulingSnapshots } from './scheduling-snapshots.ts';

const MAX_PREEMPTING_GROUPS = 8;
/** Time for orders and reports around a stop or a start. */
const SETTLE_S = 2;
/** How long the room that is made for a gang is kept, besides the time that the stopped tasks save. */
const RESERVATION_S = 6;
/** Rounds take at most about this share of the time, however slow the processor is. */
const MOST_SHARE = 0.3;
const BUSY_SHARE = 0.1;
const MOST_GAP_MS = 4000;
/**
 * A round this long keeps reports and new connections waiting: the first ones of a new leader, whose code is cold,
 * once took two seconds each, while workers gave up one after the other. It begins with few groups.
 */
const LONG_MS = 800;
const FIRST_GROUPS = 16;

/** Runs the flow rounds and carries out what they find. */
export class SchedulingRounds {
  private lastStart = -Infinity;
  private tookMs = 0;
  private count = 0;
  private mostGroups = FIRST_GROUPS;
  private placingSince = Infinity;
  /** Machines on which nothing but guests' work runs, and since when. */
  private readonly bestEffortOnlySince = new WeakMap<Machine, number>();

  constructor(
    private readonly cluster: Cluster,
    private readonly provisioner: MachineProvisioner,
    private readonly snapshots: SchedulingSnapshots,
    private readonly attempts: Attempts,
    private readonly deps: LeaderDeps,
  ) {}

  private now(): number {
    return this.deps.host.clock.now();
  }

  /** A round, if one is due. Without `place` it only rents. */
  run(place: boolean): void {
    const start = this.now();
    const { scheduling } = this.deps.options;
    const busy = this.deps.host.lagMs() > BUSY_MS;
    const restMs = Math.min(MOST_GAP_MS, this.tookMs / (busy ? BUSY_SHARE : MOST_SHARE));
    const due = this.cluster.dirty ? Math.max(scheduling.round_gap_ms, restMs) : 1000 + restMs;
    if (start - this.lastStart < due) return;
    this.lastStart = start;
    this.count += 1;
    this.cluster.dirty = false;
    const groups = this.snapshots.groups();
    const machines = this.snapshots.machineSnapshots();
    this.snapshots.markSurplus(machines, groups);
    this.snapshots.addNextWave(machines, groups);
    const teamRoom = this.snapshots.quotaHeadroom();
    const result = this.solve(groups, machines, teamRoom, start + scheduling.round_limit_ms);
    this.provisioner.setDemand(result.demand);
    for (const [index, zone] of result.zones) {
      const job = this.cluster.jobsByIndex.get(index);
      if (job) job.zoneHint = zone;
    }
    if (place) this.placingSince = Math.min(this.placingSince, start);
    if (place) this.carryOut(groups, machines, teamRoom, result);
    this.tookMs = this.now() - start;
    this.learn(groups.length, result.deferredGroupCount);
    this.deps.host.log.debug(
      {
        groups: groups.length,
        machines: machines.length,
        placed: result.placements.length,
        unplaced: result.unplaced.size,
        awaiting: result.awaiting.size,
        ms: Math.round(this.tookMs),
      },
      'round',
    );
  }

  /** Fits the number of groups to the time that rounds take. */
  private learn(groups: number, leftOut: number): void {
    if (this.tookMs > LONG_MS) this.mostGroups = Math.max(FIRST_GROUPS, Math.floor(groups * 0.6));
    else
      this.mostGroups = Math.min(this.deps.options.scheduling.max_groups, Math.ceil(this.mostGroups * 1.5));
    // Who was left out waits for the next round, whether anything changes or not.
    if (leftOut > 0) this.cluster.dirty = true;
  }

  private solve(
    groups: TaskGroup[],
    machines: MachineSnapshot[],
    teamRoom: readonly QuotaHeadroom[],
    deadline: number,
  ): RoundResult {
    const { scheduling } = this.deps.options;
    const { types } = this.deps.catalog;
    return runRound(
      [...groups, ...this.snapshots.expectedGroups()],
      machines,
      this.provisioner.provisioningOptions(this.cluster.unreachableZones),
      // Expected tasks have no team yet.
      [...teamRoom, { cpus: Infinity, gpus: Infinity }],
      (type) => {
        const t = types[type];
        return t ? resourcesOf(t) : null;
      },
      {
        reserveAfterMs: scheduling.reserve_after_s * 1000,
        roundNumber: this.count,
        maxGroups: Math.min(scheduling.max_groups, this.mostGroups),
        fetchSteps: scheduling.fetch_steps,
        priceSteps: scheduling.price_steps,
        rentSteps: scheduling.rent_steps,
        rentBiasS: scheduling.rent_bias_s,
        warmSteps: scheduling.warm_steps,
        roundDownFraction: scheduling.rent_round,
      },
      () => this.now() > deadline,
    );
  }

  private carryOut(
    groups: readonly TaskGroup[],
    machines: readonly MachineSnapshot[],
    teamRoom: QuotaHeadroom[],
    result: RoundResult,
  ): void {
    const byJob = new Map(groups.map((g) => [g.job, g]));
    const viewOf = new Map(machines.map((m) => [m.machine, m]));
    const victims = new PreemptionCandidates(this.snapshots);
    const gangNumbers = new Map<number, number>();
    for (const p of result.placements) {
      const job = required(this.cluster.jobsByIndex.get(p.job), 'placed job');
      const machine = required(this.cluster.machinesByIndex[p.machine], 'machine of a placement');
      const view = required(viewOf.get(p.machine), 'snapshot of the machine');
      const group = required(byJob.get(p.job), 'task group of the job');
      if (this.preemptForCachedImage(job, group, view, machines, teamRoom, victims)) continue;
      const headroom = required(teamRoom[group.team], 'quota headroom of the team');
      for (let i = 0; i < p.count; i++) {
        const number = (job.spec.gang ? gangNumbers.get(p.job) : undefined) ?? this.attempts.nextNumber();
        gangNumbers.set(p.job, number);
        if (!this.attempts.start(job, machine, number)) break;
        // What is placed takes room in what the rest of this round sees.
        allocate(view.free, group.need);
        view.load += 1;
        headroom.cpus -= group.need.cpus;
        headroom.gpus -= group.need.gpus;
      }
      this.deps.host.log.info({ job: job.id, machine: machine.name, tasks: p.count }, 'tasks placed');
    }
    // Whoever was left out may need what is idle now: it was once returned, and rented anew a moment later.
    if (result.deferredGroupCount === 0) {
      this.provisioner.terminateIdle(this.idleMachines(result.heldForExpected));
      this.consolidate(machines, result);
    }
    if (result.unplaced.size + result.awaiting.size > 0) {
      this.preempt(groups, result, machines, teamRoom, victims);
    }
  }

  private idleMachines(held: ReadonlySet<number>): IdleMachine[] {
    const now = this.now();
    const idle: IdleMachine[] = [];
    // While a new leader may not place, machines are idle for no reason of theirs.
    const from = this.placingSince;
    for (const m of this.cluster.machines.values()) {
      if (m.terminating || m.liveCount > 0 || !m.reconciled || held.has(m.index)) continue;
      // Not given back on mere suspicion: it is idle only because nothing is placed on it.
      if (machineHealth(m.failures, m.index, now) === 'quarantined') continue;
      idle.push({ name: m.name, type: m.type, idleMs: now - Math.max(m.idleSince, from) });
    }
    return idle;
  }

  /** Stops guests' work on machines beyond the present need that are too dear to be kept up for it. */
  private consolidate(machines: readonly MachineSnapshot[], result: RoundResult): void {
    const now = this.now();
    const used = new Set(result.placements.map((p) => p.machine));
    for (const view of machines) {
      const m = this.cluster.machinesByIndex[view.machine];
      if (!m) continue;
      const needed =
        !view.surplus ||
        used.has(m.index) ||
        result.heldForExpected.has(m.index) ||
        result.reserved.has(m.index);
      const tasks = needed || !m.reconciled ? null : this.snapshots.idleTasks(m);
      if (!tasks) {
        this.bestEffortOnlySince.delete(m);
        continue;
      }
      const since = this.bestEffortOnlySince.get(m) ?? now;
      this.bestEffortOnlySince.set(m, since);
      if (now - since < this.deps.options.fleet.idle_s * 1000 || isWorthKeeping(view.price, tasks)) continue;
      for (const a of m.live()) this.stopGracefully(a, 'consolidation for scale-in');
    }
  }

  private preempt(
    groups: readonly TaskGroup[],
    result: RoundResult,
    machines: readonly MachineSnapshot[],
    teamRoom: readonly QuotaHeadroom[],
    victims: PreemptionCandidates,
  ): void {
    if (!this.deps.options.scheduling.preempt) return;
    const guaranteed = this.snapshots.guaranteedJobs();
    const waitingOf = (g: TaskGroup): number =>
      g.nominatedMachine >= 0 || g.probe
        ? 0
        : (result.unplaced.get(g.job) ?? 0) + (result.awaiting.get(g.job) ?? 0);
    const pressing = groups.filter((g) => waitingOf(g) > 0).sort((a, b) => b.priority - a.priority);
    // A swarm of waiting jobs must not make a round long: the others get their turn in the next.
    for (const group of pressing.slice(0, MAX_PREEMPTING_GROUPS)) {
      // With room on its way, a guarantee alone is no reason to stop others.
      const guaranteeAfterMs = result.unplaced.has(group.job)
        ? this.deps.options.scheduling.guarantee_after_s * 1000
        : Infinity;
      let counted = new Set<number>();
      const pick = (zone: number): Attempt[] | null => {
        counted = new Set();
        return selectVictims(
          { ...group, zone },
          waitingOf(group),
          machines,
          (index) => victims.on(index, guaranteed),
          teamRoom,
          guaranteeAfterMs,
          result.reserved,
          counted,
        );
      };
      // Room is made in the zone that the round has chosen: made elsewhere it came to nothing, and was made twice.
      let chosen = pick(result.zones.get(group.job) ?? group.zone);
      if (chosen?.length === 0 && result.zones.has(group.job)) {
        chosen = pick(group.zone);
        const job = this.cluster.jobsByIndex.get(group.job);
        if (job && chosen?.[0]) job.zoneHint = chosen[0].machine.zone;
      }
      const job = this.cluster.jobsByIndex.get(group.job);
      if (job && group.gang && (chosen === null || chosen.length > 0))
        this.reserve(job, counted, chosen ?? []);
      if (!chosen) continue;
      const id = this.cluster.jobsByIndex.get(group.job)?.id ?? '?';
      for (const a of chosen) this.stopGracefully(a, `preempted for ${id}`);
      if (chosen.length > 0) victims.clear();
    }
  }

  /**
   * What was stopped for a gang must not make room for others: small tasks took it before the last of its machines
   * was free, and were stopped again in turn.
   */
  private reserve(job: Job, machines: ReadonlySet<number>, stopped: readonly Attempt[]): void {
    const saveS = Math.max(0, ...stopped.map((a) => a.job?.spec.checkpointDurationS ?? 0));
    const until = this.now() + (saveS + RESERVATION_S) * 1000;
    const first = stopped[0];
    if (first) job.reservation = { machines, zone: first.machine.zone, until };
    else if (job.reservation) job.reservation = { ...job.reservation, machines };
  }

  /**
   * A single task that must start soon and would spend its time fetching: if tasks of lower rank that can save
   * hold a machine with its image, they make room there. True if the task waits for that room.
   */
  private preemptForCachedImage(
    job: Job,
    group: TaskGroup,
    chosen: MachineSnapshot,
    machines: readonly MachineSnapshot[],
    teamRoom: readonly QuotaHeadroom[],
    victims: PreemptionCandidates,
  ): boolean {
    if (!group.latencySensitive || group.probe || job.spec.tasks !== 1 || group.nominatedMachine >= 0)
      return false;
    if (!this.deps.options.scheduling.preempt) return false;
    const fetchS = (m: MachineSnapshot): number => m.fetchS(group.image, group.imageGb);
    const slackS = group.slackS - SETTLE_S;
    if (fetchS(chosen) <= slackS) return false;
    const warm = machines.filter((m) => m.bootsInS === 0 && m.load > 0 && fetchS(m) === 0);
    const savable = (index: number): PreemptionCandidate<Attempt>[] =>
      victims.on(index, NOBODY).filter((v) => {
        const spec = v.item.job?.spec;
        return (
          v.stopping ||
          (spec !== undefined && spec.checkpointIntervalS > 0 && spec.checkpointDurationS < slackS)
        );
      });
    const picked = selectVictims(group, 1, warm, savable, teamRoom, Infinity, new Map());
    const first = picked?.[0];
    if (!picked || !first) return false;
    let saveS = 0;
    for (const a of picked) {
      this.stopGracefully(a, `cached image needed by ${job.id}`);
      saveS = Math.max(saveS, a.job?.spec.checkpointDurationS ?? 0);
    }
    victims.clear();
    job.nominatedMachine = { machine: first.machine.index, until: this.now() + (saveS + SETTLE_S) * 1000 };
    return true;
  }

  /** Stops a task so that it can save; of a gang all tasks at the same time. */
  stopGracefully(a: Attempt, reason: string): void {
    const job = required(a.job, 'job of the attempt');
    const graceS = job.spec.checkpointIntervalS > 0 ? job.spec.checkpointDurationS + 2 : 0;
    const gang = job.spec.gang ? this.cluster.gangs.get(job) : undefined;
    this.deps.host.log.info({ job: job.id, task: a.task, machine: a.machine.name, reason }, 'task preempted');
    if (!gang) {
      this.cluster.stop(a, graceS);
      return;
    }
    gang.ending = true;
    for (const member of gang.members) this.cluster.stop(member, graceS);
  }
}

const NOBODY: ReadonlySet<Job> = new Set();

/** The tasks on machines as candidates to be stopped, looked up once a round and machine. */
class PreemptionCandidates {
  private readonly found = new Map<number, PreemptionCandidate<Attempt>[]>();
  private guaranteed: ReadonlySet<Job> | null = null;

  constructor(private readonly views: SchedulingSnapshots) {}

  on(machine: number, guaranteed: ReadonlySet<Job>): PreemptionCandidate<Attempt>[] {
    if (this.guaranteed !== guaranteed) {
      this.found.clear();
      this.guaranteed = guaranteed;
    }
    let list = this.found.get(machine);
    if (!list) {
      list = this.views.preemptionCandidates(machine, guaranteed);
      this.found.set(machine, list);
    }
    return list;
  }

  /** Tasks have been stopped since. */
  clear(): void {
    this.found.clear();
  }
}
