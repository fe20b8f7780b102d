/** Users' polls for the state of a job. */
import type { HttpResponse, Reply } from '../http/server.ts';
import { isJobId } from '../wire/user.ts';
import type { JobLookup } from './job-lookup.ts';
import type { JobStateReader } from './job-state-reader.ts';
import { lookupFromReply, pollRequest } from './peer-messages.ts';
import type { UserAnswers } from './user-answers.ts';
import type { UserRequestDeps } from './user-request-deps.ts';

/** Answers polls: from memory where that is certain, else from the leader, else from the store. */
export class JobQuery {
  constructor(
    private readonly deps: Pick<UserRequestDeps, 'callLeader' | 'onError' | 'options'>,
    private readonly reader: JobStateReader,
    private readonly answers: UserAnswers,
  ) {}

  /** The answer to a poll if this controller's memory determines it, else null. */
  pollFromMemory(id: string): HttpResponse | null {
    if (!isJobId(id)) return this.answers.notFound();
    const known = this.reader.lookupInMemory(id);
    return known.kind === 'found' ? this.answers.status(id, known.status) : null;
  }

  poll(id: string, reply: Reply): void {
    const known = this.pollFromMemory(id);
    if (known) {
      reply(known);
      return;
    }
    this.lookupElsewhere(id)
      .then((lookup) => {
        reply(this.answerTo(id, lookup));
      })
      .catch(this.deps.onError);
  }

  private answerTo(id: string, lookup: JobLookup): HttpResponse {
    switch (lookup.kind) {
      case 'found':
        return this.answers.status(id, lookup.status);
      case 'notFound':
        return this.answers.notFound();
      case 'unavailable':
        return this.answers.unavailable('state not known now');
    }
  }

  /** Asks the leader, then the store: the leader answers from memory alone, and a job unknown to it may exist. */
  private async lookupElsewhere(id: string): Promise<JobLookup> {
    const { forward_ms } = this.deps.options.users;
    const fromLeader = await this.reader.readUnlessStale(async () =>
      lookupFromReply(await this.deps.callLeader(pollRequest(id), forward_ms)),
    );
    return fromLeader.kind === 'found' ? fromLeader : this.reader.lookupInStoreOrByPeers(id, 'poll');
  }
}
