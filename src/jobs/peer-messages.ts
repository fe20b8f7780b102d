/** The one place where messages between controllers become job lookups and the other way round. */
import type { PeerReply, PeerRequest } from '../peers/messages.ts';
import type { JobStatus } from '../wire/user.ts';
import type { JobLookup } from './job-lookup.ts';

/** Requests of other controllers that concern a single job. */
export type PeerJobRequest = Exclude<
  PeerRequest,
  { kind: 'grantPeerLease' | 'ping' | 'workerContact' | 'pollBatch' | 'heartbeats' }
>;

/** Asks another controller to read the job's records in the store. */
export function lookupRequest(jobId: string): PeerRequest {
  return { kind: 'lookup', jobId };
}

/** Asks the leader for what it knows from memory. */
export function pollRequest(jobId: string): PeerRequest {
  return { kind: 'poll', jobId };
}

/** Hands a user's cancellation on. */
export function cancelRequest(jobId: string): PeerRequest {
  return { kind: 'cancel', jobId };
}

/** Hands a user's submission on, with the body as the user sent it. */
export function submitRequest(jobId: string, body: string): PeerRequest {
  return { kind: 'submit', jobId, body };
}

/** What a controller's reply says of the job; null is a controller that didn't answer. */
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

/** The reply that tells another controller of a lookup. */
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
