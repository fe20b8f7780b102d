import assert from 'node:assert/strict';
import test from 'node:test';
import { Connectivity } from '../../src/peers/connectivity.ts';
import { FakeClock } from '../helpers.ts';

/** A node asked once a second, for a while, with the store and the others there or not. */
async function cutOffAfter(
  seconds: number,
  store: boolean,
  peers: boolean,
): Promise<{ cut: boolean; back: boolean }> {
  const clock = new FakeClock();
  let servedAt = 0;
  let there = { store, peers };
  const reach = new Connectivity({
    clock,
    storeServedAt: () => servedAt,
    probeStore: () => {
      if (there.store) servedAt = clock.at;
      return Promise.resolve();
    },
    probePeers: () => Promise.resolve(there.peers),
  });
  for (let s = 0; s < seconds; s++) {
    clock.at += 1000;
    await reach.check();
  }
  const cut = reach.isIsolated();
  there = { store: true, peers: true };
  clock.at += 1000;
  await reach.check();
  return { cut, back: !reach.isIsolated() };
}

test('only a node that reaches neither the state service nor any other controller is cut off', async () => {
  // Users' connections once stayed with such a node, which could only refuse them.
  assert.deepEqual(await cutOffAfter(10, false, false), { cut: true, back: true });
  assert.deepEqual(await cutOffAfter(2, false, false), { cut: false, back: true });
  // An outage of the state service that all see, or controllers that refuse each other, are no reason.
  assert.deepEqual(await cutOffAfter(10, false, true), { cut: false, back: true });
  assert.deepEqual(await cutOffAfter(10, true, false), { cut: false, back: true });
});
