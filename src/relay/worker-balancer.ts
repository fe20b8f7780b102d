/** Decides on the leader which controller serves which share of the workers. */
import { EventCounter } from './event-counter.ts';

/** What the number of workers that a controller can serve follows from. */
export interface CapacityLimits {
  /** Heartbeats a second that a whole core answers beside its other work as leader. */
  heartbeatsPerCoreS: number;
  /** Share of a core. */
  cores: number;
  /** Seconds between two heartbeats of a worker. */
  heartbeatIntervalS: number;
}

/**
 * How many workers a leader can serve alone. Its sockets don't count: workers beyond them take turns, which costs less
 * than to have followers relay all heartbeats.
 */
export function workerCapacity(limits: CapacityLimits): number {
  const { heartbeatsPerCoreS, cores, heartbeatIntervalS } = limits;
  return Math.max(1, Math.floor(cores * heartbeatsPerCoreS * heartbeatIntervalS));
}

/** With fewer machines than this share of its capacity, a leader serves all workers itself again. */
const STOP_RELAY_SHARE = 0.8;
/** The share of its capacity that a leader serves itself while followers relay: it also plans. */
const LEADER_SHARE = 0.75;
/** A follower that serves this share or more of what the leader serves is no relief. */
const RELIEF_SHARE = 0.8;
/** A follower that has relayed nothing for so long may be gone. */
const FOLLOWER_TIMEOUT_MS = 2000;

interface Follower {
  heartbeats: EventCounter;
  lastRelayAt: number;
}

/**
 * Balances workers between the controllers, on the leader: with more machines than it can serve alone, followers are
 * asked to relay heartbeats, and workers beyond its own share are redirected to the follower that serves fewest.
 */
export class WorkerBalancer {
  private isRelaying = false;
  private readonly ownHeartbeats: EventCounter;
  private readonly followers = new Map<string, Follower>();

  constructor(
    private readonly now: () => number,
    /** Workers that this controller can serve alone. */
    private readonly capacity: number,
    /** The time in which each worker sends one heartbeat, in milliseconds. */
    private readonly windowMs: number,
  ) {
    this.ownHeartbeats = new EventCounter(now(), windowMs);
  }

  /** True while followers are to relay heartbeats, with this many machines in the cluster. */
  shouldRelay(machines: number): boolean {
    this.isRelaying = machines > this.capacity * (this.isRelaying ? STOP_RELAY_SHARE : 1);
    return this.isRelaying;
  }

  /** Notes that a follower has relayed so many heartbeats. */
  noteRelayed(follower: string, heartbeats: number): void {
    const now = this.now();
    const known = this.followers.get(follower) ?? {
      heartbeats: new EventCounter(now, this.windowMs),
      lastRelayAt: now,
    };
    known.lastRelayAt = now;
    known.heartbeats.add(now, heartbeats);
    this.followers.set(follower, known);
  }

  /**
   * Counts a heartbeat that a worker has sent to the leader itself, with this many machines in the cluster. Returns the
   * follower that the worker is to be redirected to, or null.
   */
  redirectTarget(machines: number): string | null {
    const now = this.now();
    this.ownHeartbeats.add(now, 1);
    if (!this.shouldRelay(machines)) return null;
    const served = this.ownHeartbeats.currentCount(now);
    if (served <= this.capacity * LEADER_SHARE) return null;
    return this.assignToFollower(now, served * RELIEF_SHARE);
  }

  /** Picks the follower that serves fewest, if it serves fewer than `below`. */
  private assignToFollower(now: number, below: number): string | null {
    let best: string | null = null;
    let bestHeartbeats: EventCounter | null = null;
    let fewest = below;
    for (const [name, follower] of this.followers) {
      const count = follower.heartbeats.largerOfLastTwo(now);
      if (now - follower.lastRelayAt > FOLLOWER_TIMEOUT_MS || count >= fewest) continue;
      best = name;
      bestHeartbeats = follower.heartbeats;
      fewest = count;
    }
    // The worker counts there at once: until its heartbeat arrives there, others would be redirected after it.
    bestHeartbeats?.add(now, 1);
    return best;
  }
}
