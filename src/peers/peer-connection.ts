/** Connections between controllers: frames off a socket, and requests to one peer. */
import { connect, type Socket } from 'node:net';
import type { Logger } from '../base/log.ts';
import { encodeFrame } from './frame-codec.ts';
import { FrameReader } from './frame-reader.ts';
import type { PeerFrame, PeerReply, PeerRequest } from './messages.ts';

/** Splits `host:port`. */
export function parseAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

/** Reads frames off a connection; a malformed frame ends that connection and harms nothing else. */
export function readFrames(socket: Socket, log: Logger, onFrame: (frame: PeerFrame) => void): void {
  const reader = new FrameReader();
  socket.on('data', (chunk) => {
    try {
      for (const frame of reader.push(chunk)) onFrame(frame);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      log.error({ reason }, 'peer connection closed: malformed frame');
      socket.destroy();
    }
  });
}

interface PendingCall {
  resolve: (reply: PeerReply | null) => void;
  timer: NodeJS.Timeout;
}

/** The outgoing connection to one peer, opened when a request needs it and again after it has failed. */
export class PeerConnection {
  private socket: Socket | null = null;
  private lastFrameAt = -Infinity;
  private nextId = 1;
  private readonly pendingCalls = new Map<number, PendingCall>();

  constructor(
    private readonly address: string,
    private readonly log: Logger,
  ) {}

  /** null: no reply within `timeoutMs` milliseconds; the request may still be carried out. */
  call(request: PeerRequest, timeoutMs: number): Promise<PeerReply | null> {
    return new Promise((resolve) => {
      const id = this.nextId++;
      const sentAt = performance.now();
      const timer = setTimeout(() => {
        this.pendingCalls.delete(id);
        resolve(null);
        // A silent connection may lead into a network partition; the next request opens a new one. A slow reply alone
        // must not end the other calls on this connection.
        if (this.lastFrameAt < sentAt) this.close();
      }, timeoutMs);
      this.pendingCalls.set(id, { resolve, timer });
      this.open().write(encodeFrame({ id, request, reply: null }));
    });
  }

  /** Closes the socket and ends all calls without a reply. A later call opens a new connection. */
  close(): void {
    this.socket?.destroy();
    this.socket = null;
    for (const call of this.pendingCalls.values()) {
      clearTimeout(call.timer);
      call.resolve(null);
    }
    this.pendingCalls.clear();
  }

  private open(): Socket {
    if (this.socket) return this.socket;
    const socket = connect(parseAddress(this.address));
    socket.setNoDelay(true);
    this.socket = socket;
    readFrames(socket, this.log, (frame) => {
      this.onFrame(frame);
    });
    socket.on('error', () => {
      socket.destroy();
    });
    socket.on('close', () => {
      if (this.socket === socket) this.close();
    });
    return socket;
  }

  private onFrame(frame: PeerFrame): void {
    this.lastFrameAt = performance.now();
    if (!frame.reply) return;
    const call = this.pendingCalls.get(frame.id);
    if (!call) return;
    this.pendingCalls.delete(frame.id);
    clearTimeout(call.timer);
    call.resolve(frame.reply);
  }
}
