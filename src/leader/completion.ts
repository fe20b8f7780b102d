import type { Archive } from '../jobs/archive.ts';
import type { StartWatermarks } from '../jobs/start-watermarks.ts';
import type { Job } from '../jobs/job.ts';
import { chunkValue, terminalValue } from '../jobs/records.ts';
import { KEYS } from '../store/keys.ts';
import type { Cluster } from './cluster.ts';
import type { LeaderDeps } from './context.ts';

/** Finished tasks and jobs that end, on their way into the store. */
export class Completion {
  private flushDueAt = Infinity;
  private lastFlushAt = -Infinity;
  private readonly dirtyJobs = new Set<Job>();

  constructor(
    private readonly cluster: Cluster,
    private readonly startWatermarks: StartWatermarks,
    private readonly archive: Archive,
    private readonly deps: LeaderDeps,
  ) {}

  taskDone(job: Job, task: number): void {
    job.markDone(task);
    if (job.pendingOutcome !== null) return;
    this.dirtyJobs.add(job);
    if (this.flushDueAt === Infinity) {
      const { finish_batch_ms } = this.deps.options.scheduling;
      this.flushDueAt = Math.max(this.deps.host.clock.now(), this.lastFlushAt + finish_batch_ms);
    }
  }

  finishIfDone(job: Job): void {
    if (job.pendingOutcome === null && job.allDone) this.finish(job, 'done');
  }

  finish(job: Job, outcome: 'done' | 'cancelled'): void {
    const { writer, host, settings } = this.deps;
    job.pendingOutcome = outcome;
    this.cluster.completedJobs.add(job.id);
    this.cluster.dirty = true;
    host.log.debug({ job: job.id, outcome }, 'job ends');
    if (outcome === 'cancelled') this.cluster.stopAll(job, 0);
    // In the place of the open record: one change, and one key that tells what a job is.
    const value = terminalValue(outcome, job.doneCount);
    const changes = [{ put: KEYS.open(job.id), value }];
    const chunks: { delete: string }[] = [];
    for (const chunk of job.storedChunks) chunks.push({ delete: KEYS.completions(job.id, chunk) });
    const together = chunks.length + changes.length < settings.settings.state.txn_ops;
    writer.enqueue(
      {
        kind: 'ready',
        mutations: together ? [...changes, ...chunks] : changes,
        done: () => {
          host.enqueue(() => {
            this.onTerminalDurable(job, outcome, value);
          });
        },
      },
      // Users wait for both, and the finished tasks of other jobs can wait.
      'ends',
    );
    if (together) return;
    for (const change of chunks)
      writer.enqueue({ kind: 'ready', mutations: [change], done: () => undefined }, 'background');
  }

  private onTerminalDurable(job: Job, outcome: 'done' | 'cancelled', value: unknown): void {
    const { host } = this.deps;
    job.terminalState = outcome;
    this.startWatermarks.drop(job.id);
    this.archive.add(job.id, value);
    host.onTerminalState(job.id, job.status());
    for (const settled of job.onTerminal) settled();
    job.onTerminal.length = 0;
    host.log.info({ job: job.id, outcome }, 'job over');
    this.cluster.removeIfCompleted(job);
  }

  /**
   * Writes finished tasks, at most twice a second, and only when the last ones are written: what a busy store
   * can't take yet then goes together. A job that is complete goes straight to its final state.
   */
  flush(): void {
    const { writer, host } = this.deps;
    const now = host.clock.now();
    if (now < this.flushDueAt) return;
    const calm = writer.backlog === 0;
    for (const job of this.dirtyJobs) {
      if (job.pendingOutcome === null && !job.allDone && !calm) continue;
      this.dirtyJobs.delete(job);
      if (job.pendingOutcome !== null) continue;
      if (job.allDone) {
        this.finish(job, 'done');
        continue;
      }
      for (const chunk of job.dirtyChunks) this.writeChunk(job, chunk);
      job.dirtyChunks.clear();
    }
    this.lastFlushAt = now;
    this.flushDueAt = this.dirtyJobs.size > 0 ? now + this.deps.options.scheduling.finish_batch_ms : Infinity;
  }

  private writeChunk(job: Job, chunk: number): void {
    const bits = job.chunkBits(chunk);
    job.storedChunks.add(chunk);
    this.deps.writer.enqueue(
      {
        kind: 'ready',
        mutations: [{ put: KEYS.completions(job.id, chunk), value: chunkValue(bits) }],
        done: () => {
          this.deps.host.enqueue(() => {
            job.markChunkDurable(chunk, bits);
          });
        },
      },
      'progress',
    );
  }
}
