/** The head of a request in the plain form that workers use. */
export interface HeartbeatHead {
  /** The head's text, without the empty line that ends it. */
  text: string;
  contentLength: number;
}

/** Headers that say nothing of how the message is read, or do so in the plain way. */
const FIELD = /^([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*(.*?)[ \t]*$/;
const LENGTH = /^\d{1,9}$/;
/** Headers that change how the body or the connection is read; only Node's `http` handles them. */
const HANDLED_ELSEWHERE = new Set(['transfer-encoding', 'expect', 'upgrade', 'trailer', 'te']);

/** Reads the head of a `POST` to the path (RFC 9112). null: it isn't in the plain form. */
export function parseHeartbeatHead(text: string, path: string): HeartbeatHead | null {
  const [requestLine, ...fields] = text.split('\r\n');
  if (requestLine !== `POST ${path} HTTP/1.1`) return null;
  let contentLength: number | null = null;
  let hosts = 0;
  for (const line of fields) {
    const field = FIELD.exec(line);
    if (!field) return null;
    const name = (field[1] ?? '').toLowerCase();
    const value = field[2] ?? '';
    if (HANDLED_ELSEWHERE.has(name)) return null;
    if (name === 'connection' && value.toLowerCase() !== 'keep-alive') return null;
    if (name === 'host') hosts += 1;
    if (name !== 'content-length') continue;
    if (contentLength !== null || !LENGTH.test(value)) return null;
    contentLength = Number(value);
  }
  if (contentLength === null || hosts !== 1) return null;
  return { text, contentLength };
}
