import type { Logger } from '../base/log.ts';
import type { Mutation, Condition } from '../wire/state.ts';
import { RateBudget } from './budget.ts';
import type { CompareAndSwapResult } from './key-value-store.ts';
import { KEYS } from './keys.ts';

/**
 * What a write is for, the most urgent first: ends of jobs (cancellations too), what must be durable before a
 * task starts (notes of begun tasks, the roster), finished tasks, and housekeeping. A less urgent write takes
 * only what the more urgent ones leave of a transaction and of the budget. The lease is renewed apart from them.
 */
const WRITE_PRIORITIES = ['ends', 'starts', 'progress', 'background'] as const;
export type WritePriority = (typeof WRITE_PRIORITIES)[number];

export interface Write {
  changes: Mutation[];
  /** Called once the changes are durable. */
  done: () => void;
}

/**
 * A write of one key whose value is taken only when its transaction is put together, so that whatever changes
 * until then is in it.
 */
export interface DeferredWrite {
  /** Upper bound of the value's size. */
  bytes: number;
  build(): Mutation;
  done: () => void;
}

export interface WriterHost {
  compareAndSwap(
    conditions: readonly Condition[],
    changes: readonly Mutation[],
    timeoutMs: number,
  ): Promise<CompareAndSwapResult>;
  /** The version of the fence key as it is now, or null if it can't be read. */
  readFence(): Promise<number | null>;
  /** The version of the leader key as it is now (0: none), or null if it can't be read. */
  readLeader(): Promise<number | null>;
  lost(reason: string): void;
  pause(ms: number): Promise<void>;
}

/** Share of the budget that the fence may cost: transactions a second, after a burst that waits for nothing. */
const FENCE_SHARE = 0.08;
const FENCE_BURST = 4;
const FEWEST_PER_SECOND = 1;
/** Transactions that only less urgent writes wait for leave so many of the burst to the others. */
const FENCE_RESERVE = 2;
/** Wait for an answer. A repeat is harmless, so it is short at first, and longer while the service is slow. */
const FIRST_TIMEOUT_MS = 400;
const LAST_TIMEOUT_MS = 2000;
const FIRST_PAUSE_MS = 100;
const LAST_PAUSE_MS = 800;
/** How often a transaction that waits for its turn looks at what has come in. */
const RECHECK_MS = 100;

interface Batch {
  jobs: (Write | DeferredWrite)[];
  changes: Mutation[];
}

const sizeOf = (job: Write | DeferredWrite): { changes: number; bytes: number } =>
  'build' in job
    ? { changes: 1, bytes: job.bytes }
    : { changes: job.changes.length, bytes: JSON.stringify(job.changes).length };

/**
 * All writes of one leadership, one transaction at a time. Each is conditional on the leader key's version
 * and on a fence that each transaction moves. A transaction without an answer is settled by a look at the fence,
 * or sent again unchanged: only one of its copies can find the fence where it was, so a copy that comes minutes
 * late changes nothing.
 *
 * What is due together shares a transaction. While the service is idle nothing waits; the more is written, the
 * more goes into each transaction, since both the budget and the pace of transactions make the next one wait.
 */
export class LeaderWriter {
  private readonly queues = new Map<WritePriority, (Write | DeferredWrite)[]>(
    WRITE_PRIORITIES.map((l) => [l, []]),
  );
  private readonly pace: RateBudget;
  private busy = false;
  private stopped = false;

  constructor(
    private readonly host: WriterHost,
    private readonly leaderVersion: number,
    private fence: number,
    private readonly limits: { txnOps: number; bytes: number },
    private readonly budget: RateBudget,
    private readonly log: Logger,
  ) {
    const perSecond = Math.max(FEWEST_PER_SECOND, budget.perSecond * FENCE_SHARE);
    this.pace = new RateBudget(perSecond, budget.now, Math.max(FENCE_BURST, perSecond));
  }

  enqueue(job: Write | DeferredWrite, lane: WritePriority): void {
    this.queues.get(lane)!.push(job);
    if (!this.busy) void this.run();
  }

  stop(): void {
    this.stopped = true;
  }

  /** Writes that wait to be put into a transaction. */
  get backlog(): number {
    let count = 0;
    for (const queue of this.queues.values()) count += queue.length;
    return count;
  }

  /** Nothing is being written and the budget is nearly full: a time for housekeeping. */
  get idle(): boolean {
    return !this.busy && this.backlog === 0 && this.budget.fullness() > 0.9 && this.pace.fullness() > 0.9;
  }

  /** The changes that the next transaction should wait for permits for: those of the most urgent lanes. */
  private pressingChanges(): { count: number; urgent: boolean } {
    const most = this.limits.txnOps - 1;
    const of = (lanes: readonly WritePriority[]): number => {
      let count = 0;
      for (const lane of lanes) {
        for (const job of this.queues.get(lane)!) {
          count += 'build' in job ? 1 : job.changes.length;
          if (count >= most) return most;
        }
      }
      return count;
    };
    const urgent = of(['ends', 'starts']);
    return urgent > 0 ? { count: urgent, urgent: true } : { count: of(WRITE_PRIORITIES), urgent: false };
  }

  /** Waits until the next transaction may go: meanwhile it gathers what comes in. */
  private async waitForTurn(): Promise<void> {
    while (!this.stopped) {
      const { count, urgent } = this.pressingChanges();
      const turns = urgent ? 1 : 1 + FENCE_RESERVE;
      const waitMs = Math.max(this.pace.waitMs(turns), this.budget.waitMs(this.payable(count + 1)));
      if (waitMs === 0) break;
      // Something more urgent may come meanwhile.
      await this.host.pause(Math.min(waitMs, RECHECK_MS));
    }
    this.pace.take();
  }

  /** A transaction can cost more than the bucket ever holds, with small limits. */
  private payable(changes: number): number {
    return Math.min(changes, Math.max(1, Math.floor(this.budget.perSecond)));
  }

  private takeBatch(): Batch {
    const jobs: (Write | DeferredWrite)[] = [];
    const changes: Mutation[] = [];
    const permits = Math.max(2, Math.floor(this.budget.available()));
    const most = Math.min(this.limits.txnOps, permits) - 1;
    let bytes = 0;
    for (const lane of WRITE_PRIORITIES) {
      const queue = this.queues.get(lane)!;
      while (queue.length > 0) {
        const next = queue[0]!;
        const size = sizeOf(next);
        const full = changes.length + size.changes > most || bytes + size.bytes > this.limits.bytes;
        if (jobs.length > 0 && full) return { jobs, changes };
        queue.shift();
        jobs.push(next);
        if ('build' in next) changes.push(next.build());
        else changes.push(...next.changes);
        bytes += size.bytes;
      }
    }
    return { jobs, changes };
  }

  private async run(): Promise<void> {
    this.busy = true;
    // Whatever is queued in the same turn shares the transaction.
    await Promise.resolve();
    while (!this.stopped && this.backlog > 0) {
      await this.waitForTurn();
      if (this.stopped) break;
      const { jobs, changes } = this.takeBatch();
      if (!(await this.commit(changes))) break;
      for (const job of jobs) job.done();
    }
    this.busy = false;
  }

  private async commit(changes: Mutation[]): Promise<boolean> {
    const conditions = [
      { key: KEYS.leader, version: this.leaderVersion },
      { key: KEYS.fence, version: this.fence },
    ];
    const all: Mutation[] = [...changes, { put: KEYS.fence, value: {} }];
    let inDoubt = false;
    let repeats = 0;
    let pauseMs = FIRST_PAUSE_MS;
    let timeoutMs = FIRST_TIMEOUT_MS;
    while (!this.stopped) {
      const permits = this.payable(all.length);
      const wait = this.budget.waitMs(permits);
      if (wait > 0) await this.host.pause(wait);
      this.budget.take(permits);
      const result = await this.host.compareAndSwap(conditions, all, timeoutMs);
      if (this.stopped) return false;
      if (result.kind === 'ok') {
        this.fence = result.revision;
        return true;
      }
      if (result.kind === 'no_lease') {
        this.lost('lease over');
        return false;
      }
      if (result.kind === 'conflict') {
        if (result.failed.includes(KEYS.leader) || !inDoubt) {
          this.lost('a transaction met another leader');
          return false;
        }
        // Only a copy of this transaction can have moved the fence.
        const fence = await this.host.readFence();
        if (fence !== null) {
          this.fence = fence;
          return true;
        }
      }
      if (result.kind === 'unknown') {
        inDoubt = true;
        timeoutMs = Math.min(LAST_TIMEOUT_MS, timeoutMs * 2);
        const settled = await this.resolveInDoubt();
        if (settled !== 'unsettled') {
          this.log.info({ settled }, 'store: write without an answer, settled by a look');
          if (settled === 'carried_out') return true;
          if (settled === 'other_leader') {
            this.lost('another leader was seen');
            return false;
          }
          // Not yet, so it is sent again: the first time at once.
          repeats += 1;
          if (repeats === 1) continue;
        }
      }
      this.log.info({ result: result.kind, pauseMs }, 'store: write not confirmed, sent again');
      await this.host.pause(pauseMs);
      pauseMs = Math.min(LAST_PAUSE_MS, pauseMs * 2);
    }
    return false;
  }

  /**
   * What came of a transaction without an answer. While the leader key stands as it was, nobody but this
   * leadership moves the fence, and only this one transaction is under way: a fence that has moved shows that it
   * was carried out, provided that the leader key is seen standing *after* that.
   */
  private async resolveInDoubt(): Promise<'carried_out' | 'not_yet' | 'other_leader' | 'unsettled'> {
    const fence = await this.host.readFence();
    if (fence === null || this.stopped) return 'unsettled';
    if (fence === this.fence) return 'not_yet';
    const leader = await this.host.readLeader();
    if (leader === null || this.stopped) return 'unsettled';
    if (leader !== this.leaderVersion) return 'other_leader';
    this.fence = fence;
    return 'carried_out';
  }

  private lost(reason: string): void {
    this.stopped = true;
    this.host.lost(reason);
  }
}
