import assert from 'node:assert/strict';
import { Agent, request } from 'node:http';
import test from 'node:test';
import { HttpServer } from '../../src/http/server.ts';

/** Starts a server on a port that the system chooses. */
async function startServer(inbound: number, keepAliveLimit: number): Promise<HttpServer> {
  const server = new HttpServer(
    (_request, reply) => {
      reply({ status: 200, body: '{}' });
    },
    {
      socketLimits: { maxInbound: inbound, workerKeepAliveLimit: keepAliveLimit },
      idleTimeoutMs: { unknown: 60_000, user: 60_000, worker: 60_000 },
      clientKindOf: (path) => (path === '/checkin' ? 'worker' : 'user'),
      heartbeatPath: '/checkin',
      now: () => performance.now(),
    },
  );
  await server.listen('127.0.0.1:0');
  return server;
}

function sendRequest(server: HttpServer, path: string, agent: Agent): Promise<number> {
  const [host, port] = server.address.split(':');
  return new Promise((resolve, reject) => {
    const req = request({ host, port, path, method: 'POST', agent }, (res) => {
      res.resume();
      res.on('end', () => {
        resolve(res.statusCode ?? 0);
      });
    });
    req.on('error', reject);
    req.end('{}');
  });
}

test('more workers than sockets all get their heartbeats answered, and so do users in between', async () => {
  const server = await startServer(16, 8);
  const workers = Array.from({ length: 40 }, () => new Agent({ keepAlive: true }));
  const user = new Agent({ keepAlive: true });
  let maxOpen = 0;
  for (let round = 0; round < 3; round++) {
    for (const agent of workers) {
      assert.equal(await sendRequest(server, '/checkin', agent), 200);
      maxOpen = Math.max(maxOpen, server.connectionCount);
    }
    assert.equal(await sendRequest(server, '/work', user), 200);
  }
  assert.ok(maxOpen <= 10, `${maxOpen} open`);
  for (const agent of [...workers, user]) agent.destroy();
  server.close();
});

test('dropping the accept queue keeps open connections, and new ones are accepted', async () => {
  const server = await startServer(16, 8);
  const keptAgent = new Agent({ keepAlive: true, maxSockets: 1 });
  assert.equal(await sendRequest(server, '/work', keptAgent), 200);
  const address = server.address;
  for (let i = 0; i < 3; i++) (server as unknown as { dropBacklog(): void }).dropBacklog();
  assert.equal(await sendRequest(server, '/work', keptAgent), 200);
  assert.equal(server.connectionCount, 1);
  assert.equal(server.address, address);
  const newAgent = new Agent();
  let status = 0;
  // A connection may be refused until the server listens again.
  for (let i = 0; i < 1000 && status !== 200; i++) {
    status = await sendRequest(server, '/work', newAgent).catch(() => 0);
  }
  assert.equal(status, 200);
  keptAgent.destroy();
  server.close();
});
