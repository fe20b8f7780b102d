/** The head of a request in the plain form that workers use. */
export interface HeartbeatHead {
  /** The head's text, without the empty line that ends it. */
  text: string;
  contentLength: number;
}

/** A header field: its name and its value. */
const HEADER_FIELD = /^([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*(.*?)[ \t]*$/;
const CONTENT_LENGTH = /^\d{1,9}$/;
/** Headers that change how the body or the connection is read; only Node's `http` handles them. */
const UNSUPPORTED_HEADERS = new Set(['transfer-encoding', 'expect', 'upgrade', 'trailer', 'te']);

/** Reads the head of a `POST` to the path (RFC 9112). null: it isn't in the plain form. */
export function parseHeartbeatHead(text: string, path: string): HeartbeatHead | null {
  const [requestLine, ...fields] = text.split('\r\n');
  if (requestLine !== `POST ${path} HTTP/1.1`) return null;
  let contentLength: number | null = null;
  let hostCount = 0;
  for (const line of fields) {
    const field = HEADER_FIELD.exec(line);
    if (!field) return null;
    const name = (field[1] ?? '').toLowerCase();
    const value = field[2] ?? '';
    if (UNSUPPORTED_HEADERS.has(name)) return null;
    if (name === 'connection' && value.toLowerCase() !== 'keep-alive') return null;
    if (name === 'host') hostCount += 1;
    if (name !== 'content-length') continue;
    if (contentLength !== null || !CONTENT_LENGTH.test(value)) return null;
    contentLength = Number(value);
  }
  if (contentLength === null || hostCount !== 1) return null;
  return { text, contentLength };
}
