import type { StoreResult, CompareAndSwapResult } from '../../src/store/key-value-store.ts';
import type { Mutation, Condition, Item } from '../../src/wire/state.ts';

/** The state service as the protocol has it, in memory. */
export class MemoryStore {
  readonly data = new Map<string, { value: unknown; version: number }>();
  revision = 1;
  /** Changes that were asked for, also by transactions that found a condition unmet. */
  changes = 0;
  /** What the next transactions come to, instead of their own results. */
  readonly fates: ('over_limit' | 'lost')[] = [];

  get(key: string): Promise<StoreResult<Item | null>> {
    const found = this.data.get(key);
    return Promise.resolve({ kind: 'ok', value: found ? { key, ...found, lease: null } : null });
  }

  compareAndSwap(
    conditions: readonly Condition[],
    changes: readonly Mutation[],
  ): Promise<CompareAndSwapResult> {
    const fate = this.fates.shift();
    if (fate === 'over_limit') return Promise.resolve({ kind: 'refused', overLimit: true });
    const result = this.apply(conditions, changes);
    return Promise.resolve(fate === 'lost' ? { kind: 'unknown' } : result);
  }

  apply(conditions: readonly Condition[], changes: readonly Mutation[]): CompareAndSwapResult {
    this.changes += changes.length;
    const failed = conditions
      .filter((c) => (this.data.get(c.key)?.version ?? 0) !== c.version)
      .map((c) => c.key);
    if (failed.length > 0) return { kind: 'conflict', failed };
    this.revision += 1;
    for (const c of changes) {
      if ('put' in c) this.data.set(c.put, { value: c.value, version: this.revision });
      else this.data.delete(c.delete);
    }
    return { kind: 'ok', revision: this.revision };
  }
}
