/** Record of the peer leases and leaderless writes of this controller, which exclude each other. */
import { computeAbstentionEnd, MAX_PEER_LEASE_MS, type PeerLeaseRequest } from './peer-leases.ts';

/** Outcome of a leaderless write. `unknown`: no response; the transaction may have been or may yet be executed. */
export type LeaderlessWriteOutcome = 'not_executed' | 'executed' | 'unknown';

/**
 * Decides when this controller may grant a peer lease and when it may begin a leaderless write. A peer lease obliges
 * this controller to abstain from leaderless writes. Leaderless writes require the absence of a leader: candidacy, and
 * the cancellation of a job without a leader. Such a write belongs to the term that the term record held when the
 * write began. Times are milliseconds on the steady clock of this process. The rules are in docs/safety.md, "Peer
 * leases in an outage".
 */
export class PeerLeaseLedger {
  private grantAbstentionUntil = -Infinity;
  private startupAbstentionUntil: number;
  private termRecordRead = false;
  private writesInFlight = 0;
  /** The highest term that this process has read from the leader key. */
  private highestLeaderTerm = 0;
  /** The highest term in which a leaderless write of this process was or may yet be executed. */
  private highestWriteTerm = -1;

  /**
   * A process does not know the leases that an earlier process of the same controller granted, so after its start it
   * abstains for the longest possible lease.
   */
  constructor(startedAt: number) {
    this.startupAbstentionUntil = computeAbstentionEnd(startedAt, MAX_PEER_LEASE_MS);
  }

  /** The leader key was read and held this term. */
  observeLeaderTerm(term: number): void {
    this.highestLeaderTerm = Math.max(this.highestLeaderTerm, term);
  }

  /** The term record was read. If it is 0, no leader has existed yet, so no controller can have granted a lease. */
  observeTermRecord(term: number): void {
    this.termRecordRead = true;
    if (term === 0) this.startupAbstentionUntil = -Infinity;
  }

  /** Whether a leaderless write may begin. */
  canBeginWrite(now: number): boolean {
    return now >= this.grantAbstentionUntil && now >= this.startupAbstentionUntil;
  }

  /** Whether a read of the term record could end the abstention after the start early, by showing that it is 0. */
  shouldReadTermRecord(now: number): boolean {
    return !this.termRecordRead && now >= this.grantAbstentionUntil;
  }

  /** Begins a leaderless write; false: it may not begin now. No lease is granted until the write has ended. */
  beginWrite(now: number): boolean {
    if (!this.canBeginWrite(now)) return false;
    this.writesInFlight += 1;
    return true;
  }

  /** Ends a leaderless write that belongs to that term. */
  endWrite(term: number, outcome: LeaderlessWriteOutcome): void {
    this.writesInFlight -= 1;
    if (outcome !== 'not_executed') this.highestWriteTerm = Math.max(this.highestWriteTerm, term);
  }

  /** True if no leaderless write of this process, in flight or sent before, can be executed in that term. */
  hasNoWriteIn(term: number): boolean {
    return this.writesInFlight === 0 && term > this.highestWriteTerm;
  }

  /**
   * Whether the leader that sent the request may be granted a lease. After a gap in the leader's lease this process
   * must also have read the leader's term from the leader key. The key was present then, so no earlier process of this
   * controller can have sent a leaderless write in that term.
   */
  canGrant(request: PeerLeaseRequest): boolean {
    if (request.ms > MAX_PEER_LEASE_MS || request.term < this.highestLeaderTerm) return false;
    if (!this.hasNoWriteIn(request.term)) return false;
    return request.continuous || this.highestLeaderTerm === request.term;
  }

  /** Records a granted lease with this time to live. */
  grant(ttlMs: number, now: number): void {
    this.grantAbstentionUntil = Math.max(this.grantAbstentionUntil, computeAbstentionEnd(now, ttlMs));
  }
}
