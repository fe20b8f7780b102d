import type { Socket } from 'node:net';
import { parseHeartbeatHead, type HeartbeatHead } from './heartbeat-head.ts';
import { encodeResponse } from './response.ts';
import type { HttpResponse } from './server.ts';

/** A longer request head is not that of a heartbeat. */
const MAX_HEAD_BYTES = 8 * 1024;
const HEAD_END = Buffer.from('\r\n\r\n');

/** What the server does about the events of a report connection. */
export interface HeartbeatConnectionEvents {
  /** A report has arrived in full. The reply may be called once, at any time. */
  onHeartbeat(body: string, reply: (answer: HttpResponse) => void): void;
  /** Something else has arrived: the connection goes to the general HTTP server, with these bytes first. */
  onHandOver(unread: Buffer): void;
  /** An answer leaves. False: the connection is to be closed with it. */
  onResponse(): boolean;
}

/**
 * Serves the reports of one worker's connection without the general HTTP server, whose objects for each request and
 * response cost several times what the report itself does. It reads one plain form only: `POST` of one path with a
 * content length, one request at a time, as workers send them. The first bytes that differ go to Node's `http`, which
 * serves the rest of the connection.
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

  /** Takes in bytes that the other side has sent. */
  onBytes(chunk: Buffer): void {
    this.unread = this.unread === null ? chunk : Buffer.concat([this.unread, chunk]);
    this.readHeartbeat();
  }

  /** Reads the next report, if it is complete and the one before is answered. */
  private readHeartbeat(): void {
    const { unread } = this;
    if (unread === null || this.responseDue) return;
    const headEnd = unread.indexOf(HEAD_END);
    if (headEnd < 0) {
      if (unread.length > MAX_HEAD_BYTES || !isHeartbeatPrefix(unread, this.path)) this.handOver();
      return;
    }
    const text = unread.toString('latin1', 0, headEnd);
    // The head of a worker's reports changes only with the length of the body.
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
    this.events.onHeartbeat(unread.toString('utf8', bodyStart, bodyEnd), (answer) => {
      // A second answer must not go to the next report.
      if (answered) return;
      answered = true;
      this.sendResponse(answer);
    });
  }

  private sendResponse(answer: HttpResponse): void {
    this.responseDue = false;
    const keepOpen = this.events.onResponse() && !this.socket.readableEnded;
    if (this.socket.destroyed) return;
    const bytes = encodeResponse(answer, keepOpen);
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

/** True while the bytes are the beginning of a request for the path. */
export function isHeartbeatPrefix(bytes: Buffer, path: string): boolean {
  const start = `POST ${path} HTTP/1.1\r\n`;
  const length = Math.min(start.length, bytes.length);
  return bytes.toString('latin1', 0, length) === start.slice(0, length);
}
