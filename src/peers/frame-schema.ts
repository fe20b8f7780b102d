/**
 * The Avro schema of the frames between controllers, and the types of its records. Controllers of different versions
 * communicate during an upgrade, so neither the names nor the order of the fields and symbols may change.
 */
import avro from 'avsc';
import type { HeartbeatResponse, PeerJobStage } from './messages.ts';

/** The Avro type of a frame's record. */
export const frameType = avro.Type.forSchema({
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

/** An answer in a batch of polls, as defined by the schema. */
export interface WireAnswer {
  kind: 'status' | 'unknown' | 'unable';
  stage: PeerJobStage;
  done: number;
  running: number;
}

/** A request, as defined by the schema: the fields of all kinds together. */
export interface WireRequest {
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

/** A reply, as defined by the schema: the fields of all kinds together. */
export interface WireReply {
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

/** The record of a frame, as defined by the schema: either a request or a reply. */
export interface WireFrame {
  id: number;
  request: WireRequest | null;
  reply: WireReply | null;
}
