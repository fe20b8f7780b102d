import assert from 'node:assert/strict';
import test from 'node:test';
import { Connectivity } from '../../src/peers/connectivity.ts';
import { FakeClock } from '../helpers.ts';

interface Reachable {
  store: boolean;
  peers: boolean;
}

/** Checks once a second for a while with this reachable, and once more with everything reachable. */
async function isolationAfter(
  seconds: number,
  reachable: Reachable,
): Promise<{ isolated: boolean; recovered: boolean }> {
  const clock = new FakeClock();
  let storeServedAt = 0;
  let now = reachable;
  const connectivity = new Connectivity({
    clock,
    storeServedAt: () => storeServedAt,
    probeStore: () => {
      if (now.store) storeServedAt = clock.at;
      return Promise.resolve();
    },
    probePeers: () => Promise.resolve(now.peers),
  });
  for (let second = 0; second < seconds; second++) {
    clock.at += 1000;
    await connectivity.check();
  }
  const isolated = connectivity.isIsolated();
  now = { store: true, peers: true };
  clock.at += 1000;
  await connectivity.check();
  return { isolated, recovered: !connectivity.isIsolated() };
}

test('only a node that reaches neither the state service nor any other controller is isolated', async () => {
  // Users' connections once stayed with such a node, which could only refuse them.
  assert.deepEqual(await isolationAfter(10, { store: false, peers: false }), {
    isolated: true,
    recovered: true,
  });
  assert.deepEqual(await isolationAfter(2, { store: false, peers: false }), {
    isolated: false,
    recovered: true,
  });
  // An outage of the state service that all see, or controllers that refuse each other, are no reason.
  assert.deepEqual(await isolationAfter(10, { store: false, peers: true }), {
    isolated: false,
    recovered: true,
  });
  assert.deepEqual(await isolationAfter(10, { store: true, peers: false }), {
    isolated: false,
    recovered: true,
  });
});
