/**
 * Abstention leases between controllers. In an outage of the key-value store the leader can't renew its own lease, so
 * it asks every other controller (its peers) for a lease of theirs: for a few seconds the peer begins no write that
 * needs the absence of a leader. While the leader holds such a lease of all peers, nobody can act in its place.
 *
 * Such a lease resembles the promise of a Paxos acceptor: whoever grants it undertakes not to take part in a
 * conflicting action, and refuses a leader of a lower term than the highest it has read, as an acceptor refuses a
 * lower ballot. It differs in three ways. It expires, so both sides count its time, each with the drift of its clock
 * on the safe side. It has to come from all peers rather than from a majority, because each of them alone could write
 * without a leader once the store is back. And it isn't kept on stable storage: a controller that starts abstains
 * instead for as long as an earlier process under its name can have granted a lease. docs/safety.md has the proof.
 */
import { DRIFT } from '../base/clock.ts';

/**
 * The longest time to live of a peer lease, in ms. Long enough that a controller that is restarted in an outage is
 * back and asked again before the lease that its earlier process granted ends; short enough that whoever granted one
 * is free about when the lease of a leader that died in the outage has expired.
 */
export const MAX_PEER_LEASE_MS = 5000;

/** Kept beside the drift of the clocks, in ms. */
const SAFETY_MARGIN_MS = 20;

/** What a leader that can't renew its lease asks of every peer. */
export interface PeerLeaseRequest {
  /** The term of the leader that asks. */
  term: number;
  /** The time to live asked for, in ms. */
  ms: number;
  /** The leader's lease is still valid; otherwise it asks for a lease that is to become valid again after a gap. */
  continuous: boolean;
}

/** Asks all peers, always in the same order; resolves with one entry for each, true where the lease was granted. */
export type RequestPeerLeases = (request: PeerLeaseRequest) => Promise<readonly boolean[]>;

/** Until when the controller that granted a lease abstains, on its own clock: late rather than early. */
export function computeAbstentionEnd(grantedAt: number, ttlMs: number): number {
  return grantedAt + ttlMs * (1 + DRIFT) + SAFETY_MARGIN_MS;
}

/** Until when the leader may count on it, on its own clock from when it asked: early rather than late. */
export function computePeerLeaseExpiry(requestedAt: number, ttlMs: number): number {
  return requestedAt + ttlMs * (1 - DRIFT) - SAFETY_MARGIN_MS;
}

/** The peer leases that a leader holds. They count only together: until the first of them ends. */
export class HeldPeerLeases {
  private expiryByPeer: readonly number[] = [];
  private earliestExpiry = -Infinity;

  /** Until when all of them are valid; -Infinity if one was never granted. */
  get expiresAt(): number {
    return this.earliestExpiry;
  }

  /**
   * Takes the answers of one request in; a peer that refused leaves what it granted before as it is. The leader itself
   * begins no leaderless write while it leads, so it counts like one more peer that always grants.
   */
  extend(granted: readonly boolean[], expiresAt: number): void {
    this.expiryByPeer = granted.map((isGranted, peer) =>
      isGranted ? expiresAt : (this.expiryByPeer[peer] ?? -Infinity),
    );
    this.earliestExpiry = Math.min(expiresAt, ...this.expiryByPeer);
  }

  /** Gives all of them up. */
  clear(): void {
    this.expiryByPeer = [];
    this.earliestExpiry = -Infinity;
  }
}
