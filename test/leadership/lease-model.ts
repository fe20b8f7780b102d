import type { LeaseStore } from '../../src/leadership/election.ts';
import { readTerminal } from '../../src/jobs/records.ts';
import { KEYS } from '../../src/store/keys.ts';
import type { StoreResult, CompareAndSwapResult } from '../../src/store/key-value-store.ts';
import type { Mutation, Condition } from '../../src/wire/state.ts';
import type { Sim } from '../model/sim.ts';

interface Entry {
  value: unknown;
  version: number;
  lease: number | null;
}

/** How one controller reaches the store. */
export interface StoreAccess {
  /** The service answers this controller alone with 503 until then. */
  refusedUntil: number;
  /** A tenth of its calls is carried out late, and a tenth of its answers is lost. */
  lossy: boolean;
  /** Its answers take so long; a client doesn't wait longer than `LOST_AFTER_MS`. */
  answerMs?: number | undefined;
  /** The next transaction gets no answer and is carried out after so long. */
  holdNextTxnMs?: number | null;
}

/** A carried-out transaction that required the leader key to be absent. */
export interface LeaderlessStepDone {
  at: number;
  /** Term in the store just before the transaction. */
  term: number;
  kind: 'stand' | 'cancel';
}

const LOST_AFTER_MS = 1500;

/** Keys with leases in simulated time; each controller's way to it can be refused, or its answers lost. */
export class LeaseModel {
  readonly steps: LeaderlessStepDone[] = [];
  onStep: () => void = () => undefined;
  outageUntil = 0;
  private readonly data = new Map<string, Entry>();
  private readonly ends = new Map<number, { at: number; ttl: number }>();
  private revision = 1;
  private leases = 0;

  constructor(private readonly sim: Sim) {}

  private expire(): void {
    if (this.sim.at < this.outageUntil) return;
    for (const [id, lease] of this.ends) if (this.sim.at > lease.at) this.end(id);
  }

  private end(id: number): void {
    this.ends.delete(id);
    for (const [key, e] of this.data) if (e.lease === id) this.data.delete(key);
  }

  outage(ms: number): void {
    this.expire();
    this.outageUntil = Math.max(this.outageUntil, this.sim.at + ms);
    for (const lease of this.ends.values()) lease.at = this.outageUntil + lease.ttl;
  }

  /** The term of the last leadership that was won. */
  term(): number {
    return (this.data.get(KEYS.term)?.value as { n: number } | undefined)?.n ?? 0;
  }

  hasLeader(): boolean {
    this.expire();
    return this.data.has(KEYS.leader);
  }

  /** What the store says of a job. */
  jobRecord(id: string): 'none' | 'open' | 'final' {
    const record = this.data.get(KEYS.open(id));
    if (!record) return 'none';
    return readTerminal(record.value) ? 'final' : 'open';
  }

  put(key: string, value: unknown): void {
    this.revision += 1;
    this.data.set(key, { value, version: this.revision, lease: null });
  }

  private apply(conditions: readonly Condition[], changes: readonly Mutation[]): CompareAndSwapResult {
    this.expire();
    const failed = conditions
      .filter((c) => (this.data.get(c.key)?.version ?? 0) !== c.version)
      .map((c) => c.key);
    if (failed.length > 0) return { kind: 'conflict', failed };
    if (changes.some((c) => 'put' in c && c.lease !== undefined && !this.ends.has(c.lease)))
      return { kind: 'no_lease' };
    const term = this.term();
    this.revision += 1;
    for (const c of changes) {
      if ('put' in c)
        this.data.set(c.put, { value: c.value, version: this.revision, lease: c.lease ?? null });
      else this.data.delete(c.delete);
    }
    if (conditions.some((c) => c.key === KEYS.leader && c.version === 0)) {
      const stands = changes.some((c) => 'put' in c && c.put === KEYS.leader);
      this.steps.push({ at: this.sim.at, term, kind: stands ? 'stand' : 'cancel' });
      this.onStep();
    }
    return { kind: 'ok', revision: this.revision };
  }

  /** The store as one controller reaches it. */
  for(node: StoreAccess): LeaseStore {
    const { sim } = this;
    const call = async <T extends { kind: string }>(
      run: () => T,
      holdMs: number | null = null,
    ): Promise<T | { kind: 'refused' } | { kind: 'unknown' }> => {
      await sim.pause(sim.between(1, 20));
      if (sim.at < this.outageUntil || sim.at < node.refusedUntil) return { kind: 'refused' };
      if (holdMs !== null || (node.lossy && sim.chance(0.1))) {
        sim.after(holdMs ?? sim.between(100, 8000), run);
        await sim.pause(LOST_AFTER_MS);
        return { kind: 'unknown' };
      }
      const result = run();
      const answerMs = node.answerMs ?? sim.between(1, node.lossy ? 900 : 20);
      await sim.pause(Math.min(answerMs, LOST_AFTER_MS));
      if (answerMs > LOST_AFTER_MS) return { kind: 'unknown' };
      return node.lossy && sim.chance(0.1) ? { kind: 'unknown' } : result;
    };
    return {
      get: (key) =>
        call(() => {
          this.expire();
          const e = this.data.get(key);
          return { kind: 'ok' as const, value: e ? { key, ...e } : null };
        }),
      compareAndSwap: (conditions, changes) => {
        const holdMs = node.holdNextTxnMs ?? null;
        node.holdNextTxnMs = null;
        return call(() => this.apply(conditions, changes), holdMs);
      },
      grantLease: (ttl) =>
        call(() => {
          this.leases += 1;
          this.ends.set(this.leases, { at: sim.at + ttl, ttl });
          return { kind: 'ok' as const, value: this.leases };
        }),
      renewLease: (id) =>
        call((): StoreResult<boolean> => {
          this.expire();
          const lease = this.ends.get(id);
          if (lease) lease.at = sim.at + lease.ttl;
          return { kind: 'ok', value: lease !== undefined };
        }),
      revokeLease: async (id) => {
        const result = await call(() => {
          this.end(id);
          return { kind: 'ok' as const };
        });
        return result.kind === 'ok';
      },
      watch: async (_prefix, after) => {
        for (let waited = 0; waited < 5000; waited += 50) {
          await sim.pause(50);
          this.expire();
          if (sim.at >= node.refusedUntil && sim.at >= this.outageUntil && this.revision !== after) break;
          if (!this.data.has(KEYS.leader)) break;
        }
        return { kind: 'ok', value: { revision: this.revision, events: [] } };
      },
    };
  }
}
