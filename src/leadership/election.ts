/**
 * Leader election by a key in the key-value store that is attached to a lease. The term is counted up in the
 * transaction that takes the key, and is the fencing token of all that the leader sends. The holder counts its lease
 * from the moment a renewal was sent.
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

/** What the election needs of the key-value store. */
export type ElectionStore = Pick<
  KeyValueStore,
  'get' | 'compareAndSwap' | 'grantLease' | 'renewLease' | 'revokeLease' | 'watch'
>;

/** Called when this controller's leadership begins and ends. */
export interface ElectionEvents {
  /** This controller leads from now on. */
  acquired(leadership: Leadership): void;
  /** It leads no more; the reason is for the log. */
  lost(reason: string): void;
}

/** What an election is made of. */
export interface ElectionDeps {
  /** Name of this controller, unique in the deployment. */
  node: string;
  /** Unique to this process. */
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
  /** A background task of the election failed, which is a defect; that task has ended. */
  onFault: (error: unknown) => void;
}

/** One controller's part in the election, and owner of the election's background tasks. */
export class Election {
  private readonly state = new LeadershipState();
  private readonly ledger: PeerLeaseLedger;
  private readonly records: LeadershipRecords;
  private readonly leaderlessWrites: LeaderlessWrites;
  private readonly peerLeases: PeerLeaseExtension;
  private readonly stopping = new AbortController();

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

  /** Begins to watch the leader key, and to contend for it while it is absent. */
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
      onAcquired: (leadership, leaseValidUntil) => {
        this.becomeLeader(leadership, leaseValidUntil);
      },
    });
    const contend = (): Promise<void> => candidacy.contend();
    const watch = new LeaderWatch({ node, store, random, log, state, records, pause, contend, signal });
    this.runInBackground(watch.run());
  }

  /** Ends the background tasks. A candidacy under way goes on to its end, but gives up the lease that it wins. */
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

  /** Name of the controller that leads, as far as this one knows. */
  leaderName(): string | null {
    return this.state.isLeading() ? this.deps.node : this.state.knownLeader;
  }

  /** Begins a write that needs the absence of a leader. null: not now, or there is a leader. */
  beginLeaderlessWrite(urgency: Urgency): Promise<LeaderlessWrite | null> {
    return this.leaderlessWrites.begin(urgency);
  }

  /**
   * A leader that can't reach the store asks this controller to abstain from leaderless writes for a while. Granted
   * only if this controller can't reach the store either: where that can be reached, its lease decides.
   */
  async grantPeerLease(request: PeerLeaseRequest): Promise<boolean> {
    const { leadership } = this.state;
    // Only who has won a term asks for it.
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

  /** Gives the leadership up, for instance because a higher fencing token was seen. */
  stepDown(reason: string): void {
    const ended = this.state.onLeadershipEnded();
    if (!ended) return;
    this.deps.log.info({ term: ended.term, reason }, 'leadership lost');
    this.deps.events.lost(reason);
    this.runInBackground(this.deps.store.revokeLease(ended.lease));
  }

  /** Gives the leadership up and leaves it to others for so many ms. */
  stepDownFor(ms: number, reason: string): void {
    this.state.onCandidacySuspended(this.deps.clock.now() + ms);
    this.stepDown(reason);
  }

  private becomeLeader(leadership: Leadership, leaseExpiresAt: number): void {
    this.state.onLeadershipAcquired(leadership, leaseExpiresAt);
    this.deps.log.info({ term: leadership.term }, 'leadership acquired');
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
