/** Connections between controllers: reading frames from a socket, and calling one peer. */
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

/** Reads frames from a connection; a malformed frame closes this connection only. */
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

/** The outgoing connection to one peer; opened by the first call, and reopened by the next call after a failure. */
export class PeerConnection {
  private socket: Socket | null = null;
  private lastFrameAt = -Infinity;
  private nextId = 1;
  private readonly pendingCalls = new Map<number, PendingCall>();

  constructor(
    private readonly address: string,
    private readonly log: Logger,
  ) {}

  /**
   * Sends a request and waits for its reply. null: no reply within `timeoutMs` milliseconds, or the connection was
   * closed; the peer may have processed the request all the same.
   */
  call(request: PeerRequest, timeoutMs: number): Promise<PeerReply | null> {
    return new Promise((resolve) => {
      const id = this.nextId++;
      const sentAt = performance.now();
      const timer = setTimeout(() => {
        this.pendingCalls.delete(id);
        resolve(null);
        // A connection without any frame since the request may be broken by a network partition: it is closed, and the
        // next call opens a new one. If other frames have arrived, only this reply is slow, and the other calls on the
        // connection must not end with it.
        if (this.lastFrameAt < sentAt) this.close();
      }, timeoutMs);
      this.pendingCalls.set(id, { resolve, timer });
      this.open().write(encodeFrame({ id, request, reply: null }));
    });
  }

  /** Closes the socket and resolves all pending calls to null. A later call opens a new connection. */
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
