import type { PeerReply, PeerRequest } from '../../src/peers/messages.ts';
import type { Peers } from '../../src/peers/peers.ts';

/** Other controllers with fixed replies; null: no reply. */
export class FakePeers implements Peers {
  readonly calls: { peer: string; request: PeerRequest }[] = [];
  readonly names: readonly string[];

  constructor(readonly replies: Record<string, PeerReply | null>) {
    this.names = Object.keys(replies);
  }

  call(peer: string, request: PeerRequest): Promise<PeerReply | null> {
    this.calls.push({ peer, request });
    return Promise.resolve(this.replies[peer] ?? null);
  }
}
