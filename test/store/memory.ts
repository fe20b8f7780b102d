import type { CompareAndSwapResult, StoreResult } from '../../src/store/key-value-store.ts';
import type { Condition, Item, Mutation } from '../../src/wire/state.ts';

/** An in-memory key-value store with the semantics of the protocol. */
export class MemoryStore {
  readonly data = new Map<string, { value: unknown; version: number }>();
  revision = 1;
  /** Number of mutations in all transactions, including those whose conditions failed. */
  mutationCount = 0;
  /** Outcomes of the next transactions, in place of their actual results. */
  readonly outcomes: ('over_limit' | 'lost')[] = [];

  get(key: string): Promise<StoreResult<Item | null>> {
    const found = this.data.get(key);
    return Promise.resolve({ kind: 'ok', value: found ? { key, ...found, lease: null } : null });
  }

  compareAndSwap(
    conditions: readonly Condition[],
    mutations: readonly Mutation[],
  ): Promise<CompareAndSwapResult> {
    const outcome = this.outcomes.shift();
    if (outcome === 'over_limit') return Promise.resolve({ kind: 'refused', overLimit: true });
    const result = this.apply(conditions, mutations);
    return Promise.resolve(outcome === 'lost' ? { kind: 'unknown' } : result);
  }

  apply(conditions: readonly Condition[], mutations: readonly Mutation[]): CompareAndSwapResult {
    this.mutationCount += mutations.length;
    const failed = conditions
      .filter(({ key, version }) => (this.data.get(key)?.version ?? 0) !== version)
      .map(({ key }) => key);
    if (failed.length > 0) return { kind: 'conflict', failed };
    this.revision += 1;
    for (const mutation of mutations) {
      if ('put' in mutation) this.data.set(mutation.put, { value: mutation.value, version: this.revision });
      else this.data.delete(mutation.delete);
    }
    return { kind: 'ok', revision: this.revision };
  }
}
