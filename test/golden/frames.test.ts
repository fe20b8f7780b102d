/**
 * The exact bytes of the frames between controllers. During an upgrade controllers of two versions exchange frames, so
 * these literals are recorded output of the code and must never be adapted to a change of it.
 */
import assert from 'node:assert/strict';
import test from 'node:test';
import { encodeFrame, MAX_FRAME_BYTES } from '../../src/peers/frame-codec.ts';
import { FrameReader } from '../../src/peers/frame-reader.ts';
import type { PeerFrame } from '../../src/peers/messages.ts';

type Request = NonNullable<PeerFrame['request']>;
type Reply = NonNullable<PeerFrame['reply']>;

const asRequest = (id: number, request: Request): PeerFrame => ({ id, request, reply: null });
const asReply = (id: number, reply: Reply): PeerFrame => ({ id, request: null, reply });
const HEARTBEAT =
  '{"hearth":"n-000231","address":"10.1.0.232:9000","oven":"g8","yard":"a","borrowed":true,"shift":1,"tick":88,"baton":41,"warningS":null,"loaves":[]}';

/** Every kind of frame with its encoding. */
const FRAMES: readonly (readonly [name: string, frame: PeerFrame, hex: string])[] = [
  [
    'poll',
    asRequest(1, { kind: 'poll', jobId: 'req-000412' }),
    '00000016020200147265712d3030303431320000000000000000',
  ],
  [
    'poll with the highest id',
    asRequest(2 ** 40, { kind: 'poll', jobId: 'req-1' }),
    '0000001680808080804002000a7265712d310000000000000000',
  ],
  [
    'batch of polls',
    asRequest(2, { kind: 'pollBatch', jobIds: ['req-000412', 'req-000413', ''] }),
    '0000002404020e0000000006147265712d303030343132147265712d303030343133000000000000',
  ],
  [
    'empty batch of polls',
    asRequest(3, { kind: 'pollBatch', jobIds: [] }),
    '0000000c06020e000000000000000000',
  ],
  [
    'lookup in the store',
    asRequest(64, { kind: 'lookup', jobId: 'req-000412' }),
    '0000001780010208147265712d3030303431320000000000000000',
  ],
  ['ping', asRequest(5, { kind: 'ping' }), '0000000c0a020a000000000000000000'],
  [
    'query for direct contact with workers',
    asRequest(6, { kind: 'workerContact' }),
    '0000000c0c020c000000000000000000',
  ],
  [
    'cancellation',
    asRequest(7, { kind: 'cancel', jobId: 'req-000412' }),
    '000000160e0202147265712d3030303431320000000000000000',
  ],
  [
    'submission',
    asRequest(8, { kind: 'submit', jobId: 'req-9', body: '{"uid":"req-9","crew":"ünï"}' }),
    '0000002f1002040a7265712d393c7b22756964223a227265712d39222c2263726577223a22c3bc6ec3af227d00000000000000',
  ],
  [
    'batch of heartbeats',
    asRequest(9, { kind: 'heartbeats', node: 'hearth-2', heartbeats: [HEARTBEAT, '{}'] }),
    '000000ad120210000000000000106865617274682d3204a6027b22686561727468223a226e2d303030323331222c2261646472657373223a2231302e312e302e3233323a39303030222c226f76656e223a226738222c2279617264223a2261222c22626f72726f776564223a747275652c227368696674223a312c227469636b223a38382c226261746f6e223a34312c227761726e696e6753223a6e756c6c2c226c6f61766573223a5b5d7d047b7d0000',
  ],
  [
    'empty batch of heartbeats',
    asRequest(10, { kind: 'heartbeats', node: 'hearth-2', heartbeats: [] }),
    '00000014140210000000000000106865617274682d320000',
  ],
  [
    'request for a peer lease',
    asRequest(11, { kind: 'grantPeerLease', term: 41, ms: 5000, continuous: true }),
    '0000000d160206000052904e0001000000',
  ],
  [
    'request for a peer lease after a gap',
    asRequest(12, { kind: 'grantPeerLease', term: 2 ** 33, ms: 0, continuous: false }),
    '0000001018020600008080808040000000000000',
  ],
  [
    'status of a pending job that was just created',
    asReply(13, { kind: 'status', created: true, stage: 'pending', done: 0, running: 0 }),
    '0000000d1a000200010000000000000000',
  ],
  [
    'status of a running job',
    asReply(14, { kind: 'status', created: false, stage: 'running', done: 3, running: 100_000 }),
    '0000000f1c000200000206c09a0c0000000000',
  ],
  [
    'status of a job that is done',
    asReply(15, { kind: 'status', created: false, stage: 'done', done: 16, running: 0 }),
    '0000000d1e000200000420000000000000',
  ],
  [
    'status of a cancelled job',
    asReply(16, { kind: 'status', created: false, stage: 'cancelled', done: 5, running: 0 }),
    '0000000d2000020000060a000000000000',
  ],
  ['unknown job', asReply(17, { kind: 'notFound' }), '0000000d22000204000000000000000000'],
  ['status not available now', asReply(18, { kind: 'unavailable' }), '0000000d24000206000000000000000000'],
  [
    'refusal',
    asReply(19, { kind: 'refused', status: 422, reason: 'no such crew' }),
    '0000001a2600020200000000cc06186e6f20737563682063726577000000',
  ],
  ['peer lease granted', asReply(20, { kind: 'granted' }), '0000000d28000208000000000000000000'],
  ['acknowledgement', asReply(21, { kind: 'ack' }), '0000000d2a00020a000000000000000000'],
  [
    'answers to a batch of polls',
    asReply(22, {
      kind: 'pollAnswers',
      answers: [
        { kind: 'status', created: false, stage: 'pending', done: 0, running: 0 },
        { kind: 'status', created: false, stage: 'running', done: 1, running: 2 },
        { kind: 'notFound' },
        { kind: 'unavailable' },
        { kind: 'status', created: false, stage: 'done', done: 16, running: 0 },
        { kind: 'status', created: false, stage: 'cancelled', done: 300, running: 0 },
      ],
    }),
    '000000272c00020c00000000000000000c00000000000202040200000004000000000420000006d8040000',
  ],
  [
    'answers to an empty batch of polls',
    asReply(23, { kind: 'pollAnswers', answers: [] }),
    '0000000d2e00020c000000000000000000',
  ],
  [
    'responses to a batch of heartbeats',
    asReply(24, {
      kind: 'heartbeatResponses',
      relay: true,
      responses: [
        { status: 200, body: '{"baton":41,"orders":[]}' },
        { status: 503, body: '' },
      ],
    }),
    '0000002c3000020e00000000000001049003307b226261746f6e223a34312c226f7264657273223a5b5d7dee07000000',
  ],
  [
    'response to an empty batch of heartbeats that ends the relaying',
    asReply(25, { kind: 'heartbeatResponses', relay: false, responses: [] }),
    '0000000d3200020e000000000000000000',
  ],
];

const readFrames = (hex: string): PeerFrame[] => new FrameReader().push(Buffer.from(hex, 'hex'));

test('each kind of frame is encoded to its recorded bytes', () => {
  for (const [name, frame, hex] of FRAMES) {
    assert.equal(encodeFrame(frame).toString('hex'), hex, name);
  }
});

test('the recorded bytes of each kind of frame are decoded and encoded again unchanged', () => {
  for (const [name, frame, hex] of FRAMES) {
    const frames = readFrames(hex);
    assert.deepEqual(frames, [frame], name);
    assert.equal(frames.map((found) => encodeFrame(found).toString('hex')).join(), hex, name);
  }
});

test('all frames of a stream are decoded in order, for chunks of any size', () => {
  const bytes = Buffer.from(FRAMES.map(([, , hex]) => hex).join(''), 'hex');
  for (const step of [1, 7, 64, bytes.length]) {
    const reader = new FrameReader();
    const found: PeerFrame[] = [];
    for (let at = 0; at < bytes.length; at += step) found.push(...reader.push(bytes.subarray(at, at + step)));
    assert.deepEqual(
      found,
      FRAMES.map(([, frame]) => frame),
    );
  }
});

test('answers in a batch never report a job as just created', () => {
  const frame = asReply(26, {
    kind: 'pollAnswers',
    answers: [{ kind: 'status', created: true, stage: 'pending', done: 0, running: 0 }],
  });
  const hex = '000000123400020c0000000000000000020000000000';
  assert.equal(encodeFrame(frame).toString('hex'), hex);
  assert.equal(JSON.stringify(readFrames(hex)), JSON.stringify([frame]).replace('true', 'false'));
});

test('the maximum frame size', () => {
  assert.equal(MAX_FRAME_BYTES, 131_072);
});

test('the reader throws on malformed frames, which closes the connection', () => {
  const bad = {
    'longer than the maximum frame size': '00020001',
    'neither request nor reply': '00000003020000',
    'an unknown kind of request': '00000016020212147265712d3030303431320000000000000000',
    'a request and a reply': '000000160a020a0000000000000000020a000000000000000000',
    'a record that ends early': '000000050202001472',
    'an unknown union branch': '00000003020400',
  };
  for (const [name, hex] of Object.entries(bad)) {
    let thrown = false;
    try {
      readFrames(hex);
    } catch {
      thrown = true;
    }
    assert.ok(thrown, name);
  }
  assert.deepEqual(readFrames('000000'), []);
  assert.deepEqual(readFrames('0000000a0202'), []);
});

test('fields that a kind of request does not use are dropped when it is decoded', () => {
  const frames = readFrames('0000000d0a020a02780000000000000000');
  assert.equal(JSON.stringify(frames.map((frame) => frame.request)), JSON.stringify([{ kind: 'ping' }]));
});
