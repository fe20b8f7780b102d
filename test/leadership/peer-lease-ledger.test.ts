import assert from 'node:assert/strict';
import test from 'node:test';
import { PeerLeaseLedger } from '../../src/leadership/peer-lease-ledger.ts';
import {
  computeAbstentionEnd,
  MAX_PEER_LEASE_MS,
  computePeerLeaseExpiry,
  type PeerLeaseRequest,
} from '../../src/leadership/peer-leases.ts';

const STARTED_AT = 1000;
/** By then the abstention of a controller that was just started has ended. */
const AFTER_STARTUP_ABSTENTION = STARTED_AT + 2 * MAX_PEER_LEASE_MS;

function createRequest(over: Partial<PeerLeaseRequest> = {}): PeerLeaseRequest {
  return { term: 5, ms: MAX_PEER_LEASE_MS, continuous: true, ...over };
}

test('a peer lease ends for the leader before it ends for the peer, whenever it was granted', () => {
  for (const sentForMs of [0, 1, 500]) {
    assert.ok(
      computePeerLeaseExpiry(STARTED_AT, MAX_PEER_LEASE_MS) <
        computeAbstentionEnd(STARTED_AT + sentForMs, MAX_PEER_LEASE_MS),
    );
  }
});

test('a controller abstains after its start for as long as its earlier process can have granted a lease', () => {
  const ledger = new PeerLeaseLedger(STARTED_AT);
  const end = computeAbstentionEnd(STARTED_AT, MAX_PEER_LEASE_MS);
  assert.equal(ledger.beginWrite(end - 1), false);
  assert.equal(ledger.beginWrite(end), true);
});

test('before the first term was won nobody can have granted a lease', () => {
  const ledger = new PeerLeaseLedger(STARTED_AT);
  assert.equal(ledger.shouldReadTermRecord(STARTED_AT), true);
  ledger.observeTermRecord(0);
  assert.equal(ledger.shouldReadTermRecord(STARTED_AT), false);
  assert.equal(ledger.canBeginWrite(STARTED_AT), true);
});

test('after the first term a read of the term record does not shorten the abstention', () => {
  const ledger = new PeerLeaseLedger(STARTED_AT);
  ledger.observeTermRecord(1);
  assert.equal(ledger.canBeginWrite(STARTED_AT), false);
});

test('no leaderless write begins while a granted lease runs', () => {
  const ledger = new PeerLeaseLedger(STARTED_AT);
  ledger.grant(2000, AFTER_STARTUP_ABSTENTION);
  // A shorter one that is granted later must not end the first early.
  ledger.grant(100, AFTER_STARTUP_ABSTENTION + 1);
  assert.equal(ledger.canBeginWrite(computeAbstentionEnd(AFTER_STARTUP_ABSTENTION, 2000) - 1), false);
  assert.equal(ledger.canBeginWrite(computeAbstentionEnd(AFTER_STARTUP_ABSTENTION, 2000)), true);
});

test('no lease is granted while a leaderless write is in flight', () => {
  const ledger = new PeerLeaseLedger(STARTED_AT);
  assert.equal(ledger.canGrant(createRequest()), true);
  assert.ok(ledger.beginWrite(AFTER_STARTUP_ABSTENTION));
  assert.equal(ledger.canGrant(createRequest()), false);
  ledger.endWrite(4, 'not_executed');
  assert.equal(ledger.canGrant(createRequest()), true);
});

test('no lease is granted to a term in which a write of this process was, or may yet be, carried out', () => {
  for (const outcome of ['executed', 'unknown'] as const) {
    const ledger = new PeerLeaseLedger(STARTED_AT);
    assert.ok(ledger.beginWrite(AFTER_STARTUP_ABSTENTION));
    ledger.endWrite(5, outcome);
    assert.equal(ledger.canGrant(createRequest({ term: 5 })), false);
    assert.equal(ledger.canGrant(createRequest({ term: 6 })), true);
  }
});

test('no lease is granted to a leader of a lower term than was read, nor a longer one than the longest', () => {
  const ledger = new PeerLeaseLedger(STARTED_AT);
  ledger.observeLeaderTerm(6);
  ledger.observeLeaderTerm(4);
  assert.equal(ledger.canGrant(createRequest({ term: 5 })), false);
  assert.equal(ledger.canGrant(createRequest({ term: 6 })), true);
  assert.equal(ledger.canGrant(createRequest({ term: 6, ms: MAX_PEER_LEASE_MS + 1 })), false);
});

test('after a gap a lease is granted only to a term that this process has read in the leader key', () => {
  const ledger = new PeerLeaseLedger(STARTED_AT);
  assert.equal(ledger.canGrant(createRequest({ continuous: false })), false);
  ledger.observeLeaderTerm(5);
  assert.equal(ledger.canGrant(createRequest({ continuous: false })), true);
  assert.equal(ledger.canGrant(createRequest({ term: 6, continuous: false })), false);
});
