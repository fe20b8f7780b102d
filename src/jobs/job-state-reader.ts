/** Job lookups, shared by submissions, polls and cancellations. */
import { KEYS } from '../store/keys.ts';
import type { Urgency } from '../store/call-budget.ts';
import type { JobStatus } from '../wire/user.ts';
import { discardIfStale, type JobLookup, type LeaderLookup } from './job-lookup.ts';
import { lookupFromReply, lookupRequest } from './peer-messages.ts';
import { decodeTerminalRecord } from './records.ts';
import type { UserRequestDeps } from './user-request-deps.ts';

/** Status of a job of which only the acceptance is known. */
export const PENDING_STATUS: JobStatus = { stage: 'pending', done: 0, running: 0 };

type JobStateReaderDeps = Pick<
  UserRequestDeps,
  'callOthers' | 'clock' | 'leader' | 'options' | 'store' | 'terminalStates'
>;

/** Looks jobs up in this controller's memory, in the store, and through other controllers. */
export class JobStateReader {
  constructor(private readonly deps: JobStateReaderDeps) {}

  /** Looks the job up in the cache of terminal states, and in the leader's memory if this controller leads. */
  lookupInMemory(id: string): LeaderLookup {
    const status = this.deps.terminalStates.get(id);
    if (status) return { kind: 'found', status };
    return this.deps.leader()?.lookup(id) ?? { kind: 'unknown' };
  }

  /** Reads the job's records from the store, as they were at some time after this call began. */
  lookupInStore(id: string, urgency: Urgency = 'user'): Promise<JobLookup> {
    return this.readUnlessStale(() => this.readRecords(id, urgency));
  }

  /**
   * Reads the job's records, through the other controllers if this one can't: the store may refuse this controller
   * alone. The other controllers look the job up after this call began, so their results are as fresh.
   */
  async lookupInStoreOrByPeers(id: string, urgency: Urgency): Promise<JobLookup> {
    const lookup = await this.lookupInStore(id, urgency);
    if (lookup.kind !== 'unavailable') return lookup;
    const { forward_ms } = this.deps.options.users;
    return this.readUnlessStale(async () =>
      lookupFromReply(await this.deps.callOthers(lookupRequest(id), forward_ms)),
    );
  }

  /**
   * Runs a lookup. If it takes longer than `MAX_LOOKUP_AGE_MS`, the result is discarded unless it is a terminal state.
   */
  async readUnlessStale(read: () => Promise<JobLookup>): Promise<JobLookup> {
    const startedAt = this.deps.clock.now();
    const lookup = await read();
    return discardIfStale(lookup, this.deps.clock.now() - startedAt);
  }

  /** Reads the open key first: a terminal record only ever moves from there to the archive, so none is missed. */
  private async readRecords(id: string, urgency: Urgency): Promise<JobLookup> {
    const open = await this.deps.store.get(KEYS.open(id), urgency);
    if (open.kind !== 'ok') return { kind: 'unavailable' };
    if (open.value) {
      return { kind: 'found', status: decodeTerminalRecord(open.value.value) ?? this.openJobStatus(id) };
    }
    const archived = await this.deps.store.get(KEYS.archived(id), urgency);
    if (archived.kind !== 'ok') return { kind: 'unavailable' };
    if (!archived.value) return { kind: 'notFound' };
    const status = decodeTerminalRecord(archived.value.value);
    return status ? { kind: 'found', status } : { kind: 'unavailable' };
  }

  /** Status of a job that is open in the store: from a leader on this controller if it is certain, else pending. */
  private openJobStatus(id: string): JobStatus {
    const known = this.lookupInMemory(id);
    return known.kind === 'found' ? known.status : PENDING_STATUS;
  }
}
