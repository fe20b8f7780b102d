import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { required } from '../../src/base/required.ts';
import { defaultOptions } from '../../src/config/options.ts';
import { AdaptiveLimit, WORKER_SLACK_MS } from '../../src/http/limit.ts';
import { RateBudget } from '../../src/store/budget.ts';
import { FakeClock, SEED } from '../helpers.ts';

test('the limit falls while requests are slow and rises again when they are fast', () => {
  const clock = new FakeClock();
  const limit = new AdaptiveLimit(() => clock.now(), {
    initial: 16,
    min: 2,
    max: 64,
    slackMs: 50,
    tolerance: 2,
  });
  const fillLimit = (durationMs: number): number => {
    const releases: (() => void)[] = [];
    for (let release = limit.acquire(); release; release = limit.acquire()) releases.push(release);
    assert.equal(limit.acquire(), null, 'over the limit a request is refused at once');
    clock.at += durationMs;
    for (const release of releases) release();
    return releases.length;
  };
  assert.equal(fillLimit(10), 16);
  const grownLimit = limit.current;
  assert.ok(grownLimit > 16 - 1);
  for (let i = 0; i < 30; i++) fillLimit(500);
  const lowestLimit = limit.current;
  assert.equal(lowestLimit, 2, 'never below its minimum');
  // The best duration expires, then short durations raise the limit.
  for (let i = 0; i < 200; i++) fillLimit(10);
  assert.ok(limit.current > 8);
});

test('releasing a request twice frees only one place', () => {
  const limit = new AdaptiveLimit(() => 0, { initial: 1, min: 1, max: 1, slackMs: 1, tolerance: 2 });
  const release = required(limit.acquire(), 'place');
  release();
  release();
  assert.ok(limit.acquire());
  assert.equal(limit.acquire(), null);
});

test('the budget limits the rate and keeps a reserve for urgent calls', () => {
  const clock = new FakeClock();
  const budget = new RateBudget(10, () => clock.now());
  let taken = 0;
  while (budget.take(1, 4)) taken += 1;
  assert.equal(taken, 6);
  assert.ok(budget.take(4));
  assert.equal(budget.take(), false);
  assert.equal(budget.waitMs(1), 100);
  clock.at += 100;
  assert.ok(budget.take());
});

test('long scheduling rounds of a slow leader do not make it refuse heartbeats', () => {
  // If each stall lowered the limit, it would fall to a tenth: refused workers retry through two other nodes, which
  // keeps the leader slow, until most leases have expired.
  const clock = new FakeClock();
  const { workers_min } = defaultOptions().http;
  const sockets = 1500;
  const createLimit = (): AdaptiveLimit =>
    new AdaptiveLimit(() => clock.now(), {
      initial: sockets,
      min: workers_min,
      max: sockets,
      slackMs: WORKER_SLACK_MS,
      tolerance: 4,
    });
  const limit = createLimit();
  fc.assert(
    fc.property(
      fc.array(
        fc.record({
          stallMs: fc.integer({ min: 1, max: 1000 }),
          heartbeats: fc.integer({ max: 400, min: 1 }),
        }),
      ),
      (stalls) => {
        for (const { stallMs, heartbeats } of stalls) {
          const releases = Array.from({ length: heartbeats }, () => limit.acquire());
          clock.at += stallMs;
          for (const release of releases) {
            assert.ok(release, 'a heartbeat was refused');
            release();
          }
        }
      },
    ),
    { seed: SEED },
  );
  // Responses that are too late for workers still lower the limit.
  const overloaded = createLimit();
  required(overloaded.acquire(), 'place')();
  for (let i = 0; i < 15; i++) {
    const release = required(overloaded.acquire(), 'place');
    clock.at += WORKER_SLACK_MS + 100;
    release();
    clock.at += 1;
  }
  assert.equal(overloaded.current, workers_min);
});
