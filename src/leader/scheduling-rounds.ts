/** Runs scheduling rounds, and applies what they decide to the cluster. */
import { required } from '../base/required.ts';
import type { MachineProvisioner, IdleMachine } from '../fleet/machine-provisioner.ts';
import type { Job } from '../jobs/job.ts';
import { selectVictims, type PreemptionCandidate } from '../scheduling/preempt.ts';
import { isWorthKeeping } from '../scheduling/best-effort-tasks.ts';
import { runRound } from '../scheduling/round.ts';
import {
  resourcesOf,
  allocate,
  type TaskGroup,
  type MachineSnapshot,
  type RoundResult,
  type QuotaHeadroom,
} from '../scheduling/snapshot.ts';
import { assessMachineHealth } from '../workers/failure-attribution.ts';
import type { Attempt } from '../workers/attempt.ts';
import type { Machine } from '../workers/machine.ts';
import type { Attempts } from './attempts.ts';
import type { Cluster } from './cluster.ts';
import type { LeaderDeps } from './context.ts';
import { MIN_BUSY_LAG_MS } from '../base/event-loop-lag.ts';
import type { SchedulingSnapshots } from './scheduling-snapshots.ts';

const MAX_PREEMPTING_GROUPS = 8;
/** Allowance in seconds for the commands and heartbeats around a stop or a start. */
const COMMAND_LATENCY_S = 2;
/** How long the reservation of a gang lasts beyond the time in which the preempted tasks save their checkpoints. */
const RESERVATION_MARGIN_S = 6;
/** Rounds take at most about this share of the time, also on a slow processor: long ones start at longer intervals. */
const MAX_ROUND_TIME_RATIO = 0.3;
/** The same while the event loop lags. */
const MAX_ROUND_TIME_RATIO_BUSY = 0.1;
/** Longest interval between the starts of two rounds that these ratios lead to. */
const MAX_THROTTLED_INTERVAL_MS = 4000;
/** A longer round delays heartbeats and new connections, so the rounds after it consider fewer groups. */
const LONG_ROUND_MS = 800;
/**
 * Limit on the groups of a leader's first round, and the lowest limit of any round. The code of a new leader is not
 * compiled yet: without a low limit its first rounds take two seconds each, in which one worker after the other gives
 * up waiting for an answer.
 */
const MIN_GROUP_LIMIT = 16;

/** Runs the scheduling rounds and applies their results: placements, provisioning, preemption and scale-in. */
export class SchedulingRounds {
  private lastStartAt = -Infinity;
  private lastDurationMs = 0;
  private roundCount = 0;
  private groupLimit = MIN_GROUP_LIMIT;
  private placingSince = Infinity;
  /**
   * Surplus machines that run only best-effort tasks which can be stopped, and since when, in ms on the steady clock.
   */
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

  /** Runs a round if one is due. Without `canPlace` it only provisions machines. */
  run(canPlace: boolean): void {
    const start = this.now();
    const { scheduling } = this.deps.options;
    const busy = this.deps.host.lagMs() > MIN_BUSY_LAG_MS;
    const throttledIntervalMs = Math.min(
      MAX_THROTTLED_INTERVAL_MS,
      this.lastDurationMs / (busy ? MAX_ROUND_TIME_RATIO_BUSY : MAX_ROUND_TIME_RATIO),
    );
    const intervalMs = this.cluster.dirty
      ? Math.max(scheduling.round_gap_ms, throttledIntervalMs)
      : 1000 + throttledIntervalMs;
    if (start - this.lastStartAt < intervalMs) return;
    this.lastStartAt = start;
    this.roundCount += 1;
    this.cluster.dirty = false;
    const groups = this.snapshots.createTaskGroups();
    const machines = this.snapshots.createMachineSnapshots();
    this.snapshots.markSurplus(machines, groups);
    this.snapshots.addProjectedReleases(machines, groups);
    const quotaHeadroom = this.snapshots.computeQuotaHeadroom();
    const result = this.solve(groups, machines, quotaHeadroom, start + scheduling.round_limit_ms);
    this.provisioner.setDemand(result.demand);
    for (const [index, zone] of result.zones) {
      const job = this.cluster.jobsByIndex.get(index);
      if (job) job.zoneHint = zone;
    }
    if (canPlace) this.placingSince = Math.min(this.placingSince, start);
    if (canPlace) this.applyResult(groups, machines, quotaHeadroom, result);
    this.lastDurationMs = this.now() - start;
    this.adaptGroupLimit(groups.length, result.deferredGroupCount);
    this.deps.host.log.debug(
      {
        groups: groups.length,
        machines: machines.length,
        placed: result.placements.length,
        unplaced: result.unplaced.size,
        awaiting: result.awaiting.size,
        ms: Math.round(this.lastDurationMs),
      },
      'round',
    );
  }

  /** Adapts the number of groups in a round to the time that the last round took. */
  private adaptGroupLimit(groupCount: number, deferredGroupCount: number): void {
    if (this.lastDurationMs > LONG_ROUND_MS)
      this.groupLimit = Math.max(MIN_GROUP_LIMIT, Math.floor(groupCount * 0.6));
    else
      this.groupLimit = Math.min(this.deps.options.scheduling.max_groups, Math.ceil(this.groupLimit * 1.5));
    // The next round considers the deferred groups, even if nothing changes until then.
    if (deferredGroupCount > 0) this.cluster.dirty = true;
  }

  private solve(
    groups: TaskGroup[],
    machines: MachineSnapshot[],
    quotaHeadroom: readonly QuotaHeadroom[],
    deadline: number,
  ): RoundResult {
    const { scheduling } = this.deps.options;
    const { types } = this.deps.catalog;
    return runRound(
      [...groups, ...this.snapshots.createExpectedGroups()],
      machines,
      this.provisioner.provisioningOptions(this.cluster.unreachableZones),
      // The groups of expected tasks have a team index of their own, which has no limit.
      [...quotaHeadroom, { cpus: Infinity, gpus: Infinity }],
      (type) => {
        const machineType = types[type];
        return machineType ? resourcesOf(machineType) : null;
      },
      {
        reserveAfterMs: scheduling.reserve_after_s * 1000,
        roundNumber: this.roundCount,
        maxGroups: Math.min(scheduling.max_groups, this.groupLimit),
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

  private applyResult(
    groups: readonly TaskGroup[],
    machines: readonly MachineSnapshot[],
    quotaHeadroom: QuotaHeadroom[],
    result: RoundResult,
  ): void {
    const groupByJob = new Map(groups.map((g) => [g.job, g]));
    const snapshotByMachine = new Map(machines.map((m) => [m.machine, m]));
    const candidates = new PreemptionCandidates(this.snapshots);
    const attemptNumberByGang = new Map<number, number>();
    for (const placement of result.placements) {
      const job = required(this.cluster.jobsByIndex.get(placement.job), 'placed job');
      const machine = required(this.cluster.machinesByIndex[placement.machine], 'machine of a placement');
      const snapshot = required(snapshotByMachine.get(placement.machine), 'snapshot of the machine');
      const group = required(groupByJob.get(placement.job), 'task group of the job');
      if (this.preemptForCachedImage(job, group, snapshot, machines, quotaHeadroom, candidates)) continue;
      const headroom = required(quotaHeadroom[group.team], 'quota headroom of the team');
      for (let i = 0; i < placement.count; i++) {
        const attemptNumber =
          (job.spec.gang ? attemptNumberByGang.get(placement.job) : undefined) ?? this.attempts.nextNumber();
        attemptNumberByGang.set(placement.job, attemptNumber);
        if (!this.attempts.start(job, machine, attemptNumber)) break;
        // The rest of this round must see these resources as allocated.
        allocate(snapshot.free, group.need);
        snapshot.load += 1;
        headroom.cpus -= group.need.cpus;
        headroom.gpus -= group.need.gpus;
      }
      this.deps.host.log.info({ job: job.id, machine: machine.name, tasks: placement.count }, 'tasks placed');
    }
    // Deferred groups may need the idle machines: terminated now, they would be replaced by rented ones a moment later.
    if (result.deferredGroupCount === 0) {
      this.provisioner.terminateIdle(this.findIdleMachines(result.heldForExpected));
      this.consolidate(machines, result);
    }
    if (result.unplaced.size + result.awaiting.size > 0) {
      this.preempt(groups, result, machines, quotaHeadroom, candidates);
    }
  }

  private findIdleMachines(heldMachines: ReadonlySet<number>): IdleMachine[] {
    const now = this.now();
    const idleMachines: IdleMachine[] = [];
    // Idle time counts from the first round that places: before it, machines are idle because the leader may not place.
    const placingSince = this.placingSince;
    for (const machine of this.cluster.machines.values()) {
      if (
        machine.terminating ||
        machine.liveAttemptCount > 0 ||
        !machine.reconciled ||
        heldMachines.has(machine.index)
      )
        continue;
      // A quarantined machine is idle only because nothing is placed on it, and suspicion alone is no reason to
      // terminate it.
      if (assessMachineHealth(machine.failures, machine.index, now) === 'quarantined') continue;
      idleMachines.push({
        name: machine.name,
        type: machine.type,
        idleMs: now - Math.max(machine.idleSince, placingSince),
      });
    }
    return idleMachines;
  }

  /**
   * Stops the tasks of machines that have long been surplus, run only best-effort tasks and cost more than these are
   * worth.
   */
  private consolidate(machines: readonly MachineSnapshot[], result: RoundResult): void {
    const now = this.now();
    const machinesWithPlacements = new Set(result.placements.map((p) => p.machine));
    for (const snapshot of machines) {
      const machine = this.cluster.machinesByIndex[snapshot.machine];
      if (!machine) continue;
      const needed =
        !snapshot.surplus ||
        machinesWithPlacements.has(machine.index) ||
        result.heldForExpected.has(machine.index) ||
        result.reserved.has(machine.index);
      const stoppableTasks =
        needed || !machine.reconciled ? null : this.snapshots.findStoppableTasks(machine);
      if (!stoppableTasks) {
        this.bestEffortOnlySince.delete(machine);
        continue;
      }
      const since = this.bestEffortOnlySince.get(machine) ?? now;
      this.bestEffortOnlySince.set(machine, since);
      if (
        now - since < this.deps.options.fleet.idle_s * 1000 ||
        isWorthKeeping(snapshot.price, stoppableTasks)
      )
        continue;
      for (const attempt of machine.liveAttempts())
        this.stopGracefully(attempt, 'consolidation for scale-in');
    }
  }

  private preempt(
    groups: readonly TaskGroup[],
    result: RoundResult,
    machines: readonly MachineSnapshot[],
    quotaHeadroom: readonly QuotaHeadroom[],
    candidates: PreemptionCandidates,
  ): void {
    if (!this.deps.options.scheduling.preempt) return;
    const guaranteed = this.snapshots.findGuaranteedJobs();
    const countWaiting = (g: TaskGroup): number =>
      g.nominatedMachine >= 0 || g.failing
        ? 0
        : (result.unplaced.get(g.job) ?? 0) + (result.awaiting.get(g.job) ?? 0);
    const waitingGroups = groups.filter((g) => countWaiting(g) > 0).sort((a, b) => b.priority - a.priority);
    // Bounds the length of a round when many jobs wait; later rounds preempt for the others.
    for (const group of waitingGroups.slice(0, MAX_PREEMPTING_GROUPS)) {
      // If machines are booting for all waiting tasks of the group, its team's guarantee alone does not justify a
      // preemption.
      const guaranteeAfterMs = result.unplaced.has(group.job)
        ? this.deps.options.scheduling.guarantee_after_s * 1000
        : Infinity;
      let targetMachines = new Set<number>();
      const selectVictimsInZone = (zone: number): Attempt[] | null => {
        targetMachines = new Set();
        return selectVictims(
          { ...group, zone },
          countWaiting(group),
          machines,
          (index) => candidates.onMachine(index, guaranteed),
          quotaHeadroom,
          guaranteeAfterMs,
          result.reserved,
          targetMachines,
        );
      };
      // Preempts in the zone that the round has chosen: capacity freed in another zone is not used by the job, and is
      // freed a second time in the chosen one.
      let victims = selectVictimsInZone(result.zones.get(group.job) ?? group.zone);
      if (victims?.length === 0 && result.zones.has(group.job)) {
        victims = selectVictimsInZone(group.zone);
        const job = this.cluster.jobsByIndex.get(group.job);
        if (job && victims?.[0]) job.zoneHint = victims[0].machine.zone;
      }
      const job = this.cluster.jobsByIndex.get(group.job);
      if (job && group.gang && (victims === null || victims.length > 0))
        this.reserve(job, targetMachines, victims ?? []);
      if (!victims) continue;
      const jobId = this.cluster.jobsByIndex.get(group.job)?.id ?? '?';
      for (const attempt of victims) this.stopGracefully(attempt, `preempted for ${jobId}`);
      if (victims.length > 0) candidates.clear();
    }
  }

  /**
   * Reserves the machines on which tasks are preempted for a gang. Otherwise small tasks of other jobs take the freed
   * capacity before the last machine of the gang is free, and are preempted in turn.
   */
  private reserve(job: Job, machines: ReadonlySet<number>, victims: readonly Attempt[]): void {
    const checkpointS = Math.max(0, ...victims.map((a) => a.job?.spec.checkpointDurationS ?? 0));
    const until = this.now() + (checkpointS + RESERVATION_MARGIN_S) * 1000;
    const firstVictim = victims[0];
    if (firstVictim) job.reservation = { machines, zone: firstVictim.machine.zone, until };
    else if (job.reservation) job.reservation = { ...job.reservation, machines };
  }

  /**
   * Preempts for a latency-sensitive job of one task that would miss its objective by fetching its image on the chosen
   * machine: tasks of lower priority that can save a checkpoint in time are stopped on a machine that has the image
   * cached. Returns true if the job is nominated for that machine and waits for it.
   */
  private preemptForCachedImage(
    job: Job,
    group: TaskGroup,
    chosenMachine: MachineSnapshot,
    machines: readonly MachineSnapshot[],
    quotaHeadroom: readonly QuotaHeadroom[],
    candidates: PreemptionCandidates,
  ): boolean {
    if (!group.latencySensitive || group.failing || job.spec.tasks !== 1 || group.nominatedMachine >= 0)
      return false;
    if (!this.deps.options.scheduling.preempt) return false;
    const fetchS = (m: MachineSnapshot): number => m.fetchS(group.image, group.imageGb);
    const slackS = group.slackS - COMMAND_LATENCY_S;
    if (fetchS(chosenMachine) <= slackS) return false;
    const machinesWithImage = machines.filter((m) => m.bootsInS === 0 && m.load > 0 && fetchS(m) === 0);
    const findCheckpointable = (index: number): PreemptionCandidate<Attempt>[] =>
      candidates.onMachine(index, NO_JOBS).filter((candidate) => {
        const spec = candidate.item.job?.spec;
        return (
          candidate.stopping ||
          (spec !== undefined && spec.checkpointIntervalS > 0 && spec.checkpointDurationS < slackS)
        );
      });
    const victims = selectVictims(
      group,
      1,
      machinesWithImage,
      findCheckpointable,
      quotaHeadroom,
      Infinity,
      new Map(),
    );
    const firstVictim = victims?.[0];
    if (!victims || !firstVictim) return false;
    let checkpointS = 0;
    for (const attempt of victims) {
      this.stopGracefully(attempt, `cached image needed by ${job.id}`);
      checkpointS = Math.max(checkpointS, attempt.job?.spec.checkpointDurationS ?? 0);
    }
    candidates.clear();
    job.nominatedMachine = {
      machine: firstVictim.machine.index,
      until: this.now() + (checkpointS + COMMAND_LATENCY_S) * 1000,
    };
    return true;
  }

  /** Stops a task with enough grace to save a checkpoint; all tasks of a gang are stopped at the same time. */
  stopGracefully(attempt: Attempt, reason: string): void {
    const job = required(attempt.job, 'job of the attempt');
    const graceS = job.spec.checkpointIntervalS > 0 ? job.spec.checkpointDurationS + 2 : 0;
    const gang = job.spec.gang ? this.cluster.gangs.get(job) : undefined;
    this.deps.host.log.info(
      { job: job.id, task: attempt.task, machine: attempt.machine.name, reason },
      'task preempted',
    );
    if (!gang) {
      this.cluster.stop(attempt, graceS);
      return;
    }
    gang.ending = true;
    for (const member of gang.members) this.cluster.stop(member, graceS);
  }
}

const NO_JOBS: ReadonlySet<Job> = new Set();

/** Caches the preemption candidates of machines, so that a round looks them up once per machine. */
class PreemptionCandidates {
  private readonly byMachine = new Map<number, PreemptionCandidate<Attempt>[]>();
  private guaranteed: ReadonlySet<Job> | null = null;

  constructor(private readonly snapshots: SchedulingSnapshots) {}

  /** The candidates on a machine. Another set of guaranteed jobs than that of the last call discards the cache. */
  onMachine(machine: number, guaranteed: ReadonlySet<Job>): PreemptionCandidate<Attempt>[] {
    if (this.guaranteed !== guaranteed) {
      this.byMachine.clear();
      this.guaranteed = guaranteed;
    }
    let candidates = this.byMachine.get(machine);
    if (!candidates) {
      candidates = this.snapshots.findPreemptionCandidates(machine, guaranteed);
      this.byMachine.set(machine, candidates);
    }
    return candidates;
  }

  /** Discards the cache, since tasks have been stopped. */
  clear(): void {
    this.byMachine.clear();
  }
}
