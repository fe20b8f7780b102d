import assert from 'node:assert/strict';
import { connect } from 'node:net';
import test from 'node:test';
import fc from 'fast-check';
import {
  encodeFrame,
  FrameError,
  LENGTH_PREFIX_BYTES,
  MAX_FRAME_BYTES,
} from '../../src/peers/frame-codec.ts';
import { FrameReader } from '../../src/peers/frame-reader.ts';
import type { PeerFrame, PeerReply, PeerRequest, PollAnswer } from '../../src/peers/messages.ts';
import { PeerRpc, type PeerRequestHandler } from '../../src/peers/peer-rpc.ts';
import { SEED, silent } from '../helpers.ts';

const jobStage = fc.constantFrom(
  'pending' as const,
  'running' as const,
  'done' as const,
  'cancelled' as const,
);

/** The status of a job. In a batch of polls `created` is always false, since the frame doesn't carry it there. */
function jobStatus(created: fc.Arbitrary<boolean>): fc.Arbitrary<PollAnswer> {
  const kind = fc.constant('status' as const);
  return fc.record({ kind, created, stage: jobStage, done: fc.nat(), running: fc.nat() });
}

const request: fc.Arbitrary<PeerRequest> = fc.oneof(
  fc.record({
    kind: fc.constantFrom('poll' as const, 'cancel' as const, 'lookup' as const),
    jobId: fc.string(),
  }),
  fc.record({ kind: fc.constantFrom('ping' as const, 'workerContact' as const) }),
  fc.record({ kind: fc.constant('submit' as const), jobId: fc.string(), body: fc.string() }),
  fc.record({
    kind: fc.constant('grantPeerLease' as const),
    term: fc.nat(),
    ms: fc.nat(),
    continuous: fc.boolean(),
  }),
  fc.record({ kind: fc.constant('pollBatch' as const), jobIds: fc.array(fc.string()) }),
);

const statelessAnswer = fc.record({ kind: fc.constantFrom('notFound' as const, 'unavailable' as const) });

const reply: fc.Arbitrary<PeerReply> = fc.oneof(
  jobStatus(fc.boolean()),
  fc.record({
    kind: fc.constant('pollAnswers' as const),
    answers: fc.array(fc.oneof(jobStatus(fc.constant(false)), statelessAnswer)),
  }),
  fc.record({ kind: fc.constant('refused' as const), status: fc.nat(), reason: fc.string() }),
  fc.record({
    kind: fc.constantFrom('notFound' as const, 'unavailable' as const, 'granted' as const, 'ack' as const),
  }),
);

const id = fc.integer({ min: 0, max: 2 ** 40 });
const frame: fc.Arbitrary<PeerFrame> = fc.oneof(
  fc.record({ id, request, reply: fc.constant(null) }),
  fc.record({ id, request: fc.constant(null), reply }),
);

/** Copies a value to plain objects, so that it compares as equal to fast-check's records, which have no prototype. */
const normalizePrototypes = (value: unknown): unknown => JSON.parse(JSON.stringify(value));

test('frames are decoded independently of how the stream is split into chunks', () => {
  fc.assert(
    fc.property(fc.array(frame, { maxLength: 5 }), fc.integer({ min: 1, max: 40 }), (frames, chunkBytes) => {
      const bytes = Buffer.concat(frames.map(encodeFrame));
      const reader = new FrameReader();
      const read: PeerFrame[] = [];
      for (let offset = 0; offset < bytes.length; offset += chunkBytes)
        read.push(...reader.push(bytes.subarray(offset, offset + chunkBytes)));
      assert.deepEqual(normalizePrototypes(read), normalizePrototypes(frames));
    }),
    { seed: SEED, numRuns: 200 },
  );
});

test('a frame that is too long or not decodable throws a FrameError', () => {
  const tooLong = Buffer.alloc(LENGTH_PREFIX_BYTES);
  tooLong.writeUInt32BE(MAX_FRAME_BYTES + 1);
  assert.throws(() => new FrameReader().push(tooLong), FrameError);
  assert.throws(() => new FrameReader().push(Buffer.from([0, 0, 0, 2, 255, 255])), FrameError);
});

test('a malformed frame closes its own connection and no other', async () => {
  const answerNotFound: PeerRequestHandler = (_request, sendReply) => {
    sendReply({ kind: 'notFound' });
  };
  const server = new PeerRpc([], answerNotFound, silent);
  await server.listen('127.0.0.1:0');
  const client = new PeerRpc([{ name: 'n', address: `127.0.0.1:${server.port()}` }], () => undefined, silent);
  assert.deepEqual(await client.call('n', { kind: 'poll', jobId: 'x' }, 5000), { kind: 'notFound' });
  await new Promise<void>((resolve) => {
    const socket = connect(server.port(), '127.0.0.1', () => socket.write(Buffer.alloc(8, 255)));
    socket.on('close', () => {
      resolve();
    });
    socket.on('error', () => undefined);
  });
  assert.deepEqual(await client.call('n', { kind: 'cancel', jobId: 'x' }, 5000), { kind: 'notFound' });
  assert.equal(await client.call('unknown', { kind: 'poll', jobId: 'x' }, 5000), null);
  client.close();
  server.close();
});

test('closing ends the connections in both directions, and pending calls resolve to null', async () => {
  let served = 0;
  const server = new PeerRpc([], () => (served += 1), silent);
  await server.listen('127.0.0.1:0');
  const client = new PeerRpc([{ name: 'n', address: `127.0.0.1:${server.port()}` }], () => undefined, silent);
  const call = client.call('n', { kind: 'ping' }, 60_000);
  while (served === 0) await new Promise((resolve) => setImmediate(resolve));
  server.close();
  assert.equal(await call, null);
  client.close();
});

test('frames carry heartbeats and the responses to them unchanged', () => {
  fc.assert(
    fc.property(
      fc.array(fc.string({ unit: 'grapheme' })),
      fc.boolean(),
      fc.integer({ min: 200, max: 599 }),
      (bodies, relay, status) => {
        const frames: PeerFrame[] = [
          { id: 1, request: { kind: 'heartbeats', node: 'hearth-1', heartbeats: bodies }, reply: null },
          {
            id: 2,
            request: null,
            reply: {
              kind: 'heartbeatResponses',
              relay,
              responses: bodies.map((body) => ({ status, body })),
            },
          },
        ];
        assert.deepEqual(new FrameReader().push(Buffer.concat(frames.map(encodeFrame))), frames);
      },
    ),
    { seed: SEED, numRuns: 100 },
  );
});
