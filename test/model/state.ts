/** A model of the state service for tests: strong consistency, watches, and a leader key that is attached to a lease. */
import type { CompareAndSwapResult } from '../../src/store/key-value-store.ts';
import { KEYS } from '../../src/store/keys.ts';
import type { Mutation, Condition, Item, WatchEvent } from '../../src/wire/state.ts';
import type { Sim } from './sim.ts';

/** A leadership that was acquired in the model. */
export interface AcquiredLeadership {
  term: number;
  version: number;
  lease: number;
}

/** The contents of the store at the current simulated time. Network delays and faults are added by the caller. */
export class StateModel {
  readonly data = new Map<string, { value: unknown; version: number }>();
  /** Called with the changes to open job records when they are applied. */
  readonly watchers = new Set<(events: WatchEvent[]) => void>();
  private revision = 1;
  private leaseExpiresAt = -Infinity;
  private leaseId = 0;

  constructor(private readonly sim: Sim) {}

  /** Acquires the leader key with a lease of `ttlMs`; null while the key exists. */
  acquire(ttlMs: number): AcquiredLeadership | null {
    this.expireLease();
    if (this.data.has(KEYS.leader)) return null;
    this.revision += 1;
    const term = ((this.data.get(KEYS.term)?.value as number | undefined) ?? 0) + 1;
    this.data.set(KEYS.term, { value: term, version: this.revision });
    this.data.set(KEYS.leader, { value: {}, version: this.revision });
    this.leaseExpiresAt = this.sim.at + ttlMs;
    this.leaseId += 1;
    return { term, version: this.revision, lease: this.leaseId };
  }

  /** Applies a transaction at once if its conditions hold. */
  apply(conditions: readonly Condition[], mutations: readonly Mutation[]): CompareAndSwapResult {
    this.expireLease();
    const failed = conditions
      .filter(({ key, version }) => (this.data.get(key)?.version ?? 0) !== version)
      .map(({ key }) => key);
    if (failed.length > 0) return { kind: 'conflict', failed };
    this.revision += 1;
    const events = mutations.map((mutation) => this.mutate(mutation));
    const jobEvents = events.filter((event) => event.key.startsWith(KEYS.openPrefix));
    if (jobEvents.length > 0) for (const watcher of this.watchers) watcher(jobEvents);
    return { kind: 'ok', revision: this.revision };
  }

  /** The items whose keys start with a prefix. */
  list(prefix: string): Item[] {
    return [...this.data]
      .filter(([key]) => key.startsWith(prefix))
      .map(([key, { value, version }]) => ({ key, value: structuredClone(value), version, lease: null }));
  }

  private mutate(mutation: Mutation): WatchEvent {
    const version = this.revision;
    if ('put' in mutation) {
      this.data.set(mutation.put, { value: mutation.value, version });
      return { key: mutation.put, deleted: false, value: mutation.value, version };
    }
    this.data.delete(mutation.delete);
    return { key: mutation.delete, deleted: true, value: null, version };
  }

  private expireLease(): void {
    if (this.sim.at <= this.leaseExpiresAt || this.leaseExpiresAt === -Infinity) return;
    this.leaseExpiresAt = -Infinity;
    this.data.delete(KEYS.leader);
    this.revision += 1;
  }
}
