import assert from 'node:assert/strict';
import test from 'node:test';
import { WarmUp } from '../../src/controller/warm-up.ts';

test('the warm-up ends after the given number of steps', () => {
  const warmUp = new WarmUp(5);
  let steps = 0;
  while (!warmUp.isDone) {
    warmUp.runStep();
    steps += 1;
  }
  assert.equal(steps, 5);
});
