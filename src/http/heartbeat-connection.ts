import type { Socket } from 'node:net';
import { parseHeartbeatHead, type HeartbeatHead } from './heartbeat-head.ts';
import { encodeResponse } from './response.ts';
import type { HttpResponse } from './server.ts';

/** A longer request head is not that of a heartbeat. */
const MAX_HEAD_BYTES = 8 * 1024;
const HEAD_END = Buffer.from('\r\n\r\n');

/** Callbacks for the events of a heartbeat connection. */
export interface HeartbeatConnectionEvents {
  /**
   * A heartbeat has been received in full. `reply` may be called at any later time; calls after the first do nothing.
   */
  onHeartbeat(body: string, reply: (response: HttpResponse) => void): void;
  /** The next request is not a plain heartbeat: Node's `http` takes over the connection, starting with these bytes. */
  onHandOver(unread: Buffer): void;
  /** A response is about to be sent. False: the connection must be closed after it. */
  onResponse(): boolean;
}

/**
 * Serves the heartbeats of one worker's connection without Node's `http`, whose objects for each request and response
 * cost several times as much as the heartbeat itself. Only the plain form that workers send is read: a `POST` to one
 * path with a content length, one request at a time. From the first request in another form on, Node's `http` serves
 * the connection.
 */
export class HeartbeatConnection {
  private unread: Buffer | null = null;
  private head: HeartbeatHead | null = null;
  private responseDue = false;
  private readonly onData = (chunk: Buffer): void => {
    this.onBytes(chunk);
  };
  private readonly onEnd = (): void => {
    if (!this.responseDue) this.socket.end();
  };
  private readonly onError = (): void => {
    this.socket.destroy();
  };

  constructor(
    private readonly socket: Socket,
    private readonly path: string,
    private readonly maxBodyBytes: number,
    private readonly events: HeartbeatConnectionEvents,
  ) {
    socket.on('data', this.onData);
    socket.on('end', this.onEnd);
    socket.on('error', this.onError);
  }

  /** Processes bytes that the worker has sent. */
  onBytes(chunk: Buffer): void {
    this.unread = this.unread === null ? chunk : Buffer.concat([this.unread, chunk]);
    this.readHeartbeat();
  }

  /** Reads the next heartbeat, if it is complete and the previous one has been answered. */
  private readHeartbeat(): void {
    const { unread } = this;
    if (unread === null || this.responseDue) return;
    const headEnd = unread.indexOf(HEAD_END);
    if (headEnd < 0) {
      if (unread.length > MAX_HEAD_BYTES || !isHeartbeatPrefix(unread, this.path)) this.handOver();
      return;
    }
    const text = unread.toString('latin1', 0, headEnd);
    // The head of a worker's heartbeats changes only with the length of the body, so the parsed head is reused.
    if (this.head?.text !== text) this.head = parseHeartbeatHead(text, this.path);
    if (this.head === null || this.head.contentLength > this.maxBodyBytes) {
      this.handOver();
      return;
    }
    const bodyStart = headEnd + HEAD_END.length;
    const bodyEnd = bodyStart + this.head.contentLength;
    if (unread.length < bodyEnd) return;
    this.unread = unread.length === bodyEnd ? null : unread.subarray(bodyEnd);
    this.responseDue = true;
    let answered = false;
    this.events.onHeartbeat(unread.toString('utf8', bodyStart, bodyEnd), (response) => {
      // A second response would be taken for that to the next heartbeat.
      if (answered) return;
      answered = true;
      this.sendResponse(response);
    });
  }

  private sendResponse(response: HttpResponse): void {
    this.responseDue = false;
    const keepOpen = this.events.onResponse() && !this.socket.readableEnded;
    if (this.socket.destroyed) return;
    const bytes = encodeResponse(response, keepOpen);
    if (!keepOpen) {
      this.socket.end(bytes);
      return;
    }
    this.socket.write(bytes);
    this.readHeartbeat();
  }

  private handOver(): void {
    this.socket.off('data', this.onData);
    this.socket.off('end', this.onEnd);
    this.socket.off('error', this.onError);
    const unread = this.unread ?? Buffer.alloc(0);
    this.unread = null;
    this.events.onHandOver(unread);
  }
}

/** True if the bytes may be the start of a `POST` to the path: they agree with its request line as far as they go. */
export function isHeartbeatPrefix(bytes: Buffer, path: string): boolean {
  const start = `POST ${path} HTTP/1.1\r\n`;
  const length = Math.min(start.length, bytes.length);
  return bytes.toString('latin1', 0, length) === start.slice(0, length);
}
