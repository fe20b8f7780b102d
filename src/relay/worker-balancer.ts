/** Reports a second that a whole core answers beside its other work as leader. */
export interface CapacityLimits {
  reportsPerCoreS: number;
  /** Share of a core. */
  cores: number;
  /** Seconds between two reports of a worker. */
  reportS: number;
}

/**
 * How many workers a leader can serve alone. Its sockets don't count: workers beyond them take turns, which costs less
 * than to have followers hand all reports on.
 */
export function workerCapacity(limits: CapacityLimits): number {
  return Math.max(1, Math.floor(limits.cores * limits.reportsPerCoreS * limits.reportS));
}

/** With fewer machines than this share of what it carries, a leader takes all workers back. */
const BACK_TO_ONE = 0.8;
/** The share of what it carries that a leader serves itself while others help: it also plans. */
const OWN_SHARE = 0.75;
/** A follower that serves nearly as many as the leader is no relief. */
const CLEARLY_FEWER = 0.8;
/** A follower that handed nothing on for so long may be gone. */
const FOLLOWER_ALIVE_MS = 2000;

/** Counts events in windows of a fixed length. */
class WindowCount {
  private since: number;
  private current = 0;
  private before = 0;

  constructor(
    now: number,
    private readonly lengthMs: number,
  ) {
    this.since = now;
  }

  add(now: number, count: number): void {
    this.turn(now);
    this.current += count;
  }

  /** Events in the present window or, if there were more, the last whole one. */
  most(now: number): number {
    this.turn(now);
    return Math.max(this.current, this.before);
  }

  /** Events in the present window. */
  sofar(now: number): number {
    this.turn(now);
    return this.current;
  }

  private turn(now: number): void {
    if (now - this.since < this.lengthMs) return;
    this.before = now - this.since < 2 * this.lengthMs ? this.current : 0;
    this.current = 0;
    this.since = now;
  }
}

interface Follower {
  reports: WindowCount;
  lastRelayAt: number;
}

/**
 * Shares workers out among the controllers, on the leader: with more machines than it can serve alone, followers are
 * asked to hand reports on, and workers beyond its own share are sent to the follower that serves fewest.
 */
export class WorkerBalancer {
  private relaying = false;
  private readonly own: WindowCount;
  private readonly followers = new Map<string, Follower>();

  constructor(
    private readonly now: () => number,
    private readonly capacity: number,
    private readonly windowMs: number,
  ) {
    this.own = new WindowCount(now(), windowMs);
  }

  /** True while followers are to hand reports on. */
  relay(machines: number): boolean {
    this.relaying = machines > this.capacity * (this.relaying ? BACK_TO_ONE : 1);
    return this.relaying;
  }

  /** A follower has handed so many reports on. */
  noteRelayed(follower: string, reports: number): void {
    const now = this.now();
    const known = this.followers.get(follower) ?? {
      reports: new WindowCount(now, this.windowMs),
      lastRelayAt: now,
    };
    known.lastRelayAt = now;
    known.reports.add(now, reports);
    this.followers.set(follower, known);
  }

  /** A worker reports here. Returns the follower that it is to report to instead, or null. */
  referTo(machines: number): string | null {
    const now = this.now();
    this.own.add(now, 1);
    if (!this.relay(machines)) return null;
    const served = this.own.sofar(now);
    if (served <= this.capacity * OWN_SHARE) return null;
    let best: string | null = null;
    let bestReports: WindowCount | null = null;
    let fewest = served * CLEARLY_FEWER;
    for (const [name, follower] of this.followers) {
      const count = follower.reports.most(now);
      if (now - follower.lastRelayAt > FOLLOWER_ALIVE_MS || count >= fewest) continue;
      best = name;
      bestReports = follower.reports;
      fewest = count;
    }
    // It counts there at once: until it reports there, others would be sent after it.
    bestReports?.add(now, 1);
    return best;
  }
}
