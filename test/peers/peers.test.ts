import assert from 'node:assert/strict';
import test from 'node:test';
import type { PeerReply } from '../../src/peers/messages.ts';
import { callAny, type Peers } from '../../src/peers/peers.ts';

/** Controllers that each reply after a number of turns of the event loop; null: no reply in time. */
function repliesAfter(replies: Record<string, [turns: number, reply: PeerReply | null]>): Peers {
  return {
    names: Object.keys(replies),
    call: async (peer) => {
      const [turns, reply] = replies[peer] ?? [0, null];
      for (let turn = 0; turn < turns; turn++) await new Promise((resolve) => setImmediate(resolve));
      return reply;
    },
  };
}

const anyUsable = (peers: Peers): Promise<PeerReply | null> =>
  callAny(peers, { kind: 'ping' }, 100, (reply) => reply.kind !== 'unavailable');

test('the first usable reply is returned, and missing or unusable replies before it are ignored', async () => {
  const peers = repliesAfter({
    silent: [1, null],
    refusing: [1, { kind: 'unavailable' }],
    slow: [9, { kind: 'ack' }],
    fast: [3, { kind: 'granted' }],
  });
  assert.deepEqual(await anyUsable(peers), { kind: 'granted' });
});

test('null is returned without a usable reply or without any other controller', async () => {
  assert.equal(await anyUsable(repliesAfter({ a: [1, null], b: [2, { kind: 'unavailable' }] })), null);
  assert.equal(await anyUsable(repliesAfter({})), null);
});
