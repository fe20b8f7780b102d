import * as z from 'zod/mini';
import type { Logger } from '../core/log.ts';
import { DRIFT, type Clock } from '../core/clock.ts';
import { KEYS } from '../store/keys.ts';
import type { StoreClient } from '../store/client.ts';

/** What the election needs of the state service. */
export type LeaseStore = Pick<StoreClient, 'get' | 'txn' | 'grant' | 'renew' | 'revoke' | 'watch'>;

const leaderRecord = z.object({ node: z.string(), term: z.int(), nonce: z.string() });
const termRecord = z.object({ n: z.int() });

export interface Leadership {
  term: number;
  /** Version of the leader key: the condition of every write. */
  version: number;
  lease: number;
}

export interface ElectionEvents {
  won(leadership: Leadership): void;
  lost(reason: string): void;
}

export interface ElectionOptions {
  ttlMs: number;
  renewMs: number;
}

const MOST_DELAY_MS = 120;

/** How long a renewal that was sent at a given moment surely holds, on our own steady clock. */
export function validUntil(sentAt: number, ttlMs: number): number {
  return sentAt + ttlMs * (1 - DRIFT) - 20;
}

/**
 * Leadership by a key in the store that is attached to a lease. The term is counted up in the transaction
 * that takes the key. The holder counts its lease from the moment a renewal was sent.
 */
export class Election {
  private leadership: Leadership | null = null;
  private surelyUntil = -Infinity;
  private knownLeader: string | null = null;
  private stopped = false;
  private startedAt = 0;

  constructor(
    private readonly node: string,
    private readonly nonce: string,
    private readonly store: LeaseStore,
    private readonly clock: Clock,
    private readonly random: () => number,
    private readonly options: ElectionOptions,
    private readonly events: ElectionEvents,
    private readonly log: Logger,
    private readonly pause: (ms: number) => Promise<void> = (ms) =>
      new Promise((resolve) => setTimeout(resolve, ms)),
  ) {}

  start(): void {
    this.startedAt = this.clock.now();
    void this.follow();
  }

  stop(): void {
    this.stopped = true;
  }

  current(): Leadership | null {
    return this.leadership;
  }

  /** True while no other node can hold the leader key. */
  surelyLeading(): boolean {
    return this.leadership !== null && this.clock.now() < this.surelyUntil;
  }

  /** Milliseconds since the lease was last sure; 0 while it is. */
  unsureForMs(): number {
    return Math.max(0, this.clock.now() - this.surelyUntil);
  }

  leader(): string | null {
    return this.leadership ? this.node : this.knownLeader;
  }

  /** Gives the leadership up, for instance because a higher token was seen. */
  stepDown(reason: string): void {
    const held = this.leadership;
    if (!held) return;
    this.leadership = null;
    this.knownLeader = null;
    this.surelyUntil = -Infinity;
    this.log.info({ term: held.term, reason }, 'leadership lost');
    this.events.lost(reason);
    void this.store.revoke(held.lease);
  }

  private async follow(): Promise<void> {
    let pauseMs = 100;
    while (!this.stopped) {
      if (this.leadership) {
        await this.pause(200);
        continue;
      }
      const found = await this.store.get(KEYS.leader, 'lease');
      if (found.kind !== 'ok') {
        await this.pause(pauseMs + this.random() * 100);
        pauseMs = Math.min(800, pauseMs * 2);
        continue;
      }
      pauseMs = 100;
      if (found.value === null) {
        this.knownLeader = null;
        await this.contend();
        continue;
      }
      const record = leaderRecord.safeParse(found.value.value);
      if (!record.success) {
        this.log.error('leader record is malformed');
        await this.pause(500);
        continue;
      }
      const holder = record.data;
      if (holder.node === this.node) {
        // Our own earlier self: it is gone, or this is the answer to a transaction we gave up on.
        const lease = found.value.lease;
        this.log.info({ term: holder.term }, 'ending the lease of this node from before');
        if (lease !== null) await this.store.revoke(lease);
        await this.pause(20);
        continue;
      }
      if (this.knownLeader !== holder.node) {
        this.log.info({ leader: holder.node, term: holder.term }, 'following');
        this.knownLeader = holder.node;
      }
      await this.awaitChange(found.value.version);
    }
  }

  private async awaitChange(version: number): Promise<void> {
    const watched = await this.store.watch(KEYS.leader, version, 20_000);
    if (watched.kind !== 'ok') await this.pause(150 + this.random() * 100);
  }

  private async contend(): Promise<void> {
    // When controllers are restarted one after the other, one that has just been is the safest choice.
    const upS = (this.clock.now() - this.startedAt) / 1000;
    await this.pause(Math.min(MOST_DELAY_MS, upS / 2) + this.random() * 20);
    const term = await this.store.get(KEYS.term, 'lease');
    if (term.kind !== 'ok') return this.pause(100);
    const before = term.value === null ? null : termRecord.safeParse(term.value.value);
    if (before && !before.success) {
      this.log.error('term record is malformed');
      return this.pause(1000);
    }
    const next = (before?.data?.n ?? 0) + 1;
    const sentAt = this.clock.now();
    const lease = await this.store.grant(this.options.ttlMs);
    if (lease.kind !== 'ok') return this.pause(100);
    const record = { node: this.node, term: next, nonce: this.nonce };
    const result = await this.store.txn(
      [
        { key: KEYS.leader, version: 0 },
        { key: KEYS.term, version: term.value?.version ?? 0 },
      ],
      [
        { put: KEYS.leader, value: record, lease: lease.value },
        { put: KEYS.term, value: { n: next } },
      ],
      'lease',
    );
    if (result.kind !== 'ok') {
      await this.store.revoke(lease.value);
      return this.pause(30);
    }
    this.leadership = { term: next, version: result.revision, lease: lease.value };
    this.surelyUntil = validUntil(sentAt, this.options.ttlMs);
    this.log.info({ term: next }, 'leadership won');
    void this.renewLoop(this.leadership);
    this.events.won(this.leadership);
  }

  private async renewLoop(held: Leadership): Promise<void> {
    let failures = 0;
    while (this.leadership === held && !this.stopped) {
      await this.pause(failures === 0 ? this.options.renewMs : Math.min(500, 100 * failures));
      if (this.leadership !== held) return;
      const sentAt = this.clock.now();
      const renewed = await this.store.renew(held.lease, 1000);
      if (this.leadership !== held) return;
      if (renewed.kind !== 'ok') {
        failures += 1;
        continue;
      }
      failures = 0;
      if (!renewed.value) return this.stepDown('lease over');
      this.surelyUntil = Math.max(this.surelyUntil, validUntil(sentAt, this.options.ttlMs));
    }
  }
}
