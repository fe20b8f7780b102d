import assert from 'node:assert/strict';
import test from 'node:test';
import { isWorthKeeping } from '../../src/scheduling/best-effort-tasks.ts';

test('a machine is kept for best-effort tasks as long as they are worth its price', () => {
  const task = { maxPrice: 0.4, remainingS: 200, lossS: 3 };
  // Four tasks worth 0.4 an hour each pay for a machine at 1.6 an hour, but not for one at 12.
  assert.ok(isWorthKeeping(1.6, [task, task, task, task]));
  assert.ok(!isWorthKeeping(12, [task, task, task, task]));
  assert.ok(!isWorthKeeping(1.6, [task]));
  // A task that ends soon is kept, and so is one whose lost work would cost more than the machine.
  assert.ok(isWorthKeeping(12, [{ ...task, remainingS: 10 }]));
  assert.ok(isWorthKeeping(1.6, [{ maxPrice: 0.4, remainingS: 30, lossS: 600 }]));
});
