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

test('every valid submission is decoded, and its stored record decodes to the same job', () => {
  fc.assert(
    fc.property(validSubmission, (submission) => {
      const decoded = decodeJob(JSON.stringify(submission));
      assert.ok(decoded.ok, decoded.ok ? '' : decoded.reason);
      const restored = decodeStoredJob(JSON.parse(JSON.stringify(decoded.value.stored)));
      assert.ok(restored.ok);
      assert.deepEqual(restored.value, decoded.value);
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
      (submission, field, unknownValue) => {
        const withNull = decodeJob(withRawField(submission, field, 'null'));
        const omitted = decodeJob(withoutField(submission, field));
        const extended = decodeJob(JSON.stringify({ ...submission, [field]: null, novelty: unknownValue }));
        assert.ok(withNull.ok && omitted.ok && extended.ok);
        // Only the stored form differs: it holds the submission as it was sent.
        const expected = { ...withNull.value, stored: null };
        assert.deepEqual({ ...omitted.value, stored: null }, expected);
        assert.deepEqual({ ...extended.value, stored: null }, expected);
      },
    ),
    { seed: SEED },
  );
});

test('a missing or invalid field is named in a reason of one line, regardless of the other fields', () => {
  assert.deepEqual([...REQUIRED_FIELDS, ...OPTIONAL_FIELDS].sort(), Object.keys(JOB).sort());
  fc.assert(
    fc.property(validSubmission, (submission) => {
      for (const field of REQUIRED_FIELDS) {
        const decoded = decodeJob(withoutField(submission, field));
        assert.ok(!decoded.ok && decoded.reason.startsWith(`field ${field}`), field);
      }
      for (const [field, values] of Object.entries(INVALID_VALUES)) {
        for (const raw of values) {
          const decoded = decodeJob(withRawField(submission, field, raw));
          assert.ok(!decoded.ok, `${field} ${raw}`);
          assert.ok(
            decoded.reason.startsWith(`field ${field}`) && !decoded.reason.includes('\n'),
            decoded.reason,
          );
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
  // An accepted job must run, so stricter rules for new submissions must not make its record malformed.
  const oldRecord = { ...JOB, batch: '', recipe: '', dueS: 1e300 };
  assert.equal(decodeJob(JSON.stringify(oldRecord)).ok, false);
  assert.equal(decodeStoredJob(oldRecord).ok, true);
});
