import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { Backlog } from '../../src/http/backlog.ts';
import { Connections, computeSocketLimits } from '../../src/http/connections.ts';
import { FakeClock, SEED } from '../helpers.ts';

const IDLE = { unknown: 10_000, user: 90_000, worker: 20_000 };

test('with more workers than sockets, heartbeats and user requests are all accepted', () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 200, max: 2500 }),
      fc.integer({ min: 50, max: 200 }),
      fc.integer({ min: 1, max: 8 }),
      (sockets, percent, users) => {
        const socketLimits = computeSocketLimits(sockets, Math.floor(sockets / 10));
        assert.ok(
          socketLimits.maxInbound <= sockets && socketLimits.workerKeepAliveLimit < socketLimits.maxInbound,
        );
        const clock = new FakeClock();
        const connections = new Connections<number>(
          () => clock.now(),
          socketLimits.workerKeepAliveLimit,
          IDLE,
        );
        const workers = Math.floor((sockets * percent) / 100);
        const openKeys = new Set<number>();
        let refused = 0;
        const sendRequest = (key: number, clientKind: 'worker' | 'user'): void => {
          if (!openKeys.has(key)) {
            if (connections.count >= socketLimits.maxInbound) {
              refused += 1;
              return;
            }
            connections.add(key);
            openKeys.add(key);
          }
          connections.startRequest(key, clientKind);
          if (connections.finishRequest(key)) return;
          connections.remove(key);
          openKeys.delete(key);
        };
        for (let round = 0; round < 4; round++) {
          for (let w = 0; w < workers; w++) {
            clock.at += 5000 / workers;
            sendRequest(w, 'worker');
            // Users send requests in between, over connections of their own.
            if (w % 50 === 0) sendRequest(100_000 + (w % users), 'user');
          }
        }
        assert.equal(refused, 0, 'no connection is refused');
        assert.ok(connections.count <= socketLimits.workerKeepAliveLimit + users);
      },
    ),
    { seed: SEED, numRuns: 40 },
  );
});

test('idle connections are found, except those with a request in progress', () => {
  const clock = new FakeClock();
  const connections = new Connections<string>(() => clock.now(), 100, IDLE);
  for (const key of ['terminated worker', 'worker', 'user', 'in progress', 'no request'])
    connections.add(key);
  for (const [key, clientKind] of [
    ['terminated worker', 'worker'],
    ['worker', 'worker'],
    ['user', 'user'],
    ['in progress', 'user'],
  ] as const) {
    connections.startRequest(key, clientKind);
    if (key !== 'in progress') connections.finishRequest(key);
  }
  clock.at = 11_000;
  assert.deepEqual(connections.findIdle(), ['no request']);
  connections.startRequest('worker', 'worker');
  connections.finishRequest('worker');
  clock.at = 21_000;
  assert.deepEqual(connections.findIdle(), ['terminated worker', 'no request']);
  clock.at = 1_000_000;
  assert.deepEqual(connections.findIdle(), ['terminated worker', 'worker', 'user', 'no request']);
});

/**
 * Workers wait 4 s for a response and then reconnect. The node accepts connections in the order of their arrival, more
 * slowly than they arrive. Returns the number of workers that are served.
 */
function countServedWorkers(dropsStale: boolean): number {
  const clock = new FakeClock();
  const backlog = new Backlog(() => clock.now(), 3000);
  const WORKER_COUNT = 500;
  const CLIENT_TIMEOUT_MS = 4000;
  const RECONNECT_DELAY_MS = 1000;
  let queue: { worker: number; queuedAt: number }[] = [];
  const connectsAt = new Map<number, number>();
  for (let w = 0; w < WORKER_COUNT; w++) connectsAt.set(w, w * 2);
  const served = new Set<number>();
  while (clock.at < 25_000) {
    clock.at += 20;
    for (const [worker, at] of connectsAt) {
      if (at > clock.at) continue;
      queue.push({ worker, queuedAt: clock.at });
      // A worker that times out reconnects; its abandoned connection stays in the queue.
      connectsAt.set(worker, clock.at + CLIENT_TIMEOUT_MS + RECONNECT_DELAY_MS);
    }
    const next = queue.shift();
    if (next) {
      if (clock.at - next.queuedAt < CLIENT_TIMEOUT_MS) {
        served.add(next.worker);
        connectsAt.delete(next.worker);
      }
      if (backlog.recordAccept() && dropsStale) {
        for (const { worker } of queue)
          if (connectsAt.has(worker)) connectsAt.set(worker, clock.at + RECONNECT_DELAY_MS);
        queue = [];
      }
    }
    backlog.endIteration();
  }
  return served.size;
}

test('a stale accept queue is dropped, so that all workers are served within a lease', () => {
  assert.equal(countServedWorkers(true), 500);
  // If it is not dropped, the workers have timed out before they are accepted.
  assert.ok(countServedWorkers(false) < 400, `${countServedWorkers(false)}`);
});

test('a queue that was empty in between is not stale', () => {
  const clock = new FakeClock();
  const backlog = new Backlog(() => clock.now(), 3000);
  for (let i = 0; i < 500; i++) {
    clock.at += 20;
    assert.equal(backlog.recordAccept(), false);
    backlog.endIteration();
    if (i % 50 === 0) assert.equal(backlog.endIteration(), false);
  }
});
