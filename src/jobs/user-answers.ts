/** Answers to users' requests about jobs, as HTTP statuses and bodies. */
import { failure, type Answer } from '../http/server.ts';
import { encodeStatus, type JobStatus } from '../wire/user.ts';
import { isTerminal } from './job-lookup.ts';
import type { UserRequestDeps } from './user-request-deps.ts';

/** Shapes answers, and keeps every terminal state that is told. */
export class UserAnswers {
  constructor(private readonly deps: Pick<UserRequestDeps, 'options' | 'terminalStates'>) {}

  /** The job's state, with the HTTP status `code` unless it is terminal. */
  status(id: string, status: JobStatus, code = 200): Answer {
    if (isTerminal(status)) this.deps.terminalStates.put(id, status);
    // The terminal state may have become known here while an open state was being looked up.
    const terminalState = this.deps.terminalStates.get(id);
    if (terminalState) return { status: 200, body: encodeStatus(id, terminalState) };
    return { status: code, body: encodeStatus(id, status) };
  }

  notFound(): Answer {
    return failure(404, 'no such job');
  }

  /** Not now: the user asks again after the time that the settings name. */
  unavailable(reason: string): Answer {
    return failure(503, reason, this.deps.options.users.retry_after_s);
  }
}
