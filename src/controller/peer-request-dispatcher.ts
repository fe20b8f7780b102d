/** Dispatches requests of other controllers to the parts that answer them. */
import { answerBatch } from '../jobs/poll-batches.ts';
import type { UserRequests } from '../jobs/user-requests.ts';
import type { PeerLeaseRequest } from '../leadership/peer-leases.ts';
import type { PeerReply, PeerRequest, PollAnswer } from '../peers/messages.ts';
import type { ErrorHandler } from './error-log.ts';
import type { HeartbeatHandler } from './heartbeat-handler.ts';

/** The parts of this controller that answer requests of other controllers. */
export interface PeerRequestDispatcherDeps {
  heartbeats: Pick<HeartbeatHandler, 'hasWorkerContact' | 'onRelayedHeartbeats'>;
  userRequests: Pick<UserRequests, 'onPeerRequest'>;
  /** Resolves to whether this controller grants the leader's request for a peer lease. */
  grantPeerLease: (request: PeerLeaseRequest) => Promise<boolean>;
  onError: ErrorHandler;
}

/** Dispatches each request of another controller by its kind. */
export class PeerRequestDispatcher {
  constructor(private readonly deps: PeerRequestDispatcherDeps) {}

  /** Answers a request; `reply` is called at most once, possibly asynchronously. */
  dispatch(request: PeerRequest, reply: (reply: PeerReply) => void): void {
    const { heartbeats, userRequests } = this.deps;
    switch (request.kind) {
      case 'ping':
        reply({ kind: 'ack' });
        return;
      case 'workerContact':
        reply({ kind: heartbeats.hasWorkerContact() ? 'ack' : 'unavailable' });
        return;
      case 'heartbeats':
        heartbeats.onRelayedHeartbeats(request.node, request.heartbeats, reply);
        return;
      case 'grantPeerLease':
        this.grantPeerLease(request, reply);
        return;
      case 'pollBatch':
        reply({ kind: 'pollAnswers', answers: this.answerPolls(request.jobIds) });
        return;
      case 'poll':
      case 'lookup':
      case 'cancel':
      case 'submit':
        userRequests.onPeerRequest(request, reply);
    }
  }

  private grantPeerLease(request: PeerLeaseRequest, reply: (reply: PeerReply) => void): void {
    this.deps
      .grantPeerLease(request)
      .then((granted) => {
        reply({ kind: granted ? 'granted' : 'unavailable' });
      })
      .catch(this.deps.onError);
  }

  private answerPolls(jobIds: readonly string[]): PollAnswer[] {
    return answerBatch(jobIds, (jobId, answerOne) => {
      this.deps.userRequests.onPeerRequest({ kind: 'poll', jobId }, (reply) => {
        answerOne(isPollAnswer(reply) ? reply : { kind: 'unavailable' });
      });
    });
  }
}

function isPollAnswer(reply: PeerReply): reply is PollAnswer {
  return reply.kind === 'status' || reply.kind === 'notFound' || reply.kind === 'unavailable';
}
