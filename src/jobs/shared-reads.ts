/** Coalescing of concurrent reads of one key. */

/**
 * Minimum time in ms between the starts of two reads of one key: a tenth of the time for which users wait for the
 * answer to a poll.
 */
export const MIN_READ_INTERVAL_MS = 200;

/** Clock, timer and the read that is shared. `Result`: what a read returns; `Priority`: how urgent one is. */
export interface SharedReadsDeps<Result, Priority> {
  /** Steady milliseconds. */
  now(): number;
  /** Calls `run` once, after `ms` milliseconds. */
  after(ms: number, run: () => void): void;
  read(key: string, priority: Priority): Promise<Result>;
  /** Whether the first priority is more urgent than the second. */
  isMoreUrgent(first: Priority, second: Priority): boolean;
}

interface ScheduledRead<Result, Priority> {
  /** Priority of the most urgent request that shares the read. */
  priority: Priority;
  result: Promise<Result>;
}

/**
 * Coalesces concurrent reads of one key. Unlike with single flight, a request never joins a read in flight, whose
 * result may be older than the request. It joins the next read, which starts `MIN_READ_INTERVAL_MS` after the start of
 * the previous one, whether or not that has been answered; so a read that hangs doesn't delay later requests.
 */
export class SharedReads<Result, Priority> {
  private readonly lastStartedAt = new Map<string, number>();
  private readonly scheduled = new Map<string, ScheduledRead<Result, Priority>>();

  constructor(private readonly deps: SharedReadsDeps<Result, Priority>) {}

  /** Reads the key, at once or with the next shared read. Rejected if that read is. */
  get(key: string, priority: Priority): Promise<Result> {
    const scheduledRead = this.scheduled.get(key);
    if (scheduledRead) {
      if (this.deps.isMoreUrgent(priority, scheduledRead.priority)) scheduledRead.priority = priority;
      return scheduledRead.result;
    }
    const waitMs = (this.lastStartedAt.get(key) ?? -Infinity) + MIN_READ_INTERVAL_MS - this.deps.now();
    if (waitMs <= 0) return this.start(key, priority);
    const result = new Promise<Result>((resolve, reject) => {
      this.deps.after(waitMs, () => {
        const due = this.scheduled.get(key);
        this.scheduled.delete(key);
        this.start(key, due?.priority ?? priority).then(resolve, reject);
      });
    });
    this.scheduled.set(key, { priority, result });
    return result;
  }

  private start(key: string, priority: Priority): Promise<Result> {
    const startedAt = this.deps.now();
    this.lastStartedAt.set(key, startedAt);
    this.deps.after(MIN_READ_INTERVAL_MS, () => {
      if (this.lastStartedAt.get(key) === startedAt) this.lastStartedAt.delete(key);
    });
    return this.deps.read(key, priority);
  }

  /** Number of keys read within the last interval. */
  get recentKeyCount(): number {
    return this.lastStartedAt.size;
  }
}
