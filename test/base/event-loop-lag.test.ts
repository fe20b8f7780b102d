import assert from 'node:assert/strict';
import test from 'node:test';
import { MIN_BUSY_LAG_MS, EventLoopLag } from '../../src/base/event-loop-lag.ts';

test('a node is busy while its ticks come late, at once when none comes, and no longer once they are in time', () => {
  let at = 0;
  const lag = new EventLoopLag(200, () => at);
  const tick = (after: number): void => {
    at += after;
    lag.recordTick();
  };
  for (let i = 0; i < 5; i++) tick(210);
  assert.ok(lag.currentMs() < MIN_BUSY_LAG_MS);
  at += 1000;
  assert.ok(lag.currentMs() > MIN_BUSY_LAG_MS, 'before the late tick has even come');
  lag.recordTick();
  for (let i = 0; i < 4; i++) tick(900);
  assert.ok(lag.currentMs() > MIN_BUSY_LAG_MS);
  for (let i = 0; i < 10; i++) tick(200);
  assert.ok(lag.currentMs() < MIN_BUSY_LAG_MS);
});
