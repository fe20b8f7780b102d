import type { CompareAndSwapResult, StoreResult } from '../../src/store/key-value-store.ts';
import type { Condition, Item, Mutation } from '../../src/wire/state.ts';

/** The key-value store as the protocol has it, in memory. */
export class MemoryStore {
  readonly data = new Map<string, { value: unknown; version: number }>();
  revision = 1;
  /** Mutations that were asked for, also by transactions whose conditions failed. */
  mutationCount = 0;
  /** What the next transactions come to, instead of their own results. */
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
