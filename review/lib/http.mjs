// A small JSON server and client on loopback addresses, for the stand-ins of the cases.
import { createServer, request, Agent } from 'node:http';

export const LIMIT = 64 * 1024; // PROTOCOL: limit of request bodies and of lines in responses

/** Starts a JSON server. `route(method, url, text)` returns {status, body, headers} or null for "no answer". */
export function serve(route, port = 0) {
  const server = createServer((req, res) => {
    const chunks = [];
    req.on('data', (c) => chunks.push(c));
    req.on('error', () => res.destroy());
    req.on('end', async () => {
      let answer;
      try {
        answer = await route(req.method, new URL(req.url, 'http://x'), Buffer.concat(chunks));
      } catch (e) {
        answer = { status: 500, body: { error: String(e) } };
      }
      if (!answer) return; // never answered; the client gives up
      if (res.destroyed) return;
      const text = JSON.stringify(answer.body ?? {});
      res.writeHead(answer.status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) });
      res.end(text);
    });
  });
  server.keepAliveTimeout = 60_000;
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', () => resolve({ server, address: `127.0.0.1:${server.address().port}` }));
  });
}

const agent = new Agent({ keepAlive: true, maxFreeSockets: 64 });

/** Sends a request; resolves with {status, text, body} or null if there was no answer in time. */
export function call(address, method, path, body = null, timeoutMs = 5000, useAgent = agent) {
  const text = body === null ? null : typeof body === 'string' ? body : JSON.stringify(body);
  return new Promise((resolve) => {
    let settled = false;
    const settle = (v) => {
      if (settled) return;
      settled = true;
      clearTimeout(timer);
      resolve(v);
    };
    const [host, port] = address.split(':');
    const headers = text === null ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) };
    const req = request({ host, port: Number(port), method, path, headers, agent: useAgent }, (res) => {
      const chunks = [];
      res.on('data', (c) => chunks.push(c));
      res.on('error', () => settle(null));
      res.on('end', () => {
        const answer = Buffer.concat(chunks).toString('utf8');
        let parsed = null;
        try {
          parsed = JSON.parse(answer);
        } catch {
          // not JSON
        }
        settle({ status: res.statusCode, text: answer, body: parsed });
      });
    });
    const timer = setTimeout(() => {
      settle(null);
      req.destroy();
    }, timeoutMs);
    req.on('error', () => settle(null));
    if (text !== null) req.write(text);
    req.end();
  });
}
