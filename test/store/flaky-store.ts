import type { CompareAndSwapResult } from '../../src/store/key-value-store.ts';
import { KEYS } from '../../src/store/keys.ts';
import type { Condition, Mutation } from '../../src/wire/state.ts';

/**
 * Outcome of one transaction: `ok`; `lost` (executed, without a response); `late` (no response, executed only when the
 * test applies it); `refused` (never executed).
 */
export type TransactionOutcome = 'ok' | 'lost' | 'late' | 'refused';

export interface Transaction {
  conditions: readonly Condition[];
  mutations: readonly Mutation[];
}

/** A store that loses responses and executes transactions late, by a given list of outcomes. */
export class FlakyStore {
  readonly versions = new Map<string, number>([[KEYS.leader, 5]]);
  readonly values = new Map<string, unknown>();
  /** Transactions that have not been executed yet. */
  readonly pending: Transaction[] = [];
  revision = 10;
  /** Number of transactions that were sent, including retries. */
  sentCount = 0;

  constructor(private readonly outcomes: TransactionOutcome[]) {}

  apply({ conditions, mutations }: Transaction): CompareAndSwapResult {
    const failed = conditions
      .filter(({ key, version }) => this.version(key) !== version)
      .map(({ key }) => key);
    if (failed.length > 0) return { kind: 'conflict', failed };
    this.revision += 1;
    for (const mutation of mutations) {
      if ('put' in mutation) {
        this.versions.set(mutation.put, this.revision);
        this.values.set(mutation.put, mutation.value);
      } else {
        this.versions.delete(mutation.delete);
        this.values.delete(mutation.delete);
      }
    }
    return { kind: 'ok', revision: this.revision };
  }

  compareAndSwap(
    conditions: readonly Condition[],
    mutations: readonly Mutation[],
  ): Promise<CompareAndSwapResult> {
    this.sentCount += 1;
    const outcome = this.outcomes.shift() ?? 'ok';
    if (outcome === 'refused') return Promise.resolve({ kind: 'refused' });
    if (outcome === 'late') {
      this.pending.push({ conditions, mutations });
      return Promise.resolve({ kind: 'unknown' });
    }
    const result = this.apply({ conditions, mutations });
    return Promise.resolve(outcome === 'lost' ? { kind: 'unknown' } : result);
  }

  /** The version of a key; 0: it does not exist. */
  version(key: string): number {
    return this.versions.get(key) ?? 0;
  }
}
