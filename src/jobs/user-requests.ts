/** Handling of user requests on every controller: submission, query and cancellation of jobs. */
import type { HttpResponse, Reply } from '../http/server.ts';
import type { PeerReply } from '../peers/messages.ts';
import { decodeJob } from '../wire/user.ts';
import { JobCancellation } from './job-cancellation.ts';
import type { JobLookup } from './job-lookup.ts';
import { JobQuery } from './job-query.ts';
import { JobStateReader, PENDING_STATUS } from './job-state-reader.ts';
import { JobSubmission } from './job-submission.ts';
import { replyFromLookup, replyToCreated, replyToMalformed, type PeerJobRequest } from './peer-messages.ts';
import { UserAnswers } from './user-answers.ts';
import type { UserRequestDeps } from './user-request-deps.ts';

/**
 * Handles requests of users, sent to this controller or forwarded by another one. A state in an answer is either
 * terminal and durable, or certain in the memory of a leader that holds a valid lease, or read from the store after the
 * request came in. So no answer is older than one that any controller gave before the request. docs/safety.md lists
 * every path.
 */
export class UserRequests {
  private readonly reader: JobStateReader;
  private readonly submission: JobSubmission;
  private readonly query: JobQuery;
  private readonly cancellation: JobCancellation;

  constructor(private readonly deps: UserRequestDeps) {
    const answers = new UserAnswers(deps);
    this.reader = new JobStateReader(deps);
    this.submission = new JobSubmission(deps, this.reader, answers);
    this.query = new JobQuery(deps, this.reader, answers);
    this.cancellation = new JobCancellation(deps, this.reader, answers);
  }

  /** Answers the submission of a job, whose JSON text is `body`. */
  submit(body: string, reply: Reply): void {
    this.submission.submit(body, reply);
  }

  /** The answer to a poll if this controller's memory determines it, else null. */
  pollFromMemory(id: string): HttpResponse | null {
    return this.query.pollFromMemory(id);
  }

  /** Answers with the state of a job. */
  poll(id: string, reply: Reply): void {
    this.query.poll(id, reply);
  }

  /** Cancels a job and answers with its terminal state. */
  cancel(id: string, reply: Reply): void {
    this.cancellation.cancel(id, reply);
  }

  /** Answers a request that another controller has forwarded. */
  onPeerRequest(request: PeerJobRequest, reply: (reply: PeerReply) => void): void {
    const replyWith = (lookup: JobLookup): void => {
      reply(replyFromLookup(lookup));
    };
    switch (request.kind) {
      case 'poll':
        replyWith(this.lookupIfCertain(request.jobId) ?? { kind: 'unavailable' });
        return;
      case 'lookup': {
        const known = this.lookupIfCertain(request.jobId);
        if (known) replyWith(known);
        else this.reader.lookupInStore(request.jobId, 'poll').then(replyWith).catch(this.deps.onError);
        return;
      }
      case 'cancel':
        if (!this.deps.leader()) replyWith({ kind: 'unavailable' });
        else this.cancellation.cancelAsLeader(request.jobId).then(replyWith).catch(this.deps.onError);
        return;
      case 'submit':
        this.onPeerSubmission(request.body, reply);
    }
  }

  /** Looks the job up in this controller's memory; null if the memory isn't certain. */
  private lookupIfCertain(id: string): JobLookup | null {
    const known = this.reader.lookupInMemory(id);
    return known.kind === 'found' ? known : null;
  }

  private onPeerSubmission(body: string, reply: (reply: PeerReply) => void): void {
    const decoded = decodeJob(body);
    if (!decoded.ok) {
      reply(replyToMalformed(decoded.reason));
      return;
    }
    this.submission
      .create(decoded.value)
      .then((creation) => {
        if (creation.kind === 'created') reply(replyToCreated(PENDING_STATUS));
        else reply(replyFromLookup(creation.kind === 'rateLimited' ? { kind: 'unavailable' } : creation));
      })
      .catch(this.deps.onError);
  }
}
