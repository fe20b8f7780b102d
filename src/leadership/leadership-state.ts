/** The state machine of the election: one controller's knowledge of the leader and of its own leases. Does no I/O. */
import { HeldPeerLeases } from './peer-leases.ts';

/** A leadership that this controller won. */
export interface Leadership {
  /** The term, which also is the last fencing token that this leadership has reserved with its win. */
  term: number;
  /** The first fencing token of this leadership: above the term record that it found. */
  firstToken: number;
  /** Version of the leader key; every write of the leader is conditional on it. */
  version: number;
  /** The lease that the leader key is attached to. */
  lease: number;
}

/**
 * Whether this controller is the leader, when its lease expires, and which leader it follows otherwise. Each event has
 * one method. Times are milliseconds on the steady clock of this process.
 */
export class LeadershipState {
  private heldLeadership: Leadership | null = null;
  private leaseExpiresAt = -Infinity;
  private readonly peerLeases = new HeldPeerLeases();
  private observedLeader: string | null = null;
  private candidacySuspendedUntil = -Infinity;

  /** The leadership that this controller holds; null: it is not the leader. */
  get leadership(): Leadership | null {
    return this.heldLeadership;
  }

  /** The other controller that was last observed as leader, if any. */
  get knownLeader(): string | null {
    return this.observedLeader;
  }

  isLeading(): boolean {
    return this.heldLeadership !== null;
  }

  /** Whether this leadership has not ended yet. */
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

  /** False while this controller's candidacy is suspended. */
  canCampaign(now: number): boolean {
    return now >= this.candidacySuspendedUntil;
  }

  /** This controller won a term; its lease is valid until `leaseExpiresAt`. */
  onLeadershipAcquired(leadership: Leadership, leaseExpiresAt: number): void {
    this.heldLeadership = leadership;
    this.leaseExpiresAt = leaseExpiresAt;
  }

  /** The lease was renewed. Renewals overlap, so their responses may arrive out of order. */
  onLeaseRenewed(expiresAt: number): void {
    this.leaseExpiresAt = Math.max(this.leaseExpiresAt, expiresAt);
  }

  /**
   * The peers have answered a request for peer leases. Returns true if the leader's own lease has expired and the
   * peer leases held before did not outlast it: from now on the leadership can be valid only by the peer leases.
   */
  onPeerLeasesAnswered(granted: readonly boolean[], expiresAt: number, now: number): boolean {
    const previousExpiry = this.peerLeases.expiresAt;
    this.peerLeases.extend(granted, expiresAt);
    return now >= this.leaseExpiresAt && previousExpiry < this.leaseExpiresAt;
  }

  /** Ends the leadership; returns the one that was held, if any. */
  onLeadershipEnded(): Leadership | null {
    const ended = this.heldLeadership;
    if (!ended) return null;
    this.heldLeadership = null;
    this.observedLeader = null;
    this.leaseExpiresAt = -Infinity;
    this.peerLeases.clear();
    return ended;
  }

  /** This controller must not become a candidate before that time. */
  onCandidacySuspended(until: number): void {
    this.candidacySuspendedUntil = until;
  }

  /** Another controller was observed as leader; returns false if it was known already. */
  onLeaderObserved(node: string): boolean {
    const isNew = this.observedLeader !== node;
    this.observedLeader = node;
    return isNew;
  }

  /** The leader key was observed to be absent. */
  onLeaderAbsent(): void {
    this.observedLeader = null;
  }

  private expiresAt(): number {
    return Math.max(this.leaseExpiresAt, this.peerLeases.expiresAt);
  }
}
