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
/** A time at which the abstention of a controller that started at `STARTED_AT` has ended. */
const AFTER_STARTUP_ABSTENTION = STARTED_AT + 2 * MAX_PEER_LEASE_MS;

function createRequest(over: Partial<PeerLeaseRequest> = {}): PeerLeaseRequest {
  return { term: 5, ms: MAX_PEER_LEASE_MS, continuous: true, ...over };
}

test('a peer lease expires for the leader before it expires for the peer, however late the peer granted it', () => {
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

test('before the first term was won no abstention is needed, since no controller can have granted a lease', () => {
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

test('no leaderless write begins before a granted lease has expired', () => {
  const ledger = new PeerLeaseLedger(STARTED_AT);
  ledger.grant(2000, AFTER_STARTUP_ABSTENTION);
  // A shorter lease that is granted later must not end the abstention for the first one early.
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

test('no lease is granted for a term in which a write of this process was or may yet be executed', () => {
  for (const outcome of ['executed', 'unknown'] as const) {
    const ledger = new PeerLeaseLedger(STARTED_AT);
    assert.ok(ledger.beginWrite(AFTER_STARTUP_ABSTENTION));
    ledger.endWrite(5, outcome);
    assert.equal(ledger.canGrant(createRequest({ term: 5 })), false);
    assert.equal(ledger.canGrant(createRequest({ term: 6 })), true);
  }
});

test('no lease is granted for a term below the highest one read, or with more than the longest time to live', () => {
  const ledger = new PeerLeaseLedger(STARTED_AT);
  ledger.observeLeaderTerm(6);
  ledger.observeLeaderTerm(4);
  assert.equal(ledger.canGrant(createRequest({ term: 5 })), false);
  assert.equal(ledger.canGrant(createRequest({ term: 6 })), true);
  assert.equal(ledger.canGrant(createRequest({ term: 6, ms: MAX_PEER_LEASE_MS + 1 })), false);
});

test('after a gap a lease is granted only for a term that this process has read from the leader key', () => {
  const ledger = new PeerLeaseLedger(STARTED_AT);
  assert.equal(ledger.canGrant(createRequest({ continuous: false })), false);
  ledger.observeLeaderTerm(5);
  assert.equal(ledger.canGrant(createRequest({ continuous: false })), true);
  assert.equal(ledger.canGrant(createRequest({ term: 6, continuous: false })), false);
});
