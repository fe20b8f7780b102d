/** How a controller reaches the other controllers, whatever carries the messages. */
import type { PeerReply, PeerRequest } from './messages.ts';

/** The other controllers of the cluster. */
export interface Peers {
  readonly names: readonly string[];
  /**
   * Sends a request and waits for its reply for at most `timeoutMs` milliseconds. null: no reply in time; the request
   * may still be carried out.
   */
  call(peer: string, request: PeerRequest, timeoutMs: number): Promise<PeerReply | null>;
}

/** A controller sent no reply in time, or none that the caller can use. */
class NoUsableReplyError extends Error {
  override readonly name = 'NoUsableReplyError';
  readonly code = 'ERR_NO_USABLE_REPLY';

  constructor(readonly peer: string) {
    super(`no usable reply from ${peer}`);
  }
}

/** Calls all other controllers at once. Returns the first usable reply, or null once none can come any more. */
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
