import assert from 'node:assert/strict';
import test from 'node:test';
import { WarmUp } from '../../src/controller/warm-up.ts';

test('practice runs through its turns, whatever is made up for it', () => {
  const warmUp = new WarmUp(5);
  let turns = 0;
  while (!warmUp.over) {
    warmUp.step();
    turns += 1;
  }
  assert.equal(turns, 5);
});
