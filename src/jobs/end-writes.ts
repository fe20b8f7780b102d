import type { TxnResult } from '../store/client.ts';
import { KEYS } from '../store/keys.ts';
import type { Change, Condition } from '../wire/state.ts';

type Transact = (
  conditions: readonly Condition[],
  changes: readonly Change[],
  timeoutMs: number,
) => Promise<TxnResult>;

/** `sent`: every attempt so far was refused, the last one is under way. */
type Attempt = 'sent' | 'perhaps carried out';

function endedJobs(changes: readonly Change[]): string[] {
  const written = changes.flatMap((change) => ('put' in change ? [change.put] : []));
  return written
    .filter((key) => key.startsWith(KEYS.openPrefix))
    .map((key) => key.slice(KEYS.openPrefix.length));
}

/**
 * Of which jobs the final record may be in the state service by now, as far as a leader's transactions tell. The end
 * of a job is the only value that a leader puts in the place of its open record; moves to the archive delete that. An end that waits to be sent, or that was
 * always refused (as in an outage), has surely not been written, so its job is still open for certain.
 */
export class EndWrites {
  private readonly attempts = new Map<string, Attempt>();

  /** The same transactions, with their outcomes noted. */
  noting(transact: Transact): Transact {
    return async (conditions, changes, timeoutMs) => {
      const ids = endedJobs(changes);
      for (const id of ids) if (!this.attempts.has(id)) this.attempts.set(id, 'sent');
      const result = await transact(conditions, changes, timeoutMs);
      for (const id of ids) this.answered(id, result);
      return result;
    };
  }

  private answered(id: string, result: TxnResult): void {
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
