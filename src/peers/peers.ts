/** Calls to the other controllers, independent of the transport. */
import type { PeerReply, PeerRequest } from './messages.ts';

/** The other controllers of the cluster. */
export interface Peers {
  readonly names: readonly string[];
  /**
   * Sends a request and waits for its reply for at most `timeoutMs` milliseconds. null: no reply in time; the peer may
   * have processed the request all the same.
   */
  call(peer: string, request: PeerRequest, timeoutMs: number): Promise<PeerReply | null>;
}

/** A controller sent no reply in time, or a reply that the caller can't use. */
class NoUsableReplyError extends Error {
  override readonly name = 'NoUsableReplyError';
  readonly code = 'ERR_NO_USABLE_REPLY';

  constructor(readonly peer: string) {
    super(`no usable reply from ${peer}`);
  }
}

/** Calls all other controllers in parallel. Returns the first usable reply; null: all calls ended without one. */
export async function callAny(
  peers: Peers,
  request: PeerRequest,
  timeoutMs: number,
  isUsable: (reply: PeerReply) => boolean,
): Promise<PeerReply | null> {
  const calls = peers.names.map(async (peer) => {
    const reply = await peers.call(peer, request, timeoutMs);
    if (!reply || !isUsable(reply)) throw new NoUsableReplyError(peer);
    return reply;
  });
  return Promise.any(calls).catch(() => null);
}
