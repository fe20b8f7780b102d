import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';

const MAX_BODY = 64 * 1024;

export interface Answer {
  status: number;
  body: string;
  retryAfterS?: number;
}

export interface HttpRequest {
  method: string;
  path: string;
  body: string;
}

export type Reply = (answer: Answer) => void;
export type Handler = (request: HttpRequest, reply: Reply) => void;

export function failure(status: number, reason: string, retryAfterS?: number): Answer {
  const body = JSON.stringify({ error: reason });
  return retryAfterS === undefined ? { status, body } : { status, body, retryAfterS };
}

function write(res: ServerResponse, answer: Answer): void {
  if (res.destroyed || res.headersSent) return;
  const headers: Record<string, string | number> = {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(answer.body),
  };
  if (answer.retryAfterS !== undefined) headers['retry-after'] = Math.max(1, Math.ceil(answer.retryAfterS));
  res.writeHead(answer.status, headers);
  res.end(answer.body);
}

function receive(req: IncomingMessage, res: ServerResponse, handler: Handler): void {
  const chunks: Buffer[] = [];
  let size = 0;
  let refused = false;
  req.on('data', (chunk: Buffer) => {
    size += chunk.length;
    if (size <= MAX_BODY) {
      chunks.push(chunk);
    } else if (!refused) {
      refused = true;
      res.shouldKeepAlive = false;
      write(res, failure(400, 'body is over 64 KiB'));
    }
  });
  req.on('end', () => {
    if (refused) return;
    const query = (req.url ?? '/').indexOf('?');
    const url = req.url ?? '/';
    const path = query < 0 ? url : url.slice(0, query);
    let answered = false;
    handler({ method: req.method ?? 'GET', path, body: Buffer.concat(chunks).toString('utf8') }, (answer) => {
      if (answered) return;
      answered = true;
      write(res, answer);
    });
  });
  req.on('error', () => {
    res.destroy();
  });
}

/** The door for users, workers and health checks. Connections stay open until one side closes them. */
export function listen(address: string, handler: Handler): Promise<Server> {
  const colon = address.lastIndexOf(':');
  const server = createServer({ keepAliveTimeout: 0, requestTimeout: 30_000, noDelay: true }, (req, res) => {
    receive(req, res, handler);
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(Number(address.slice(colon + 1)), address.slice(0, colon), 511, () => {
      resolve(server);
    });
  });
}
