import assert from 'node:assert/strict';
import test from 'node:test';
import { LeadershipState } from '../../src/leadership/leadership-state.ts';

const FIRST_LEADERSHIP = { term: 1, firstToken: 1, version: 10, lease: 100 };
const SECOND_LEADERSHIP = { term: 2, firstToken: 2, version: 20, lease: 200 };

function createLeadingState(leaseExpiresAt: number): LeadershipState {
  const state = new LeadershipState();
  state.onLeadershipAcquired(FIRST_LEADERSHIP, leaseExpiresAt);
  return state;
}

test('a controller that does not lead has no valid lease, and its time since lease expiry is infinite', () => {
  const state = new LeadershipState();
  assert.equal(state.hasValidLease(0), false);
  assert.equal(state.msSinceLeaseExpiry(0), Infinity);
  assert.equal(state.leadership, null);
});

test('a lease is valid until it expires, and a renewal extends it', () => {
  const state = createLeadingState(1000);
  assert.equal(state.hasValidLease(999), true);
  assert.equal(state.msSinceLeaseExpiry(999), 0);
  assert.equal(state.hasValidLease(1000), false);
  assert.equal(state.msSinceLeaseExpiry(1500), 500);
  state.onLeaseRenewed(2000);
  assert.equal(state.hasValidLease(1999), true);
});

test('a late response to an earlier renewal does not shorten the lease', () => {
  const state = createLeadingState(1000);
  state.onLeaseRenewed(3000);
  state.onLeaseRenewed(2000);
  assert.equal(state.hasValidLease(2999), true);
});

test('peer leases keep the leadership valid until the first of them expires', () => {
  const state = createLeadingState(1000);
  state.onPeerLeasesAnswered([true, true], 2000, 900);
  state.onPeerLeasesAnswered([true, false], 3000, 1500);
  assert.equal(state.hasValidLease(1999), true);
  assert.equal(state.hasValidLease(2000), false);
});

test('peer leases count only if every peer granted one', () => {
  const state = createLeadingState(1000);
  state.onPeerLeasesAnswered([true, false], 2000, 900);
  assert.equal(state.hasValidLease(1000), false);
});

test('a leader without peers is extended by every request for peer leases', () => {
  const state = createLeadingState(1000);
  state.onPeerLeasesAnswered([], 2000, 900);
  assert.equal(state.hasValidLease(1999), true);
});

test('the change to peer leases is reported once for each expiry of the own lease', () => {
  const state = createLeadingState(1000);
  assert.equal(state.onPeerLeasesAnswered([true], 2000, 900), false, 'its own lease is still valid');
  state.onLeaseRenewed(2500);
  assert.equal(state.onPeerLeasesAnswered([true], 4000, 2500), true, 'its own lease has just expired');
  assert.equal(state.onPeerLeasesAnswered([true], 5000, 3000), false, 'it relied on peer leases before');
});

test('the end of a leadership ends its lease and its peer leases, and is reported once', () => {
  const state = createLeadingState(1000);
  state.onPeerLeasesAnswered([true], 5000, 900);
  assert.equal(state.onLeadershipEnded(), FIRST_LEADERSHIP);
  assert.equal(state.onLeadershipEnded(), null);
  assert.equal(state.hasValidLease(0), false);
  state.onLeadershipAcquired(SECOND_LEADERSHIP, 500);
  assert.equal(state.isHeld(FIRST_LEADERSHIP), false);
  assert.equal(state.isHeld(SECOND_LEADERSHIP), true);
  assert.equal(state.hasValidLease(500), false, 'no lease of the previous term is left');
});

test('a leader is reported as new once, until another leader is observed or the leader key is absent', () => {
  const state = new LeadershipState();
  assert.deepEqual([state.onLeaderObserved('n1'), state.onLeaderObserved('n1')], [true, false]);
  assert.equal(state.knownLeader, 'n1');
  assert.equal(state.onLeaderObserved('n2'), true);
  state.onLeaderAbsent();
  assert.equal(state.knownLeader, null);
  assert.equal(state.onLeaderObserved('n2'), true);
});

test('a controller whose candidacy is suspended may campaign again at the end of that time', () => {
  const state = new LeadershipState();
  assert.equal(state.canCampaign(0), true);
  state.onCandidacySuspended(100);
  assert.equal(state.canCampaign(99), false);
  assert.equal(state.canCampaign(100), true);
});
