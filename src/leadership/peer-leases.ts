/**
 * Peer leases between controllers. In an outage of the key-value store the leader can't renew its own lease, so it
 * requests a peer lease from every other controller (its peers). A controller that grants one begins no leaderless
 * write for a few seconds. While the leader holds a peer lease of every peer, no other controller can become leader or
 * cancel a job without the leader.
 *
 * A peer lease resembles the promise of a Paxos acceptor: the grantor undertakes not to take part in a conflicting
 * action, and refuses a leader whose term is lower than the highest that the grantor has read, as an acceptor refuses
 * a lower ballot. It differs in three ways:
 *
 * - It expires. Both sides measure its time, each with the drift of its clock on the safe side.
 * - All peers have to grant it, not only a majority, because each peer alone can write without a leader once the store
 *   is available again.
 * - It isn't kept on stable storage. Instead, a controller abstains after its start for as long as an earlier process
 *   of that controller can have granted a lease.
 *
 * docs/safety.md has the proof.
 */
import { MAX_CLOCK_DRIFT_RATIO } from '../base/clock.ts';

/**
 * The longest time to live of a peer lease, in ms. Long enough that a controller that is restarted in an outage can
 * grant a new lease before the one granted by its earlier process expires; short enough that the abstention for a
 * leader that died in the outage ends at about the time at which that leader's own lease expires.
 */
export const MAX_PEER_LEASE_MS = 5000;

/** Added by the grantor and subtracted by the holder in addition to clock drift, in ms. */
const SAFETY_MARGIN_MS = 20;

/** The request of a leader that can't renew its own lease to a peer. */
export interface PeerLeaseRequest {
  /** The term of the requesting leader. */
  term: number;
  /** The requested time to live, in ms. */
  ms: number;
  /** True if the leader's lease is still valid; false if it has expired and is to become valid again after a gap. */
  continuous: boolean;
}

/** Sends a request to all peers; resolves with one entry for each, in a fixed order: true if it granted the lease. */
export type RequestPeerLeases = (request: PeerLeaseRequest) => Promise<readonly boolean[]>;

/** When the grantor's abstention ends, on the grantor's clock; drift and margin make it later. */
export function computeAbstentionEnd(grantedAt: number, ttlMs: number): number {
  return grantedAt + ttlMs * (1 + MAX_CLOCK_DRIFT_RATIO) + SAFETY_MARGIN_MS;
}

/** When a peer lease expires for the leader, on the leader's clock; drift and margin make it earlier. */
export function computePeerLeaseExpiry(requestedAt: number, ttlMs: number): number {
  return requestedAt + ttlMs * (1 - MAX_CLOCK_DRIFT_RATIO) - SAFETY_MARGIN_MS;
}

/** The peer leases that a leader holds. They are valid only together, until the first of them expires. */
export class HeldPeerLeases {
  private expiryByPeer: readonly number[] = [];
  private earliestExpiry = -Infinity;

  /** When the first of them expires; -Infinity if a peer has never granted one. */
  get expiresAt(): number {
    return this.earliestExpiry;
  }

  /**
   * Records the answers to one request. A refusal leaves the lease that the peer granted before as it is. The leader
   * itself begins no leaderless write while it leads, so it counts as one more peer that always grants.
   */
  extend(granted: readonly boolean[], expiresAt: number): void {
    this.expiryByPeer = granted.map((isGranted, peer) =>
      isGranted ? expiresAt : (this.expiryByPeer[peer] ?? -Infinity),
    );
    this.earliestExpiry = Math.min(expiresAt, ...this.expiryByPeer);
  }

  /** Discards all of them. */
  clear(): void {
    this.expiryByPeer = [];
    this.earliestExpiry = -Infinity;
  }
}
