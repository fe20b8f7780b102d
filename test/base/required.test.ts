import assert from 'node:assert/strict';
import { test } from 'node:test';
import { InvariantError, required } from '../../src/base/required.ts';

test('a value that is present is returned, also one that counts as false', () => {
  assert.equal(required(0, 'count'), 0);
  assert.equal(required('', 'name'), '');
  assert.equal(required(false, 'flag'), false);
});

test('a missing value is an invariant error that names it', () => {
  for (const missing of [null, undefined]) {
    assert.throws(
      () => required(missing, 'group of the arc'),
      (error) =>
        error instanceof InvariantError &&
        error.code === 'ERR_INVARIANT' &&
        error.message === 'group of the arc is missing',
    );
  }
});
