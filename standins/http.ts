import { createServer, type Server } from 'node:http';

/** The answer to a request; the body is sent as JSON. */
export interface Answer {
  status: number;
  body: unknown;
}

/** Answers a request. The body is an empty object if the request had none. */
export type Route = (method: string, url: URL, body: Record<string, unknown>) => Answer | Promise<Answer>;

/** Starts a JSON server on a free port of the loopback interface. Resolves to the server and its address. */
export function serveJson(route: Route): Promise<{ server: Server; address: string }> {
  const server = createServer((req, res) => {
    const chunks: Buffer[] = [];
    req.on('data', (c: Buffer) => chunks.push(c));
    req.on('end', () => {
      const text = Buffer.concat(chunks).toString('utf8');
      let body: Record<string, unknown> = {};
      try {
        if (text) body = JSON.parse(text) as Record<string, unknown>;
      } catch {
        res.writeHead(400).end('{}');
        return;
      }
      void Promise.resolve(route(req.method ?? 'GET', new URL(req.url ?? '/', 'http://x'), body)).then(
        (answer) => {
          res.writeHead(answer.status, { 'content-type': 'application/json' });
          res.end(JSON.stringify(answer.body));
        },
      );
    });
  });
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => {
      const socketAddress = server.address();
      resolve({
        server,
        address: `127.0.0.1:${typeof socketAddress === 'object' && socketAddress ? socketAddress.port : 0}`,
      });
    });
  });
}
