import { connect, createServer, type Server, type Socket } from 'node:net';
import type { Logger } from '../base/log.ts';
import type { Peers } from './peers.ts';
import { encodeFrame } from './frame-codec.ts';
import { FrameReader } from './frame-reader.ts';
import type { PeerFrame, PeerReply, PeerRequest } from './messages.ts';

interface Waiting {
  resolve: (reply: PeerReply | null) => void;
  timer: NodeJS.Timeout;
}

function split(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

/** Reads frames off a connection; a bad frame ends that connection and harms nothing else. */
function readFrames(socket: Socket, log: Logger, onFrame: (frame: PeerFrame) => void): void {
  const reader = new FrameReader();
  socket.on('data', (chunk) => {
    try {
      for (const frame of reader.push(chunk)) onFrame(frame);
    } catch (error) {
      log.error({ reason: (error as Error).message }, 'mesh: bad frame, connection closed');
      socket.destroy();
    }
  });
}

/** One outgoing connection to a peer, made when needed and made anew after it failed. */
class PeerLink {
  private socket: Socket | null = null;
  private lastFrameAt = -Infinity;
  private nextId = 1;
  private readonly waiting = new Map<number, Waiting>();

  constructor(
    private readonly address: string,
    private readonly log: Logger,
  ) {}

  /** null: no reply in time; the request may still be carried out. */
  call(request: PeerRequest, timeoutMs: number): Promise<PeerReply | null> {
    return new Promise((resolve) => {
      const id = this.nextId++;
      const askedAt = performance.now();
      const timer = setTimeout(() => {
        this.waiting.delete(id);
        resolve(null);
        // A silent link may lead into a cut; the next request starts with a fresh one. A slow answer alone must
        // not end what else is asked there.
        if (this.lastFrameAt < askedAt) this.drop();
      }, timeoutMs);
      this.waiting.set(id, { resolve, timer });
      this.open().write(encodeFrame({ id, request, reply: null }));
    });
  }

  private open(): Socket {
    if (this.socket) return this.socket;
    const socket = connect(split(this.address));
    socket.setNoDelay(true);
    this.socket = socket;
    readFrames(socket, this.log, (frame) => {
      this.lastFrameAt = performance.now();
      if (!frame.reply) return;
      const waiter = this.waiting.get(frame.id);
      if (!waiter) return;
      this.waiting.delete(frame.id);
      clearTimeout(waiter.timer);
      waiter.resolve(frame.reply);
    });
    socket.on('error', () => {
      socket.destroy();
    });
    socket.on('close', () => {
      if (this.socket === socket) this.drop();
    });
    return socket;
  }

  private drop(): void {
    this.socket?.destroy();
    this.socket = null;
    for (const waiter of this.waiting.values()) {
      clearTimeout(waiter.timer);
      waiter.resolve(null);
    }
    this.waiting.clear();
  }

  close(): void {
    this.drop();
  }
}

/** Serves the requests of other controllers. `reply` may be called later; on a closed connection it does nothing. */
export type PeerRequestHandler = (request: PeerRequest, reply: (reply: PeerReply) => void) => void;

/** The controllers among themselves: requests and replies over kept-open connections. */
export class PeerRpc implements Peers {
  readonly names: readonly string[];
  private readonly links = new Map<string, PeerLink>();
  private server: Server | null = null;

  constructor(
    peers: readonly { name: string; address: string }[],
    private readonly handler: PeerRequestHandler,
    private readonly log: Logger,
  ) {
    this.names = peers.map((peer) => peer.name);
    for (const peer of peers) this.links.set(peer.name, new PeerLink(peer.address, log));
  }

  listen(address: string): Promise<void> {
    const server = createServer((socket) => {
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
    });
    this.server = server;
    const { host, port } = split(address);
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
  }

  /** Where the mesh listens; tests let the system choose the port. */
  port(): number {
    const address = this.server?.address();
    return typeof address === 'object' && address ? address.port : 0;
  }

  call(peer: string, request: PeerRequest, timeoutMs: number): Promise<PeerReply | null> {
    return this.links.get(peer)?.call(request, timeoutMs) ?? Promise.resolve(null);
  }

  close(): void {
    for (const link of this.links.values()) link.close();
    this.server?.close();
  }
}
