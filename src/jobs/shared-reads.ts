/** Least time between the beginnings of two reads of one key: a tenth of what users wait for the answer to a poll. */
export const READ_GAP_MS = 200;

export interface SharedReadsDeps<T, U> {
  /** Steady milliseconds. */
  now(): number;
  after(ms: number, run: () => void): void;
  read(key: string, urgency: U): Promise<T>;
  /** True if the first is more urgent than the second. */
  moreUrgent(first: U, second: U): boolean;
}

interface NextRead<T, U> {
  urgency: U;
  result: Promise<T>;
}

/**
 * Concurrent reads of one key as one. A request never joins a read that has begun: what it returns may be older
 * than the request. It joins the next one, which begins once the gap since the last has passed, whether or not that
 * one has been answered; so a read that hangs holds nobody up.
 */
export class SharedReads<T, U> {
  private readonly beganAt = new Map<string, number>();
  private readonly next = new Map<string, NextRead<T, U>>();

  constructor(private readonly deps: SharedReadsDeps<T, U>) {}

  get(key: string, urgency: U): Promise<T> {
    const joined = this.next.get(key);
    if (joined) {
      if (this.deps.moreUrgent(urgency, joined.urgency)) joined.urgency = urgency;
      return joined.result;
    }
    const waitMs = (this.beganAt.get(key) ?? -Infinity) + READ_GAP_MS - this.deps.now();
    if (waitMs <= 0) return this.begin(key, urgency);
    const result = new Promise<T>((resolve, reject) => {
      this.deps.after(waitMs, () => {
        const due = this.next.get(key);
        this.next.delete(key);
        this.begin(key, due?.urgency ?? urgency).then(resolve, reject);
      });
    });
    this.next.set(key, { urgency, result });
    return result;
  }

  private begin(key: string, urgency: U): Promise<T> {
    const at = this.deps.now();
    this.beganAt.set(key, at);
    this.deps.after(READ_GAP_MS, () => {
      if (this.beganAt.get(key) === at) this.beganAt.delete(key);
    });
    return this.deps.read(key, urgency);
  }

  /** Keys read within the last gap. */
  get size(): number {
    return this.beganAt.size;
  }
}
