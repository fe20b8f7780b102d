/** Users' submissions of new jobs. */
import { errorResponse, type HttpResponse, type Reply } from '../http/server.ts';
import type { PeerReply } from '../peers/messages.ts';
import { KEYS } from '../store/keys.ts';
import { decodeJob, peekJobId, type JobRequest } from '../wire/user.ts';
import { findInfeasibility } from './admission.ts';
import { MAX_LOOKUP_AGE_MS, type JobLookup } from './job-lookup.ts';
import { PENDING_STATUS, type JobStateReader } from './job-state-reader.ts';
import { lookupFromReply, submitRequest, wasCreated } from './peer-messages.ts';
import { encodeOpenRecord } from './records.ts';
import type { UserAnswers } from './user-answers.ts';
import type { UserRequestDeps } from './user-request-deps.ts';

/** Timeout in ms of the write of a new job's record; afterwards a read checks whether the record exists. */
const CREATE_TIMEOUT_MS = 1000;
/**
 * Pause of submissions in ms after the store has refused one because of its rate limit. The requests that it still
 * accepts are left to other writes.
 */
const RATE_LIMIT_PAUSE_MS = 1000;

/** Result of the write of a new job's record. A `JobLookup`: the job may have existed before. */
export type JobCreationResult =
  | JobLookup
  | { kind: 'created' }
  /** Over this controller's submission rate or the store's rate limit; nothing was written. */
  | { kind: 'rateLimited' };

type JobSubmissionDeps = Pick<
  UserRequestDeps,
  'callOthers' | 'catalog' | 'clock' | 'onError' | 'options' | 'store' | 'submissionBudget' | 'teams'
>;

/**
 * Accepts new jobs, which needs the store but no leader. A submission is idempotent: for a job that has already been
 * accepted, the answer is its state, regardless of the other fields of the submission.
 */
export class JobSubmission {
  constructor(
    private readonly deps: JobSubmissionDeps,
    private readonly reader: JobStateReader,
    private readonly answers: UserAnswers,
  ) {}

  submit(body: string, reply: Reply): void {
    this.answerTo(body).then(reply).catch(this.deps.onError);
  }

  private async answerTo(body: string): Promise<HttpResponse> {
    const decoded = decodeJob(body);
    const id = decoded.ok ? decoded.value.id : peekJobId(body);
    if (id === null) return errorResponse(400, decoded.ok ? 'malformed' : decoded.reason);
    const known = this.reader.lookupInMemory(id);
    if (known.kind === 'found') return this.answers.status(id, known.status);
    if (known.kind === 'uncertain') return this.answerFromStore(id);
    if (!decoded.ok) return this.refuseUnlessAccepted(id, errorResponse(400, decoded.reason));
    const job = decoded.value;
    const catalog = this.deps.catalog();
    const team = this.deps.teams.find(({ name }) => name === job.team);
    // An unknown team or a limit that is too small is detected even while the machine types are not known.
    const reason = findInfeasibility(job, team, catalog);
    if (reason !== null) return this.refuseUnlessAccepted(id, errorResponse(422, reason));
    if (!catalog)
      return this.refuseUnlessAccepted(id, this.answers.unavailable('machine types not known yet'));
    const creation = await this.create(job);
    if (creation.kind === 'created') return this.answers.status(id, PENDING_STATUS, 201);
    if (creation.kind === 'found') return this.answers.status(id, creation.status);
    if (creation.kind === 'rateLimited') return this.answers.unavailable('too many submissions');
    return this.createByPeers(id, body);
  }

  /** Forwards the submission to the other controllers: the store may refuse this controller alone. */
  private async createByPeers(id: string, body: string): Promise<HttpResponse> {
    const timeoutMs = this.deps.options.users.forward_ms * 2;
    const received: { reply: PeerReply | null } = { reply: null };
    const lookup = await this.reader.readUnlessStale(async () => {
      received.reply = await this.deps.callOthers(submitRequest(id, body), timeoutMs);
      return lookupFromReply(received.reply);
    });
    if (lookup.kind !== 'found') return this.storeUnavailable();
    return this.answers.status(id, lookup.status, wasCreated(received.reply) ? 201 : 200);
  }

  /** Answers for a job whose terminal state is being written: only the store tells whether it is durable. */
  private async answerFromStore(id: string): Promise<HttpResponse> {
    const lookup = await this.reader.lookupInStoreOrByPeers(id, 'user');
    if (lookup.kind === 'found') return this.answers.status(id, lookup.status);
    return this.answers.unavailable('state not known now');
  }

  /**
   * Returns the refusal, unless the id belongs to an accepted job: to refuse its submission would tell the user that
   * the job has been lost.
   */
  private async refuseUnlessAccepted(id: string, refusal: HttpResponse): Promise<HttpResponse> {
    const lookup = await this.reader.lookupInStoreOrByPeers(id, 'user');
    if (lookup.kind === 'found') return this.answers.status(id, lookup.status);
    return lookup.kind === 'notFound' ? refusal : this.storeUnavailable();
  }

  private storeUnavailable(): HttpResponse {
    return this.answers.unavailable('the state service can not be reached');
  }

  /** Writes the record of a new job, on condition that no open or archived record exists under its id. */
  async create(job: JobRequest): Promise<JobCreationResult> {
    if (!this.deps.submissionBudget.take()) return { kind: 'rateLimited' };
    const value = encodeOpenRecord(job, this.deps.clock.wall());
    const startedAt = this.deps.clock.now();
    const result = await this.deps.store.compareAndSwap(
      [
        { key: KEYS.open(job.id), version: 0 },
        { key: KEYS.archived(job.id), version: 0 },
      ],
      [{ put: KEYS.open(job.id), value }],
      'user',
      CREATE_TIMEOUT_MS,
    );
    if (result.kind === 'conflict') return this.reader.lookupInStore(job.id);
    if (result.kind === 'refused' && result.overLimit) {
      this.deps.submissionBudget.blockFor(RATE_LIMIT_PAUSE_MS);
      return { kind: 'rateLimited' };
    }
    if (result.kind === 'unknown') {
      const lookup = await this.reader.lookupInStore(job.id);
      // The write may still be applied later, so a missing record doesn't prove that the submission failed.
      return lookup.kind === 'found' ? lookup : { kind: 'unavailable' };
    }
    if (result.kind !== 'ok') return { kind: 'unavailable' };
    // After a slow answer the job may already be terminal, and another controller may have reported that.
    const elapsedMs = this.deps.clock.now() - startedAt;
    return elapsedMs <= MAX_LOOKUP_AGE_MS ? { kind: 'created' } : this.reader.lookupInStore(job.id);
  }
}
