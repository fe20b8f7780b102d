/** Completed tasks and jobs, on their way into the key-value store. */
import type { Archive } from '../jobs/archive.ts';
import type { StartWatermarks } from '../jobs/start-watermarks.ts';
import type { Job } from '../jobs/job.ts';
import { encodeChunk, encodeTerminalRecord } from '../jobs/records.ts';
import { KEYS } from '../store/keys.ts';
import type { Cluster } from './cluster.ts';
import type { LeaderDeps } from './context.ts';

/** How a job ends. */
type JobOutcome = 'done' | 'cancelled';

/** Writes completion bitmaps and terminal records, and reports the outcome of a job once it is durable. */
export class Completion {
  private flushDueAt = Infinity;
  private lastFlushAt = -Infinity;
  /** Jobs with tasks that were completed since their bitmap was last written. */
  private readonly dirtyJobs = new Set<Job>();

  constructor(
    private readonly cluster: Cluster,
    private readonly startWatermarks: StartWatermarks,
    private readonly archive: Archive,
    private readonly deps: LeaderDeps,
  ) {}

  /** A task is done; the next flush writes it. */
  taskDone(job: Job, task: number): void {
    job.markDone(task);
    if (job.pendingOutcome !== null) return;
    this.dirtyJobs.add(job);
    if (this.flushDueAt !== Infinity) return;
    this.flushDueAt = Math.max(this.deps.host.clock.now(), this.lastFlushAt + this.flushIntervalMs);
  }

  private get flushIntervalMs(): number {
    return this.deps.options.scheduling.finish_batch_ms;
  }

  /** Finishes the job if all its tasks are done and no other outcome is pending. */
  finishIfDone(job: Job): void {
    if (job.pendingOutcome === null && job.allDone) this.finish(job, 'done');
  }

  /** From now on the job has a pending outcome: it starts no task, and its terminal record is being written. */
  finish(job: Job, outcome: JobOutcome): void {
    job.pendingOutcome = outcome;
    this.cluster.completedJobs.add(job.id);
    this.cluster.dirty = true;
    this.deps.host.log.debug({ job: job.id, outcome }, 'job completing');
    if (outcome === 'cancelled') this.cluster.stopAll(job, 0);
    this.writeTerminalRecord(job, outcome);
  }

  /**
   * Writes the terminal record in the place of the open one: one mutation, and one key that tells the state of a job.
   * The completion bitmap is deleted in the same transaction if it holds both, and else once no write is more urgent.
   */
  private writeTerminalRecord(job: Job, outcome: JobOutcome): void {
    const { writer, host, settings } = this.deps;
    const value = encodeTerminalRecord(outcome, job.doneCount);
    const record = { put: KEYS.open(job.id), value };
    const chunks = [...job.storedChunks].map((chunk) => ({ delete: KEYS.completions(job.id, chunk) }));
    // The transaction holds the mutation of the fence key besides.
    const fitsOneTransaction = chunks.length + 1 < settings.settings.state.txn_ops;
    writer.enqueue(
      {
        kind: 'ready',
        mutations: fitsOneTransaction ? [record, ...chunks] : [record],
        onCommitted: () => {
          host.enqueue(() => {
            this.onTerminalDurable(job, outcome, value);
          });
        },
      },
      // Users wait for either outcome, while the completed tasks of other jobs can wait.
      'ends',
    );
    if (fitsOneTransaction) return;
    for (const chunk of chunks) {
      writer.enqueue({ kind: 'ready', mutations: [chunk], onCommitted: () => undefined }, 'background');
    }
  }

  private onTerminalDurable(job: Job, outcome: JobOutcome, value: unknown): void {
    const { host } = this.deps;
    job.terminalState = outcome;
    this.startWatermarks.drop(job.id);
    this.archive.add(job.id, value);
    host.onTerminalState(job.id, job.status());
    for (const notify of job.onTerminal) notify();
    job.onTerminal.length = 0;
    const heldTasks = this.cluster.liveAttempts.get(job)?.size ?? 0;
    host.log.info({ job: job.id, outcome, heldTasks }, 'job completed');
    this.cluster.removeIfCompleted(job);
  }

  /**
   * Writes completed tasks, at most once in `finish_batch_ms`, and only while no write is queued: tasks that complete
   * while the store is busy then share a write. A job whose tasks are all done goes straight to its terminal state.
   */
  flush(): void {
    const { writer, host } = this.deps;
    const now = host.clock.now();
    if (now < this.flushDueAt) return;
    const writerIdle = writer.backlog === 0;
    for (const job of this.dirtyJobs) this.flushJob(job, writerIdle);
    this.lastFlushAt = now;
    this.flushDueAt = this.dirtyJobs.size > 0 ? now + this.flushIntervalMs : Infinity;
  }

  private flushJob(job: Job, writerIdle: boolean): void {
    if (job.pendingOutcome === null && !job.allDone && !writerIdle) return;
    this.dirtyJobs.delete(job);
    if (job.pendingOutcome !== null) return;
    if (job.allDone) {
      this.finish(job, 'done');
      return;
    }
    for (const chunk of job.dirtyChunks) this.writeChunk(job, chunk);
    job.dirtyChunks.clear();
  }

  private writeChunk(job: Job, chunk: number): void {
    const bits = job.chunkBits(chunk);
    job.storedChunks.add(chunk);
    this.deps.writer.enqueue(
      {
        kind: 'ready',
        mutations: [{ put: KEYS.completions(job.id, chunk), value: encodeChunk(bits) }],
        onCommitted: () => {
          this.deps.host.enqueue(() => {
            job.markChunkDurable(chunk, bits);
          });
        },
      },
      'progress',
    );
  }
}
