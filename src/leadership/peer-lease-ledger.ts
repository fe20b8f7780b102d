import { DRIFT } from '../base/clock.ts';

/**
 * How long a promise not to act without a leader holds at most, in ms. Long enough that a controller that is
 * restarted in an outage is back and asked again before its earlier process's promise ends; short enough that
 * whoever gave one is free about when the lease of a leader that died in the outage is over.
 */
export const PEER_LEASE_MS = 5000;

/** Kept beside the drift of the clocks, in ms. */
const MARGIN_MS = 20;

/** A leader that can't renew its lease asks every other controller for this. */
export interface PeerLeaseRequest {
  term: number;
  ms: number;
  /** The leader is still sure of its term; otherwise it asks to become sure again after a gap. */
  continuous: boolean;
}

/**
 * What became of a leaderless step. `unknown`: its transaction had no answer; it may have been carried out, or may
 * be later.
 */
export type LeaderlessWriteOutcome = 'not_executed' | 'executed' | 'unknown';

/** When a promise of so many ms ends for the one who gave it, on its own clock: late rather than early. */
export function grantedUntil(givenAt: number, ms: number): number {
  return givenAt + ms * (1 + DRIFT) + MARGIN_MS;
}

/** Until when the asker may count on it, on its own clock from when it asked: early rather than late. */
export function validUntil(askedAt: number, ms: number): number {
  return askedAt + ms * (1 - DRIFT) - MARGIN_MS;
}

/**
 * What one controller has promised to leaders, and what it did that needs a leader's absence ("leaderless steps":
 * standing for leader, cancelling a job without one). A step belongs to the term that the store named when it
 * began. The two exclude each other: docs/safety.md, "Promises in an outage".
 */
export class PeerLeaseLedger {
  private grantedUntil = -Infinity;
  private startWaitUntil: number;
  private knowsTerm = false;
  private openWrites = 0;
  /** The highest term that this process has read in the leader key. */
  private witnessedTerm = 0;
  /** The highest term in which a step of this process was, or may yet be, carried out. */
  private lastWriteTerm = -1;

  /** A process knows of no promise that an earlier one gave under its name, so it keeps the longest possible one. */
  constructor(startedAt: number) {
    this.startWaitUntil = grantedUntil(startedAt, PEER_LEASE_MS);
  }

  /** The leader key was read while it held this term. */
  witness(term: number): void {
    this.witnessedTerm = Math.max(this.witnessedTerm, term);
  }

  /** The last term that was won, as the store names it. Before the first one nobody can have promised anything. */
  noteTerm(term: number): void {
    this.knowsTerm = true;
    if (term === 0) this.startWaitUntil = -Infinity;
  }

  /** Whether a leaderless step may begin. */
  mayBeginWrite(now: number): boolean {
    return now >= this.grantedUntil && now >= this.startWaitUntil;
  }

  /** True if the store's term could allow a step that otherwise has to wait. */
  needsTerm(now: number): boolean {
    return !this.knowsTerm && now >= this.grantedUntil;
  }

  /** Begins a step; false: not now. Until it ends nothing is promised. */
  beginWrite(now: number): boolean {
    if (!this.mayBeginWrite(now)) return false;
    this.openWrites += 1;
    return true;
  }

  endWrite(term: number, outcome: LeaderlessWriteOutcome): void {
    this.openWrites -= 1;
    if (outcome !== 'not_executed') this.lastWriteTerm = Math.max(this.lastWriteTerm, term);
  }

  /** True if no step of this process can take effect in that term, neither one under way nor one sent before. */
  hasNoWriteIn(term: number): boolean {
    return this.openWrites === 0 && term > this.lastWriteTerm;
  }

  /**
   * Whether a leader of that term may be promised anything. One that asks after a gap needs more: this process must
   * have read its term in the leader key, so that nothing its own earlier processes sent in that term can be left.
   */
  mayGrant(request: PeerLeaseRequest): boolean {
    if (request.ms > PEER_LEASE_MS || request.term < this.witnessedTerm) return false;
    if (!this.hasNoWriteIn(request.term)) return false;
    return request.continuous || this.witnessedTerm === request.term;
  }

  grant(ms: number, now: number): void {
    this.grantedUntil = Math.max(this.grantedUntil, grantedUntil(now, ms));
  }
}
