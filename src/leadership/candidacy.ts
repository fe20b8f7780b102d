/** Candidacy: acquires the leader key while it is absent. */
import type { Clock } from '../base/clock.ts';
import type { KeyValueStore } from '../store/key-value-store.ts';
import { putLeader, putTerm } from './leader-record.ts';
import type { LeaderlessWrite, LeaderlessWrites } from './leaderless-write.ts';
import type { Leadership, LeadershipState } from './leadership-state.ts';
import { computeLeaseExpiry, type LeaseOptions } from './lease.ts';
import { TOKENS_PER_RESERVATION } from '../workers/fencing-tokens.ts';

/** Upper bound of the delay that grows with a candidate's uptime, without the random part. */
const MAX_UPTIME_DELAY_MS = 120;
/** Delay of a candidate for each second of its uptime. */
const UPTIME_DELAY_MS_PER_S = 0.5;
/** Upper bound of the random part of the delay, which keeps candidates from campaigning at the same time. */
const DELAY_JITTER_MS = 20;
/** Pause of a controller whose candidacy is suspended. */
const SUSPENDED_PAUSE_MS = 200;
/** Pause while the peer lease ledger forbids leaderless writes, or after one could not begin. */
const WRITE_RETRY_MS = 50;
/** Pause after the store did not grant a lease. */
const LEASE_RETRY_MS = 100;
/** Pause after the transaction that puts the leader key failed or had no response. */
const CAMPAIGN_RETRY_MS = 30;

/** What candidacy needs from the rest of the election. */
export interface CandidacyDeps {
  node: string;
  nonce: string;
  store: Pick<KeyValueStore, 'grantLease' | 'revokeLease'>;
  clock: Clock;
  /** When this process was started, by `clock.now()`. */
  startedAt: number;
  random: () => number;
  options: LeaseOptions;
  state: LeadershipState;
  writes: LeaderlessWrites;
  pause: (ms: number) => Promise<void>;
  /** This controller won a term; its lease is valid until `leaseExpiresAt`. */
  onAcquired(leadership: Leadership, leaseExpiresAt: number): void;
  /** Aborted once the election is stopped. */
  signal: AbortSignal;
}

/** One controller's candidacy for leader. */
export class Candidacy {
  constructor(private readonly deps: CandidacyDeps) {}

  /** Makes one attempt to acquire the absent leader key, or pauses while an attempt is not allowed. */
  async campaign(): Promise<void> {
    const { clock, startedAt, state, writes, random, pause } = this.deps;
    if (!state.canCampaign(clock.now())) return pause(SUSPENDED_PAUSE_MS);
    if (!writes.canAttempt()) return pause(WRITE_RETRY_MS);
    // In a rolling restart the controller that was restarted last is the least likely to be stopped next, so a
    // shorter uptime means a shorter delay.
    const uptimeS = (clock.now() - startedAt) / 1000;
    const uptimeDelayMs = Math.min(MAX_UPTIME_DELAY_MS, uptimeS * UPTIME_DELAY_MS_PER_S);
    await pause(uptimeDelayMs + random() * DELAY_JITTER_MS);
    const write = await writes.begin('lease');
    if (write) await this.acquireLeaderKey(write);
    else await pause(WRITE_RETRY_MS);
  }

  /**
   * Puts the leader key, attached to a new lease, and raises the term in the same transaction. The term is raised by as
   * many as the fencing tokens that the leadership may need, so that the next term exceeds all of them.
   */
  private async acquireLeaderKey(write: LeaderlessWrite): Promise<void> {
    const { node, nonce, store, clock, options, pause, signal } = this.deps;
    const firstToken = write.term + 1;
    const term = write.term + TOKENS_PER_RESERVATION;
    const sentAt = clock.now();
    const lease = await store.grantLease(options.ttlMs);
    if (lease.kind !== 'ok') {
      write.abandon();
      return pause(LEASE_RETRY_MS);
    }
    const mutations = [putLeader({ node, term, nonce }, lease.value), putTerm(term)];
    const result = await write.commit([], mutations, 'lease');
    // After the election was stopped this controller must not become leader: nothing would end that leadership.
    if (result.kind !== 'ok' || signal.aborted) {
      await store.revokeLease(lease.value);
      return pause(CAMPAIGN_RETRY_MS);
    }
    const leadership = { term, firstToken, version: result.revision, lease: lease.value };
    this.deps.onAcquired(leadership, computeLeaseExpiry(sentAt, options.ttlMs));
  }
}
