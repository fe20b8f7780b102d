import assert from 'node:assert/strict';
import test from 'node:test';
import { isWorthKeeping } from '../../src/scheduling/idle-work.ts';

test('a machine is kept for idle work as long as that is worth its price', () => {
  const saves = { maxPrice: 0.4, remainingS: 200, lossS: 3 };
  // Four tasks that are worth 0.4 an hour each carry a machine of 1.6, and one of 12 not.
  assert.ok(isWorthKeeping(1.6, [saves, saves, saves, saves]));
  assert.ok(!isWorthKeeping(12, [saves, saves, saves, saves]));
  assert.ok(!isWorthKeeping(1.6, [saves]));
  // What ends soon ends where it is, and what would lose more than the machine costs goes on.
  assert.ok(isWorthKeeping(12, [{ ...saves, remainingS: 10 }]));
  assert.ok(isWorthKeeping(1.6, [{ maxPrice: 0.4, remainingS: 30, lossS: 600 }]));
});
