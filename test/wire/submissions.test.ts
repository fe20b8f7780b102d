import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { decodeJob, decodeStoredJob } from '../../src/wire/user.ts';
import { SEED } from '../helpers.ts';
import { JOB } from './sample.ts';
import {
  INVALID_VALUES,
  OPTIONAL_FIELDS,
  REQUIRED_FIELDS,
  validSubmission,
  withoutField,
  withRawField,
} from './submissions.ts';

test('every valid submission is decoded, and its stored record is decoded to the same job', () => {
  fc.assert(
    fc.property(validSubmission, (submission) => {
      const read = decodeJob(JSON.stringify(submission));
      assert.ok(read.ok, read.ok ? '' : read.reason);
      const kept = decodeStoredJob(JSON.parse(JSON.stringify(read.value.stored)));
      assert.ok(kept.ok);
      assert.deepEqual(kept.value, read.value);
    }),
    { seed: SEED },
  );
});

test('a null field means the same as a missing one, and unknown fields change nothing', () => {
  fc.assert(
    fc.property(
      validSubmission,
      fc.constantFrom(...OPTIONAL_FIELDS),
      fc.jsonValue(),
      (submission, field, more) => {
        const given = decodeJob(withRawField(submission, field, 'null'));
        const omitted = decodeJob(withoutField(submission, field));
        const extended = decodeJob(JSON.stringify({ ...submission, [field]: null, novelty: more }));
        assert.ok(given.ok && omitted.ok && extended.ok);
        // The stored form keeps what was sent; all else is the same.
        const expected = { ...given.value, stored: null };
        assert.deepEqual({ ...omitted.value, stored: null }, expected);
        assert.deepEqual({ ...extended.value, stored: null }, expected);
      },
    ),
    { seed: SEED },
  );
});

test('a missing or invalid field is named in one line, whatever the others hold', () => {
  assert.deepEqual([...REQUIRED_FIELDS, ...OPTIONAL_FIELDS].sort(), Object.keys(JOB).sort());
  fc.assert(
    fc.property(validSubmission, (submission) => {
      for (const field of REQUIRED_FIELDS) {
        const read = decodeJob(withoutField(submission, field));
        assert.ok(!read.ok && read.reason.startsWith(`field ${field}`), field);
      }
      for (const [field, values] of Object.entries(INVALID_VALUES)) {
        for (const raw of values) {
          const read = decodeJob(withRawField(submission, field, raw));
          assert.ok(!read.ok, `${field} ${raw}`);
          assert.ok(read.reason.startsWith(`field ${field}`) && !read.reason.includes('\n'), read.reason);
        }
      }
    }),
    { seed: SEED, numRuns: 20 },
  );
});

test('the last occurrence of a field counts', () => {
  const text = JSON.stringify(JOB);
  assert.equal(decodeJob(text.replace('{', '{"loaves":0,')).ok, true);
  assert.equal(decodeJob(text.replace('}', ',"loaves":0}')).ok, false);
});

test('a record that an earlier version accepted stays readable though such a submission is now rejected', () => {
  // An accepted job must run: a stricter form for new submissions must not make old records malformed.
  const old = { ...JOB, batch: '', recipe: '', dueS: 1e300 };
  assert.equal(decodeJob(JSON.stringify(old)).ok, false);
  assert.equal(decodeStoredJob(old).ok, true);
});
