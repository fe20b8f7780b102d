import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { decodeHeartbeat, HeartbeatDecoder } from '../../src/wire/worker.ts';
import { SEED } from '../helpers.ts';

const taskStatus = fc.record(
  {
    loaf: fc.constantFrom('req-000001/0', 'req-000002/7', 'no-task'),
    try: fc.nat(3),
    stage: fc.constantFrom('running', 'ended', 'odd'),
    cause: fc.constantFrom(null, 'done'),
    // Unknown fields are ignored, even one with the name of the sequence number.
    tick: fc.nat(3),
  },
  { requiredKeys: ['loaf', 'try', 'stage'] },
);

const heartbeat = fc.record(
  {
    hearth: fc.constantFrom('n-1', 'n-2', 'n"tick":1,'),
    address: fc.constant('10.0.0.1:9000'),
    oven: fc.constant('g8'),
    yard: fc.constant('a'),
    borrowed: fc.boolean(),
    shift: fc.integer({ min: 1, max: 2 }),
    tick: fc.oneof(fc.nat(5), fc.constantFrom(-1, 1.5, 1e21)),
    baton: fc.nat(2),
    warningS: fc.constantFrom(null, 12.5),
    loaves: fc.array(taskStatus, { maxLength: 2 }),
  },
  { requiredKeys: ['hearth', 'address', 'oven', 'yard', 'borrowed', 'shift', 'tick', 'loaves'] },
);

/** Replaces the end of a heartbeat's text, so that a second sequence number can follow. */
const withEnd = (json: string, end: string): string => json.replace(/\}$/, end);

test('decoding with the cache gives the same heartbeats as decoding in full', () => {
  fc.assert(
    fc.property(
      fc.array(
        fc.tuple(
          heartbeat,
          fc.constantFrom('}', ',"tick":7}', ',"t\\u0069ck":8}', ', "tick" : 9}'),
          fc.boolean(),
        ),
        { minLength: 2, maxLength: 12 },
      ),
      (sent) => {
        const decoder = new HeartbeatDecoder(() => 0, 1000);
        for (const [fields, end, spaced] of sent) {
          const json = spaced ? JSON.stringify(fields, null, 1) : JSON.stringify(fields);
          const text = withEnd(json, end);
          const cached = decoder.decode(text);
          const full = decodeHeartbeat(text);
          assert.equal(cached.ok, full.ok);
          if (cached.ok && full.ok) assert.deepEqual(cached.value, full.value);
        }
      },
    ),
    { seed: SEED, numRuns: 400 },
  );
});

test('the cache drops the heartbeat of a machine that stops sending heartbeats', () => {
  let now = 0;
  const decoder = new HeartbeatDecoder(() => now, 1000);
  const text = (machine: number): string =>
    `{"hearth":"n-${machine}","address":"10.0.0.1:9","oven":"g8","yard":"a","borrowed":false,"shift":1,"tick":4,"baton":1,"loaves":[]}`;
  const machines = 4000;
  for (let machine = 0; machine < machines; machine++) decoder.decode(text(machine));
  assert.equal(decoder.size, machines);
  now = 1500;
  decoder.decode(text(1));
  now = 3000;
  decoder.decode(text(1));
  assert.equal(decoder.size, 1);
});
