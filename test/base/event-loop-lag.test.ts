import assert from 'node:assert/strict';
import test from 'node:test';
import { MIN_BUSY_LAG_MS, EventLoopLag } from '../../src/base/event-loop-lag.ts';

test('a node is busy while ticks are late, also while a tick is overdue, and not once ticks are on time again', () => {
  let nowMs = 0;
  const lag = new EventLoopLag(200, () => nowMs);
  const tick = (delayMs: number): void => {
    nowMs += delayMs;
    lag.recordTick();
  };
  for (let i = 0; i < 5; i++) tick(210);
  assert.ok(lag.currentMs() < MIN_BUSY_LAG_MS);
  nowMs += 1000;
  assert.ok(lag.currentMs() > MIN_BUSY_LAG_MS, 'while the late tick is overdue');
  lag.recordTick();
  for (let i = 0; i < 4; i++) tick(900);
  assert.ok(lag.currentMs() > MIN_BUSY_LAG_MS);
  for (let i = 0; i < 10; i++) tick(200);
  assert.ok(lag.currentMs() < MIN_BUSY_LAG_MS);
});
