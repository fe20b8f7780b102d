import type { Socket } from 'node:net';
import { parseHeartbeatHead, type HeartbeatHead } from './heartbeat-head.ts';
import { encodeResponse } from './response.ts';
import type { Answer } from './server.ts';

/** A request head this long is no report. */
const MAX_HEAD = 8 * 1024;
const HEAD_END = Buffer.from('\r\n\r\n');

/** What the server does about the events of a report connection. */
export interface HeartbeatConnectionEvents {
  /** A report has arrived in full. The reply may be called once, at any time. */
  received(body: string, reply: (answer: Answer) => void): void;
  /** Something else has arrived: the connection goes to the general HTTP server, with these bytes first. */
  handOver(unread: Buffer): void;
  /** An answer leaves. False: the connection is to be closed with it. */
  answering(): boolean;
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
  private answerDue = false;
  private readonly onData = (chunk: Buffer): void => {
    this.receive(chunk);
  };
  private readonly onEnd = (): void => {
    if (!this.answerDue) this.socket.end();
  };
  private readonly onError = (): void => {
    this.socket.destroy();
  };

  constructor(
    private readonly socket: Socket,
    private readonly path: string,
    private readonly maxBody: number,
    private readonly events: HeartbeatConnectionEvents,
  ) {
    socket.on('data', this.onData);
    socket.on('end', this.onEnd);
    socket.on('error', this.onError);
  }

  /** Takes in bytes that the other side has sent. */
  receive(chunk: Buffer): void {
    this.unread = this.unread === null ? chunk : Buffer.concat([this.unread, chunk]);
    this.read();
  }

  /** Reads the next report, if it is complete and the one before is answered. */
  private read(): void {
    const { unread } = this;
    if (unread === null || this.answerDue) return;
    const headEnd = unread.indexOf(HEAD_END);
    if (headEnd < 0) {
      if (unread.length > MAX_HEAD || !mayBecomeHeartbeat(unread, this.path)) this.leave();
      return;
    }
    const text = unread.toString('latin1', 0, headEnd);
    // The head of a worker's reports changes only with the length of the body.
    if (this.head?.text !== text) this.head = parseHeartbeatHead(text, this.path);
    if (this.head === null || this.head.contentLength > this.maxBody) {
      this.leave();
      return;
    }
    const bodyStart = headEnd + HEAD_END.length;
    const bodyEnd = bodyStart + this.head.contentLength;
    if (unread.length < bodyEnd) return;
    this.unread = unread.length === bodyEnd ? null : unread.subarray(bodyEnd);
    this.answerDue = true;
    let answered = false;
    this.events.received(unread.toString('utf8', bodyStart, bodyEnd), (answer) => {
      // A second answer must not go to the next report.
      if (answered) return;
      answered = true;
      this.answer(answer);
    });
  }

  private answer(answer: Answer): void {
    this.answerDue = false;
    const keepOpen = this.events.answering() && !this.socket.readableEnded;
    if (this.socket.destroyed) return;
    const bytes = encodeResponse(answer, keepOpen);
    if (!keepOpen) {
      this.socket.end(bytes);
      return;
    }
    this.socket.write(bytes);
    this.read();
  }

  private leave(): void {
    this.socket.off('data', this.onData);
    this.socket.off('end', this.onEnd);
    this.socket.off('error', this.onError);
    const unread = this.unread ?? Buffer.alloc(0);
    this.unread = null;
    this.events.handOver(unread);
  }
}

/** True while the bytes are the beginning of a request for the path. */
export function mayBecomeHeartbeat(bytes: Buffer, path: string): boolean {
  const start = `POST ${path} HTTP/1.1\r\n`;
  const length = Math.min(start.length, bytes.length);
  return bytes.toString('latin1', 0, length) === start.slice(0, length);
}
