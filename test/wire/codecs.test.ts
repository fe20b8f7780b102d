import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { decodeJob, isJobId, peekJobId } from '../../src/wire/user.ts';
import { decodeHeartbeat } from '../../src/wire/worker.ts';
import { decodeEvents, decodeItems } from '../../src/wire/state.ts';
import { decodeMachineList } from '../../src/wire/cloud.ts';
import { SEED } from '../helpers.ts';
import { JOB } from './sample.ts';

const HEARTBEAT = {
  hearth: 'n-000231',
  address: '10.1.0.232:9000',
  oven: 'g8',
  yard: 'a',
  borrowed: true,
  shift: 1,
  tick: 88,
  baton: 41,
  warningS: null,
  loaves: [{ loaf: 'req-000412/3', try: 2, stage: 'ended', cause: 'done' }],
};
const withField = (base: object, field: string, value: unknown) =>
  JSON.stringify({ ...base, [field]: value });

test('a submission is decoded; nullable fields may be missing, and unknown fields are ignored', () => {
  const { yard, dueS, ovens, ...rest } = JOB;
  const decoded = decodeJob(JSON.stringify({ ...rest, novelty: [yard, dueS, ovens] }));
  assert.ok(decoded.ok);
  assert.equal(decoded.value.gang, true);
  assert.equal(decoded.value.zone, null);
  assert.equal(decoded.value.types, null);
  assert.equal(decoded.value.deadlineS, null);
});

test('the daemon shape, which is sent to real processes only, is an array that ends when it is cancelled', () => {
  // The protocol's page doesn't list this shape, but the users' check on real processes sends it.
  const decoded = decodeJob(withField(JOB, 'shape', 'daemon'));
  assert.ok(decoded.ok && !decoded.value.gang);
});

test('a submission with a missing or invalid field is rejected with a reason of one line', () => {
  const optional = new Set(['ovens', 'yard', 'dueS']);
  for (const field of Object.keys(JOB)) {
    if (!optional.has(field)) {
      const { [field as keyof typeof JOB]: omitted, ...rest } = JOB;
      assert.notEqual(omitted, undefined);
      assert.equal(decodeJob(JSON.stringify(rest)).ok, false, field);
    }
    const rejected = decodeJob(withField(JOB, field, { odd: 1 }));
    assert.ok(!rejected.ok && !rejected.reason.includes('\n') && rejected.reason.includes(field), field);
  }
  for (const [field, value] of [
    ['loaves', 0],
    ['loaves', 100_001],
    ['loaves', 1.5],
    ['cores', -1],
    ['uid', 'job-1'],
    ['rank', 'top'],
    ['shape', 'swarm'],
  ] as const) {
    assert.equal(decodeJob(withField(JOB, field, value)).ok, false, field);
  }
  assert.equal(decodeJob('{"cores":1e999}').ok, false);
  for (const text of ['', 'null', '[]', '7', '{', '"x"']) assert.equal(decodeJob(text).ok, false);
});

test('decoders do not throw on any text', () => {
  fc.assert(
    fc.property(fc.oneof(fc.string(), fc.json()), (text) => {
      for (const decode of [decodeJob, decodeHeartbeat, decodeItems, decodeEvents, decodeMachineList]) {
        assert.equal(typeof decode(text).ok, 'boolean');
      }
    }),
    { seed: SEED, numRuns: 300 },
  );
});

test('integers past 2^53 are rejected, never rounded', () => {
  assert.ok(decodeHeartbeat(JSON.stringify(HEARTBEAT)).ok);
  assert.equal(decodeHeartbeat(JSON.stringify(HEARTBEAT).replace('88', '9007199254740993')).ok, false);
});

test('a job id is found in a body that is otherwise malformed', () => {
  assert.equal(peekJobId('{"uid":"req-000001","loaves":"many"}'), 'req-000001');
  assert.equal(peekJobId('{"uid":"../x"}'), null);
  assert.equal(isJobId('req-000001/2'), false);
});

test('a deletion without a value is an event like any other', () => {
  // If such an event made the whole response invalid, the leader would learn of no job until it lists the keys again.
  const decoded = decodeEvents(
    '{"ledger":433,"log":[{"drop":"c/d","stamp":432},{"set":"c/e","data":1,"stamp":433}]}',
  );
  assert.ok(decoded.ok);
  assert.deepEqual(
    decoded.value.events.map(({ key, deleted }) => [key, deleted]),
    [
      ['c/d', true],
      ['c/e', false],
    ],
  );
});
