import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import type { HttpResponse } from '../../src/http/server.ts';
import { encodeFrame, MAX_FRAME_BYTES } from '../../src/peers/frame-codec.ts';
import { MAX_RESPONSE_AGE_MS } from '../../src/relay/heartbeat-relay.ts';
import { SEED } from '../helpers.ts';
import { RelayHarness, responsesTo, type SentBatch } from './relay-harness.ts';

const MAX_HEARTBEAT_BYTES = 64 * 1024;

function frameBytes(batch: SentBatch): number {
  const request = { kind: 'heartbeats' as const, node: 'n', heartbeats: batch.heartbeats };
  return encodeFrame({ id: 1, request, reply: null }).length;
}

test('every heartbeat gets its own response, and every batch fits a frame', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(fc.tuple(fc.integer({ min: 1, max: MAX_HEARTBEAT_BYTES }), fc.nat(30)), {
        minLength: 1,
        maxLength: 40,
      }),
      async (sizes) => {
        const harness = new RelayHarness();
        await harness.startRelaying();
        const answers = new Map<string, HttpResponse>();
        let frames = 0;
        for (const [index, [size, gapMs]] of sizes.entries()) {
          const body = `${index}:`.padEnd(size, 'x').slice(0, MAX_HEARTBEAT_BYTES);
          const start = body.slice(0, 20);
          assert.ok(harness.relay.tryRelay(body, (answer) => answers.set(`${index} ${start}`, answer)));
          await harness.advance(gapMs);
          for (const batch of harness.batches.splice(0)) {
            frames += 1;
            assert.ok(frameBytes(batch) <= MAX_FRAME_BYTES);
            batch.reply({ relay: true, responses: responsesTo(batch.heartbeats) });
          }
        }
        await harness.advance(100);
        for (const batch of harness.batches.splice(0))
          batch.reply({ relay: true, responses: responsesTo(batch.heartbeats) });
        await harness.advance(0);
        assert.equal(answers.size, sizes.length);
        for (const [key, answer] of answers) {
          const start = key.slice(key.indexOf(' ') + 1);
          assert.ok(answer.body.startsWith(`for ${start}`), key);
        }
        assert.ok(frames <= sizes.length);
      },
    ),
    { seed: SEED, numRuns: 40 },
  );
});

test('a heartbeat is refused if its response is missing, older than a second or from a deposed leader', async () => {
  const cases: Record<string, (harness: RelayHarness, batch: SentBatch) => void> = {
    'the process was paused while the response was pending': (harness, batch) => {
      harness.now += MAX_RESPONSE_AGE_MS + 1;
      batch.reply({ relay: true, responses: responsesTo(batch.heartbeats) });
    },
    'another controller leads': (harness, batch) => {
      harness.leader = 'two';
      batch.reply({ relay: true, responses: responsesTo(batch.heartbeats) });
    },
    'no reply': (_harness, batch) => {
      batch.reply(null);
    },
    'a reply without responses': (_harness, batch) => {
      batch.reply({ relay: true, responses: [] });
    },
  };
  for (const [name, respond] of Object.entries(cases)) {
    const harness = new RelayHarness();
    await harness.startRelaying();
    const statuses: number[] = [];
    harness.relay.tryRelay('heartbeat', (answer) => statuses.push(answer.status));
    await harness.advance(50);
    respond(harness, harness.takeBatch());
    await harness.advance(0);
    assert.deepEqual(statuses, [503], name);
  }
});

test('heartbeats are relayed only while there is a leader and the last reply asked for relaying', async () => {
  const harness = new RelayHarness();
  const take = (): boolean => harness.relay.tryRelay('heartbeat', () => undefined);
  assert.equal(take(), false);
  harness.takeBatch().reply({ relay: false, responses: [] });
  await harness.advance(1000);
  assert.equal(take(), false);
  harness.takeBatch().reply({ relay: true, responses: [] });
  await harness.advance(0);
  assert.equal(take(), true);
  harness.leader = null;
  assert.equal(take(), false);
  // Heartbeats are relayed to a new leader at once, until its reply ends the relaying.
  harness.leader = 'two';
  assert.equal(take(), true);
  await harness.advance(50);
  const batch = harness.takeBatch();
  assert.equal(batch.leader, 'two');
  batch.reply({ relay: false, responses: responsesTo(batch.heartbeats) });
  await harness.advance(0);
  assert.equal(take(), false);
  // The leader is queried at most once a second.
  const queryCount = harness.batches.length;
  for (let i = 0; i < 100; i++) take();
  assert.ok(harness.batches.length - queryCount <= 1);
});

test('an error while sending is passed to onError', async () => {
  const harness = new RelayHarness();
  const queryError = new Error('query');
  const batchError = new Error('batch');
  harness.relay.tryRelay('heartbeat', () => undefined);
  harness.takeBatch().fail(queryError);
  await harness.advance(1000);
  await harness.startRelaying();
  harness.relay.tryRelay('heartbeat', () => undefined);
  await harness.advance(50);
  harness.takeBatch().fail(batchError);
  await harness.advance(0);
  assert.deepEqual(harness.errors, [queryError, batchError]);
});
