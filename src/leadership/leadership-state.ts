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
  private heldLeadership: Leadership | null = null;
  private leaseExpiresAt = -Infinity;
  private readonly peerLeases = new HeldPeerLeases();
  private observedLeader: string | null = null;
  private candidacySuspendedUntil = -Infinity;

  /** The leadership that is held; null: this controller doesn't lead. */
  get leadership(): Leadership | null {
    return this.heldLeadership;
  }

  /** The other controller that was last seen to lead, if any. */
  get knownLeader(): string | null {
    return this.observedLeader;
  }

  isLeading(): boolean {
    return this.heldLeadership !== null;
  }

  /** Whether that leadership has not ended meanwhile. */
  isHeld(leadership: Leadership): boolean {
    return this.heldLeadership === leadership;
  }

  /** True while no other controller can hold the leader key. */
  hasValidLease(now: number): boolean {
    return this.heldLeadership !== null && now < this.expiresAt();
  }

  /** Milliseconds since the lease expired; 0 while it is valid. */
  msSinceLeaseExpiry(now: number): number {
    return Math.max(0, now - this.expiresAt());
  }

  /** False while this controller leaves the leadership to others. */
  canCampaign(now: number): boolean {
    return now >= this.candidacySuspendedUntil;
  }

  /** This controller won a term, with a lease that is valid until then. */
  onLeadershipAcquired(leadership: Leadership, leaseExpiresAt: number): void {
    this.heldLeadership = leadership;
    this.leaseExpiresAt = leaseExpiresAt;
  }

  /** The lease was renewed. Renewals overlap, so their answers may come out of order. */
  onLeaseRenewed(expiresAt: number): void {
    this.leaseExpiresAt = Math.max(this.leaseExpiresAt, expiresAt);
  }

  /**
   * Peers answered a request for peer leases. Returns true if the own lease has expired and no peer leases outlasted
   * it before: the leadership is valid from now on only by these, if at all.
   */
  onPeerLeasesAnswered(granted: readonly boolean[], expiresAt: number, now: number): boolean {
    const previousExpiry = this.peerLeases.expiresAt;
    this.peerLeases.extend(granted, expiresAt);
    return now >= this.leaseExpiresAt && previousExpiry < this.leaseExpiresAt;
  }

  /** The leadership ends; returns the one that was held, if any. */
  onLeadershipEnded(): Leadership | null {
    const ended = this.heldLeadership;
    if (!ended) return null;
    this.heldLeadership = null;
    this.observedLeader = null;
    this.leaseExpiresAt = -Infinity;
    this.peerLeases.clear();
    return ended;
  }

  /** The leadership is left to others until then. */
  onCandidacySuspended(until: number): void {
    this.candidacySuspendedUntil = until;
  }

  /** Another controller was seen to lead; returns false if that was known. */
  onLeaderObserved(node: string): boolean {
    const isNew = this.observedLeader !== node;
    this.observedLeader = node;
    return isNew;
  }

  /** The leader key was seen absent. */
  onLeaderAbsent(): void {
    this.observedLeader = null;
  }

  private expiresAt(): number {
    return Math.max(this.leaseExpiresAt, this.peerLeases.expiresAt);
  }
}
