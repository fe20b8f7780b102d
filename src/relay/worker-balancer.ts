/** Balances the workers between the controllers; runs on the leader. */
import { EventCounter } from './event-counter.ts';

/** The inputs for the number of workers that a controller can serve. */
export interface CapacityInputs {
  /** Heartbeats per second that a leader with one full core can answer in addition to its other work. */
  heartbeatsPerCoreS: number;
  /** CPU cores that the controller may use; may be a fraction. */
  cores: number;
  /** Interval between two heartbeats of a worker, in seconds. */
  heartbeatIntervalS: number;
}

/**
 * How many workers a leader can serve alone. Its number of sockets isn't considered: if there are more workers than
 * sockets, the workers take turns on them, which costs less than having followers relay all heartbeats.
 */
export function workerCapacity(inputs: CapacityInputs): number {
  const { heartbeatsPerCoreS, cores, heartbeatIntervalS } = inputs;
  return Math.max(1, Math.floor(cores * heartbeatsPerCoreS * heartbeatIntervalS));
}

/** While followers relay, the leader stops the relaying when its machine count falls to this ratio of its capacity. */
const STOP_RELAY_CAPACITY_RATIO = 0.8;
/** Ratio of its capacity that a leader serves directly while followers relay; the rest is left for scheduling. */
const LEADER_CAPACITY_RATIO = 0.75;
/** Workers are redirected only to followers that serve less than this ratio of the leader's own heartbeats. */
const MAX_FOLLOWER_LOAD_RATIO = 0.8;
/** Workers aren't redirected to a follower that has relayed nothing for this long: it may have failed. */
const FOLLOWER_TIMEOUT_MS = 2000;

interface Follower {
  heartbeats: EventCounter;
  lastRelayAt: number;
}

/**
 * Balances the workers between the leader and its followers. While the cluster has more machines than the leader can
 * serve alone, followers are asked to relay heartbeats, and workers beyond the leader's own share are redirected to the
 * follower that serves the fewest heartbeats.
 */
export class WorkerBalancer {
  private isRelaying = false;
  private readonly ownHeartbeats: EventCounter;
  private readonly followers = new Map<string, Follower>();

  constructor(
    private readonly now: () => number,
    /** How many workers this controller can serve alone. */
    private readonly capacity: number,
    /** The time in which each worker sends one heartbeat, in milliseconds. */
    private readonly windowMs: number,
  ) {
    this.ownHeartbeats = new EventCounter(now(), windowMs);
  }

  /** Returns whether followers should relay. Relaying starts above the capacity and stops at a lower machine count. */
  shouldRelay(machineCount: number): boolean {
    this.isRelaying = machineCount > this.capacity * (this.isRelaying ? STOP_RELAY_CAPACITY_RATIO : 1);
    return this.isRelaying;
  }

  /** Counts heartbeats that a follower has relayed. */
  recordRelayed(follower: string, heartbeats: number): void {
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
   * Counts a heartbeat that a worker has sent directly to the leader. Returns the follower that the worker should be
   * redirected to; null: the leader answers the heartbeat itself.
   */
  pickRedirectTarget(machineCount: number): string | null {
    const now = this.now();
    this.ownHeartbeats.add(now, 1);
    if (!this.shouldRelay(machineCount)) return null;
    const served = this.ownHeartbeats.currentCount(now);
    if (served <= this.capacity * LEADER_CAPACITY_RATIO) return null;
    return this.pickFollower(now, served * MAX_FOLLOWER_LOAD_RATIO);
  }

  /** Returns the follower that serves the fewest heartbeats, if fewer than `below`, and counts one more for it. */
  private pickFollower(now: number, below: number): string | null {
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
    // The worker counts for the follower at once: before its first heartbeat is relayed, too many more workers would be
    // redirected to the same follower.
    bestHeartbeats?.add(now, 1);
    return best;
  }
}
