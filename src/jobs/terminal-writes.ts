/** Tracks, by the results of a leader's transactions, which terminal records it may have written. */
import type { CompareAndSwapResult } from '../store/key-value-store.ts';
import { KEYS } from '../store/keys.ts';
import type { Condition, Mutation } from '../wire/state.ts';

type CompareAndSwap<Rest extends unknown[]> = (
  conditions: readonly Condition[],
  mutations: readonly Mutation[],
  ...rest: Rest
) => Promise<CompareAndSwapResult>;

/**
 * State of the write of one job's terminal record. `inFlight`: all earlier attempts were refused, and the latest one
 * has no result yet. `inDoubt`: an attempt was applied, or may have been, or may still be applied later.
 */
type WriteState = 'inFlight' | 'inDoubt';

/** The jobs whose open records a transaction changes. */
function changedJobIds(mutations: readonly Mutation[]): string[] {
  const keys = mutations.map((mutation) => ('put' in mutation ? mutation.put : mutation.delete));
  return keys
    .filter((key) => key.startsWith(KEYS.openPrefix))
    .map((key) => key.slice(KEYS.openPrefix.length));
}

/**
 * Tracks for which jobs the terminal record may already be in the store. Once a job has a pending outcome, the only
 * change that the leader makes to its open record is to replace it by the terminal record. A write that hasn't been
 * sent, or that was refused every time (as in an outage), has certainly not been applied, so its job is still open.
 */
export class TerminalWrites {
  private readonly writeStates = new Map<string, WriteState>();

  /** `isOutcomeUnconfirmed`: whether the job is to end and its terminal record isn't known to be durable. */
  constructor(private readonly isOutcomeUnconfirmed: (id: string) => boolean) {}

  /** Wraps the function so that the result of every write of a terminal record is recorded. */
  trackResults<Rest extends unknown[]>(compareAndSwap: CompareAndSwap<Rest>): CompareAndSwap<Rest> {
    return async (conditions, mutations, ...rest) => {
      const ids = changedJobIds(mutations).filter((id) => this.isOutcomeUnconfirmed(id));
      for (const id of ids) {
        if (!this.writeStates.has(id)) this.writeStates.set(id, 'inFlight');
      }
      const result = await compareAndSwap(conditions, mutations, ...rest);
      for (const id of ids) this.recordResult(id, result);
      return result;
    };
  }

  private recordResult(id: string, result: CompareAndSwapResult): void {
    if (result.kind !== 'refused') this.writeStates.set(id, 'inDoubt');
    else if (this.writeStates.get(id) === 'inFlight') this.writeStates.delete(id);
  }

  /** Whether the job's terminal record may be in the store but isn't known to be durable. */
  mayBeWritten(id: string): boolean {
    return this.writeStates.has(id);
  }

  /** Ends the tracking of a job whose terminal record is known to be durable. */
  markDurable(id: string): void {
    this.writeStates.delete(id);
  }
}
