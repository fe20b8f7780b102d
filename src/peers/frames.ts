import avro from 'avsc';

/**
 * What controllers ask each other. A follower hands the request of a user or worker to the leader and passes the
 * leader's answer on.
 */
export type PeerRequest =
  /** The state of a job, as far as the asked controller knows it without waiting. */
  | { kind: 'poll'; jobId: string }
  /** Many polls at once; answered by `pollAnswers` in the same order. */
  | { kind: 'pollBatch'; jobIds: readonly string[] }
  /** What the state service holds of a job: asked by a controller that the service refuses alone. */
  | { kind: 'lookup'; jobId: string }
  /** Asks for any sign of life; answered by `ack`. */
  | { kind: 'ping' }
  /** Whether workers have sent heartbeats to the asked controller itself of late; answered by `ack` if so. */
  | { kind: 'workerContact' }
  | { kind: 'cancel'; jobId: string }
  | { kind: 'submit'; jobId: string; body: string }
  /** Bodies of heartbeats as they came to the follower `node`; answered by `heartbeatResponses` in the same order. */
  | { kind: 'heartbeats'; node: string; heartbeats: readonly string[] }
  /**
   * A leader without the state service asks the other controllers to begin no leaderless write for `ms`
   * milliseconds. `continuous`: its lease of `term` is still valid.
   */
  | { kind: 'grantPeerLease'; term: number; ms: number; continuous: boolean };

/** Stage of a job as the frames between controllers name it. */
export type PeerJobStage = 'pending' | 'running' | 'done' | 'cancelled';

/** What a leader answers to one poll of a batch. */
export type PollAnswer =
  | { kind: 'status'; created: boolean; stage: PeerJobStage; done: number; running: number }
  /** The state service holds no record of the job. */
  | { kind: 'notFound' }
  /** The asked controller can't decide now. */
  | { kind: 'unavailable' };

/** The leader's answer to one relayed heartbeat. */
export interface HeartbeatResponse {
  /** HTTP status. */
  status: number;
  body: string;
}

/** What a controller answers another one. */
export type PeerReply =
  | PollAnswer
  | { kind: 'pollAnswers'; answers: readonly PollAnswer[] }
  /** `status`: the HTTP status of the refusal, with its reason. */
  | { kind: 'refused'; status: number; reason: string }
  /** `relay`: the follower is to relay more heartbeats. */
  | { kind: 'heartbeatResponses'; relay: boolean; responses: readonly HeartbeatResponse[] }
  /** The peer lease that was asked for holds. */
  | { kind: 'granted' }
  | { kind: 'ack' };

/** One message between controllers. A reply carries the id of its request; ids are unique for each connection. */
export type PeerFrame =
  { id: number; request: PeerRequest; reply: null } | { id: number; request: null; reply: PeerReply };

const frameType = avro.Type.forSchema({
  type: 'record',
  name: 'Frame',
  fields: [
    { name: 'id', type: 'long' },
    {
      name: 'request',
      type: [
        'null',
        {
          type: 'record',
          name: 'Request',
          fields: [
            {
              name: 'kind',
              type: {
                type: 'enum',
                name: 'RequestKind',
                symbols: [
                  'poll',
                  'cancel',
                  'submit',
                  'promise',
                  'look',
                  'ping',
                  'workers',
                  'polls',
                  'reports',
                ],
              },
            },
            { name: 'jobId', type: 'string' },
            { name: 'body', type: 'string' },
            { name: 'term', type: 'long' },
            { name: 'ms', type: 'int' },
            { name: 'jobIds', type: { type: 'array', items: 'string' } },
            { name: 'continuous', type: 'boolean' },
            { name: 'node', type: 'string' },
            { name: 'reports', type: { type: 'array', items: 'string' } },
          ],
        },
      ],
    },
    {
      name: 'reply',
      type: [
        'null',
        {
          type: 'record',
          name: 'Reply',
          fields: [
            {
              name: 'kind',
              type: {
                type: 'enum',
                name: 'ReplyKind',
                symbols: ['status', 'refused', 'unknown', 'unable', 'promised', 'here', 'answers', 'judged'],
              },
            },
            { name: 'created', type: 'boolean' },
            {
              name: 'stage',
              type: {
                type: 'enum',
                name: 'Stage',
                symbols: ['pending', 'running', 'done', 'cancelled'],
              },
            },
            { name: 'done', type: 'int' },
            { name: 'running', type: 'int' },
            { name: 'status', type: 'int' },
            { name: 'reason', type: 'string' },
            { name: 'relay', type: 'boolean' },
            {
              name: 'judged',
              type: {
                type: 'array',
                items: {
                  type: 'record',
                  name: 'Judged',
                  fields: [
                    { name: 'status', type: 'int' },
                    { name: 'body', type: 'string' },
                  ],
                },
              },
            },
            {
              name: 'answers',
              type: {
                type: 'array',
                items: {
                  type: 'record',
                  name: 'Answer',
                  fields: [
                    {
                      name: 'kind',
                      type: { type: 'enum', name: 'AnswerKind', symbols: ['status', 'unknown', 'unable'] },
                    },
                    { name: 'stage', type: 'Stage' },
                    { name: 'done', type: 'int' },
                    { name: 'running', type: 'int' },
                  ],
                },
              },
            },
          ],
        },
      ],
    },
  ],
});

interface WireAnswer {
  kind: 'status' | 'unknown' | 'unable';
  stage: PeerJobStage;
  done: number;
  running: number;
}

interface WireRequest {
  kind: 'poll' | 'cancel' | 'submit' | 'promise' | 'look' | 'ping' | 'workers' | 'polls' | 'reports';
  jobId: string;
  body: string;
  term: number;
  ms: number;
  jobIds: readonly string[];
  continuous: boolean;
  node: string;
  reports: readonly string[];
}

interface WireReply {
  kind: 'status' | 'refused' | 'unknown' | 'unable' | 'promised' | 'here' | 'answers' | 'judged';
  created: boolean;
  stage: PeerJobStage;
  done: number;
  running: number;
  status: number;
  reason: string;
  relay: boolean;
  judged: readonly HeartbeatResponse[];
  answers: readonly WireAnswer[];
}

interface WireFrame {
  id: number;
  request: WireRequest | null;
  reply: WireReply | null;
}

/** A frame begins with the length of its record, a big-endian 32-bit integer. */
export const LENGTH_BYTES = 4;

/** Most bytes of a frame's record. Jobs are at most 64 KiB, so anything longer is no frame of ours. */
export const MAX_FRAME = 128 * 1024;

/** The bytes that came are no frame: too long, not decodable, or neither request nor reply. */
export class FrameError extends Error {
  override readonly name = 'FrameError';
  readonly code = 'ERR_PEER_FRAME';
}

/** Fields that a kind of request doesn't use have these values on the wire. */
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

/** Fields that a kind of reply doesn't use have these values on the wire. */
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

/** Inside a batch no answer says that a job was just created. */
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

/** Encodes a frame as Avro binary behind its length, a big-endian 32-bit integer. */
export function encodeFrame(frame: PeerFrame): Buffer {
  const wire: WireFrame = {
    id: frame.id,
    request: frame.request ? encodeRequest(frame.request) : null,
    reply: frame.reply ? encodeReply(frame.reply) : null,
  };
  const body = frameType.toBuffer(wire);
  const head = Buffer.allocUnsafe(LENGTH_BYTES);
  head.writeUInt32BE(body.length);
  return Buffer.concat([head, body]);
}

/** Decodes the record of a frame, without its length. Throws a FrameError if it is none. */
export function decodeFrameBody(body: Buffer): PeerFrame {
  const { id, request, reply } = parseRecord(body);
  if (request && !reply) return { id, request: decodeRequest(request), reply: null };
  if (reply && !request) return { id, request: null, reply: decodeReply(reply) };
  throw new FrameError('neither request nor reply');
}

function parseRecord(body: Buffer): WireFrame {
  try {
    return frameType.fromBuffer(body) as WireFrame;
  } catch (error) {
    throw new FrameError(error instanceof Error ? error.message : 'not decodable', { cause: error });
  }
}

/** Cuts the byte stream of one connection into frames. */
export class FrameReader {
  private pending: Buffer = Buffer.alloc(0);

  /** Returns the frames that this chunk completes. Throws a FrameError on one that is too long or doesn't decode. */
  push(chunk: Buffer): PeerFrame[] {
    this.pending = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const frames: PeerFrame[] = [];
    while (this.pending.length >= LENGTH_BYTES) {
      const length = this.pending.readUInt32BE(0);
      if (length > MAX_FRAME) throw new FrameError(`frame of ${length} bytes`);
      const end = LENGTH_BYTES + length;
      if (this.pending.length < end) break;
      frames.push(decodeFrameBody(this.pending.subarray(LENGTH_BYTES, end)));
      this.pending = this.pending.subarray(end);
    }
    return frames;
  }
}
