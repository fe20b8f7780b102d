import assert from 'node:assert/strict';
import { connect } from 'node:net';
import test from 'node:test';
import fc from 'fast-check';
import { encodeFrame, FrameReader, MAX_FRAME, type PeerFrame } from '../../src/peers/frames.ts';
import { PeerRpc, type PeerRequestHandler } from '../../src/peers/peer-rpc.ts';
import { SEED, silent } from '../helpers.ts';

const id = fc.integer({ min: 0, max: 2 ** 40 });
const status = fc.record({
  kind: fc.constant('status' as const),
  created: fc.constant(false),
  stage: fc.constantFrom('pending' as const, 'running' as const, 'done' as const, 'cancelled' as const),
  done: fc.nat(),
  running: fc.nat(),
});
const unanswered = fc.record({ kind: fc.constantFrom('unknown' as const, 'unable' as const) });
const frame: fc.Arbitrary<PeerFrame> = fc.oneof(
  fc.record({
    id,
    request: fc.oneof(
      fc.record({
        kind: fc.constantFrom('poll' as const, 'cancel' as const, 'look' as const),
        jobId: fc.string(),
      }),
      fc.record({ kind: fc.constantFrom('ping' as const, 'workers' as const) }),
      fc.record({ kind: fc.constant('submit' as const), jobId: fc.string(), body: fc.string() }),
      fc.record({
        kind: fc.constant('promise' as const),
        term: fc.nat(),
        ms: fc.nat(),
        continuous: fc.boolean(),
      }),
      fc.record({ kind: fc.constant('polls' as const), jobIds: fc.array(fc.string()) }),
    ),
    reply: fc.constant(null),
  }),
  fc.record({
    id,
    request: fc.constant(null),
    reply: fc.oneof(
      fc.record({
        kind: fc.constant('status' as const),
        created: fc.boolean(),
        stage: fc.constantFrom('pending' as const, 'running' as const, 'done' as const, 'cancelled' as const),
        done: fc.nat(),
        running: fc.nat(),
      }),
      fc.record({
        kind: fc.constant('answers' as const),
        answers: fc.array(fc.oneof(status, unanswered)),
      }),
      fc.record({ kind: fc.constant('refused' as const), status: fc.nat(), reason: fc.string() }),
      fc.record({
        kind: fc.constantFrom('unknown' as const, 'unable' as const, 'promised' as const, 'here' as const),
      }),
    ),
  }),
);

test('frames survive any cutting of the stream', () => {
  fc.assert(
    fc.property(fc.array(frame, { maxLength: 5 }), fc.integer({ min: 1, max: 40 }), (frames, step) => {
      const bytes = Buffer.concat(frames.map(encodeFrame));
      const reader = new FrameReader();
      const got: PeerFrame[] = [];
      for (let at = 0; at < bytes.length; at += step) got.push(...reader.push(bytes.subarray(at, at + step)));
      assert.deepEqual(JSON.parse(JSON.stringify(got)), JSON.parse(JSON.stringify(frames)));
    }),
    { seed: SEED, numRuns: 200 },
  );
});

test('a frame that is too long or does not decode is an error', () => {
  const long = Buffer.alloc(4);
  long.writeUInt32BE(MAX_FRAME + 1);
  assert.throws(() => new FrameReader().push(long));
  assert.throws(() => new FrameReader().push(Buffer.from([0, 0, 0, 2, 255, 255])));
});

test('a bad frame closes its own connection and nothing else', async () => {
  const answerUnknown: PeerRequestHandler = (_request, reply) => {
    reply({ kind: 'unknown' });
  };
  const server = new PeerRpc([], answerUnknown, silent);
  await server.listen('127.0.0.1:0');
  const client = new PeerRpc([{ name: 'n', address: `127.0.0.1:${server.port()}` }], () => undefined, silent);
  assert.deepEqual(await client.call('n', { kind: 'poll', jobId: 'x' }, 5000), { kind: 'unknown' });
  await new Promise<void>((resolve) => {
    const bad = connect(server.port(), '127.0.0.1', () => bad.write(Buffer.alloc(8, 255)));
    bad.on('close', () => {
      resolve();
    });
    bad.on('error', () => undefined);
  });
  assert.deepEqual(await client.call('n', { kind: 'cancel', jobId: 'x' }, 5000), { kind: 'unknown' });
  assert.equal(await client.call('nobody', { kind: 'poll', jobId: 'x' }, 5000), null);
  client.close();
  server.close();
});
