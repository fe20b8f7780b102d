/** Peer leases in place of the leader's own lease, which it can't renew in an outage of the key-value store. */
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

/** Extends leaderships by peer leases. */
export class PeerLeaseExtension {
  constructor(private readonly deps: PeerLeaseExtensionDeps) {}

  /**
   * Asks all peers once. A leadership whose lease is still valid when they have answered goes on without a gap; after
   * a gap its lease becomes valid again only if the peers can tell that nobody wrote without a leader meanwhile.
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
    const restsOnPeerLeases = state.onPeerLeasesAnswered(granted, expiresAt, clock.now());
    if (restsOnPeerLeases && this.deps.hasValidLease()) {
      this.deps.log.info({ term, continuous }, 'leadership extended by peer leases');
    }
  }
}
