import { required } from '../base/required.ts';
import type { Job } from '../jobs/job.ts';
import { MeanWork } from '../scheduling/mean-work.ts';
import { assignGuarantees, type GuaranteeHeadroom } from '../scheduling/urgency.ts';
import { countFittingTasks, resourcesOf, type TaskGroup } from '../scheduling/snapshot.ts';
import type { JobRequest } from '../wire/user.ts';
import { isFailing } from '../workers/failure-attribution.ts';
import type { Cluster } from './cluster.ts';
import type { BestEffortWork } from './best-effort-work.ts';
import { slackOf } from './job-slack.ts';
import type { SnapshotDeps, SnapshotSources } from './snapshot-sources.ts';

/** With so many tasks a job that has waited long begins. */
const FIRST_TASKS = 4;
/** Longer than any job waits. */
const LONGEST_MS = 1e9;
const NO_MACHINES: ReadonlySet<number> = new Set();
/**
 * So long after its last failure a job takes the machines that it failed on again: they may be the only ones that fit.
 */
const AVOID_MS = 30_000;
/** A failing job that has found no room on a present machine for so long may have one rented. */
const PROBE_RENTS_AFTER_MS = 60_000;

/** The jobs that wait, as a round sees them: a group of equal tasks for each. */
export class TaskGroups {
  private readonly cluster: Cluster;

  constructor(
    private readonly sources: SnapshotSources,
    private readonly deps: SnapshotDeps,
    private readonly bestEffort: BestEffortWork,
  ) {
    this.cluster = sources.cluster;
  }

  /** Jobs that fit their team's guarantee together with the team's earlier unfinished ones. */
  guaranteedJobs(): Set<Job> {
    const found = new Set<Job>();
    const used = this.deps.teams.map(() => ({ cpus: 0, gpus: 0 }));
    const ordered = [...this.cluster.jobs.values()].filter((j) => j.pendingOutcome === null);
    ordered.sort((a, b) => a.createdWall - b.createdWall);
    for (const job of ordered) {
      const team = required(this.deps.teams[job.team], 'team of the job');
      const sum = required(used[job.team], 'usage of the team');
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
    const { spec, reservation } = job;
    if (spec.zone !== null) return this.deps.zones.index(spec.zone);
    // Choosing another zone meanwhile, a gang stopped others in both, again and again.
    return spec.oneZone && reservation && now <= reservation.until ? reservation.zone : -1;
  }

  /** The groups of all jobs that wait. */
  groups(): TaskGroup[] {
    const now = this.deps.host.clock.now();
    const reconciled = this.cluster.allReconciled();
    const guaranteed = this.guaranteedJobs();
    const groups: TaskGroup[] = [];
    const { scheduling } = this.deps.options;
    const work = new MeanWork();
    for (const [index, job] of this.cluster.jobsByIndex) {
      if (job.pendingOutcome !== null || job.pendingCount === 0 || now < job.notBefore) continue;
      const able = reconciled ? job.pendingCount : job.startableCount();
      if (able === 0) continue;
      const live = this.cluster.liveAttempts.get(job)?.size ?? 0;
      if (job.spec.gang && (this.cluster.gangs.has(job) || live > 0)) continue;
      const probe = isFailing(job.failures);
      if (probe && live > 0) continue;
      const spec = job.spec;
      const waitedMs = now - job.waitingSince;
      // Under a backlog who is late soonest goes first, whoever comes: nothing bounds the wait for a first task. A few
      // first tasks go before everything else of their rank; the rest takes its turn.
      const starving = !spec.gang && job.neverStarted && waitedMs > scheduling.begin_after_s * 1000;
      let pending = starving ? Math.min(able, FIRST_TASKS) : able;
      // One task shows whether the job still fails; of a gang all are needed for that.
      if (probe && !spec.gang) pending = 1;
      const { slackS, maxQueueingDelayS, perTask } = slackOf(job, guaranteed.has(job), this.deps);
      const bestEffort = this.bestEffort.isBestEffort(job);
      // Nothing is expected of its class at any time.
      const idle = bestEffort && slackS === Infinity;
      const liveByZone = new Map<number, number>();
      if (spec.oneZone || spec.spread) {
        for (const a of this.cluster.liveAttempts.get(job) ?? []) {
          liveByZone.set(a.machine.zone, (liveByZone.get(a.machine.zone) ?? 0) + 1);
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
        zone: this.zoneOf(job, now),
        spot: spec.spot,
        // A single task is in one zone whatever its job says, so the flow may choose among all.
        oneZone: spec.oneZone && spec.tasks > 1,
        zoneHint: job.zoneHint,
        maxTasksPerZone: spec.spread ? Math.ceil(spec.tasks / 2) : Infinity,
        liveByZone,
        latencySensitive: this.sources.forecast.isWatched(spec.className),
        expected: false,
        waitedMs: probe ? 0 : starving ? LONGEST_MS + waitedMs : waitedMs,
        probe,
        bestEffort: bestEffort && !starving,
        maxProvisionPrice: idle ? this.bestEffort.worthOf(job) : Infinity,
        mayProvision: !probe || now - job.notBefore > PROBE_RENTS_AFTER_MS,
        image: spec.image,
        imageGb: spec.imageGb,
        excludedMachines: now - job.failures.lastFailureAt > AVOID_MS ? NO_MACHINES : job.excludedMachines,
        nominatedMachine:
          job.nominatedMachine && now <= job.nominatedMachine.until ? job.nominatedMachine.machine : -1,
        reservedMachines:
          job.reservation && now <= job.reservation.until ? job.reservation.machines : NO_MACHINES,
        maxQueueingDelayS,
        slackS,
        guaranteed: false,
        relativeWork: 0,
      });
      work.record(
        required(groups.at(-1), 'newest group'),
        spec.className,
        job.pendingCount * spec.estimateS,
        perTask || spec.gang,
      );
    }
    work.setRelativeWork();
    assignGuarantees(groups, this.guaranteesLeft(), scheduling.reserve_after_s * 1000);
    return groups;
  }

  private guaranteesLeft(): GuaranteeHeadroom[] {
    return this.deps.teams.map((team, index) => {
      const usage = required(this.cluster.usage[index], 'usage of the team');
      return { cpus: team.cpus > 0 ? team.cpus - usage.cpus : null, gpus: team.gpus - usage.gpus };
    });
  }

  /** Room to keep at hand for classes that must start soon: groups like any other, but nothing is placed. */
  expectedGroups(): TaskGroup[] {
    const { scheduling } = this.deps.options;
    const bootOf = (job: JobRequest): number => {
      let best: { price: number; bootS: number } | null = null;
      for (const type of this.deps.catalog.types) {
        if (job.types && !job.types.includes(type.name)) continue;
        if (countFittingTasks(job, type) === 0) continue;
        if (!best || type.price < best.price) best = type;
      }
      return best?.bootS ?? 0;
    };
    const expected = this.sources.forecast.expectedTasks(
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
      need: resourcesOf(e.template),
      types: e.template.types ? new Set(e.template.types.map((t) => this.deps.catalog.typeIndex(t))) : null,
      zone: -1,
      spot: e.template.spot,
      oneZone: false,
      zoneHint: -1,
      maxTasksPerZone: Infinity,
      liveByZone: new Map(),
      latencySensitive: true,
      expected: true,
      waitedMs: 0,
      probe: false,
      mayProvision: true,
      bestEffort: false,
      maxProvisionPrice: Infinity,
      image: e.template.image,
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
