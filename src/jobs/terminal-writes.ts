/** Which terminal states a leader may have written, as far as the outcomes of its transactions tell. */
import type { CompareAndSwapResult } from '../store/key-value-store.ts';
import { KEYS } from '../store/keys.ts';
import type { Condition, Mutation } from '../wire/state.ts';

type CompareAndSwap<Rest extends unknown[]> = (
  conditions: readonly Condition[],
  mutations: readonly Mutation[],
  ...rest: Rest
) => Promise<CompareAndSwapResult>;

/**
 * State of the write of one job's terminal record. `inFlight`: every attempt so far was refused, and the last one
 * has no result yet. `inDoubt`: an attempt was carried out, or may have been or may be later.
 */
type WriteState = 'inFlight' | 'inDoubt';

/** The jobs whose open records a transaction changes. */
function changedJobs(mutations: readonly Mutation[]): string[] {
  const keys = mutations.map((mutation) => ('put' in mutation ? mutation.put : mutation.delete));
  return keys
    .filter((key) => key.startsWith(KEYS.openPrefix))
    .map((key) => key.slice(KEYS.openPrefix.length));
}

/**
 * Tells of which jobs the terminal record may be in the state service by now. Once a job has a pending outcome, its
 * terminal record is the only change that the leader makes to its open record. A write that waits to be sent, or
 * that was always refused (as in an outage), has surely not been carried out, so its job is still open for certain.
 */
export class TerminalWrites {
  private readonly states = new Map<string, WriteState>();

  /** `outcomeUnconfirmed`: the leader has begun to end this job, and its terminal record isn't known to be durable. */
  constructor(private readonly isOutcomeUnconfirmed: (id: string) => boolean) {}

  /** The same transactions, with the outcome of every terminal write recorded. */
  trackOutcomes<Rest extends unknown[]>(compareAndSwap: CompareAndSwap<Rest>): CompareAndSwap<Rest> {
    return async (conditions, mutations, ...rest) => {
      const ids = changedJobs(mutations).filter((id) => this.isOutcomeUnconfirmed(id));
      for (const id of ids) {
        if (!this.states.has(id)) this.states.set(id, 'inFlight');
      }
      const result = await compareAndSwap(conditions, mutations, ...rest);
      for (const id of ids) this.recordResult(id, result);
      return result;
    };
  }

  private recordResult(id: string, result: CompareAndSwapResult): void {
    if (result.kind !== 'refused') this.states.set(id, 'inDoubt');
    else if (this.states.get(id) === 'inFlight') this.states.delete(id);
  }

  /** Whether the job's terminal record may be in the state service, without a confirmation. */
  mayBeWritten(id: string): boolean {
    return this.states.has(id);
  }

  /** The job's terminal record is known to be durable. */
  markDurable(id: string): void {
    this.states.delete(id);
  }
}
