/** The state machine of the election: what one controller knows about who leads. It does no I/O. */
import { HeldPeerLeases } from './peer-leases.ts';

/** A leadership that this controller won. */
export interface Leadership {
  term: number;
  /** Version of the leader key: the condition of every write. */
  version: number;
  /** The lease that the leader key is attached to. */
  lease: number;
}

/**
 * Whether this controller leads, until when its lease is valid, and whom it follows otherwise. One method for each
 * event. Times are milliseconds on the steady clock of this process.
 */
export class LeadershipState {
  private held: Leadership | null = null;
  private leaseValidUntil = -Infinity;
  private readonly peerLeases = new HeldPeerLeases();
  private observedLeader: string | null = null;
  private noCandidacyUntil = -Infinity;

  /** The leadership that is held; null: this controller doesn't lead. */
  get leadership(): Leadership | null {
    return this.held;
  }

  /** The other controller that was last seen to lead, if any. */
  get knownLeader(): string | null {
    return this.observedLeader;
  }

  isLeading(): boolean {
    return this.held !== null;
  }

  /** Whether that leadership has not ended meanwhile. */
  isHeld(leadership: Leadership): boolean {
    return this.held === leadership;
  }

  /** True while no other controller can hold the leader key. */
  hasValidLease(now: number): boolean {
    return this.held !== null && now < this.validUntil();
  }

  /** Milliseconds since the lease expired; 0 while it is valid. */
  msSinceLeaseExpiry(now: number): number {
    return Math.max(0, now - this.validUntil());
  }

  /** False while this controller leaves the leadership to others. */
  mayCampaign(now: number): boolean {
    return now >= this.noCandidacyUntil;
  }

  /** This controller won a term, with a lease that is valid until then. */
  leadershipAcquired(leadership: Leadership, leaseValidUntil: number): void {
    this.held = leadership;
    this.leaseValidUntil = leaseValidUntil;
  }

  /** The lease was renewed. Renewals overlap, so their answers may come out of order. */
  leaseRenewed(validUntil: number): void {
    this.leaseValidUntil = Math.max(this.leaseValidUntil, validUntil);
  }

  /**
   * Peers answered a request for peer leases. Returns true if the own lease has expired and no peer leases outlasted
   * it before: the leadership is valid from now on only by these, if at all.
   */
  peerLeasesAnswered(granted: readonly boolean[], validUntil: number, now: number): boolean {
    const validBefore = this.peerLeases.validUntil;
    this.peerLeases.extend(granted, validUntil);
    return now >= this.leaseValidUntil && validBefore < this.leaseValidUntil;
  }

  /** The leadership ends; returns the one that was held, if any. */
  leadershipEnded(): Leadership | null {
    const ended = this.held;
    if (!ended) return null;
    this.held = null;
    this.observedLeader = null;
    this.leaseValidUntil = -Infinity;
    this.peerLeases.clear();
    return ended;
  }

  /** The leadership is left to others until then. */
  candidacySuspended(until: number): void {
    this.noCandidacyUntil = until;
  }

  /** Another controller was seen to lead; returns false if that was known. */
  leaderObserved(node: string): boolean {
    const isNew = this.observedLeader !== node;
    this.observedLeader = node;
    return isNew;
  }

  /** The leader key was seen absent. */
  leaderAbsent(): void {
    this.observedLeader = null;
  }

  private validUntil(): number {
    return Math.max(this.leaseValidUntil, this.peerLeases.validUntil);
  }
}
