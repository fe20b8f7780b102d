/** The job lookup that submissions, polls and cancellations share. */
import { KEYS } from '../store/keys.ts';
import type { Urgency } from '../store/call-budget.ts';
import type { JobStatus } from '../wire/user.ts';
import { discardIfStale, type JobLookup, type LeaderLookup } from './job-lookup.ts';
import { lookupFromReply, lookupRequest } from './peer-messages.ts';
import { decodeTerminalRecord } from './records.ts';
import type { UserRequestDeps } from './user-request-deps.ts';

/** The state of a job that has been accepted and that nothing more is known of. */
export const PENDING_STATUS: JobStatus = { stage: 'pending', done: 0, running: 0 };

type JobStateReaderDeps = Pick<
  UserRequestDeps,
  'callOthers' | 'clock' | 'leader' | 'options' | 'store' | 'terminalStates'
>;

/** Looks jobs up in this node's memory, in the store, and through other controllers. */
export class JobStateReader {
  constructor(private readonly deps: JobStateReaderDeps) {}

  /** What this node can say without asking: a terminal state, or what it knows as the leader. */
  lookupInMemory(id: string): LeaderLookup {
    const status = this.deps.terminalStates.get(id);
    if (status) return { kind: 'found', status };
    return this.deps.leader()?.lookup(id) ?? { kind: 'unknown' };
  }

  /** Reads the job's records, which were in the store after this call began. */
  lookupInStore(id: string, urgency: Urgency = 'user'): Promise<JobLookup> {
    return this.readUnlessStale(() => this.readRecords(id, urgency));
  }

  /**
   * Reads the job's records, with the help of the other controllers if need be: the state service may refuse this
   * node alone, and what the others read is as fresh.
   */
  async lookupInStoreOrByPeers(id: string, urgency: Urgency): Promise<JobLookup> {
    const lookup = await this.lookupInStore(id, urgency);
    if (lookup.kind !== 'unavailable') return lookup;
    const { forward_ms } = this.deps.options.users;
    return this.readUnlessStale(async () =>
      lookupFromReply(await this.deps.callOthers(lookupRequest(id), forward_ms)),
    );
  }

  /** Runs a read. What it found is only told while that can't have been overtaken by much. */
  async readUnlessStale(read: () => Promise<JobLookup>): Promise<JobLookup> {
    const startedAt = this.deps.clock.now();
    const lookup = await read();
    return discardIfStale(lookup, this.deps.clock.now() - startedAt);
  }

  /** The job's open key comes first: a terminal record only ever moves from there to the archive. */
  private async readRecords(id: string, urgency: Urgency): Promise<JobLookup> {
    const open = await this.deps.store.get(KEYS.open(id), urgency);
    if (open.kind !== 'ok') return { kind: 'unavailable' };
    if (open.value) {
      return { kind: 'found', status: decodeTerminalRecord(open.value.value) ?? this.statusOfOpen(id) };
    }
    const archived = await this.deps.store.get(KEYS.archived(id), urgency);
    if (archived.kind !== 'ok') return { kind: 'unavailable' };
    if (!archived.value) return { kind: 'notFound' };
    const status = decodeTerminalRecord(archived.value.value);
    return status ? { kind: 'found', status } : { kind: 'unavailable' };
  }

  /** The store says that the job is open; a leader on this node knows more, unless it is uncertain itself. */
  private statusOfOpen(id: string): JobStatus {
    const known = this.lookupInMemory(id);
    return known.kind === 'found' ? known.status : PENDING_STATUS;
  }
}
