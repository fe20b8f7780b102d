/**
 * The leader's lease in the key-value store: its time to live, and its expiry as the holder has to assume it. All
 * times are milliseconds on the steady clock of the process that holds the lease.
 */
import { MAX_CLOCK_DRIFT_RATIO } from '../base/clock.ts';

/** Duration and renewal interval of the leader's lease. */
export interface LeaseOptions {
  /** Time to live of the lease, in ms. */
  ttlMs: number;
  /** Time from one renewal to the next, in ms. */
  renewMs: number;
}

/** A controller with a smaller share of a core reads responses late; its lease is lengthened in proportion. */
const FULL_SPEED_CORES = 0.14;
/** Upper bound of the factor by which a small share of a core lengthens the lease. */
const MAX_LEASE_FACTOR = 2;
/** Subtracted from the expiry in addition to clock drift, in ms. */
const SAFETY_MARGIN_MS = 20;

/**
 * The time to live of the lease, in ms, on controllers with `cores` CPU cores (a fraction of one core or more). All
 * controllers must have the same share.
 */
export function scaleLeaseTtlMs(configuredTtlMs: number, cores: number): number {
  const factor = cores > 0 ? FULL_SPEED_CORES / cores : 1;
  return Math.round(configuredTtlMs * Math.min(MAX_LEASE_FACTOR, Math.max(1, factor)));
}

/**
 * When a renewed lease expires for its holder. The time is measured from the sending of the renewal, since the store
 * can only have executed it later, and clock drift and a margin are subtracted: the holder must stop relying on the
 * lease before the store ends it.
 */
export function computeLeaseExpiry(sentAt: number, ttlMs: number): number {
  return sentAt + ttlMs * (1 - MAX_CLOCK_DRIFT_RATIO) - SAFETY_MARGIN_MS;
}
