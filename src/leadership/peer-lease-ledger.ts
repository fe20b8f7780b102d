/** What this controller granted to leaders and wrote without one: the two exclude each other. */
import { computeAbstentionEnd, MAX_PEER_LEASE_MS, type PeerLeaseRequest } from './peer-leases.ts';

/**
 * What became of a leaderless write. `unknown`: its transaction had no answer; it may have been carried out, or may
 * be later.
 */
export type LeaderlessWriteOutcome = 'not_executed' | 'executed' | 'unknown';

/**
 * The abstention leases that one controller granted to leaders, and the writes it made that need the absence of a
 * leader ("leaderless writes": candidacy, and cancelling a job without a leader). A write belongs to the term that the
 * store named when it began. Times are milliseconds on the steady clock of this process. docs/safety.md, "Peer
 * leases in an outage", has the rules.
 */
export class PeerLeaseLedger {
  private grantAbstentionUntil = -Infinity;
  private startupAbstentionUntil: number;
  private termRecordRead = false;
  private writesInFlight = 0;
  /** The highest term that this process has read in the leader key. */
  private highestLeaderTerm = 0;
  /** The highest term in which a write of this process was, or may yet be, carried out. */
  private highestWriteTerm = -1;

  /** A process knows of no lease that an earlier one granted under its name, so it abstains for the longest one. */
  constructor(startedAt: number) {
    this.startupAbstentionUntil = computeAbstentionEnd(startedAt, MAX_PEER_LEASE_MS);
  }

  /** The leader key was read while it held this term. */
  observeLeaderTerm(term: number): void {
    this.highestLeaderTerm = Math.max(this.highestLeaderTerm, term);
  }

  /** The last term that was won, as the store names it. Before the first one nobody can have granted a lease. */
  observeTermRecord(term: number): void {
    this.termRecordRead = true;
    if (term === 0) this.startupAbstentionUntil = -Infinity;
  }

  /** Whether a leaderless write may begin. */
  canBeginWrite(now: number): boolean {
    return now >= this.grantAbstentionUntil && now >= this.startupAbstentionUntil;
  }

  /** True if the term record in the store could allow a write that otherwise has to wait. */
  shouldReadTermRecord(now: number): boolean {
    return !this.termRecordRead && now >= this.grantAbstentionUntil;
  }

  /** Begins a leaderless write; false: not now. Until it ends no lease is granted. */
  beginWrite(now: number): boolean {
    if (!this.canBeginWrite(now)) return false;
    this.writesInFlight += 1;
    return true;
  }

  /** Ends a leaderless write of that term. */
  endWrite(term: number, outcome: LeaderlessWriteOutcome): void {
    this.writesInFlight -= 1;
    if (outcome !== 'not_executed') this.highestWriteTerm = Math.max(this.highestWriteTerm, term);
  }

  /** True if no write of this process can take effect in that term, neither one in flight nor one sent before. */
  hasNoWriteIn(term: number): boolean {
    return this.writesInFlight === 0 && term > this.highestWriteTerm;
  }

  /**
   * Whether a leader of that term may be granted a lease. One that asks after a gap needs more: this process must
   * have read its term in the leader key, so that nothing its own earlier processes sent in that term can be left.
   */
  canGrant(request: PeerLeaseRequest): boolean {
    if (request.ms > MAX_PEER_LEASE_MS || request.term < this.highestLeaderTerm) return false;
    if (!this.hasNoWriteIn(request.term)) return false;
    return request.continuous || this.highestLeaderTerm === request.term;
  }

  /** Grants a lease of so many ms. */
  grant(ttlMs: number, now: number): void {
    this.grantAbstentionUntil = Math.max(this.grantAbstentionUntil, computeAbstentionEnd(now, ttlMs));
  }
}
