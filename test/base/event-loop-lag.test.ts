import assert from 'node:assert/strict';
import test from 'node:test';
import { BUSY_MS, EventLoopLag } from '../../src/base/event-loop-lag.ts';

test('a node is busy while its ticks come late, at once when none comes, and no longer once they are in time', () => {
  let at = 0;
  const lag = new EventLoopLag(200, () => at);
  const tick = (after: number): void => {
    at += after;
    lag.tick();
  };
  for (let i = 0; i < 5; i++) tick(210);
  assert.ok(lag.ms() < BUSY_MS);
  at += 1000;
  assert.ok(lag.ms() > BUSY_MS, 'before the late tick has even come');
  lag.tick();
  for (let i = 0; i < 4; i++) tick(900);
  assert.ok(lag.ms() > BUSY_MS);
  for (let i = 0; i < 10; i++) tick(200);
  assert.ok(lag.ms() < BUSY_MS);
});
