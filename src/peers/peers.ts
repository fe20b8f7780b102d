import type { PeerReply, PeerRequest } from './messages.ts';

/** The other controllers, whatever carries the messages. */
export interface Peers {
  readonly names: readonly string[];
  /** null: no reply in time; the request may still be carried out. */
  call(peer: string, request: PeerRequest, timeoutMs: number): Promise<PeerReply | null>;
}

/** Asks all others at once; the first reply that is of use, or null once none is left. */
export async function callAny(
  peers: Peers,
  request: PeerRequest,
  timeoutMs: number,
  useful: (reply: PeerReply) => boolean,
): Promise<PeerReply | null> {
  const asked = peers.names.map(async (peer) => {
    const reply = await peers.call(peer, request, timeoutMs);
    if (!reply || !useful(reply)) throw new Error('no use');
    return reply;
  });
  return Promise.any(asked).catch(() => null);
}
