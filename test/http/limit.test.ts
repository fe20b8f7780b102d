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
  const wave = (tookMs: number): number => {
    const leaves: (() => void)[] = [];
    for (let leave = limit.acquire(); leave; leave = limit.acquire()) leaves.push(leave);
    assert.equal(limit.acquire(), null, 'over the limit a request is refused at once');
    clock.at += tookMs;
    for (const leave of leaves) leave();
    return leaves.length;
  };
  assert.equal(wave(10), 16);
  const grown = limit.current;
  assert.ok(grown > 16 - 1);
  for (let i = 0; i < 30; i++) wave(500);
  const least = limit.current;
  assert.equal(least, 2, 'never below its floor');
  // The best time is forgotten after a while, then good times raise the limit.
  for (let i = 0; i < 200; i++) wave(10);
  assert.ok(limit.current > 8);
});

test('a request that leaves twice frees one place', () => {
  const limit = new AdaptiveLimit(() => 0, { initial: 1, min: 1, max: 1, slackMs: 1, tolerance: 2 });
  const leave = required(limit.acquire(), 'place');
  leave();
  leave();
  assert.ok(limit.acquire());
  assert.equal(limit.acquire(), null);
});

test('the budget keeps its rate and what is set aside for urgent calls', () => {
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

test('long rounds of a slow leader do not make it refuse its workers', () => {
  // If each stall lowers the limit, it ends at a tenth: refused workers retry through two other nodes, which keeps the
  // leader slow, until most leases have expired.
  const clock = new FakeClock();
  const { workers_min } = defaultOptions().http;
  const sockets = 1500;
  const make = (): AdaptiveLimit =>
    new AdaptiveLimit(() => clock.now(), {
      initial: sockets,
      min: workers_min,
      max: sockets,
      slackMs: WORKER_SLACK_MS,
      tolerance: 4,
    });
  const limit = make();
  fc.assert(
    fc.property(
      fc.array(
        fc.record({ stallMs: fc.integer({ min: 1, max: 1000 }), reports: fc.integer({ max: 400, min: 1 }) }),
      ),
      (stalls) => {
        for (const { stallMs, reports } of stalls) {
          const leaves = Array.from({ length: reports }, () => limit.acquire());
          clock.at += stallMs;
          for (const leave of leaves) {
            assert.ok(leave, 'a report was refused');
            leave();
          }
        }
      },
    ),
    { seed: SEED },
  );
  // Answers that come too late for workers still cut it.
  const late = make();
  required(late.acquire(), 'place')();
  for (let i = 0; i < 15; i++) {
    const leave = required(late.acquire(), 'place');
    clock.at += WORKER_SLACK_MS + 100;
    leave();
    clock.at += 1;
  }
  assert.equal(late.current, workers_min);
});
