/** Decides from the state of a machine and the time whether its worker is alive, in contact, and under a lease. */
import { MAX_CLOCK_DRIFT_RATIO } from '../base/clock.ts';
import type { Machine } from './machine.ts';

/**
 * In a network partition all machines miss a heartbeat, one after the other: the first of them must not be given up
 * before the others count as missing.
 */
const MISSED_HEARTBEATS = 1.4;
/** Heartbeat intervals of silence after which a machine is probed. */
const PROBE_AFTER_INTERVALS = 1.5;
/** Added to a lease for the time that messages take. */
const LEASE_ALLOWANCE_MS = 500;

/** The time of a check and what silence is measured by, in milliseconds. */
export interface LivenessContext {
  now: number;
  /** Silence before this says nothing: this controller was not there to listen, or not the leader yet. */
  listeningSince: number;
  /** Interval between two heartbeats. */
  heartbeatIntervalMs: number;
  /** Silence after which a machine that answers no probe either is given up. */
  unresponsiveAfterMs: number;
}

/** The worker's lease has surely expired, on its own clock too. */
export function hasLeaseExpired(machine: Machine, leaseMs: number, now: number): boolean {
  return now > machine.leaseRenewedBefore + leaseMs * (1 + MAX_CLOCK_DRIFT_RATIO) + LEASE_ALLOWANCE_MS;
}

/** How long there has been no sign that messages to and from the machine arrive, in milliseconds. */
export function silenceMs(machine: Machine, context: LivenessContext): number {
  return context.now - Math.max(machine.connectivity.lastRoundTripAt, context.listeningSince);
}

/** There has been a sign of contact since this controller listens. */
export function hasBeenInContact(machine: Machine, context: LivenessContext): boolean {
  return machine.connectivity.lastRoundTripAt > context.listeningSince;
}

/**
 * The machine misses heartbeats. Those that a new leader has never been in contact with may still be with the last
 * one: they get longer, and are probed.
 */
export function isMissing(machine: Machine, context: LivenessContext): boolean {
  const silence = silenceMs(machine, context);
  if (hasBeenInContact(machine, context)) return silence > context.heartbeatIntervalMs * MISSED_HEARTBEATS;
  return silence > context.unresponsiveAfterMs && machine.connectivity.probesFailed > 0;
}

/** There is reason to ask the worker directly whether it is alive and receives our messages. */
export function needsProbe(machine: Machine, context: LivenessContext): boolean {
  return (
    silenceMs(machine, context) > context.heartbeatIntervalMs * PROBE_AFTER_INTERVALS ||
    machine.connectivity.missedAcknowledgements > 0
  );
}

/**
 * Why a machine is to be given up, or null if it isn't: `unresponsive` if nothing arrives from it, `unacknowledged` if
 * its heartbeats arrive and our messages don't reach it.
 */
export function livenessFailure(
  machine: Machine,
  context: LivenessContext,
): 'unresponsive' | 'unacknowledged' | null {
  const { now, unresponsiveAfterMs } = context;
  if (silenceMs(machine, context) <= unresponsiveAfterMs || machine.connectivity.probesFailed === 0)
    return null;
  return now - machine.connectivity.lastMessageAt < unresponsiveAfterMs ? 'unacknowledged' : 'unresponsive';
}
