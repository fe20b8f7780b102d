import { STATUS_CODES } from 'node:http';
import type { Answer } from './server.ts';

const DATE_KEPT_MS = 1000;
let date = '';
let dateAt = -Infinity;

/** The value of the `Date` header, made anew once a second. */
function httpDate(): string {
  const now = Date.now();
  if (now - dateAt >= DATE_KEPT_MS || now < dateAt) {
    date = new Date(now).toUTCString();
    dateAt = now;
  }
  return date;
}

/** The headers of an answer besides those of the connection. */
export function answerHeaders(answer: Answer): Record<string, string | number> {
  const headers: Record<string, string | number> = {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(answer.body),
  };
  if (answer.retryAfterS !== undefined) headers['retry-after'] = Math.max(1, Math.ceil(answer.retryAfterS));
  return headers;
}

/** A whole response as text (RFC 9112), for connections that are served without Node's `http`. */
export function encodeResponse(answer: Answer, keepOpen: boolean): string {
  let head = `HTTP/1.1 ${answer.status} ${STATUS_CODES[answer.status] ?? 'Unknown'}\r\n`;
  for (const [name, value] of Object.entries(answerHeaders(answer))) head += `${name}: ${value}\r\n`;
  head += `date: ${httpDate()}\r\nconnection: ${keepOpen ? 'keep-alive' : 'close'}\r\n\r\n`;
  return head + answer.body;
}
