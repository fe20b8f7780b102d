import type { StartWatermarks } from '../jobs/start-watermarks.ts';
import type { Job } from '../jobs/job.ts';
import { ASSIGNED } from '../jobs/job.ts';
import { fetchTime } from '../scheduling/snapshot.ts';
import { attemptKey, newAttempt, type Attempt, type Machine } from '../workers/machine.ts';
import { isFailing, recordFailure, recordSuccess, retryDelayMs } from '../workers/failure-attribution.ts';
import type { WorkerEvent } from '../workers/reconcile.ts';
import type { Cluster } from './cluster.ts';
import type { LeaderDeps } from './context.ts';
import type { Completion } from './completion.ts';
import type { Gangs } from './gangs.ts';

const ATTEMPTS_PER_TERM = 2 ** 24;
const START_WATERMARK_STEP = 16;
/** A worker couldn't fetch the job's description yet. */
const UNKNOWN_JOB_PAUSE_MS = 2000;

/** Starts of tasks, and what workers' news mean for jobs. */
export class Attempts {
  private count = 0;

  constructor(
    private readonly cluster: Cluster,
    private readonly gangs: Gangs,
    private readonly completion: Completion,
    private readonly startWatermarks: StartWatermarks,
    private readonly deps: LeaderDeps,
  ) {}

  private now(): number {
    return this.deps.host.clock.now();
  }

  /** Attempt numbers carry the term: no other leadership ever uses them. */
  nextNumber(): number {
    this.count += 1;
    return this.deps.term * ATTEMPTS_PER_TERM + this.count;
  }

  start(job: Job, machine: Machine, number: number): Attempt | null {
    const task = job.takePending(!this.cluster.allReconciled());
    if (task < 0) return null;
    this.requestStartWatermark(job, task);
    const a = newAttempt(machine, job, job.id, task, number, this.now());
    machine.attempts.set(attemptKey(a.jobId, task, number), a);
    machine.commandNotBefore = 0;
    this.cluster.commandsDue.add(machine);
    const rate = this.deps.catalog.types[machine.type]?.fetchGbPerS ?? 0;
    if (!machine.images.has(job.spec.image) && rate > 0) {
      const from = Math.max(this.now(), machine.fetchingUntil);
      machine.fetchingUntil = from + fetchTime(job.spec.imageGb, rate) * 1000;
      machine.images.set(job.spec.image, machine.fetchingUntil);
    }
    this.cluster.track(a);
    job.waitingSince = this.now();
    if (job.spec.gang) this.gangs.join(job, a);
    return a;
  }

  /**
   * The store must say that a task may have been started before it is: so the next leader knows which tasks
   * nobody can be running, and need not wait for machines that it can't reach. Said ahead in steps, a job costs
   * few changes, and all jobs that begin in a round share one.
   */
  private requestStartWatermark(job: Job, task: number): void {
    if (task < job.requestedStartWatermark) return;
    const step = Math.max(START_WATERMARK_STEP, Math.ceil(job.spec.tasks / 8));
    const begun = job.spec.gang ? job.spec.tasks : Math.min(job.spec.tasks, task + step);
    job.requestedStartWatermark = begun;
    this.startWatermarks.raise(job.id, begun, () => {
      job.durableStartWatermark = begun;
      for (const a of this.cluster.liveAttempts.get(job) ?? []) this.cluster.commandsDue.add(a.machine);
    });
  }

  apply(events: readonly WorkerEvent[]): void {
    for (const e of events) {
      switch (e.kind) {
        case 'seen':
          this.onSeen(e.attempt);
          break;
        case 'running':
          this.onRunning(e.attempt);
          break;
        case 'released':
          this.onReleased(e.attempt, e.saved);
          break;
      }
    }
  }

  private onSeen(a: Attempt): void {
    const job = a.job;
    if (!job) {
      a.stopGraceS = 0;
      return;
    }
    if (this.cluster.liveAttempts.get(job)?.has(a)) {
      // Our own start has arrived, whichever way.
      a.machine.acknowledged(this.now());
      return;
    }
    // A task that an earlier leader started.
    this.cluster.track(a);
    if (!job.adopt(a.task)) this.stopOlder(job, a);
    if (job.pendingOutcome !== null) a.stopGraceS = 0;
    if (job.spec.gang) this.gangs.adopt(job, a);
  }

  /**
   * Two attempts hold a task, or it is done already. An attempt starts once all earlier ones of its task are surely
   * over, and has a higher number: the lower one is old news, and stopping the other would lose its work.
   */
  private stopOlder(job: Job, a: Attempt): void {
    if (job.isDone(a.task)) {
      this.cluster.stop(a, 0);
      return;
    }
    for (const other of this.cluster.liveAttempts.get(job) ?? []) {
      if (other === a || other.task !== a.task) continue;
      this.cluster.stop(other.number < a.number ? other : a, 0);
    }
  }

  private onRunning(a: Attempt): void {
    if (a.job) a.job.running += 1;
    this.deps.host.log.debug(
      {
        job: a.jobId,
        task: a.task,
        machine: a.machine.name,
        type: a.machine.id.machineType,
        after: Math.round(this.now() - a.assignedAt),
      },
      'task running',
    );
  }

  private onReleased(a: Attempt, saved: boolean): void {
    this.cluster.dirty = true;
    const job = a.job;
    if (!job) return;
    const others = this.cluster.release(a);
    if (others < 0) {
      if (a.exitReason === 'done') this.completion.taskDone(job, a.task);
      return;
    }
    if (a.runningSince !== null) job.running = Math.max(0, job.running - 1);
    this.deps.host.log.debug(
      {
        job: job.id,
        task: a.task,
        machine: a.machine.name,
        cause: a.exitReason,
        saved,
        after: this.now() - a.assignedAt,
      },
      'task ended',
    );
    if (a.machine.liveCount === 0) a.machine.idleSince = this.now();
    this.forgetFetch(a.machine, job);
    if (a.exitReason === 'done') {
      recordSuccess(job.failures, a.machine.index);
      if (this.cluster.gangs.has(job)) for (let task = 0; task < job.spec.tasks; task++) job.markDone(task);
      this.completion.taskDone(job, a.task);
    } else if (job.taskStates[a.task] === ASSIGNED && others === 0) {
      job.requeue(a.task, this.now());
      if (a.exitReason === 'error') this.onError(job, a);
      else if (a.exitReason === 'jobUnknown') this.delay(job, UNKNOWN_JOB_PAUSE_MS);
    }
    if (job.spec.gang) this.gangs.leave(job, a);
    if (job.terminalState) this.cluster.removeIfCompleted(job);
  }

  /** A fetch is given up with the last task that waits for it: the machine is no warmer for it. */
  private forgetFetch(machine: Machine, job: Job): void {
    const { image } = job.spec;
    const readyAt = machine.images.get(image) ?? -Infinity;
    if (readyAt <= this.now()) return;
    for (const other of machine.attempts.values()) {
      if (!other.released && other.job?.spec.image === image) return;
    }
    machine.images.delete(image);
    machine.fetchingUntil = Math.max(this.now(), ...machine.images.values());
  }

  /** Starts no task of the job for so long; a longer delay that was set before stays. */
  private delay(job: Job, ms: number): void {
    job.notBefore = Math.max(job.notBefore, this.now() + ms);
  }

  /** Notes the failure for the job and the machine, and spaces the job's attempts (`failure-attribution.ts`). */
  private onError(job: Job, a: Attempt): void {
    const now = this.now();
    const { machine } = a;
    recordFailure(job.failures, machine.failures, machine.index, a.assignedAt, now);
    this.delay(job, retryDelayMs(job.failures));
    const failing = isFailing(job.failures);
    // A job that fails everywhere is tried anywhere.
    if (failing) job.excludedMachines.clear();
    else job.excludedMachines.add(machine.index);
    this.deps.host.log.info(
      { job: job.id, machine: machine.name, strikes: job.failures.failureCount, failing },
      'a task failed',
    );
  }
}
