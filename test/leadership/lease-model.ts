/** Model of the key-value store with leases, in simulated time. */
import type { ElectionStore } from '../../src/leadership/election.ts';
import { decodeTerminalRecord } from '../../src/jobs/records.ts';
import { KEYS } from '../../src/store/keys.ts';
import type { StoreResult, CompareAndSwapResult } from '../../src/store/key-value-store.ts';
import type { Mutation, Condition } from '../../src/wire/state.ts';
import type { Sim } from '../model/sim.ts';

interface Entry {
  value: unknown;
  version: number;
  lease: number | null;
}

/** The connection of one controller to the store. */
export interface StoreAccess {
  /** The store refuses this controller's calls, but not those of the others, until this time. */
  refusedUntil: number;
  /** A tenth of the calls is executed late, and a tenth of the responses is lost. */
  lossy: boolean;
  /** How long responses take; a client waits no longer than `CALL_TIMEOUT_MS`. */
  answerDelayMs?: number | undefined;
  /** The next transaction gets no response and is executed after this time. */
  delayNextTransactionMs?: number | null;
}

/** An executed transaction that required the absence of the leader key. */
export interface ExecutedLeaderlessWrite {
  at: number;
  /** Term in the store immediately before the transaction. */
  term: number;
  kind: 'candidacy' | 'cancellation';
}

type Failed = { kind: 'refused' } | { kind: 'unknown' };

/** How long a client waits for a response, in ms. */
const CALL_TIMEOUT_MS = 1500;

/** Keys and leases in simulated time; the calls of each controller can be refused, and their responses lost. */
export class LeaseModel {
  readonly leaderlessWrites: ExecutedLeaderlessWrite[] = [];
  onLeaderlessWrite: () => void = () => undefined;
  outageUntil = 0;
  private readonly data = new Map<string, Entry>();
  private readonly leases = new Map<number, { expiresAt: number; ttlMs: number }>();
  private revision = 1;
  private leasesGranted = 0;

  constructor(private readonly sim: Sim) {}

  private expire(): void {
    if (this.sim.at < this.outageUntil) return;
    for (const [id, lease] of this.leases) if (this.sim.at > lease.expiresAt) this.endLease(id);
  }

  private endLease(id: number): void {
    this.leases.delete(id);
    for (const [key, entry] of this.data) if (entry.lease === id) this.data.delete(key);
  }

  /** Refuses all calls for this time. When the outage ends, every lease has its full time to live again. */
  startOutage(ms: number): void {
    this.expire();
    this.outageUntil = Math.max(this.outageUntil, this.sim.at + ms);
    for (const lease of this.leases.values()) lease.expiresAt = this.outageUntil + lease.ttlMs;
  }

  /** The term of the last leadership that was won. */
  term(): number {
    return (this.data.get(KEYS.term)?.value as { n: number } | undefined)?.n ?? 0;
  }

  hasLeader(): boolean {
    this.expire();
    return this.data.has(KEYS.leader);
  }

  /** The state of a job's record. */
  jobRecord(id: string): 'none' | 'open' | 'terminal' {
    const record = this.data.get(KEYS.open(id));
    if (!record) return 'none';
    return decodeTerminalRecord(record.value) ? 'terminal' : 'open';
  }

  put(key: string, value: unknown): void {
    this.revision += 1;
    this.data.set(key, { value, version: this.revision, lease: null });
  }

  private apply(conditions: readonly Condition[], mutations: readonly Mutation[]): CompareAndSwapResult {
    this.expire();
    const failed = conditions
      .filter(({ key, version }) => (this.data.get(key)?.version ?? 0) !== version)
      .map(({ key }) => key);
    if (failed.length > 0) return { kind: 'conflict', failed };
    if (mutations.some((mutation) => this.usesExpiredLease(mutation))) return { kind: 'no_lease' };
    const term = this.term();
    this.revision += 1;
    for (const mutation of mutations) {
      if ('put' in mutation) {
        const { put, value, lease = null } = mutation;
        this.data.set(put, { value, version: this.revision, lease });
      } else {
        this.data.delete(mutation.delete);
      }
    }
    if (conditions.some(({ key, version }) => key === KEYS.leader && version === 0)) {
      const isCandidacy = mutations.some((mutation) => 'put' in mutation && mutation.put === KEYS.leader);
      this.leaderlessWrites.push({
        at: this.sim.at,
        term,
        kind: isCandidacy ? 'candidacy' : 'cancellation',
      });
      this.onLeaderlessWrite();
    }
    return { kind: 'ok', revision: this.revision };
  }

  private usesExpiredLease(mutation: Mutation): boolean {
    return 'put' in mutation && mutation.lease !== undefined && !this.leases.has(mutation.lease);
  }

  /** The store as accessed over one controller's connection. */
  storeOf(access: StoreAccess): ElectionStore {
    const call = <T extends { kind: string }>(
      run: () => T,
      delayMs: number | null = null,
    ): Promise<T | Failed> => this.call(access, run, delayMs);
    return {
      get: (key) =>
        call(() => {
          this.expire();
          const entry = this.data.get(key);
          return { kind: 'ok' as const, value: entry ? { key, ...entry } : null };
        }),
      compareAndSwap: (conditions, mutations) => {
        const delayMs = access.delayNextTransactionMs ?? null;
        access.delayNextTransactionMs = null;
        return call(() => this.apply(conditions, mutations), delayMs);
      },
      grantLease: (ttlMs) =>
        call(() => {
          this.leasesGranted += 1;
          this.leases.set(this.leasesGranted, { expiresAt: this.sim.at + ttlMs, ttlMs });
          return { kind: 'ok' as const, value: this.leasesGranted };
        }),
      renewLease: (id) =>
        call((): StoreResult<boolean> => {
          this.expire();
          const lease = this.leases.get(id);
          if (lease) lease.expiresAt = this.sim.at + lease.ttlMs;
          return { kind: 'ok', value: lease !== undefined };
        }),
      revokeLease: async (id) => {
        const result = await call(() => {
          this.endLease(id);
          return { kind: 'ok' as const };
        });
        return result.kind === 'ok';
      },
      watch: async (_prefix, after) => {
        for (let waited = 0; waited < 5000; waited += 50) {
          await this.sim.pause(50);
          this.expire();
          if (
            this.sim.at >= access.refusedUntil &&
            this.sim.at >= this.outageUntil &&
            this.revision !== after
          )
            break;
          if (!this.data.has(KEYS.leader)) break;
        }
        return { kind: 'ok', value: { revision: this.revision, events: [] } };
      },
    };
  }

  private async call<T extends { kind: string }>(
    access: StoreAccess,
    run: () => T,
    delayMs: number | null,
  ): Promise<T | Failed> {
    const { sim } = this;
    await sim.pause(sim.between(1, 20));
    if (sim.at < this.outageUntil || sim.at < access.refusedUntil) return { kind: 'refused' };
    if (delayMs !== null || (access.lossy && sim.chance(0.1))) {
      sim.after(delayMs ?? sim.between(100, 8000), run);
      await sim.pause(CALL_TIMEOUT_MS);
      return { kind: 'unknown' };
    }
    const result = run();
    const answerDelayMs = access.answerDelayMs ?? sim.between(1, access.lossy ? 900 : 20);
    await sim.pause(Math.min(answerDelayMs, CALL_TIMEOUT_MS));
    if (answerDelayMs > CALL_TIMEOUT_MS) return { kind: 'unknown' };
    return access.lossy && sim.chance(0.1) ? { kind: 'unknown' } : result;
  }
}
