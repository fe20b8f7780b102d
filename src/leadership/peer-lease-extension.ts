/** Extends a leadership by peer leases while an outage of the key-value store prevents renewals of its own lease. */
import type { Clock } from '../base/clock.ts';
import type { Logger } from '../base/log.ts';
import type { Leadership, LeadershipState } from './leadership-state.ts';
import type { PeerLeaseLedger } from './peer-lease-ledger.ts';
import { MAX_PEER_LEASE_MS, computePeerLeaseExpiry, type RequestPeerLeases } from './peer-leases.ts';

/** What the extension of a leadership by peer leases needs from the rest of the election. */
export interface PeerLeaseExtensionDeps {
  clock: Clock;
  log: Logger;
  state: LeadershipState;
  ledger: PeerLeaseLedger;
  hasValidLease(): boolean;
  /** null: peer leases are not used. */
  requestPeerLeases: RequestPeerLeases | null;
}

/** Requests peer leases for a leadership and records the granted ones. */
export class PeerLeaseExtension {
  constructor(private readonly deps: PeerLeaseExtensionDeps) {}

  /**
   * Sends one request to all peers. If the lease is still valid when all have answered, the leadership continues
   * without a gap. After a gap the lease becomes valid again only if every peer can rule out that it executed a
   * leaderless write in the meantime.
   */
  async extend(leadership: Leadership): Promise<void> {
    const { clock, state, ledger, requestPeerLeases } = this.deps;
    if (!requestPeerLeases) return;
    const { term } = leadership;
    const requestedAt = clock.now();
    const continuous = this.deps.hasValidLease();
    const granted = await requestPeerLeases({ term, ms: MAX_PEER_LEASE_MS, continuous });
    if (!state.isHeld(leadership) || !ledger.hasNoWriteIn(term)) return;
    if (continuous && !this.deps.hasValidLease()) return;
    const expiresAt = computePeerLeaseExpiry(requestedAt, MAX_PEER_LEASE_MS);
    const dependsOnPeerLeases = state.onPeerLeasesAnswered(granted, expiresAt, clock.now());
    if (dependsOnPeerLeases && this.deps.hasValidLease()) {
      this.deps.log.info({ term, continuous }, 'leadership extended by peer leases');
    }
  }
}
