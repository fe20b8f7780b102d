import { STATUS_CODES } from 'node:http';
import type { HttpResponse } from './server.ts';

const DATE_CACHE_MS = 1000;
let cachedDate = '';
let cachedAt = -Infinity;

/** Returns the value of the `Date` header, which is formatted at most once per second. */
function getHttpDate(): string {
  const now = Date.now();
  if (now - cachedAt >= DATE_CACHE_MS || now < cachedAt) {
    cachedDate = new Date(now).toUTCString();
    cachedAt = now;
  }
  return cachedDate;
}

/** Returns the headers that describe the body, and `Retry-After`. */
export function createResponseHeaders(response: HttpResponse): Record<string, string | number> {
  const headers: Record<string, string | number> = {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(response.body),
  };
  if (response.retryAfterS !== undefined)
    headers['retry-after'] = Math.max(1, Math.ceil(response.retryAfterS));
  return headers;
}

/** Encodes a complete HTTP/1.1 response (RFC 9112) for connections that are served without Node's `http`. */
export function encodeResponse(response: HttpResponse, keepOpen: boolean): string {
  let head = `HTTP/1.1 ${response.status} ${STATUS_CODES[response.status] ?? 'Unknown'}\r\n`;
  for (const [name, value] of Object.entries(createResponseHeaders(response)))
    head += `${name}: ${value}\r\n`;
  head += `date: ${getHttpDate()}\r\nconnection: ${keepOpen ? 'keep-alive' : 'close'}\r\n\r\n`;
  return head + response.body;
}
