import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { Backlog } from '../../src/http/backlog.ts';
import { Connections, computeSocketLimits } from '../../src/http/connections.ts';
import { FakeClock, SEED } from '../helpers.ts';

const IDLE = { unknown: 10_000, user: 90_000, worker: 20_000 };

test('with more workers than sockets each still gets its reports through, and users find room', () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 200, max: 2500 }),
      fc.integer({ min: 50, max: 200 }),
      fc.integer({ min: 1, max: 8 }),
      (sockets, percent, users) => {
        const shares = computeSocketLimits(sockets, Math.floor(sockets / 10));
        assert.ok(shares.maxInbound <= sockets && shares.workerKeepAliveLimit < shares.maxInbound);
        const clock = new FakeClock();
        const connections = new Connections<number>(() => clock.now(), shares.workerKeepAliveLimit, IDLE);
        const workers = Math.floor((sockets * percent) / 100);
        const open = new Set<number>();
        let refused = 0;
        const ask = (key: number, peer: 'worker' | 'user'): void => {
          if (!open.has(key)) {
            if (connections.count >= shares.maxInbound) {
              refused += 1;
              return;
            }
            connections.add(key);
            open.add(key);
          }
          connections.startRequest(key, peer);
          if (connections.finishRequest(key)) return;
          connections.remove(key);
          open.delete(key);
        };
        for (let round = 0; round < 4; round++) {
          for (let w = 0; w < workers; w++) {
            clock.at += 5000 / workers;
            ask(w, 'worker');
            // Users come in between, over connections of their own.
            if (w % 50 === 0) ask(100_000 + (w % users), 'user');
          }
        }
        assert.equal(refused, 0, 'nobody is refused');
        assert.ok(connections.count <= shares.workerKeepAliveLimit + users);
      },
    ),
    { seed: SEED, numRuns: 40 },
  );
});

test('idle connections are found, except those with a request in progress', () => {
  const clock = new FakeClock();
  const connections = new Connections<string>(() => clock.now(), 100, IDLE);
  for (const key of ['dead worker', 'worker', 'user', 'waiting', 'says nothing']) connections.add(key);
  for (const [key, peer] of [
    ['dead worker', 'worker'],
    ['worker', 'worker'],
    ['user', 'user'],
    ['waiting', 'user'],
  ] as const) {
    connections.startRequest(key, peer);
    if (key !== 'waiting') connections.finishRequest(key);
  }
  clock.at = 11_000;
  assert.deepEqual(connections.findIdle(), ['says nothing']);
  connections.startRequest('worker', 'worker');
  connections.finishRequest('worker');
  clock.at = 21_000;
  assert.deepEqual(connections.findIdle(), ['dead worker', 'says nothing']);
  clock.at = 1_000_000;
  assert.deepEqual(connections.findIdle(), ['dead worker', 'worker', 'user', 'says nothing']);
});

/**
 * Workers wait 4 s for a response and then reconnect. The node accepts connections in the order of their arrival, more
 * slowly than they arrive. Returns the number of workers that are served.
 */
function storm(drop: boolean): number {
  const clock = new FakeClock();
  const backlog = new Backlog(() => clock.now(), 3000);
  const WORKERS = 500;
  const PATIENCE_MS = 4000;
  const AGAIN_MS = 1000;
  let queue: { worker: number; since: number }[] = [];
  const comesAt = new Map<number, number>();
  for (let w = 0; w < WORKERS; w++) comesAt.set(w, w * 2);
  const served = new Set<number>();
  while (clock.at < 25_000) {
    clock.at += 20;
    for (const [worker, at] of comesAt) {
      if (at > clock.at) continue;
      queue.push({ worker, since: clock.at });
      // Unless it is served before, it gives up and comes again; what it left stays in the queue.
      comesAt.set(worker, clock.at + PATIENCE_MS + AGAIN_MS);
    }
    const next = queue.shift();
    if (next) {
      if (clock.at - next.since < PATIENCE_MS) {
        served.add(next.worker);
        comesAt.delete(next.worker);
      }
      if (backlog.recordAccept() && drop) {
        for (const { worker } of queue) if (comesAt.has(worker)) comesAt.set(worker, clock.at + AGAIN_MS);
        queue = [];
      }
    }
    backlog.endIteration();
  }
  return served.size;
}

test('a stale accept queue is dropped, so that all workers are served within a lease', () => {
  assert.equal(storm(true), 500);
  // If it is not dropped, the workers have timed out before they are accepted.
  assert.ok(storm(false) < 400, `${storm(false)}`);
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
