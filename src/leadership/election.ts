/**
 * Leader election by a key in the key-value store that is attached to a lease. The transaction that puts the key also
 * raises the term, which bounds the fencing tokens of the leader's messages. The holder measures its lease from
 * the time at which it sent the renewal.
 */
import type { Clock } from '../base/clock.ts';
import type { Logger } from '../base/log.ts';
import type { Urgency } from '../store/call-budget.ts';
import type { KeyValueStore } from '../store/key-value-store.ts';
import { Candidacy } from './candidacy.ts';
import { LeaderWatch } from './leader-watch.ts';
import { LeaderlessWrites, type LeaderlessWrite } from './leaderless-write.ts';
import { LeadershipRecords } from './leader-record.ts';
import { LeadershipState, type Leadership } from './leadership-state.ts';
import { LeaseRenewal } from './lease-renewal.ts';
import type { LeaseOptions } from './lease.ts';
import { PeerLeaseExtension } from './peer-lease-extension.ts';
import { PeerLeaseLedger } from './peer-lease-ledger.ts';
import type { PeerLeaseRequest, RequestPeerLeases } from './peer-leases.ts';

/** The calls of the key-value store that the election uses. */
export type ElectionStore = Pick<
  KeyValueStore,
  'get' | 'compareAndSwap' | 'grantLease' | 'renewLease' | 'revokeLease' | 'watch'
>;

/** Called when this controller's leadership begins and ends. */
export interface ElectionEvents {
  /** This controller has become leader. */
  acquired(leadership: Leadership): void;
  /** This controller is no longer leader; the reason is for the log. */
  lost(reason: string): void;
}

/** Collaborators and settings of an election. */
export interface ElectionDeps {
  /** Name of this controller, unique in the deployment. */
  node: string;
  /** Unique to this process, unlike the name, which a restarted controller keeps. */
  nonce: string;
  store: ElectionStore;
  clock: Clock;
  /** Random numbers from 0 to below 1. */
  random: () => number;
  options: LeaseOptions;
  events: ElectionEvents;
  log: Logger;
  pause: (ms: number) => Promise<void>;
  /** null: peer leases are not used. */
  requestPeerLeases: RequestPeerLeases | null;
  /** Called when a background task of the election has ended with an error, which is a defect. */
  onFault: (error: unknown) => void;
}

/** One controller's participation in the election; owns the election's background tasks. */
export class Election {
  private readonly state = new LeadershipState();
  private readonly ledger: PeerLeaseLedger;
  private readonly records: LeadershipRecords;
  private readonly leaderlessWrites: LeaderlessWrites;
  private readonly peerLeases: PeerLeaseExtension;
  private readonly stopping = new AbortController();
  /** When this controller last became leader, in milliseconds on the steady clock. */
  private acquiredAt = -Infinity;

  constructor(private readonly deps: ElectionDeps) {
    const { clock, store, log, requestPeerLeases } = deps;
    const { state } = this;
    const ledger = new PeerLeaseLedger(clock.now());
    const records = new LeadershipRecords(store, ledger, log);
    const isLeading = (): boolean => state.isLeading();
    const hasValidLease = (): boolean => this.hasValidLease();
    this.ledger = ledger;
    this.records = records;
    this.leaderlessWrites = new LeaderlessWrites({ store, clock, ledger, records, isLeading });
    this.peerLeases = new PeerLeaseExtension({ clock, log, state, ledger, hasValidLease, requestPeerLeases });
  }

  /** Starts to watch the leader key, and to campaign for it while it is absent. */
  start(): void {
    const { node, nonce, store, clock, random, options, log, pause } = this.deps;
    const { state, records, leaderlessWrites: writes } = this;
    const { signal } = this.stopping;
    const candidacy = new Candidacy({
      node,
      nonce,
      store,
      clock,
      startedAt: clock.now(),
      random,
      options,
      state,
      writes,
      pause,
      signal,
      onAcquired: (leadership, leaseExpiresAt) => {
        this.becomeLeader(leadership, leaseExpiresAt);
      },
    });
    const campaign = (): Promise<void> => candidacy.campaign();
    const watch = new LeaderWatch({ node, store, random, log, state, records, pause, campaign, signal });
    this.runInBackground(watch.run());
  }

  /** Ends the background tasks. A campaign in progress is completed, but the lease that it wins is revoked. */
  stop(): void {
    this.stopping.abort();
  }

  /** The leadership that this controller holds, whether or not its lease is valid. */
  currentLeadership(): Leadership | null {
    return this.state.leadership;
  }

  /** True while no other controller can hold the leader key. */
  hasValidLease(): boolean {
    return this.state.hasValidLease(this.deps.clock.now());
  }

  /** Milliseconds since the lease expired; 0 while it is valid. */
  msSinceLeaseExpiry(): number {
    return this.state.msSinceLeaseExpiry(this.deps.clock.now());
  }

  /** Name of the leader as last observed; null if none is known. */
  leaderName(): string | null {
    return this.state.isLeading() ? this.deps.node : this.state.knownLeader;
  }

  /** Begins a write that requires the absence of a leader. null: there is a leader, or the write may not begin now. */
  beginLeaderlessWrite(urgency: Urgency): Promise<LeaderlessWrite | null> {
    return this.leaderlessWrites.begin(urgency);
  }

  /**
   * Handles the request of a leader that can't reach the store: this controller is asked to abstain from leaderless
   * writes for a while. Granted only if this controller can't reach the store either; while the store can be reached,
   * the leader's lease there decides.
   */
  async grantPeerLease(request: PeerLeaseRequest): Promise<boolean> {
    const { leadership } = this.state;
    // Only the winner of a term sends requests with it, so a higher term means that a newer leader exists.
    if (leadership && request.term > leadership.term) this.stepDown('a newer leader requested a peer lease');
    if (!this.canGrantPeerLease(request)) return false;
    const read = await this.records.readLeader('lease');
    if (read.kind !== 'unavailable' || !this.canGrantPeerLease(request)) return false;
    this.ledger.grant(request.ms, this.deps.clock.now());
    return true;
  }

  private canGrantPeerLease(request: PeerLeaseRequest): boolean {
    return !this.state.isLeading() && this.ledger.canGrant(request);
  }

  /** Ends the leadership, for instance because a higher fencing token was seen, and revokes its lease. */
  stepDown(reason: string): void {
    const ended = this.state.onLeadershipEnded();
    if (!ended) return;
    const ledMs = Math.round(this.deps.clock.now() - this.acquiredAt);
    this.deps.log.info({ term: ended.term, reason, ledMs }, 'leadership lost');
    this.deps.events.lost(reason);
    this.runInBackground(this.deps.store.revokeLease(ended.lease));
  }

  /** Ends the leadership and suspends this controller's candidacy for `ms` milliseconds. */
  stepDownFor(ms: number, reason: string): void {
    this.state.onCandidacySuspended(this.deps.clock.now() + ms);
    this.stepDown(reason);
  }

  private becomeLeader(leadership: Leadership, leaseExpiresAt: number): void {
    this.state.onLeadershipAcquired(leadership, leaseExpiresAt);
    const { term, firstToken } = leadership;
    this.acquiredAt = this.deps.clock.now();
    this.deps.log.info({ term, firstToken, lastToken: term }, 'leadership acquired');
    this.runInBackground(this.createLeaseRenewal(leadership).run());
    this.deps.events.acquired(leadership);
  }

  private createLeaseRenewal(leadership: Leadership): LeaseRenewal {
    const { store, clock, options, pause } = this.deps;
    return new LeaseRenewal(leadership, {
      store,
      clock,
      options,
      state: this.state,
      pause,
      signal: this.stopping.signal,
      extendByPeerLeases: (held) => this.peerLeases.extend(held),
      stepDown: (reason) => {
        this.stepDown(reason);
      },
      runInBackground: (task) => {
        this.runInBackground(task);
      },
    });
  }

  private runInBackground(task: Promise<unknown>): void {
    task.catch(this.deps.onFault);
  }
}
