/** Decides from the state of a machine and the time whether its worker is alive, in contact, and holds a lease. */
import { MAX_CLOCK_DRIFT_RATIO } from '../base/clock.ts';
import type { Machine } from './machine.ts';

/**
 * Heartbeat intervals of silence after which a machine that was in contact counts as missing. In a network partition
 * all machines miss a heartbeat, one after the other within an interval: the first of them must not be terminated
 * before the others count as missing.
 */
const MISSING_AFTER_INTERVALS = 1.4;
/** Heartbeat intervals of silence after which a machine is probed. */
const PROBE_AFTER_INTERVALS = 1.5;
/** Added to the duration of a lease for the time that messages take. */
const MESSAGE_DELAY_ALLOWANCE_MS = 500;

/** The time of a check and the bounds of silence, in milliseconds; times are on the steady clock. */
export interface LivenessContext {
  now: number;
  /** Silence before this time doesn't count: the process was paused, or this controller was not the leader yet. */
  listeningSince: number;
  /** Interval between two heartbeats. */
  heartbeatIntervalMs: number;
  /** Silence after which a machine is to be terminated if it also leaves a probe unanswered. */
  unresponsiveAfterMs: number;
}

/** Whether the worker's lease has surely expired, by the worker's own clock too. */
export function hasLeaseExpired(machine: Machine, leaseMs: number, now: number): boolean {
  return (
    now > machine.leaseRenewedBefore + leaseMs * (1 + MAX_CLOCK_DRIFT_RATIO) + MESSAGE_DELAY_ALLOWANCE_MS
  );
}

/** Computes how long there has been no sign that messages pass in both directions, in milliseconds. */
export function computeSilenceMs(machine: Machine, context: LivenessContext): number {
  return context.now - Math.max(machine.connectivity.lastRoundTripAt, context.listeningSince);
}

/** Whether messages have passed in both directions since `listeningSince`. */
export function hasBeenInContact(machine: Machine, context: LivenessContext): boolean {
  return machine.connectivity.lastRoundTripAt > context.listeningSince;
}

/**
 * Whether the machine misses heartbeats. A worker that a new leader has not been in contact with yet may still send its
 * heartbeats to the previous leader, so its machine counts as missing only after a longer silence and a failed probe.
 */
export function isMissing(machine: Machine, context: LivenessContext): boolean {
  const silence = computeSilenceMs(machine, context);
  if (hasBeenInContact(machine, context))
    return silence > context.heartbeatIntervalMs * MISSING_AFTER_INTERVALS;
  return silence > context.unresponsiveAfterMs && machine.connectivity.failedProbes > 0;
}

/** Whether the worker must be asked directly if it is alive and receives this leader's messages. */
export function needsProbe(machine: Machine, context: LivenessContext): boolean {
  return (
    computeSilenceMs(machine, context) > context.heartbeatIntervalMs * PROBE_AFTER_INTERVALS ||
    machine.connectivity.missedAcknowledgements > 0
  );
}

/**
 * Detects whether a machine is to be terminated, and why: `unresponsive` if nothing arrives from its worker,
 * `unacknowledged` if messages of the worker arrive and this leader's don't reach it. Returns null if the machine is to
 * be kept.
 */
export function detectLivenessFailure(
  machine: Machine,
  context: LivenessContext,
): 'unresponsive' | 'unacknowledged' | null {
  const { now, unresponsiveAfterMs } = context;
  if (computeSilenceMs(machine, context) <= unresponsiveAfterMs || machine.connectivity.failedProbes === 0)
    return null;
  return now - machine.connectivity.lastMessageAt < unresponsiveAfterMs ? 'unacknowledged' : 'unresponsive';
}
