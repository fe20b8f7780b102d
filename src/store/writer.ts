import type { Logger } from '../core/log.ts';
import type { Change, Condition } from '../wire/state.ts';
import { RateBudget } from './budget.ts';
import type { TxnResult } from './client.ts';
import { KEYS } from './keys.ts';

export interface WriteJob {
  changes: Change[];
  /** Called once the changes are durable. */
  done: () => void;
}

export interface WriterHost {
  txn(conditions: readonly Condition[], changes: readonly Change[]): Promise<TxnResult>;
  /** The version of the fence key as it is now, or null if it can't be read. */
  readFence(): Promise<number | null>;
  lost(reason: string): void;
  pause(ms: number): Promise<void>;
}

/**
 * All writes of one leadership, one transaction at a time. Each is conditional on the leader key's version
 * and on a fence that each transaction moves. A transaction without an answer is sent again unchanged: only
 * one of its copies can find the fence where it was, so a copy that comes minutes late changes nothing.
 */
export class LeaderWriter {
  private urgent: WriteJob[] = [];
  private later: WriteJob[] = [];
  private busy = false;
  private stopped = false;

  constructor(
    private readonly host: WriterHost,
    private readonly leaderVersion: number,
    private fence: number,
    private readonly limits: { txnOps: number; bytes: number },
    private readonly budget: RateBudget,
    private readonly log: Logger,
  ) {}

  /** User writes and the roster go before finished tasks. */
  push(job: WriteJob, urgent: boolean): void {
    (urgent ? this.urgent : this.later).push(job);
    if (!this.busy) void this.run();
  }

  stop(): void {
    this.stopped = true;
  }

  get backlog(): number {
    return this.urgent.length + this.later.length;
  }

  private takeBatch(): { jobs: WriteJob[]; changes: Change[] } {
    const jobs: WriteJob[] = [];
    const changes: Change[] = [];
    let bytes = 0;
    for (const queue of [this.urgent, this.later]) {
      while (queue.length > 0) {
        const next = queue[0]!;
        const size = JSON.stringify(next.changes).length;
        const full = changes.length + next.changes.length + 1 > this.limits.txnOps;
        if (jobs.length > 0 && (full || bytes + size > this.limits.bytes)) return { jobs, changes };
        queue.shift();
        jobs.push(next);
        changes.push(...next.changes);
        bytes += size;
      }
    }
    return { jobs, changes };
  }

  private async run(): Promise<void> {
    this.busy = true;
    // Whatever is queued in the same turn shares the transaction.
    await Promise.resolve();
    while (!this.stopped && this.backlog > 0) {
      const { jobs, changes } = this.takeBatch();
      if (!(await this.commit(changes))) break;
      for (const job of jobs) job.done();
    }
    this.busy = false;
  }

  private async commit(changes: Change[]): Promise<boolean> {
    const conditions = [
      { key: KEYS.leader, version: this.leaderVersion },
      { key: KEYS.fence, version: this.fence },
    ];
    const all: Change[] = [...changes, { put: KEYS.fence, value: {} }];
    let inDoubt = false;
    let pauseMs = 100;
    while (!this.stopped) {
      const wait = this.budget.waitMs(all.length);
      if (wait > 0) await this.host.pause(wait);
      this.budget.take(all.length);
      const result = await this.host.txn(conditions, all);
      if (this.stopped) return false;
      if (result.kind === 'ok') {
        this.fence = result.revision;
        return true;
      }
      if (result.kind === 'conflict') {
        if (result.failed.includes(KEYS.leader) || !inDoubt) {
          this.lost('a transaction met another leader');
          return false;
        }
        const fence = await this.host.readFence();
        if (fence !== null) {
          this.fence = fence;
          return true;
        }
      }
      if (result.kind === 'no_lease') {
        this.lost('lease over');
        return false;
      }
      if (result.kind === 'unknown') inDoubt = true;
      this.log.info({ result: result.kind, pauseMs }, 'store: write not confirmed, sent again');
      await this.host.pause(pauseMs);
      pauseMs = Math.min(1000, pauseMs * 2);
    }
    return false;
  }

  private lost(reason: string): void {
    this.stopped = true;
    this.host.lost(reason);
  }
}
