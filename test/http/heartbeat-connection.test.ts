import assert from 'node:assert/strict';
import { connect } from 'node:net';
import test, { type TestContext } from 'node:test';
import fc from 'fast-check';
import { parseHeartbeatHead } from '../../src/http/heartbeat-head.ts';
import { HttpServer } from '../../src/http/server.ts';
import { SEED } from '../helpers.ts';

const PATH = '/checkin';

/** A server that answers with the body it was sent, and tells what it has received. */
async function echoServer(
  context: TestContext,
  crowded = 100,
): Promise<{ server: HttpServer; bodies: string[] }> {
  const bodies: string[] = [];
  const server = new HttpServer(
    (request, reply) => {
      bodies.push(`${request.method} ${request.path} ${request.body}`);
      setImmediate(() => {
        reply({ status: 200, body: request.body });
        // A second answer to the same request must change nothing.
        reply({ status: 503, body: 'late' });
      });
    },
    {
      socketLimits: { maxInbound: 200, workerKeepAliveLimit: crowded },
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

/** Sends the pieces one after the other and resolves with all responses that were awaited. */
function talk(address: string, pieces: readonly Buffer[], wanted: number): Promise<Response[]> {
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
      if (responses.length >= wanted) finish();
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

/** Cuts the bytes at the given places. */
function cut(bytes: Buffer, places: readonly number[]): Buffer[] {
  const at = [0, ...places.map((p) => p % bytes.length).sort((a, b) => a - b), bytes.length];
  return at.slice(1).map((end, i) => bytes.subarray(at[i], end));
}

const request = (path: string, body: string, extra = ''): string =>
  `POST ${path} HTTP/1.1\r\nHost: n\r\n${extra}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`;

test('reports arrive whole however their bytes are cut, and in order', async (context) => {
  const { server, bodies } = await echoServer(context);
  await fc.assert(
    fc.asyncProperty(
      fc.array(fc.string({ unit: 'binary', maxLength: 300 }), { minLength: 1, maxLength: 4 }),
      fc.array(fc.nat(2000), { maxLength: 6 }),
      async (texts, places) => {
        bodies.length = 0;
        // A body that is no well-formed text arrives as Node's own server would hand it on.
        const sent = texts.map((text) => Buffer.from(text).toString('utf8'));
        const bytes = Buffer.from(sent.map((text) => request(PATH, text)).join(''));
        const responses = await talk(server.address, cut(bytes, places), sent.length);
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

test("what isn't a plain report is served by Node's http on the same connection, also after reports", async (context) => {
  const { server, bodies } = await echoServer(context);
  const chunked = `POST ${PATH} HTTP/1.1\r\nHost: n\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n`;
  const poll = 'GET /work/req-1 HTTP/1.1\r\nHost: n\r\n\r\n';
  const responses = await talk(
    server.address,
    [Buffer.from(request(PATH, 'first')), Buffer.from(chunked), Buffer.from(poll)],
    3,
  );
  assert.deepEqual(
    responses.map((r) => r.status),
    [200, 200, 200],
  );
  assert.deepEqual(bodies, [`POST ${PATH} first`, `POST ${PATH} abc`, 'GET /work/req-1 ']);
});

test('a body over the limit is refused with 400 and a head without an end is not kept for ever', async (context) => {
  const { server, bodies } = await echoServer(context);
  const long = await talk(server.address, [Buffer.from(request(PATH, 'x'.repeat(65 * 1024)))], 1);
  assert.equal(long[0]?.status, 400);
  const endless = `POST ${PATH} HTTP/1.1\r\nHost: n\r\nX: ${'y'.repeat(40_000)}`;
  const refused = await talk(server.address, [Buffer.from(endless)], 1);
  assert.ok(refused.every((r) => r.status >= 400));
  assert.deepEqual(bodies, []);
});

test("a worker's connection is closed with the answer while sockets are short", async (context) => {
  const { server } = await echoServer(context, 1);
  const [response] = await talk(server.address, [Buffer.from(request(PATH, 'b'))], 1);
  assert.deepEqual(response, { status: 200, body: 'b', close: true });
});

test('only the plain form of a head is read', () => {
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
