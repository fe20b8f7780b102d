/** Candidacy: taking the leader key while nobody holds it. */
import type { Clock } from '../base/clock.ts';
import type { KeyValueStore } from '../store/key-value-store.ts';
import { putLeader, putTerm } from './leader-record.ts';
import type { LeaderlessWrite, LeaderlessWrites } from './leaderless-write.ts';
import type { Leadership, LeadershipState } from './leadership-state.ts';
import { computeLeaseExpiry, type LeaseOptions } from './lease.ts';

/** The longest a candidate waits because it has been up for long, before the random part. */
const MAX_UPTIME_DELAY_MS = 120;
/** A candidate waits this much for each second that it has been up. */
const UPTIME_DELAY_MS_PER_S = 0.5;
/** Bound of the random part of a candidate's wait, which keeps candidates apart. */
const DELAY_JITTER_MS = 20;
/** Pause of a controller that leaves the leadership to others. */
const SUSPENDED_PAUSE_MS = 200;
/** Pause while a leaderless write may not begin. */
const WRITE_RETRY_MS = 50;
/** Pause after the store granted no lease. */
const LEASE_RETRY_MS = 100;
/** Pause after the transaction that takes the leader key was not confirmed. */
const CAMPAIGN_RETRY_MS = 30;

/** What candidacy needs from the rest of the election. */
export interface CandidacyDeps {
  node: string;
  nonce: string;
  store: Pick<KeyValueStore, 'grantLease' | 'revokeLease'>;
  clock: Clock;
  /** When this controller was started. */
  startedAt: number;
  random: () => number;
  options: LeaseOptions;
  state: LeadershipState;
  writes: LeaderlessWrites;
  pause: (ms: number) => Promise<void>;
  /** This controller won a term, with a lease that is valid until then. */
  onAcquired(leadership: Leadership, leaseExpiresAt: number): void;
  /** Aborted once the election is stopped. */
  signal: AbortSignal;
}

/** One controller's candidacy for leader. */
export class Candidacy {
  constructor(private readonly deps: CandidacyDeps) {}

  /** The leader key was seen absent: makes one attempt to take it, or pauses while that is not allowed. */
  async contend(): Promise<void> {
    const { clock, startedAt, state, writes, random, pause } = this.deps;
    if (!state.canCampaign(clock.now())) return pause(SUSPENDED_PAUSE_MS);
    if (!writes.canAttempt()) return pause(WRITE_RETRY_MS);
    // When controllers are restarted one after the other, one that has just been is the safest choice.
    const uptimeS = (clock.now() - startedAt) / 1000;
    const uptimeDelayMs = Math.min(MAX_UPTIME_DELAY_MS, uptimeS * UPTIME_DELAY_MS_PER_S);
    await pause(uptimeDelayMs + random() * DELAY_JITTER_MS);
    const write = await writes.begin('lease');
    if (write) await this.campaign(write);
    else await pause(WRITE_RETRY_MS);
  }

  /** Takes the leader key, attached to a new lease, and counts the term up in the same transaction. */
  private async campaign(write: LeaderlessWrite): Promise<void> {
    const { node, nonce, store, clock, options, pause, signal } = this.deps;
    const term = write.term + 1;
    const sentAt = clock.now();
    const lease = await store.grantLease(options.ttlMs);
    if (lease.kind !== 'ok') {
      write.abandon();
      return pause(LEASE_RETRY_MS);
    }
    const mutations = [putLeader({ node, term, nonce }, lease.value), putTerm(term)];
    const result = await write.commit([], mutations, 'lease');
    // A controller that was stopped meanwhile must not lead: nobody would end that leadership.
    if (result.kind !== 'ok' || signal.aborted) {
      await store.revokeLease(lease.value);
      return pause(CAMPAIGN_RETRY_MS);
    }
    const leadership = { term, version: result.revision, lease: lease.value };
    this.deps.onAcquired(leadership, computeLeaseExpiry(sentAt, options.ttlMs));
  }
}
