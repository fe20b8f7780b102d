import assert from 'node:assert/strict';
import test from 'node:test';
import { LeadershipState } from '../../src/leadership/leadership-state.ts';

const FIRST = { term: 1, version: 10, lease: 100 };
const SECOND = { term: 2, version: 20, lease: 200 };

function leading(leaseValidUntil: number): LeadershipState {
  const state = new LeadershipState();
  state.leadershipAcquired(FIRST, leaseValidUntil);
  return state;
}

test('a controller that does not lead has no valid lease, and none that expired a finite time ago', () => {
  const state = new LeadershipState();
  assert.equal(state.hasValidLease(0), false);
  assert.equal(state.msSinceLeaseExpiry(0), Infinity);
  assert.equal(state.leadership, null);
});

test('a lease is valid until its end, and longer once renewed', () => {
  const state = leading(1000);
  assert.equal(state.hasValidLease(999), true);
  assert.equal(state.msSinceLeaseExpiry(999), 0);
  assert.equal(state.hasValidLease(1000), false);
  assert.equal(state.msSinceLeaseExpiry(1500), 500);
  state.leaseRenewed(2000);
  assert.equal(state.hasValidLease(1999), true);
});

test('the answer of an earlier renewal that comes late does not shorten the lease', () => {
  const state = leading(1000);
  state.leaseRenewed(3000);
  state.leaseRenewed(2000);
  assert.equal(state.hasValidLease(2999), true);
});

test('peer leases keep the leadership valid until the first of them ends', () => {
  const state = leading(1000);
  state.peerLeasesAnswered([true, true], 2000, 900);
  state.peerLeasesAnswered([true, false], 3000, 1500);
  assert.equal(state.hasValidLease(1999), true);
  assert.equal(state.hasValidLease(2000), false);
});

test('peer leases count only if every peer granted one', () => {
  const state = leading(1000);
  state.peerLeasesAnswered([true, false], 2000, 900);
  assert.equal(state.hasValidLease(1000), false);
});

test('a leader without peers is its own only peer', () => {
  const state = leading(1000);
  state.peerLeasesAnswered([], 2000, 900);
  assert.equal(state.hasValidLease(1999), true);
});

test('a leadership comes to rest on peer leases once for each expiry of its own lease', () => {
  const state = leading(1000);
  assert.equal(state.peerLeasesAnswered([true], 2000, 900), false, 'its own lease is still valid');
  state.leaseRenewed(2500);
  assert.equal(state.peerLeasesAnswered([true], 4000, 2500), true, 'its own lease has just expired');
  assert.equal(state.peerLeasesAnswered([true], 5000, 3000), false, 'it rested on peer leases before');
});

test('the end of a leadership ends its lease and its peer leases, and is reported once', () => {
  const state = leading(1000);
  state.peerLeasesAnswered([true], 5000, 900);
  assert.equal(state.leadershipEnded(), FIRST);
  assert.equal(state.leadershipEnded(), null);
  assert.equal(state.hasValidLease(0), false);
  state.leadershipAcquired(SECOND, 500);
  assert.equal(state.isHeld(FIRST), false);
  assert.equal(state.isHeld(SECOND), true);
  assert.equal(state.hasValidLease(500), false, 'nothing is left of the leases of the term before');
});

test('a leader is reported as observed once until another is, or its key is absent', () => {
  const state = new LeadershipState();
  assert.deepEqual([state.leaderObserved('n1'), state.leaderObserved('n1')], [true, false]);
  assert.equal(state.knownLeader, 'n1');
  assert.equal(state.leaderObserved('n2'), true);
  state.leaderAbsent();
  assert.equal(state.knownLeader, null);
  assert.equal(state.leaderObserved('n2'), true);
});

test('a controller whose candidacy is suspended may campaign again at the end of that time', () => {
  const state = new LeadershipState();
  assert.equal(state.mayCampaign(0), true);
  state.candidacySuspended(100);
  assert.equal(state.mayCampaign(99), false);
  assert.equal(state.mayCampaign(100), true);
});
