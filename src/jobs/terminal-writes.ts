import type { CompareAndSwapResult } from '../store/key-value-store.ts';
import { KEYS } from '../store/keys.ts';
import type { Mutation, Condition } from '../wire/state.ts';

type Transact<Rest extends unknown[]> = (
  conditions: readonly Condition[],
  changes: readonly Mutation[],
  ...rest: Rest
) => Promise<CompareAndSwapResult>;

/** `sent`: every attempt so far was refused, the last one is under way. */
type WriteAttempt = 'sent' | 'perhaps carried out';

/** The jobs whose open records a transaction changes. */
function changedJobs(changes: readonly Mutation[]): string[] {
  const keys = changes.map((change) => ('put' in change ? change.put : change.delete));
  return keys
    .filter((key) => key.startsWith(KEYS.openPrefix))
    .map((key) => key.slice(KEYS.openPrefix.length));
}

/**
 * Of which jobs the final record may be in the state service by now, as far as a leader's transactions tell. Once a
 * job is to end, its end is the only change that the leader makes to its open record. An end that waits to be sent,
 * or that was always refused (as in an outage), has surely not been written, so its job is still open for certain.
 */
export class TerminalWrites {
  private readonly attempts = new Map<string, WriteAttempt>();

  /** `isEnding`: the leader has begun to end this job, and the end isn't known to be durable. */
  constructor(private readonly outcomeUnconfirmed: (id: string) => boolean) {}

  /** The same transactions, with their outcomes noted. */
  tracking<Rest extends unknown[]>(transact: Transact<Rest>): Transact<Rest> {
    return async (conditions, changes, ...rest) => {
      const ids = changedJobs(changes).filter((id) => this.outcomeUnconfirmed(id));
      for (const id of ids) if (!this.attempts.has(id)) this.attempts.set(id, 'sent');
      const result = await transact(conditions, changes, ...rest);
      for (const id of ids) this.answered(id, result);
      return result;
    };
  }

  private answered(id: string, result: CompareAndSwapResult): void {
    if (result.kind !== 'refused') this.attempts.set(id, 'perhaps carried out');
    else if (this.attempts.get(id) === 'sent') this.attempts.delete(id);
  }

  mayBeWritten(id: string): boolean {
    return this.attempts.has(id);
  }

  /** The job's end is known to be durable. */
  forget(id: string): void {
    this.attempts.delete(id);
  }
}
