/** Answers to users' requests about jobs, as HTTP statuses and bodies. */
import { errorResponse, type HttpResponse } from '../http/server.ts';
import { encodeStatus, type JobStatus } from '../wire/user.ts';
import { isTerminal } from './job-lookup.ts';
import type { UserRequestDeps } from './user-request-deps.ts';

/** Builds answers, and caches every terminal state that they contain. */
export class UserAnswers {
  constructor(private readonly deps: Pick<UserRequestDeps, 'options' | 'terminalStates'>) {}

  /** The job's state, with `httpStatus` unless it is terminal (200). */
  status(id: string, status: JobStatus, httpStatus = 200): HttpResponse {
    if (isTerminal(status)) this.deps.terminalStates.put(id, status);
    // This controller may have learned of the terminal state while it was looking up an open one.
    const terminalState = this.deps.terminalStates.get(id);
    if (terminalState) return { status: 200, body: encodeStatus(id, terminalState) };
    return { status: httpStatus, body: encodeStatus(id, status) };
  }

  notFound(): HttpResponse {
    return errorResponse(404, 'no such job');
  }

  /** Refuses the request for now; the user retries after the time that the options name. */
  unavailable(reason: string): HttpResponse {
    return errorResponse(503, reason, this.deps.options.users.retry_after_s);
  }
}
