import assert from 'node:assert/strict';
import test from 'node:test';
import { PeerLeaseLedger } from '../../src/leadership/peer-lease-ledger.ts';
import {
  grantedUntil,
  PEER_LEASE_MS,
  validUntil,
  type PeerLeaseRequest,
} from '../../src/leadership/peer-leases.ts';

const STARTED_AT = 1000;
/** By then the abstention of a controller that was just started has ended. */
const LATER = STARTED_AT + 2 * PEER_LEASE_MS;

function request(over: Partial<PeerLeaseRequest> = {}): PeerLeaseRequest {
  return { term: 5, ms: PEER_LEASE_MS, continuous: true, ...over };
}

test('a peer lease ends for the leader before it ends for the peer, whenever it was granted', () => {
  for (const sentForMs of [0, 1, 500]) {
    assert.ok(validUntil(STARTED_AT, PEER_LEASE_MS) < grantedUntil(STARTED_AT + sentForMs, PEER_LEASE_MS));
  }
});

test('a controller abstains after its start for as long as its earlier process can have granted a lease', () => {
  const ledger = new PeerLeaseLedger(STARTED_AT);
  const end = grantedUntil(STARTED_AT, PEER_LEASE_MS);
  assert.equal(ledger.beginWrite(end - 1), false);
  assert.equal(ledger.beginWrite(end), true);
});

test('before the first term was won nobody can have granted a lease', () => {
  const ledger = new PeerLeaseLedger(STARTED_AT);
  assert.equal(ledger.needsTermRecord(STARTED_AT), true);
  ledger.observeTermRecord(0);
  assert.equal(ledger.needsTermRecord(STARTED_AT), false);
  assert.equal(ledger.mayBeginWrite(STARTED_AT), true);
});

test('after the first term a read of the term record does not shorten the abstention', () => {
  const ledger = new PeerLeaseLedger(STARTED_AT);
  ledger.observeTermRecord(1);
  assert.equal(ledger.mayBeginWrite(STARTED_AT), false);
});

test('no leaderless write begins while a granted lease runs', () => {
  const ledger = new PeerLeaseLedger(STARTED_AT);
  ledger.grant(2000, LATER);
  // A shorter one that is granted later must not end the first early.
  ledger.grant(100, LATER + 1);
  assert.equal(ledger.mayBeginWrite(grantedUntil(LATER, 2000) - 1), false);
  assert.equal(ledger.mayBeginWrite(grantedUntil(LATER, 2000)), true);
});

test('no lease is granted while a leaderless write is in flight', () => {
  const ledger = new PeerLeaseLedger(STARTED_AT);
  assert.equal(ledger.mayGrant(request()), true);
  assert.ok(ledger.beginWrite(LATER));
  assert.equal(ledger.mayGrant(request()), false);
  ledger.endWrite(4, 'not_executed');
  assert.equal(ledger.mayGrant(request()), true);
});

test('no lease is granted to a term in which a write of this process was, or may yet be, carried out', () => {
  for (const outcome of ['executed', 'unknown'] as const) {
    const ledger = new PeerLeaseLedger(STARTED_AT);
    assert.ok(ledger.beginWrite(LATER));
    ledger.endWrite(5, outcome);
    assert.equal(ledger.mayGrant(request({ term: 5 })), false);
    assert.equal(ledger.mayGrant(request({ term: 6 })), true);
  }
});

test('no lease is granted to a leader of a lower term than was read, nor a longer one than the longest', () => {
  const ledger = new PeerLeaseLedger(STARTED_AT);
  ledger.observeLeaderTerm(6);
  ledger.observeLeaderTerm(4);
  assert.equal(ledger.mayGrant(request({ term: 5 })), false);
  assert.equal(ledger.mayGrant(request({ term: 6 })), true);
  assert.equal(ledger.mayGrant(request({ term: 6, ms: PEER_LEASE_MS + 1 })), false);
});

test('after a gap a lease is granted only to a term that this process has read in the leader key', () => {
  const ledger = new PeerLeaseLedger(STARTED_AT);
  assert.equal(ledger.mayGrant(request({ continuous: false })), false);
  ledger.observeLeaderTerm(5);
  assert.equal(ledger.mayGrant(request({ continuous: false })), true);
  assert.equal(ledger.mayGrant(request({ term: 6, continuous: false })), false);
});
