import * as z from 'zod/mini';
import type { Logger } from '../base/log.ts';
import { DRIFT, type Clock } from '../base/clock.ts';
import { KEYS } from '../store/keys.ts';
import type { Urgency } from '../store/call-budget.ts';
import type { KeyValueStore, StoreResult, CompareAndSwapResult } from '../store/key-value-store.ts';
import type { Mutation, Condition, Item } from '../wire/state.ts';
import {
  validUntil,
  PEER_LEASE_MS,
  PeerLeaseLedger,
  type PeerLeaseRequest,
  type LeaderlessWriteOutcome,
} from './peer-leases.ts';

/** What the election needs of the state service. */
export type LeaseStore = Pick<
  KeyValueStore,
  'get' | 'compareAndSwap' | 'grantLease' | 'renewLease' | 'revokeLease' | 'watch'
>;

const leaderRecord = z.object({ node: z.string(), term: z.int(), nonce: z.string() });
const termRecord = z.object({ n: z.int() });

export interface Leadership {
  term: number;
  /** Version of the leader key: the condition of every write. */
  version: number;
  lease: number;
}

export interface ElectionEvents {
  acquired(leadership: Leadership): void;
  lost(reason: string): void;
}

export interface ElectionOptions {
  ttlMs: number;
  renewMs: number;
}

/** A step that needs a leader's absence; it must be ended by one of the two calls. Nothing is promised meanwhile. */
export interface LeaderlessWrite {
  /** The last term that was won. */
  readonly term: number;
  /** Sends the step's transaction, conditional on the leader's absence and the step's term, and ends the step. */
  commit(
    conditions: readonly Condition[],
    changes: readonly Mutation[],
    urgency: Urgency,
  ): Promise<CompareAndSwapResult>;
  /** Ends the step without having sent anything. */
  abandon(): void;
}

const MOST_DELAY_MS = 120;
const MOST_RENEWALS = 4;

/** A node with less of a core than this reads answers later, and its lease is longer in proportion. */
const FULL_SHARE = 0.14;
const LONGEST = 2;

/** The time to live of the lease on nodes with such a share of a core; it is the same on all of them. */
export function leaseMs(wantedMs: number, cores: number): number {
  const factor = cores > 0 ? FULL_SHARE / cores : 1;
  return Math.round(wantedMs * Math.min(LONGEST, Math.max(1, factor)));
}

/** How long a renewal that was sent at a given moment surely holds, on our own steady clock. */
export function renewalValidUntil(sentAt: number, ttlMs: number): number {
  return sentAt + ttlMs * (1 - DRIFT) - 20;
}

/**
 * Leadership by a key in the store that is attached to a lease. The term is counted up in the transaction
 * that takes the key. The holder counts its lease from the moment a renewal was sent.
 */
export class Election {
  private leadership: Leadership | null = null;
  private leaseValidUntil = -Infinity;
  private knownLeader: string | null = null;
  private stopped = false;
  private startedAt = 0;
  /** Until when each of the other controllers, and this one, does nothing that needs the leader's absence. */
  private peerLeasesValidUntil: number[] = [];
  private readonly ledger: PeerLeaseLedger;
  /** Not standing before: others can do what this node can't. */
  private noCandidacyUntil = -Infinity;

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
    /** Asks all other controllers, always in the same order, to promise. null where promises are not used. */
    private readonly requestPeerLeases:
      ((request: PeerLeaseRequest) => Promise<readonly boolean[]>) | null = null,
  ) {
    this.ledger = new PeerLeaseLedger(clock.now());
  }

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
  hasValidLease(): boolean {
    return this.leadership !== null && this.clock.now() < this.validUntil();
  }

  /** Milliseconds since the lease was last sure; 0 while it is. */
  msSinceLeaseExpiry(): number {
    return Math.max(0, this.clock.now() - this.validUntil());
  }

  private validUntil(): number {
    return Math.max(this.leaseValidUntil, this.peerLeasesEnd());
  }

  private peerLeasesEnd(): number {
    return this.peerLeasesValidUntil.length === 0 ? -Infinity : Math.min(...this.peerLeasesValidUntil);
  }

  /**
   * Begins a step that needs a leader's absence. null: not now, or there is a leader. The term is read before the
   * leader key is seen absent, so a step that is sent belongs to a term whose lease is over for good; and its
   * transaction can't be carried out once another term has begun.
   */
  async beginLeaderlessWrite(urgency: Urgency): Promise<LeaderlessWrite | null> {
    if (this.leadership || !this.mayTryWrite()) return null;
    const term = await this.readTerm(urgency);
    if (!term || this.leadership || !this.ledger.beginWrite(this.clock.now())) return null;
    const end = (outcome: LeaderlessWriteOutcome): void => {
      this.ledger.endWrite(term.n, outcome);
    };
    const found = await this.readLeader(urgency);
    if (found.kind !== 'ok' || found.value !== null) {
      end('not_executed');
      return null;
    }
    return {
      term: term.n,
      commit: async (conditions, changes, how) => {
        const absent = [
          { key: KEYS.leader, version: 0 },
          { key: KEYS.term, version: term.version },
        ];
        const result = await this.store.compareAndSwap([...absent, ...conditions], changes, how);
        end(outcomeOf(result));
        return result;
      },
      abandon: () => {
        end('not_executed');
      },
    };
  }

  /**
   * Asked by a leader that can't reach the state service: this node promises to begin no step that needs a leader's
   * absence for a while, but only if it can't reach the service either. Where that can be reached, the lease decides.
   */
  async grantPeerLease(request: PeerLeaseRequest): Promise<boolean> {
    // Only who has won a term asks for it.
    if (this.leadership && request.term > this.leadership.term) this.stepDown('a newer leader asks');
    if (!this.mayGrantPeerLease(request)) return false;
    const seen = await this.readLeader('lease');
    if (seen.kind === 'ok' || !this.mayGrantPeerLease(request)) return false;
    this.ledger.grant(request.ms, this.clock.now());
    return true;
  }

  private mayTryWrite(): boolean {
    const now = this.clock.now();
    return this.ledger.mayBeginWrite(now) || this.ledger.needsTerm(now);
  }

  private mayGrantPeerLease(request: PeerLeaseRequest): boolean {
    return this.leadership === null && this.ledger.mayGrant(request);
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
    this.leaseValidUntil = -Infinity;
    this.peerLeasesValidUntil = [];
    this.log.info({ term: held.term, reason }, 'leadership lost');
    this.events.lost(reason);
    void this.store.revokeLease(held.lease);
  }

  /** Gives the leadership up and leaves it to others for a while. */
  stepDownFor(ms: number, reason: string): void {
    this.noCandidacyUntil = this.clock.now() + ms;
    this.stepDown(reason);
  }

  /** The leader key as the store has it now. */
  private async readLeader(urgency: Urgency): Promise<StoreResult<Item | null>> {
    const found = await this.store.get(KEYS.leader, urgency);
    if (found.kind !== 'ok' || found.value === null) return found;
    const record = leaderRecord.safeParse(found.value.value);
    if (record.success) this.ledger.witness(record.data.term);
    return found;
  }

  /** The last term that was won, and the version of its record; null: not known now. */
  private async readTerm(urgency: Urgency): Promise<{ n: number; version: number } | null> {
    const found = await this.store.get(KEYS.term, urgency);
    if (found.kind !== 'ok') return null;
    if (found.value === null) {
      this.ledger.noteTerm(0);
      return { n: 0, version: 0 };
    }
    const record = termRecord.safeParse(found.value.value);
    if (record.success) {
      this.ledger.noteTerm(record.data.n);
      return { n: record.data.n, version: found.value.version };
    }
    this.log.error('term record is malformed');
    return null;
  }

  private async follow(): Promise<void> {
    let pauseMs = 100;
    while (!this.stopped) {
      if (this.leadership) {
        await this.pause(200);
        continue;
      }
      const found = await this.readLeader('lease');
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
        if (lease !== null) await this.store.revokeLease(lease);
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
    if (this.clock.now() < this.noCandidacyUntil) return this.pause(200);
    if (!this.mayTryWrite()) return this.pause(50);
    // When controllers are restarted one after the other, one that has just been is the safest choice.
    const upS = (this.clock.now() - this.startedAt) / 1000;
    await this.pause(Math.min(MOST_DELAY_MS, upS / 2) + this.random() * 20);
    const step = await this.beginLeaderlessWrite('lease');
    if (step) await this.stand(step);
    else await this.pause(50);
  }

  private async stand(step: LeaderlessWrite): Promise<void> {
    const next = step.term + 1;
    const sentAt = this.clock.now();
    const lease = await this.store.grantLease(this.options.ttlMs);
    if (lease.kind !== 'ok') {
      step.abandon();
      return this.pause(100);
    }
    const record = { node: this.node, term: next, nonce: this.nonce };
    const result = await step.commit(
      [],
      [
        { put: KEYS.leader, value: record, lease: lease.value },
        { put: KEYS.term, value: { n: next } },
      ],
      'lease',
    );
    // A node that was stopped meanwhile must not lead: nobody would end that leadership.
    if (result.kind !== 'ok' || this.stopped) {
      await this.store.revokeLease(lease.value);
      return this.pause(30);
    }
    this.leadership = { term: next, version: result.revision, lease: lease.value };
    this.leaseValidUntil = renewalValidUntil(sentAt, this.options.ttlMs);
    this.log.info({ term: next }, 'leadership won');
    void this.renewLoop(this.leadership);
    this.events.acquired(this.leadership);
  }

  /**
   * Renewals are sent one after the other without waiting for answers: on a busy node answers are read late, and
   * a renewal that waited for the one before it once came too late for a lease of several seconds.
   */
  private async renewLoop(held: Leadership): Promise<void> {
    const state = { open: 0, failures: 0, asking: false };
    while (this.leadership === held && !this.stopped) {
      const { failures } = state;
      await this.pause(failures === 0 ? this.options.renewMs : Math.min(500, 100 * failures));
      if (this.leadership !== held) return;
      if (state.open >= MOST_RENEWALS) continue;
      state.open += 1;
      void this.renew(held, state).finally(() => {
        state.open -= 1;
      });
    }
  }

  private async renew(held: Leadership, state: { failures: number; asking: boolean }): Promise<void> {
    const sentAt = this.clock.now();
    const renewed = await this.store.renewLease(held.lease, this.options.ttlMs / 2);
    if (this.leadership !== held) return;
    if (renewed.kind === 'ok') {
      state.failures = 0;
      if (!renewed.value) this.stepDown('lease over');
      else
        this.leaseValidUntil = Math.max(this.leaseValidUntil, renewalValidUntil(sentAt, this.options.ttlMs));
      return;
    }
    state.failures += 1;
    if (state.asking) return;
    state.asking = true;
    await this.extend(held);
    state.asking = false;
  }

  /**
   * In an outage that all controllers see, the others' promises stand in for the lease. A leadership that is still
   * sure when they arrive goes on without a gap; after a gap it is only sure again if the others can tell that
   * nobody acted without a leader meanwhile.
   */
  private async extend(held: Leadership): Promise<void> {
    if (!this.requestPeerLeases) return;
    const sentAt = this.clock.now();
    const continuous = this.hasValidLease();
    const answers = await this.requestPeerLeases({ term: held.term, ms: PEER_LEASE_MS, continuous });
    if (this.leadership !== held || !this.ledger.hasNoWriteIn(held.term)) return;
    if (continuous && !this.hasValidLease()) return;
    const before = this.peerLeasesEnd();
    const until = validUntil(sentAt, PEER_LEASE_MS);
    // This node itself does nothing of the kind while it leads.
    this.peerLeasesValidUntil = [...answers, true].map((promised, i) =>
      promised ? until : (this.peerLeasesValidUntil[i] ?? -Infinity),
    );
    if (this.clock.now() >= this.leaseValidUntil && before < this.leaseValidUntil && this.hasValidLease()) {
      this.log.info(
        { term: held.term, continuous },
        'state service not reached, the others promised not to act without a leader',
      );
    }
  }
}

function outcomeOf(result: CompareAndSwapResult): LeaderlessWriteOutcome {
  if (result.kind === 'ok') return 'executed';
  return result.kind === 'unknown' ? 'unknown' : 'not_executed';
}
