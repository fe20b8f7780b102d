import assert from 'node:assert/strict';
import test from 'node:test';
import { Connectivity } from '../../src/peers/connectivity.ts';
import { FakeClock } from '../helpers.ts';

/** Whether the store and the other controllers answer. */
interface Reachable {
  store: boolean;
  peers: boolean;
}

/**
 * Checks the connectivity once a second with the given services reachable, and then once more with both reachable.
 * Returns whether the controller was isolated before, and no longer after, that last check.
 */
async function isolationAfter(
  seconds: number,
  reachable: Reachable,
): Promise<{ isolated: boolean; recovered: boolean }> {
  const clock = new FakeClock();
  let storeServedAt = 0;
  let current = reachable;
  const connectivity = new Connectivity({
    clock,
    storeServedAt: () => storeServedAt,
    probeStore: () => {
      if (current.store) storeServedAt = clock.at;
      return Promise.resolve();
    },
    probePeers: () => Promise.resolve(current.peers),
  });
  for (let second = 0; second < seconds; second++) {
    clock.at += 1000;
    await connectivity.check();
  }
  const isolated = connectivity.isIsolated();
  current = { store: true, peers: true };
  clock.at += 1000;
  await connectivity.check();
  return { isolated, recovered: !connectivity.isIsolated() };
}

test('only a controller that reaches neither the state service nor any other controller is isolated', async () => {
  // An isolated controller can only refuse users; if it reported itself healthy, their connections would stay with it.
  assert.deepEqual(await isolationAfter(10, { store: false, peers: false }), {
    isolated: true,
    recovered: true,
  });
  assert.deepEqual(await isolationAfter(2, { store: false, peers: false }), {
    isolated: false,
    recovered: true,
  });
  // Neither an outage of the store nor the loss of all other controllers alone means isolation.
  assert.deepEqual(await isolationAfter(10, { store: false, peers: true }), {
    isolated: false,
    recovered: true,
  });
  assert.deepEqual(await isolationAfter(10, { store: true, peers: false }), {
    isolated: false,
    recovered: true,
  });
});
