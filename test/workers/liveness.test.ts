import assert from 'node:assert/strict';
import test from 'node:test';
import {
  hasBeenInContact,
  hasLeaseExpired,
  isMissing,
  detectLivenessFailure,
  needsProbe,
  computeSilenceMs,
  type LivenessContext,
} from '../../src/workers/liveness.ts';
import { heartbeat, newMachine } from './fixtures.ts';

const HEARTBEAT_INTERVAL_MS = 1000;

function contextAt(now: number, listeningSince = 0): LivenessContext {
  return { now, listeningSince, heartbeatIntervalMs: HEARTBEAT_INTERVAL_MS, unresponsiveAfterMs: 2500 };
}

test('a lease counts as expired only when it has also expired on a clock that is slow by the drift bound', () => {
  const machine = newMachine();
  machine.noteLeaseRenewal(10_000);
  const leaseMs = 30_000;
  // The lease of 30 s, a thousandth of it for the drift, and 0.5 s for messages.
  assert.equal(hasLeaseExpired(machine, leaseMs, 40_529), false);
  assert.equal(hasLeaseExpired(machine, leaseMs, 40_531), true);
});

test('silence counts from the last round trip, but not before a leadership starts or a process pause ends', () => {
  const machine = newMachine();
  assert.equal(computeSilenceMs(machine, contextAt(5000, 3000)), 2000);
  machine.connectivity.noteAcknowledgement(4000);
  assert.equal(computeSilenceMs(machine, contextAt(5000, 3000)), 1000);
  assert.equal(hasBeenInContact(machine, contextAt(5000, 3000)), true);
  // After a pause of the process, an earlier round trip doesn't count.
  assert.equal(computeSilenceMs(machine, contextAt(9000, 9000)), 0);
  assert.equal(hasBeenInContact(machine, contextAt(9000, 9000)), false);
});

test('a machine that was in contact is missing after a missed heartbeat, another only after a failed probe too', () => {
  const contacted = newMachine();
  contacted.connectivity.noteAcknowledgement(1);
  assert.equal(isMissing(contacted, contextAt(1401)), false);
  assert.equal(isMissing(contacted, contextAt(1402)), true);
  const neverContacted = newMachine();
  assert.equal(isMissing(neverContacted, contextAt(2501)), false);
  neverContacted.connectivity.noteFailedProbe();
  assert.equal(isMissing(neverContacted, contextAt(2500)), false);
  assert.equal(isMissing(neverContacted, contextAt(2501)), true);
});

test('a machine is probed when it is silent or has left a command unanswered', () => {
  const machine = newMachine();
  machine.connectivity.noteAcknowledgement(0);
  assert.equal(needsProbe(machine, contextAt(1500)), false);
  assert.equal(needsProbe(machine, contextAt(1501)), true);
  machine.connectivity.noteMissedAcknowledgement();
  assert.equal(needsProbe(machine, contextAt(1)), true);
});

test('a machine is unresponsive if it sends nothing, and unacknowledged if it sends messages but receives none', () => {
  const machine = newMachine();
  assert.equal(detectLivenessFailure(machine, contextAt(2501)), null, 'not probed yet');
  machine.connectivity.noteFailedProbe();
  assert.equal(detectLivenessFailure(machine, contextAt(2500)), null);
  assert.equal(detectLivenessFailure(machine, contextAt(2501)), 'unresponsive');
  machine.noteHeartbeat(heartbeat(1, 1), false, 2000);
  assert.equal(detectLivenessFailure(machine, contextAt(2501)), 'unacknowledged');
  machine.connectivity.noteAcknowledgement(2400);
  assert.equal(detectLivenessFailure(machine, contextAt(2501)), null);
});
