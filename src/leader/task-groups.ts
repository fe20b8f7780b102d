/** The waiting and the expected tasks as inputs of a scheduling round. */
import { required } from '../base/required.ts';
import type { Job } from '../jobs/job.ts';
import { MeanWork } from '../scheduling/mean-work.ts';
import { assignGuarantees, type GuaranteeHeadroom } from '../scheduling/urgency.ts';
import { countFittingTasks, resourcesOf, type TaskGroup } from '../scheduling/snapshot.ts';
import type { JobRequest } from '../wire/user.ts';
import { isFailing } from '../workers/failure-attribution.ts';
import type { Cluster } from './cluster.ts';
import type { BestEffortWork } from './best-effort-work.ts';
import { computeJobSlack } from './job-slack.ts';
import type { SnapshotDeps, SnapshotSources } from './snapshot-sources.ts';

/** Tasks of a starving job that go before the tasks of all other jobs of its priority. */
const MAX_STARVING_TASKS = 4;
/** Added to the waiting time of a starving job; longer than any job waits. */
const STARVING_WAIT_OFFSET_MS = 1e9;
const NO_MACHINES: ReadonlySet<number> = new Set();
/**
 * How long after its last failure a job avoids the machines that it failed on. Afterwards they are allowed again, since
 * they may be the only ones that fit.
 */
const MACHINE_EXCLUSION_MS = 30_000;
/** How long a failing job waits for a present machine, from its next permitted attempt, before one may be rented. */
const FAILING_PROVISION_DELAY_MS = 60_000;

/** Creates the task groups of a round: one for each waiting job, and one for each class with expected arrivals. */
export class TaskGroups {
  private readonly cluster: Cluster;

  constructor(
    private readonly sources: SnapshotSources,
    private readonly deps: SnapshotDeps,
    private readonly bestEffort: BestEffortWork,
  ) {
    this.cluster = sources.cluster;
  }

  /**
   * Finds the jobs that fit into their team's guarantee together with all unfinished jobs that the team submitted
   * before.
   */
  findGuaranteedJobs(): Set<Job> {
    const guaranteed = new Set<Job>();
    const usageByTeam = this.deps.teams.map(() => ({ cpus: 0, gpus: 0 }));
    const ordered = [...this.cluster.jobs.values()].filter((j) => j.pendingOutcome === null);
    ordered.sort((a, b) => a.createdAtWallMs - b.createdAtWallMs);
    for (const job of ordered) {
      const team = required(this.deps.teams[job.team], 'team of the job');
      const usage = required(usageByTeam[job.team], 'usage of the team');
      const remainingTasks = job.spec.tasks - job.doneCount;
      usage.cpus += job.spec.cpus * remainingTasks;
      usage.gpus += job.spec.gpus * remainingTasks;
      const gpusFit = job.spec.gpus === 0 || usage.gpus <= team.gpus + 1e-9;
      const cpusFit = team.cpus === 0 ? job.spec.gpus > 0 : usage.cpus <= team.cpus + 1e-9;
      if (gpusFit && cpusFit) guaranteed.add(job);
    }
    return guaranteed;
  }

  /** The only zone in which a job may be placed: the one that it asks for, or that of its reservation. -1: any zone. */
  private findRequiredZone(job: Job, now: number): number {
    const { spec, reservation } = job;
    if (spec.zone !== null) return this.deps.zones.getOrAddIndex(spec.zone);
    // A gang that may choose another zone during its reservation preempts tasks in both zones, again and again.
    return spec.oneZone && reservation && now <= reservation.until ? reservation.zone : -1;
  }

  /** Creates the groups of all jobs that wait. */
  createGroups(): TaskGroup[] {
    const now = this.deps.host.clock.now();
    const reconciled = this.cluster.allReconciled();
    const guaranteed = this.findGuaranteedJobs();
    const groups: TaskGroup[] = [];
    const { scheduling } = this.deps.options;
    const meanWork = new MeanWork();
    for (const [index, job] of this.cluster.jobsByIndex) {
      if (job.pendingOutcome !== null || job.pendingCount === 0 || now < job.notBefore) continue;
      const startableCount = reconciled ? job.pendingCount : job.startableCount();
      if (startableCount === 0) continue;
      const liveCount = this.cluster.liveAttempts.get(job)?.size ?? 0;
      if (job.spec.gang && (this.cluster.gangs.has(job) || liveCount > 0)) continue;
      const failing = isFailing(job.failures);
      if (failing && liveCount > 0) continue;
      const spec = job.spec;
      const waitedMs = now - job.waitingSince;
      // Under a backlog the jobs with the least slack go first, new ones included, so the wait of a job for its first
      // task has no bound. A few tasks of a starving job therefore go before all others of its priority; the rest of
      // its tasks are ordered like those of other jobs.
      const starving = !spec.gang && job.hasNeverStarted && waitedMs > scheduling.begin_after_s * 1000;
      let pending = starving ? Math.min(startableCount, MAX_STARVING_TASKS) : startableCount;
      // One task shows whether the job still fails; a gang needs all of its tasks for that.
      if (failing && !spec.gang) pending = 1;
      const { slackS, maxQueueingDelayS, perTask } = computeJobSlack(job, guaranteed.has(job), this.deps);
      const bestEffort = this.bestEffort.isBestEffort(job);
      // Only a best-effort job to which no objective applies has a limit on the price of machines that are rented for
      // it.
      const hasPriceLimit = bestEffort && slackS === Infinity;
      const liveByZone = new Map<number, number>();
      if (spec.oneZone || spec.spread) {
        for (const attempt of this.cluster.liveAttempts.get(job) ?? []) {
          liveByZone.set(attempt.machine.zone, (liveByZone.get(attempt.machine.zone) ?? 0) + 1);
        }
      }
      groups.push({
        job: index,
        team: job.team,
        pending,
        gang: spec.gang,
        priority: spec.priority,
        need: resourcesOf(spec),
        types: spec.types ? new Set(spec.types.map((t) => this.deps.catalog.typeIndex(t))) : null,
        zone: this.findRequiredZone(job, now),
        spot: spec.spot,
        // A single task is in one zone in any case, so the flow network may choose among all zones.
        oneZone: spec.oneZone && spec.tasks > 1,
        zoneHint: job.zoneHint,
        maxTasksPerZone: spec.spread ? Math.ceil(spec.tasks / 2) : Infinity,
        liveByZone,
        latencySensitive: this.sources.forecast.isWatched(spec.className),
        expected: false,
        waitedMs: failing ? 0 : starving ? STARVING_WAIT_OFFSET_MS + waitedMs : waitedMs,
        failing,
        bestEffort: bestEffort && !starving,
        maxProvisionPrice: hasPriceLimit ? this.bestEffort.computeMaxProvisionPrice(job) : Infinity,
        mayProvision: !failing || now - job.notBefore > FAILING_PROVISION_DELAY_MS,
        image: spec.image,
        imageGb: spec.imageGb,
        excludedMachines:
          now - job.failures.lastFailureAt > MACHINE_EXCLUSION_MS ? NO_MACHINES : job.excludedMachines,
        nominatedMachine:
          job.nominatedMachine && now <= job.nominatedMachine.until ? job.nominatedMachine.machine : -1,
        reservedMachines:
          job.reservation && now <= job.reservation.until ? job.reservation.machines : NO_MACHINES,
        maxQueueingDelayS,
        slackS,
        guaranteed: false,
        relativeWork: 0,
      });
      meanWork.record(
        required(groups.at(-1), 'newest group'),
        spec.className,
        job.pendingCount * spec.estimateS,
        perTask || spec.gang,
      );
    }
    meanWork.setRelativeWork();
    assignGuarantees(groups, this.computeGuaranteeHeadroom(), scheduling.reserve_after_s * 1000);
    return groups;
  }

  private computeGuaranteeHeadroom(): GuaranteeHeadroom[] {
    return this.deps.teams.map((team, index) => {
      const usage = required(this.cluster.usage[index], 'usage of the team');
      return { cpus: team.cpus > 0 ? team.cpus - usage.cpus : null, gpus: team.gpus - usage.gpus };
    });
  }

  /**
   * Creates groups of tasks that are expected to arrive in latency-sensitive classes. They hold capacity and have it
   * rented like other groups, but nothing is placed for them.
   */
  createExpectedGroups(): TaskGroup[] {
    const { scheduling } = this.deps.options;
    const estimateBootS = (job: JobRequest): number => {
      let cheapest: { price: number; bootS: number } | null = null;
      for (const type of this.deps.catalog.types) {
        if (job.types && !job.types.includes(type.name)) continue;
        if (countFittingTasks(job, type) === 0) continue;
        if (!cheapest || type.price < cheapest.price) cheapest = type;
      }
      return cheapest?.bootS ?? 0;
    };
    const expected = this.sources.forecast.expectedTasks(
      this.deps.host.clock.wall(),
      estimateBootS,
      scheduling.spare_swing,
    );
    return expected.map((expectedTasks, index) => ({
      job: -1 - index,
      team: this.deps.teams.length,
      pending: expectedTasks.tasks,
      gang: false,
      priority: 0,
      need: resourcesOf(expectedTasks.template),
      types: expectedTasks.template.types
        ? new Set(expectedTasks.template.types.map((t) => this.deps.catalog.typeIndex(t)))
        : null,
      zone: -1,
      spot: expectedTasks.template.spot,
      oneZone: false,
      zoneHint: -1,
      maxTasksPerZone: Infinity,
      liveByZone: new Map(),
      latencySensitive: true,
      expected: true,
      waitedMs: 0,
      failing: false,
      mayProvision: true,
      bestEffort: false,
      maxProvisionPrice: Infinity,
      image: expectedTasks.template.image,
      imageGb: 0,
      excludedMachines: new Set(),
      nominatedMachine: -1,
      reservedMachines: NO_MACHINES,
      maxQueueingDelayS: scheduling.spare_patience_s,
      slackS: Infinity,
      guaranteed: false,
      relativeWork: 0,
    }));
  }
}
