import assert from 'node:assert/strict';
import test from 'node:test';
import { PeerCalls } from '../../src/controller/peer-calls.ts';
import type { PeerReply } from '../../src/peers/messages.ts';
import { FakeClock } from '../helpers.ts';
import { FakePeers } from './fakes.ts';

interface PeerCallsHarness {
  clock: FakeClock;
  peers: FakePeers;
  calls: PeerCalls;
}

function createHarness(
  replies: Record<string, PeerReply | null>,
  leader: string | null = null,
): PeerCallsHarness {
  const clock = new FakeClock();
  const peers = new FakePeers(replies);
  const calls = new PeerCalls({
    node: 'self',
    clock,
    peers,
    knownLeader: () => leader,
    pollTimeoutMs: 700,
  });
  return { clock, peers, calls };
}

test('the leader is called only if another controller is known to lead', async () => {
  const replies = { a: { kind: 'ack' as const } };
  for (const leader of [null, 'self']) {
    const { calls, peers } = createHarness(replies, leader);
    assert.equal(await calls.callLeader({ kind: 'ping' }, 100), null);
    assert.equal(await calls.pollLeader(['req-1']), null);
    assert.deepEqual(peers.calls, []);
  }
  const { calls } = createHarness(replies, 'a');
  assert.deepEqual(await calls.callLeader({ kind: 'ping' }, 100), { kind: 'ack' });
});

test('a batch of polls returns null unless the leader replies with answers to polls', async () => {
  const answers = [{ kind: 'notFound' as const }];
  const answering = createHarness({ a: { kind: 'pollAnswers', answers } }, 'a');
  assert.deepEqual(await answering.calls.pollLeader(['req-1']), answers);
  assert.deepEqual(answering.peers.calls, [{ peer: 'a', request: { kind: 'pollBatch', jobIds: ['req-1'] } }]);
  const refusing = createHarness({ a: { kind: 'unavailable' } }, 'a');
  assert.equal(await refusing.calls.pollLeader(['req-1']), null);
});

test('after a call that no other controller could answer, none is called for a second', async () => {
  const { calls, clock, peers } = createHarness({ a: { kind: 'unavailable' }, b: null });
  const lookup = (): Promise<PeerReply | null> => calls.callOthers({ kind: 'lookup', jobId: 'req-1' }, 100);
  clock.at = 5000;
  assert.equal(await lookup(), null);
  assert.equal(peers.calls.length, 2);
  peers.replies.b = { kind: 'notFound' };
  clock.at += 999;
  assert.equal(await lookup(), null);
  assert.equal(peers.calls.length, 2);
  clock.at += 1;
  assert.deepEqual(await lookup(), { kind: 'notFound' });
  // After a usable reply the next call is sent immediately.
  assert.deepEqual(await lookup(), { kind: 'notFound' });
  assert.equal(peers.calls.length, 6);
});

test('the results of a peer lease request have the order of the controllers', async () => {
  const { calls, peers } = createHarness({ a: { kind: 'granted' }, b: null, c: { kind: 'unavailable' } });
  const request = { term: 3, ms: 5000, continuous: true };
  assert.deepEqual(await calls.requestPeerLeases(request), [true, false, false]);
  assert.deepEqual(peers.calls[0], { peer: 'a', request: { kind: 'grantPeerLease', ...request } });
});

test('any reply answers a ping, but only an acknowledgement means worker contact', async () => {
  const none = createHarness({ a: null, b: null });
  assert.equal(await none.calls.pingAny(), false);
  assert.equal(await none.calls.findWorkerContact(), null);
  const refusing = createHarness({ a: null, b: { kind: 'unavailable' } });
  assert.equal(await refusing.calls.pingAny(), true);
  assert.equal(await refusing.calls.findWorkerContact(), null);
  const reached = createHarness({ a: { kind: 'unavailable' }, b: { kind: 'ack' } });
  assert.deepEqual(await reached.calls.findWorkerContact(), { kind: 'ack' });
});
