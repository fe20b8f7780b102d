import assert from 'node:assert/strict';
import { test } from 'node:test';
import { InvariantError, required } from '../../src/base/required.ts';

test('a value that is present is returned, also a falsy one', () => {
  assert.equal(required(0, 'count'), 0);
  assert.equal(required('', 'name'), '');
  assert.equal(required(false, 'flag'), false);
});

test('a missing value is an invariant error that names it', () => {
  for (const missing of [null, undefined]) {
    const requireMissing = (): unknown => required(missing, 'group of the arc');
    assert.throws(requireMissing, InvariantError);
    assert.throws(requireMissing, { code: 'ERR_INVARIANT', message: 'group of the arc is missing' });
  }
});
