import avro from 'avsc';

/** What controllers ask each other. A follower hands a user's request to the leader and returns its answer. */
export type PeerRequest =
  | { kind: 'poll'; jobId: string }
  /** Many polls at once; answered by `answers` in the same order. */
  | { kind: 'polls'; jobIds: string[] }
  /** What the store says of a job: asked by a node that the state service refuses alone. */
  | { kind: 'look'; jobId: string }
  /** Are you there? */
  | { kind: 'ping' }
  /** Have workers tried to report to you lately? */
  | { kind: 'workers' }
  | { kind: 'cancel'; jobId: string }
  | { kind: 'submit'; jobId: string; body: string }
  /** Workers' reports as they came to a follower, named by `node`; answered by `judged` in the same order. */
  | { kind: 'reports'; node: string; reports: string[] }
  /**
   * A leader without the state service asks for a promise not to act without a leader. `continuous`: it is still
   * sure of its term.
   */
  | { kind: 'promise'; term: number; ms: number; continuous: boolean };

/** Stage of a job as the frames between controllers name it. */
type PeerJobStage = 'pending' | 'running' | 'done' | 'cancelled';

/** What a leader says of one job of a batch. */
export type PollAnswer =
  | { kind: 'status'; created: boolean; stage: PeerJobStage; done: number; running: number }
  | { kind: 'unknown' }
  | { kind: 'unable' };

/** The leader's answer to one report that was handed on. */
export interface HeartbeatResponse {
  /** HTTP status. */
  status: number;
  body: string;
}

/** `unable`: the asked node can't decide now. `unknown`: it doesn't know the job and hasn't looked further. */
export type PeerReply =
  | PollAnswer
  | { kind: 'answers'; answers: PollAnswer[] }
  | { kind: 'refused'; status: number; reason: string }
  /** `relay`: more reports are to be handed on. */
  | { kind: 'judged'; relay: boolean; judged: HeartbeatResponse[] }
  | { kind: 'promised' }
  | { kind: 'here' };

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

interface RawAnswer {
  kind: PollAnswer['kind'];
  stage: PeerJobStage;
  done: number;
  running: number;
}

interface RawFrame {
  id: number;
  request: {
    kind: PeerRequest['kind'];
    jobId: string;
    body: string;
    term: number;
    ms: number;
    jobIds: string[];
    continuous: boolean;
    node: string;
    reports: string[];
  } | null;
  reply: {
    kind: PeerReply['kind'];
    created: boolean;
    stage: PeerJobStage;
    done: number;
    running: number;
    status: number;
    reason: string;
    relay: boolean;
    judged: HeartbeatResponse[];
    answers: RawAnswer[];
  } | null;
}

const NO_REQUEST = {
  jobId: '',
  body: '',
  term: 0,
  ms: 0,
  continuous: false,
  jobIds: [] as string[],
  node: '',
  reports: [] as string[],
} as const;
const NO_REPLY = {
  created: false,
  stage: 'pending',
  done: 0,
  running: 0,
  status: 0,
  reason: '',
  relay: false,
  judged: [] as HeartbeatResponse[],
  answers: [] as RawAnswer[],
} as const;
const NO_ANSWER = { stage: 'pending', done: 0, running: 0 } as const;

/** Frames are a 4-byte length and the record. Jobs are at most 64 KiB, so anything longer is not ours. */
export const MAX_FRAME = 128 * 1024;

function encodeReply(reply: PeerReply): NonNullable<RawFrame['reply']> {
  if (reply.kind !== 'answers') return { ...NO_REPLY, ...reply };
  return { ...NO_REPLY, kind: reply.kind, answers: reply.answers.map((a) => ({ ...NO_ANSWER, ...a })) };
}

function decodeJudged({ status, body }: HeartbeatResponse): HeartbeatResponse {
  return { status, body };
}

function decodeAnswer(raw: RawAnswer): PollAnswer {
  if (raw.kind !== 'status') return { kind: raw.kind };
  return { kind: 'status', created: false, stage: raw.stage, done: raw.done, running: raw.running };
}

/** Encodes a frame as Avro binary behind its length, a big-endian 32-bit integer. */
export function encodeFrame(frame: PeerFrame): Buffer {
  const raw: RawFrame = {
    id: frame.id,
    request: frame.request ? { ...NO_REQUEST, ...frame.request } : null,
    reply: frame.reply ? encodeReply(frame.reply) : null,
  };
  const body = frameType.toBuffer(raw);
  const head = Buffer.allocUnsafe(4);
  head.writeUInt32BE(body.length);
  return Buffer.concat([head, body]);
}

function decodeBody(body: Buffer): PeerFrame {
  const raw = frameType.fromBuffer(body) as RawFrame;
  const { id, request, reply } = raw;
  if (request && !reply) {
    switch (request.kind) {
      case 'submit':
        return { id, request: { kind: 'submit', jobId: request.jobId, body: request.body }, reply: null };
      case 'promise': {
        const { term, ms, continuous } = request;
        return { id, request: { kind: 'promise', term, ms, continuous }, reply: null };
      }
      case 'polls':
        return { id, request: { kind: 'polls', jobIds: request.jobIds }, reply: null };
      case 'reports':
        return {
          id,
          request: { kind: 'reports', node: request.node, reports: request.reports },
          reply: null,
        };
      case 'ping':
      case 'workers':
        return { id, request: { kind: request.kind }, reply: null };
      default:
        return { id, request: { kind: request.kind, jobId: request.jobId }, reply: null };
    }
  }
  if (!reply || request) throw new Error('neither request nor reply');
  switch (reply.kind) {
    case 'status': {
      const { created, stage, done, running } = reply;
      return { id, request: null, reply: { kind: 'status', created, stage, done, running } };
    }
    case 'refused':
      return { id, request: null, reply: { kind: 'refused', status: reply.status, reason: reply.reason } };
    case 'judged':
      return {
        id,
        request: null,
        reply: { kind: 'judged', relay: reply.relay, judged: reply.judged.map(decodeJudged) },
      };
    case 'answers':
      return { id, request: null, reply: { kind: 'answers', answers: reply.answers.map(decodeAnswer) } };
    default:
      return { id, request: null, reply: { kind: reply.kind } };
  }
}

/** Cuts a byte stream into frames. Throws on a frame that is too long or doesn't decode. */
export class FrameReader {
  private pending: Buffer = Buffer.alloc(0);

  push(chunk: Buffer): PeerFrame[] {
    this.pending = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const frames: PeerFrame[] = [];
    while (this.pending.length >= 4) {
      const length = this.pending.readUInt32BE(0);
      if (length > MAX_FRAME) throw new Error(`frame of ${length} bytes`);
      if (this.pending.length < 4 + length) break;
      frames.push(decodeBody(this.pending.subarray(4, 4 + length)));
      this.pending = this.pending.subarray(4 + length);
    }
    return frames;
  }
}
