/** Starts attempts of tasks, and applies the events that workers report to their jobs. */
import type { StartWatermarks } from '../jobs/start-watermarks.ts';
import type { Job } from '../jobs/job.ts';
import { ASSIGNED } from '../jobs/job.ts';
import { computeFetchS } from '../scheduling/snapshot.ts';
import { Attempt, attemptKey } from '../workers/attempt.ts';
import type { Machine } from '../workers/machine.ts';
import {
  isFailing,
  recordFailure,
  recordSuccess,
  computeRetryDelayMs,
} from '../workers/failure-attribution.ts';
import type { WorkerEvent } from '../workers/reconcile.ts';
import type { Cluster } from './cluster.ts';
import type { LeaderDeps } from './context.ts';
import type { Completion } from './completion.ts';
import type { Gangs } from './gangs.ts';
import { describeAttempt, TaskLog } from './task-log.ts';

/** Attempt numbers of one term: the term is their upper part. */
const ATTEMPTS_PER_TERM = 2 ** 24;
/** Fewest tasks by which a job's start watermark is raised at once. */
const MIN_START_WATERMARK_STEP = 16;
/** Number of steps in which the start watermark of a large job reaches all of its tasks. */
const START_WATERMARK_STEPS_PER_JOB = 8;
/** How long a job starts no task after a worker couldn't fetch its description. */
const UNKNOWN_JOB_PAUSE_MS = 2000;

/** The dependencies of a leadership, with the parts of it that attempts are applied to. */
export interface AttemptsDeps extends LeaderDeps {
  cluster: Cluster;
  gangs: Gangs;
  completion: Completion;
  startWatermarks: StartWatermarks;
}

/** Creates the attempts of one leadership, and applies what workers report of them to their jobs. */
export class Attempts {
  private count = 0;
  private readonly taskLog: TaskLog;

  constructor(private readonly deps: AttemptsDeps) {
    this.taskLog = new TaskLog(deps.host.log);
  }

  private now(): number {
    return this.deps.host.clock.now();
  }

  /** The next attempt number. It carries the term, so no other leadership ever uses it. */
  nextNumber(): number {
    this.count += 1;
    return this.deps.term * ATTEMPTS_PER_TERM + this.count;
  }

  /** Assigns the job's next pending task to the machine; null if none may start now. */
  start(job: Job, machine: Machine, number: number): Attempt | null {
    const task = job.takePending(!this.deps.cluster.allReconciled());
    if (task < 0) return null;
    this.requestStartWatermark(job, task);
    const attempt = new Attempt({ machine, job, jobId: job.id, task, number, assignedAt: this.now() });
    machine.attempts.set(attemptKey(job.id, task, number), attempt);
    machine.expediteCommand();
    this.deps.cluster.commandsDue.add(machine);
    this.expectFetch(machine, job);
    this.deps.cluster.track(attempt);
    job.waitingSince = this.now();
    if (job.spec.gang) this.deps.gangs.join(job, attempt);
    return attempt;
  }

  /** The machine will fetch the job's image if it doesn't have it. */
  private expectFetch(machine: Machine, job: Job): void {
    const gbPerS = this.deps.catalog.types[machine.type]?.fetchGbPerS ?? 0;
    if (machine.images.has(job.spec.image) || gbPerS <= 0) return;
    machine.images.noteFetch(job.spec.image, computeFetchS(job.spec.imageGb, gbPerS) * 1000, this.now());
  }

  /**
   * Records in the store, before a task starts, that it may have been started. The next leader then knows which tasks
   * cannot be running on any machine, and starts those without waiting for machines that it can't reach. The watermark
   * is raised ahead in steps, so that a job needs few writes, and all jobs that begin in a round share one write.
   */
  private requestStartWatermark(job: Job, task: number): void {
    if (task < job.requestedStartWatermark) return;
    const step = Math.max(
      MIN_START_WATERMARK_STEP,
      Math.ceil(job.spec.tasks / START_WATERMARK_STEPS_PER_JOB),
    );
    const watermark = job.spec.gang ? job.spec.tasks : Math.min(job.spec.tasks, task + step);
    job.requestedStartWatermark = watermark;
    this.deps.startWatermarks.raise(job.id, watermark, () => {
      job.durableStartWatermark = watermark;
      for (const attempt of this.deps.cluster.liveAttempts.get(job) ?? [])
        this.deps.cluster.commandsDue.add(attempt.machine);
    });
  }

  /** Applies the events of one heartbeat, in their order. */
  apply(events: readonly WorkerEvent[]): void {
    for (const event of events) {
      switch (event.kind) {
        case 'observed':
          this.onObserved(event.attempt);
          break;
        case 'running':
          this.onRunning(event.attempt);
          break;
        case 'released':
          this.onReleased(event.attempt, event.checkpointed);
          break;
      }
    }
  }

  private onObserved(attempt: Attempt): void {
    const { job } = attempt;
    if (!job) {
      this.taskLog.attemptFound(attempt);
      attempt.decideStop(0);
      return;
    }
    if (this.deps.cluster.liveAttempts.get(job)?.has(attempt)) {
      // Our own start has arrived, by a direct command or a heartbeat response.
      attempt.machine.connectivity.noteAcknowledgement(this.now());
      return;
    }
    // A task that an earlier leader started.
    this.taskLog.attemptFound(attempt);
    this.deps.cluster.track(attempt);
    if (!job.adopt(attempt.task)) this.stopOlder(job, attempt);
    if (job.pendingOutcome !== null) attempt.decideStop(0);
    if (job.spec.gang) this.deps.gangs.adopt(job, attempt);
  }

  /**
   * Stops the older of two attempts that hold a task, or the new one if the task is done. An attempt starts only once
   * all earlier ones of its task have surely ended, and has a higher number: so the lower one is out of date, and
   * stopping the higher one would lose its work.
   */
  private stopOlder(job: Job, attempt: Attempt): void {
    if (job.isDone(attempt.task)) {
      this.deps.cluster.stop(attempt, 0);
      return;
    }
    for (const other of this.deps.cluster.liveAttempts.get(job) ?? []) {
      if (other === attempt || other.task !== attempt.task) continue;
      const [older, newer] = other.number < attempt.number ? [other, attempt] : [attempt, other];
      if (other.observed) this.taskLog.taskHeldTwice(older, newer);
      this.deps.cluster.stop(older, 0);
    }
  }

  private onRunning(attempt: Attempt): void {
    if (attempt.job) attempt.job.runningCount += 1;
    this.deps.host.log.debug(
      {
        ...describeAttempt(attempt),
        type: attempt.machine.identity.machineType,
        afterMs: Math.round(this.now() - attempt.assignedAt),
      },
      'task running',
    );
  }

  private onReleased(attempt: Attempt, checkpointed: boolean): void {
    this.deps.cluster.dirty = true;
    const { job, machine } = attempt;
    if (!job) return;
    const otherHolders = this.deps.cluster.release(attempt);
    if (otherHolders < 0) {
      if (attempt.exitReason === 'done') this.deps.completion.taskDone(job, attempt.task);
      return;
    }
    if (attempt.runningSince !== null) job.runningCount = Math.max(0, job.runningCount - 1);
    this.logEnd(attempt, checkpointed);
    if (machine.liveAttemptCount === 0) machine.noteIdle(this.now());
    this.abandonFetch(machine, job);
    if (attempt.exitReason === 'done') this.onDone(job, attempt);
    else if (job.taskStates[attempt.task] === ASSIGNED && otherHolders === 0) this.requeue(job, attempt);
    if (job.spec.gang) this.deps.gangs.leave(job, attempt);
    if (job.terminalState) this.deps.cluster.removeIfCompleted(job);
  }

  private logEnd(attempt: Attempt, checkpointed: boolean): void {
    this.deps.host.log.debug(
      {
        ...describeAttempt(attempt),
        exitReason: attempt.exitReason,
        checkpointed,
        afterMs: this.now() - attempt.assignedAt,
      },
      'task ended',
    );
  }

  /** A gang is done with the first of its tasks, as they end together. */
  private onDone(job: Job, attempt: Attempt): void {
    recordSuccess(job.failures, attempt.machine.index);
    if (this.deps.cluster.gangs.has(job))
      for (let task = 0; task < job.spec.tasks; task++) job.markDone(task);
    this.deps.completion.taskDone(job, attempt.task);
  }

  /** Requeues a task that ended without being done and that no other attempt holds, so that it starts again. */
  private requeue(job: Job, attempt: Attempt): void {
    job.requeue(attempt.task, this.now());
    if (attempt.exitReason === 'error') this.onFailed(job, attempt);
    else if (attempt.exitReason === 'jobUnknown') this.delay(job, UNKNOWN_JOB_PAUSE_MS);
  }

  /**
   * A worker gives up an image fetch with the last task that waits for it; from then on the image doesn't count as
   * being fetched.
   */
  private abandonFetch(machine: Machine, job: Job): void {
    const { image } = job.spec;
    const readyAt = machine.images.getReadyAt(image) ?? -Infinity;
    if (readyAt <= this.now()) return;
    for (const other of machine.attempts.values()) {
      if (!other.released && other.job?.spec.image === image) return;
    }
    machine.images.abandonFetch(image, this.now());
  }

  /** Starts no task of the job for `ms`; a longer delay that was set before stays. */
  private delay(job: Job, ms: number): void {
    job.notBefore = Math.max(job.notBefore, this.now() + ms);
  }

  /** Records the failure for the job and the machine, and spaces the job's attempts (`failure-attribution.ts`). */
  private onFailed(job: Job, attempt: Attempt): void {
    const { machine, assignedAt } = attempt;
    recordFailure({
      job: job.failures,
      machine: machine.failures,
      machineIndex: machine.index,
      assignedAt,
      now: this.now(),
    });
    this.delay(job, computeRetryDelayMs(job.failures));
    const failing = isFailing(job.failures);
    // A job that fails on every machine may be retried on any of them.
    if (failing) job.excludedMachines.clear();
    else job.excludedMachines.add(machine.index);
    this.deps.host.log.info(
      { job: job.id, machine: machine.name, failureCount: job.failures.failureCount, failing },
      'task failed',
    );
  }
}
