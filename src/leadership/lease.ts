/**
 * The leader's lease in the key-value store: its time to live, and how long its holder may count on it. All times
 * are milliseconds on the steady clock of the process that holds the lease.
 */
import { DRIFT } from '../base/clock.ts';

/** Times of the leader's lease. */
export interface LeaseOptions {
  /** Time to live of the lease, in ms. */
  ttlMs: number;
  /** Time from one renewal to the next, in ms. */
  renewMs: number;
}

/** A controller with less of a core than this reads answers late; its lease is longer in proportion. */
const FULL_SPEED_CORES = 0.14;
/** However small the share of a core, the lease is at most this many times as long. */
const MAX_LEASE_FACTOR = 2;
/** Kept beside the drift of the clocks, in ms. */
const SAFETY_MARGIN_MS = 20;

/**
 * The time to live of the lease, in ms, on controllers with such a share of a core; it must be the same on all of
 * them.
 */
export function scaleLeaseTtlMs(configuredTtlMs: number, cores: number): number {
  const factor = cores > 0 ? FULL_SPEED_CORES / cores : 1;
  return Math.round(configuredTtlMs * Math.min(MAX_LEASE_FACTOR, Math.max(1, factor)));
}

/**
 * Until when the holder of a lease may count on a renewal. It counts from the moment the renewal was sent, since the
 * store can only have carried it out later, and ends early rather than late.
 */
export function computeLeaseExpiry(sentAt: number, ttlMs: number): number {
  return sentAt + ttlMs * (1 - DRIFT) - SAFETY_MARGIN_MS;
}
