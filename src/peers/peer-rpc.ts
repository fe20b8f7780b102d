/** Remote procedure calls between controllers over persistent connections. */
import { createServer, type Server, type Socket } from 'node:net';
import type { Logger } from '../base/log.ts';
import { encodeFrame } from './frame-codec.ts';
import type { PeerReply, PeerRequest } from './messages.ts';
import { parseAddress, PeerConnection, readFrames } from './peer-connection.ts';
import type { Peers } from './peers.ts';

/** Handles a request of another controller. `reply` may be called later; on a closed connection it does nothing. */
export type PeerRequestHandler = (request: PeerRequest, reply: (reply: PeerReply) => void) => void;

/** Calls the other controllers and serves their calls. Owns the sockets in both directions until `close`. */
export class PeerRpc implements Peers {
  readonly names: readonly string[];
  private readonly connections = new Map<string, PeerConnection>();
  private readonly inboundSockets = new Set<Socket>();
  private server: Server | null = null;

  constructor(
    peers: readonly { name: string; address: string }[],
    private readonly handler: PeerRequestHandler,
    private readonly log: Logger,
  ) {
    this.names = peers.map((peer) => peer.name);
    for (const peer of peers) this.connections.set(peer.name, new PeerConnection(peer.address, log));
  }

  /** Accepts connections of other controllers on `host:port`. Rejects if it can't listen on the address. */
  listen(address: string): Promise<void> {
    const server = createServer((socket) => {
      this.serve(socket);
    });
    this.server = server;
    const { host, port } = parseAddress(address);
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
  }

  /** The port that `listen` is bound to; tests let the operating system choose it. 0 while not listening. */
  port(): number {
    const address = this.server?.address();
    return typeof address === 'object' && address ? address.port : 0;
  }

  call(peer: string, request: PeerRequest, timeoutMs: number): Promise<PeerReply | null> {
    return this.connections.get(peer)?.call(request, timeoutMs) ?? Promise.resolve(null);
  }

  /** Closes the connections in both directions; pending calls resolve to null. */
  close(): void {
    for (const connection of this.connections.values()) connection.close();
    this.server?.close();
    for (const socket of this.inboundSockets) socket.destroy();
  }

  private serve(socket: Socket): void {
    this.inboundSockets.add(socket);
    socket.on('close', () => this.inboundSockets.delete(socket));
    socket.setNoDelay(true);
    socket.on('error', () => {
      socket.destroy();
    });
    readFrames(socket, this.log, (frame) => {
      if (!frame.request) return;
      const { id, request } = frame;
      this.handler(request, (reply) => {
        if (!socket.destroyed) socket.write(encodeFrame({ id, request: null, reply }));
      });
    });
  }
}
