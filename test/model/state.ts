import type { CompareAndSwapResult } from '../../src/store/key-value-store.ts';
import { KEYS } from '../../src/store/keys.ts';
import type { Mutation, Condition, Item, WatchEvent } from '../../src/wire/state.ts';
import type { Sim } from './sim.ts';

/** The state service: strong consistency, a lease on the leader key, and answers that get lost. */
export class StateModel {
  readonly data = new Map<string, { value: unknown; version: number }>();
  revision = 1;
  /** Puts and deletes asked for, also by transactions that found a condition unmet. */
  changes = 0;
  outageUntil = 0;
  private leaseEnds = -Infinity;
  private leaseId = 0;
  readonly watchers = new Set<(events: WatchEvent[]) => void>();

  constructor(private readonly sim: Sim) {}

  private expire(): void {
    if (this.leaseEnds > -Infinity && this.sim.at > this.leaseEnds && this.sim.at >= this.outageUntil) {
      this.leaseEnds = -Infinity;
      this.data.delete(KEYS.leader);
      this.revision += 1;
    }
  }

  outage(ms: number, ttlMs: number): void {
    this.expire();
    this.outageUntil = this.sim.at + ms;
    // Once it ends, every lease has its full time again.
    if (this.leaseEnds > -Infinity) this.leaseEnds = this.outageUntil + ttlMs;
  }

  get down(): boolean {
    return this.sim.at < this.outageUntil;
  }

  acquire(ttlMs: number): { term: number; version: number; lease: number } | null {
    this.expire();
    if (this.data.has(KEYS.leader)) return null;
    this.revision += 1;
    const term = ((this.data.get(KEYS.term)?.value as number | undefined) ?? 0) + 1;
    this.data.set(KEYS.term, { value: term, version: this.revision });
    this.data.set(KEYS.leader, { value: {}, version: this.revision });
    this.leaseEnds = this.sim.at + ttlMs;
    this.leaseId += 1;
    return { term, version: this.revision, lease: this.leaseId };
  }

  renew(lease: number, ttlMs: number): boolean {
    this.expire();
    if (lease !== this.leaseId || !this.data.has(KEYS.leader)) return false;
    this.leaseEnds = this.sim.at + ttlMs;
    return true;
  }

  hasLeader(): boolean {
    this.expire();
    return this.data.has(KEYS.leader);
  }

  apply(conditions: readonly Condition[], changes: readonly Mutation[]): CompareAndSwapResult {
    this.expire();
    this.changes += changes.length;
    const failed = conditions
      .filter((c) => (this.data.get(c.key)?.version ?? 0) !== c.version)
      .map((c) => c.key);
    if (failed.length > 0) return { kind: 'conflict', failed };
    this.revision += 1;
    const events: WatchEvent[] = [];
    for (const c of changes) {
      if ('put' in c) {
        this.data.set(c.put, { value: c.value, version: this.revision });
        events.push({ key: c.put, deleted: false, value: c.value, version: this.revision });
      } else {
        this.data.delete(c.delete);
        events.push({ key: c.delete, deleted: true, value: null, version: this.revision });
      }
    }
    const open = events.filter((e) => e.key.startsWith(KEYS.openPrefix));
    if (open.length > 0) for (const watcher of this.watchers) watcher(open);
    return { kind: 'ok', revision: this.revision };
  }

  /** A transaction over the network: it may be refused, lost on the way back, or carried out minutes late. */
  async txn(
    conditions: readonly Condition[],
    changes: readonly Mutation[],
    reachable: () => boolean,
  ): Promise<CompareAndSwapResult> {
    await this.sim.pause(this.sim.between(2, 30));
    if (this.down || !reachable()) return { kind: 'refused' };
    if (this.sim.chance(0.02)) {
      this.sim.after(this.sim.between(500, 60_000), () => {
        if (!this.down) this.apply(conditions, changes);
      });
      await this.sim.pause(2000);
      return { kind: 'unknown' };
    }
    const result = this.apply(conditions, changes);
    await this.sim.pause(this.sim.between(2, 30));
    return this.sim.chance(0.02) ? { kind: 'unknown' } : result;
  }

  list(prefix: string): Item[] {
    return [...this.data]
      .filter(([key]) => key.startsWith(prefix))
      .map(([key, v]) => ({ key, value: structuredClone(v.value), version: v.version, lease: null }));
  }
}
