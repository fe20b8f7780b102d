import assert from 'node:assert/strict';
import { connect } from 'node:net';
import test, { type TestContext } from 'node:test';
import fc from 'fast-check';
import { parseHeartbeatHead } from '../../src/http/heartbeat-head.ts';
import { HttpServer } from '../../src/http/server.ts';
import { SEED } from '../helpers.ts';

const PATH = '/checkin';

/** Starts a server that responds with the body of the request; `bodies` lists the requests that it has received. */
async function startEchoServer(
  context: TestContext,
  keepAliveLimit = 100,
): Promise<{ server: HttpServer; bodies: string[] }> {
  const bodies: string[] = [];
  const server = new HttpServer(
    (request, reply) => {
      bodies.push(`${request.method} ${request.path} ${request.body}`);
      setImmediate(() => {
        reply({ status: 200, body: request.body });
        // A second response to the same request has no effect.
        reply({ status: 503, body: 'late' });
      });
    },
    {
      socketLimits: { maxInbound: 200, workerKeepAliveLimit: keepAliveLimit },
      idleTimeoutMs: { unknown: 60_000, user: 60_000, worker: 60_000 },
      clientKindOf: (path) => (path === PATH ? 'worker' : 'user'),
      heartbeatPath: PATH,
      now: () => performance.now(),
    },
  );
  await server.listen('127.0.0.1:0');
  context.after(() => {
    server.close();
  });
  return { server, bodies };
}

interface Response {
  status: number;
  body: string;
  close: boolean;
}

/** Sends the pieces one after the other. Resolves to the responses, at most until the connection closes. */
function sendPieces(address: string, pieces: readonly Buffer[], responseCount: number): Promise<Response[]> {
  const [host = '', port] = address.split(':');
  return new Promise((resolve, reject) => {
    const socket = connect({ host, port: Number(port), noDelay: true });
    let received = Buffer.alloc(0);
    const responses: Response[] = [];
    const finish = (): void => {
      socket.destroy();
      resolve(responses);
    };
    socket.on('data', (chunk) => {
      received = Buffer.concat([received, chunk]);
      for (let end = received.indexOf('\r\n\r\n'); end >= 0; end = received.indexOf('\r\n\r\n')) {
        const head = received.toString('latin1', 0, end);
        const length = Number(/content-length: *(\d+)/i.exec(head)?.[1] ?? 0);
        if (received.length < end + 4 + length) break;
        responses.push({
          status: Number(head.slice(9, 12)),
          body: received.toString('utf8', end + 4, end + 4 + length),
          close: /connection: *close/i.test(head),
        });
        received = received.subarray(end + 4 + length);
      }
      if (responses.length >= responseCount) finish();
    });
    socket.on('error', reject);
    socket.on('close', finish);
    const send = (i: number): void => {
      const piece = pieces[i];
      if (piece === undefined) return;
      socket.write(piece, () => {
        setImmediate(() => {
          send(i + 1);
        });
      });
    };
    send(0);
  });
}

/** Splits the bytes at the given positions, each taken modulo the length. */
function splitAt(bytes: Buffer, positions: readonly number[]): Buffer[] {
  const boundaries = [0, ...positions.map((p) => p % bytes.length).sort((a, b) => a - b), bytes.length];
  return boundaries.slice(1).map((end, i) => bytes.subarray(boundaries[i], end));
}

const encodeRequest = (path: string, body: string, extra = ''): string =>
  `POST ${path} HTTP/1.1\r\nHost: n\r\n${extra}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`;

test('heartbeats are received whole and in order, however their bytes are split', async (context) => {
  const { server, bodies } = await startEchoServer(context);
  await fc.assert(
    fc.asyncProperty(
      fc.array(fc.string({ unit: 'binary', maxLength: 300 }), { minLength: 1, maxLength: 4 }),
      fc.array(fc.nat(2000), { maxLength: 6 }),
      async (texts, positions) => {
        bodies.length = 0;
        // UTF-8 can't encode lone surrogates: they arrive as U+FFFD, as with Node's own server.
        const sent = texts.map((text) => Buffer.from(text).toString('utf8'));
        const bytes = Buffer.from(sent.map((text) => encodeRequest(PATH, text)).join(''));
        const responses = await sendPieces(server.address, splitAt(bytes, positions), sent.length);
        assert.deepEqual(
          responses.map((r) => [r.status, r.body, r.close]),
          sent.map((text) => [200, text, false]),
        );
        assert.deepEqual(
          bodies,
          sent.map((text) => `POST ${PATH} ${text}`),
        );
      },
    ),
    { seed: SEED, numRuns: 60 },
  );
});

test("a request that is not a plain heartbeat is served by Node's http, also on a heartbeat connection", async (context) => {
  const { server, bodies } = await startEchoServer(context);
  const chunked = `POST ${PATH} HTTP/1.1\r\nHost: n\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n`;
  const poll = 'GET /work/req-1 HTTP/1.1\r\nHost: n\r\n\r\n';
  const responses = await sendPieces(
    server.address,
    [Buffer.from(encodeRequest(PATH, 'first')), Buffer.from(chunked), Buffer.from(poll)],
    3,
  );
  assert.deepEqual(
    responses.map((r) => r.status),
    [200, 200, 200],
  );
  assert.deepEqual(bodies, [`POST ${PATH} first`, `POST ${PATH} abc`, 'GET /work/req-1 ']);
});

test('a body over the limit is refused with 400, and an endless head ends the connection', async (context) => {
  const { server, bodies } = await startEchoServer(context);
  const long = await sendPieces(server.address, [Buffer.from(encodeRequest(PATH, 'x'.repeat(65 * 1024)))], 1);
  assert.equal(long[0]?.status, 400);
  const endless = `POST ${PATH} HTTP/1.1\r\nHost: n\r\nX: ${'y'.repeat(40_000)}`;
  const refused = await sendPieces(server.address, [Buffer.from(endless)], 1);
  assert.ok(refused.every((r) => r.status >= 400));
  assert.deepEqual(bodies, []);
});

test("a worker's connection is closed with the response while sockets are short", async (context) => {
  const { server } = await startEchoServer(context, 1);
  const [response] = await sendPieces(server.address, [Buffer.from(encodeRequest(PATH, 'b'))], 1);
  assert.deepEqual(response, { status: 200, body: 'b', close: true });
});

test('only a head in the plain form is parsed', () => {
  const head = (...lines: string[]): string => [`POST ${PATH} HTTP/1.1`, 'Host: n', ...lines].join('\r\n');
  const length = (text: string): number | null => parseHeartbeatHead(text, PATH)?.contentLength ?? null;
  assert.equal(length(head('content-LENGTH:  12 ')), 12);
  assert.equal(length(head('Content-Length: 1', 'Connection: keep-alive', 'Accept: */*')), 1);
  for (const lines of [
    [],
    ['Content-Length: 1', 'Content-Length: 1'],
    ['Content-Length: +1'],
    ['Content-Length: 1, 1'],
    ['Content-Length : 1'],
    ['Content-Length: 1', ' folded: x'],
    ['Content-Length: 1', 'Transfer-Encoding: chunked'],
    ['Content-Length: 1', 'Connection: close'],
    ['Content-Length: 1', 'Expect: 100-continue'],
    ['Content-Length: 1', 'Host: other'],
  ])
    assert.equal(length(head(...lines)), null, lines.join('; '));
  assert.equal(parseHeartbeatHead(`POST ${PATH} HTTP/1.0\r\nHost: n\r\nContent-Length: 1`, PATH), null);
  assert.equal(parseHeartbeatHead(`GET ${PATH} HTTP/1.1\r\nHost: n\r\nContent-Length: 1`, PATH), null);
});
