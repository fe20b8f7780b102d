/**
 * Encodes and decodes the frames between controllers. Only this module maps the kinds of messages to the symbols of the
 * schema.
 */
import {
  frameType,
  type WireAnswer,
  type WireFrame,
  type WireReply,
  type WireRequest,
} from './frame-schema.ts';
import type { PeerFrame, PeerReply, PeerRequest, PollAnswer } from './messages.ts';

/** Size of a frame's length prefix, which holds the length of its record as a big-endian 32-bit integer. */
export const LENGTH_PREFIX_BYTES = 4;

/** Maximum size of a frame's record. Jobs have at most 64 KiB, so a longer record can't come from a controller. */
export const MAX_FRAME_BYTES = 128 * 1024;

/** The received bytes aren't a valid frame: it is too long, not decodable, or not exactly one of request and reply. */
export class FrameError extends Error {
  override readonly name = 'FrameError';
  readonly code = 'ERR_PEER_FRAME';
}

/** The values on the wire of the fields that a kind of request doesn't use. */
const EMPTY_REQUEST = {
  jobId: '',
  body: '',
  term: 0,
  ms: 0,
  continuous: false,
  jobIds: [],
  node: '',
  reports: [],
} as const satisfies Omit<WireRequest, 'kind'>;

/** The values on the wire of the fields that a kind of reply doesn't use. */
const EMPTY_REPLY = {
  created: false,
  stage: 'pending',
  done: 0,
  running: 0,
  status: 0,
  reason: '',
  relay: false,
  judged: [],
  answers: [],
} as const satisfies Omit<WireReply, 'kind'>;

const EMPTY_ANSWER = { stage: 'pending', done: 0, running: 0 } as const satisfies Omit<WireAnswer, 'kind'>;

function encodeRequest(request: PeerRequest): WireRequest {
  switch (request.kind) {
    case 'poll':
    case 'cancel':
      return { ...EMPTY_REQUEST, kind: request.kind, jobId: request.jobId };
    case 'lookup':
      return { ...EMPTY_REQUEST, kind: 'look', jobId: request.jobId };
    case 'submit':
      return { ...EMPTY_REQUEST, kind: 'submit', jobId: request.jobId, body: request.body };
    case 'pollBatch':
      return { ...EMPTY_REQUEST, kind: 'polls', jobIds: request.jobIds };
    case 'heartbeats':
      return { ...EMPTY_REQUEST, kind: 'reports', node: request.node, reports: request.heartbeats };
    case 'grantPeerLease': {
      const { term, ms, continuous } = request;
      return { ...EMPTY_REQUEST, kind: 'promise', term, ms, continuous };
    }
    case 'ping':
      return { ...EMPTY_REQUEST, kind: 'ping' };
    case 'workerContact':
      return { ...EMPTY_REQUEST, kind: 'workers' };
  }
}

function decodeRequest(wire: WireRequest): PeerRequest {
  switch (wire.kind) {
    case 'poll':
    case 'cancel':
      return { kind: wire.kind, jobId: wire.jobId };
    case 'look':
      return { kind: 'lookup', jobId: wire.jobId };
    case 'submit':
      return { kind: 'submit', jobId: wire.jobId, body: wire.body };
    case 'polls':
      return { kind: 'pollBatch', jobIds: wire.jobIds };
    case 'reports':
      return { kind: 'heartbeats', node: wire.node, heartbeats: wire.reports };
    case 'promise':
      return { kind: 'grantPeerLease', term: wire.term, ms: wire.ms, continuous: wire.continuous };
    case 'ping':
      return { kind: 'ping' };
    case 'workers':
      return { kind: 'workerContact' };
  }
}

function encodeAnswer(answer: PollAnswer): WireAnswer {
  switch (answer.kind) {
    case 'status':
      return { kind: 'status', stage: answer.stage, done: answer.done, running: answer.running };
    case 'notFound':
      return { ...EMPTY_ANSWER, kind: 'unknown' };
    case 'unavailable':
      return { ...EMPTY_ANSWER, kind: 'unable' };
  }
}

/** Answers in a batch have no field `created` on the wire: a poll never creates a job. */
function decodeAnswer(wire: WireAnswer): PollAnswer {
  switch (wire.kind) {
    case 'status':
      return { kind: 'status', created: false, stage: wire.stage, done: wire.done, running: wire.running };
    case 'unknown':
      return { kind: 'notFound' };
    case 'unable':
      return { kind: 'unavailable' };
  }
}

function encodeReply(reply: PeerReply): WireReply {
  switch (reply.kind) {
    case 'status': {
      const { created, stage, done, running } = reply;
      return { ...EMPTY_REPLY, kind: 'status', created, stage, done, running };
    }
    case 'refused':
      return { ...EMPTY_REPLY, kind: 'refused', status: reply.status, reason: reply.reason };
    case 'pollAnswers':
      return { ...EMPTY_REPLY, kind: 'answers', answers: reply.answers.map(encodeAnswer) };
    case 'heartbeatResponses':
      return { ...EMPTY_REPLY, kind: 'judged', relay: reply.relay, judged: reply.responses };
    case 'notFound':
      return { ...EMPTY_REPLY, kind: 'unknown' };
    case 'unavailable':
      return { ...EMPTY_REPLY, kind: 'unable' };
    case 'granted':
      return { ...EMPTY_REPLY, kind: 'promised' };
    case 'ack':
      return { ...EMPTY_REPLY, kind: 'here' };
  }
}

function decodeReply(wire: WireReply): PeerReply {
  switch (wire.kind) {
    case 'status': {
      const { created, stage, done, running } = wire;
      return { kind: 'status', created, stage, done, running };
    }
    case 'refused':
      return { kind: 'refused', status: wire.status, reason: wire.reason };
    case 'answers':
      return { kind: 'pollAnswers', answers: wire.answers.map(decodeAnswer) };
    case 'judged': {
      const responses = wire.judged.map(({ status, body }) => ({ status, body }));
      return { kind: 'heartbeatResponses', relay: wire.relay, responses };
    }
    case 'unknown':
      return { kind: 'notFound' };
    case 'unable':
      return { kind: 'unavailable' };
    case 'promised':
      return { kind: 'granted' };
    case 'here':
      return { kind: 'ack' };
  }
}

/** Encodes a frame: a length prefix and the record in Avro binary. */
export function encodeFrame(frame: PeerFrame): Buffer {
  const wire: WireFrame = {
    id: frame.id,
    request: frame.request ? encodeRequest(frame.request) : null,
    reply: frame.reply ? encodeReply(frame.reply) : null,
  };
  const body = frameType.toBuffer(wire);
  const lengthPrefix = Buffer.allocUnsafe(LENGTH_PREFIX_BYTES);
  lengthPrefix.writeUInt32BE(body.length);
  return Buffer.concat([lengthPrefix, body]);
}

/** Decodes the record of a frame, without the length prefix. Throws a FrameError if the record is invalid. */
export function decodeFrameBody(body: Buffer): PeerFrame {
  const { id, request, reply } = parseRecord(body);
  if (request && !reply) return { id, request: decodeRequest(request), reply: null };
  if (reply && !request) return { id, request: null, reply: decodeReply(reply) };
  throw new FrameError('frame must contain either a request or a reply');
}

function parseRecord(body: Buffer): WireFrame {
  try {
    return frameType.fromBuffer(body) as WireFrame;
  } catch (error) {
    throw new FrameError(error instanceof Error ? error.message : 'frame is not decodable', { cause: error });
  }
}
