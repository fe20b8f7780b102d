import assert from 'node:assert/strict';
import test from 'node:test';
import type { LivenessContext } from '../../src/workers/liveness.ts';
import type { Machine } from '../../src/workers/machine.ts';
import { hasLostNearlyAll, surveyMachines, decideZoneTransition } from '../../src/workers/reachability.ts';
import { newMachine } from './fixtures.ts';

const CONTEXT: LivenessContext = {
  now: 10_000,
  listeningSince: 0,
  heartbeatIntervalMs: 1000,
  unresponsiveAfterMs: 2500,
};

/** Machines of a zone, one for each given time of the last round trip. */
function machinesOf(zone: number, roundTripsAt: readonly number[]): Machine[] {
  return roundTripsAt.map((roundTripAt) => {
    const machine = newMachine(zone);
    machine.connectivity.noteAcknowledgement(roundTripAt);
    return machine;
  });
}

test('a survey counts the missing machines by zone and in all', () => {
  const machines = [...machinesOf(1, [9900, 5000, 5000]), ...machinesOf(0, [8800, 5000]), newMachine(0)];
  const survey = surveyMachines(machines, CONTEXT);
  assert.deepEqual(
    [...survey.zones],
    [
      [1, { total: 3, missing: 2, inContact: true }],
      // The heartbeat of one machine is late, but not missing yet; another was never in contact, nor probed.
      [0, { total: 3, missing: 1, inContact: false }],
    ],
  );
  assert.deepEqual([survey.contacted, survey.contactLost], [5, 3]);
});

test('a zone is unreachable when most of its machines are missing, and at least three', () => {
  assert.equal(decideZoneTransition({ total: 2, missing: 2, inContact: false }, false), 'unchanged');
  assert.equal(decideZoneTransition({ total: 6, missing: 3, inContact: true }, false), 'unchanged');
  assert.equal(decideZoneTransition({ total: 5, missing: 3, inContact: true }, false), 'becameUnreachable');
});

test('an unreachable zone is reachable again once a machine is in contact and most are not missing', () => {
  assert.equal(decideZoneTransition({ total: 4, missing: 0, inContact: false }, true), 'unchanged');
  assert.equal(decideZoneTransition({ total: 5, missing: 3, inContact: true }, true), 'unchanged');
  assert.equal(decideZoneTransition({ total: 4, missing: 2, inContact: true }, true), 'becameReachable');
});

test('this controller seems cut off when three quarters of the machines it was in contact with are missing', () => {
  const zones = new Map();
  assert.equal(hasLostNearlyAll({ zones, contacted: 2, contactLost: 2 }), false);
  assert.equal(hasLostNearlyAll({ zones, contacted: 5, contactLost: 3 }), false);
  assert.equal(hasLostNearlyAll({ zones, contacted: 4, contactLost: 3 }), true);
});
