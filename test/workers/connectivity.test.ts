import assert from 'node:assert/strict';
import test from 'node:test';
import type { Machine } from '../../src/workers/machine.ts';
import { heartbeat, newMachine } from './fixtures.ts';

const TERM = 7;

/** A machine whose first heartbeat, at time 0, showed this token. */
function knownMachine(fencingToken = TERM): Machine {
  const machine = newMachine();
  machine.beginIncarnation(1, 0);
  machine.noteHeartbeat(heartbeat(1, 1, [], fencingToken), false, 0);
  assert.deepEqual([machine.incarnation, machine.fencingToken], [1, fencingToken]);
  assert.equal(machine.leaseRenewedBefore, 0);
  return machine;
}

/** Lets the machine assess a heartbeat that was not requested and arrives at `now`. */
function receive(machine: Machine, now: number, fencingToken = TERM, incarnation = 1): void {
  const context = { direct: false, firstToken: TERM, now, leaseMs: 30_000, heartbeatIntervalMs: 5000 };
  machine.assessConnectivity({ fencingToken, incarnation }, context);
}

test('heartbeats alone count as contact only while there is no sign that messages to the worker are lost', () => {
  const machine = knownMachine();
  receive(machine, 1000);
  assert.equal(machine.connectivity.lastRoundTripAt, 1000);
  // After a command without an answer, only an answer, or a start that arrived, counts as contact.
  machine.connectivity.noteMissedAcknowledgement();
  receive(machine, 6000);
  assert.equal(machine.connectivity.lastRoundTripAt, 1000);
  machine.connectivity.noteAcknowledgement(7000);
  assert.deepEqual(
    [machine.connectivity.lastRoundTripAt, machine.connectivity.missedAcknowledgements],
    [7000, 0],
  );
});

test('an incarnation that ends though its heartbeats were answered is a sign that responses do not arrive', () => {
  const machine = knownMachine();
  machine.noteLeaseRenewal(20_000);
  receive(machine, 31_000, TERM, 2);
  assert.equal(machine.connectivity.missedAcknowledgements, 1);
  const paused = knownMachine();
  receive(paused, 31_000, TERM, 2);
  assert.equal(
    paused.connectivity.missedAcknowledgements,
    0,
    'no heartbeat was answered for the duration of the lease',
  );
});

test('heartbeats with an older token soon stop counting: responses are lost, or the heartbeats are late copies', () => {
  const machine = knownMachine(TERM - 1);
  receive(machine, 1000, TERM - 1);
  assert.equal(machine.connectivity.lastRoundTripAt, 1000);
  receive(machine, 20_000, TERM - 1);
  assert.equal(machine.connectivity.lastRoundTripAt, 1000);
  receive(machine, 21_000);
  assert.equal(machine.connectivity.lastRoundTripAt, 21_000);
});
