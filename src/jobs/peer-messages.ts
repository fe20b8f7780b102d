/** Conversions between job lookups and the messages between controllers. */
import type { PeerReply, PeerRequest } from '../peers/messages.ts';
import type { JobStatus } from '../wire/user.ts';
import type { JobLookup } from './job-lookup.ts';

/** Requests from other controllers that concern a single job. */
export type PeerJobRequest = Exclude<
  PeerRequest,
  { kind: 'grantPeerLease' | 'ping' | 'workerContact' | 'pollBatch' | 'heartbeats' }
>;

/** Asks another controller to read the job's records in the store. */
export function lookupRequest(jobId: string): PeerRequest {
  return { kind: 'lookup', jobId };
}

/** Asks the leader for a job's status as it knows it from memory. */
export function pollRequest(jobId: string): PeerRequest {
  return { kind: 'poll', jobId };
}

/** Forwards a user's cancellation. */
export function cancelRequest(jobId: string): PeerRequest {
  return { kind: 'cancel', jobId };
}

/** Forwards a user's submission, with the body as the user sent it. */
export function submitRequest(jobId: string, body: string): PeerRequest {
  return { kind: 'submit', jobId, body };
}

/** The lookup that a controller's reply carries; null: the controller didn't answer. */
export function lookupFromReply(reply: PeerReply | null): JobLookup {
  switch (reply?.kind) {
    case 'status': {
      const { stage, done, running } = reply;
      return { kind: 'found', status: { stage, done, running } };
    }
    case 'notFound':
      return { kind: 'notFound' };
    default:
      return { kind: 'unavailable' };
  }
}

/** Whether the reply says that the job was created by the request, and not by an earlier submission. */
export function wasCreated(reply: PeerReply | null): boolean {
  return reply?.kind === 'status' && reply.created;
}

/** The reply that carries a lookup to another controller. */
export function replyFromLookup(lookup: JobLookup): PeerReply {
  switch (lookup.kind) {
    case 'found':
      return { kind: 'status', created: false, ...lookup.status };
    case 'notFound':
      return { kind: 'notFound' };
    case 'unavailable':
      return { kind: 'unavailable' };
  }
}

/** The reply that tells another controller that the job was created by its request. */
export function replyToCreated(status: JobStatus): PeerReply {
  return { kind: 'status', created: true, ...status };
}

/** The reply to a submission that is malformed. */
export function replyToMalformed(reason: string): PeerReply {
  return { kind: 'refused', status: 400, reason };
}
