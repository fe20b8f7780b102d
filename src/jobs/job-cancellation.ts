/** Users' cancellations of jobs. */
import type { Reply } from '../http/server.ts';
import { KEYS } from '../store/keys.ts';
import { isJobId } from '../wire/user.ts';
import { isTerminal, type JobLookup } from './job-lookup.ts';
import type { JobStateReader } from './job-state-reader.ts';
import { cancelRequest, lookupFromReply } from './peer-messages.ts';
import { decodeOpenRecord, decodeTerminalRecord, encodeTerminalRecord } from './records.ts';
import type { UserAnswers } from './user-answers.ts';
import type { UserRequestDeps } from './user-request-deps.ts';

/** Time in ms to wait for another controller's answer to a forwarded cancellation. */
const CANCEL_FORWARD_TIMEOUT_MS = 2500;

type JobCancellationDeps = Pick<
  UserRequestDeps,
  'beginLeaderlessWrite' | 'callLeader' | 'callOthers' | 'leader' | 'onError' | 'store' | 'terminalStates'
>;

/**
 * Cancels jobs: through the leader, or with a leaderless write while there is none. Cancellation is idempotent; for a
 * job that has already ended, the answer is its terminal state.
 */
export class JobCancellation {
  constructor(
    private readonly deps: JobCancellationDeps,
    private readonly reader: JobStateReader,
    private readonly answers: UserAnswers,
  ) {}

  cancel(id: string, reply: Reply): void {
    if (!isJobId(id)) {
      reply(this.answers.notFound());
      return;
    }
    const terminalState = this.deps.terminalStates.get(id);
    if (terminalState) {
      reply(this.answers.status(id, terminalState));
      return;
    }
    this.routeCancellation(id)
      .then((lookup) => {
        // A job that is created during the lookup is found open and not cancelled: only a terminal state is an answer.
        if (lookup.kind === 'found' && isTerminal(lookup.status)) {
          reply(this.answers.status(id, lookup.status));
        } else if (lookup.kind === 'notFound') {
          reply(this.answers.notFound());
        } else {
          reply(this.answers.unavailable('can not be cancelled now'));
        }
      })
      .catch(this.deps.onError);
  }

  private async routeCancellation(id: string): Promise<JobLookup> {
    if (this.deps.leader()) return this.cancelAsLeader(id);
    const request = cancelRequest(id);
    const fromLeader = await this.reader.readUnlessStale(async () =>
      lookupFromReply(await this.deps.callLeader(request, CANCEL_FORWARD_TIMEOUT_MS)),
    );
    if (fromLeader.kind !== 'unavailable') return fromLeader;
    const withoutLeader = await this.cancelWithoutLeader(id);
    if (withoutLeader.kind !== 'unavailable') return withoutLeader;
    // This controller may know of no leader, or only of a former one, while another controller leads.
    return this.reader.readUnlessStale(async () =>
      lookupFromReply(await this.deps.callOthers(request, CANCEL_FORWARD_TIMEOUT_MS)),
    );
  }

  /** Cancels the job through the leader on this controller; reads the open record if the leader lacks the job. */
  async cancelAsLeader(id: string): Promise<JobLookup> {
    const term = this.deps.leader()?.term;
    const cancelled = await this.cancelByLocalLeader(id);
    if (cancelled) return cancelled;
    // The leader doesn't know the job: it is terminal, was never accepted, or was just created by another controller.
    const open = await this.deps.store.get(KEYS.open(id), 'user');
    if (open.kind !== 'ok') return { kind: 'unavailable' };
    if (!open.value || decodeTerminalRecord(open.value.value)) return this.reader.lookupInStore(id);
    const leader = this.deps.leader();
    // If the term changed during the read, this job may have become terminal before the new leader loaded its jobs.
    // The older open record must not make it open again.
    if (!leader || leader.term !== term) return { kind: 'unavailable' };
    leader.observeOpenRecord(id, open.value.value);
    return (await this.cancelByLocalLeader(id)) ?? { kind: 'unavailable' };
  }

  /** Cancels the job through the leader on this controller; null: there is none, or it doesn't know the job. */
  private cancelByLocalLeader(id: string): Promise<JobLookup | null> {
    return new Promise((resolve) => {
      const leader = this.deps.leader();
      const accepted = leader?.cancel(id, (status) => {
        resolve(status ? { kind: 'found', status } : { kind: 'unavailable' });
      });
      if (!accepted) resolve(null);
    });
  }

  /**
   * Cancels the job with a leaderless write, which is applied only while no controller holds the leader key: a leader
   * would not learn of the cancellation and would keep reporting the job as open.
   */
  private async cancelWithoutLeader(id: string): Promise<JobLookup> {
    const write = await this.deps.beginLeaderlessWrite('user');
    if (!write) return { kind: 'unavailable' };
    const open = await this.deps.store.get(KEYS.open(id), 'user');
    if (open.kind !== 'ok' || !open.value || !decodeOpenRecord(open.value.value)) {
      write.abandon();
      // The job is terminal, archived, or was never accepted: another read tells which.
      const isNotOpen =
        open.kind === 'ok' && (!open.value || decodeTerminalRecord(open.value.value) !== null);
      return isNotOpen ? this.reader.lookupInStore(id) : { kind: 'unavailable' };
    }
    const result = await write.commit(
      [{ key: KEYS.open(id), version: open.value.version }],
      [{ put: KEYS.open(id), value: encodeTerminalRecord('cancelled', 0) }],
      'user',
    );
    if (result.kind !== 'ok') return { kind: 'unavailable' };
    return { kind: 'found', status: { stage: 'cancelled', done: 0, running: 0 } };
  }
}
