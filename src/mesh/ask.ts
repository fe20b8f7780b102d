import type { MeshReply, MeshRequest } from './frames.ts';

/** The other controllers, whatever carries the messages. */
export interface Peers {
  readonly names: readonly string[];
  /** null: no reply in time; the request may still be carried out. */
  ask(peer: string, request: MeshRequest, timeoutMs: number): Promise<MeshReply | null>;
}

/** Asks all others at once; the first reply that is of use, or null once none is left. */
export async function askAny(
  peers: Peers,
  request: MeshRequest,
  timeoutMs: number,
  useful: (reply: MeshReply) => boolean,
): Promise<MeshReply | null> {
  const asked = peers.names.map(async (peer) => {
    const reply = await peers.ask(peer, request, timeoutMs);
    if (!reply || !useful(reply)) throw new Error('no use');
    return reply;
  });
  return Promise.any(asked).catch(() => null);
}
