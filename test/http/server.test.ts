import assert from 'node:assert/strict';
import { Agent, request } from 'node:http';
import test from 'node:test';
import { HttpServer } from '../../src/http/server.ts';

/** A real server on a port that the system chooses. */
async function startServer(inbound: number, crowded: number): Promise<HttpServer> {
  const server = new HttpServer(
    (_request, reply) => {
      reply({ status: 200, body: '{}' });
    },
    {
      socketLimits: { maxInbound: inbound, workerKeepAliveLimit: crowded },
      idleTimeoutMs: { unknown: 60_000, user: 60_000, worker: 60_000 },
      clientKindOf: (path) => (path === '/checkin' ? 'worker' : 'user'),
      heartbeatPath: '/checkin',
      now: () => performance.now(),
    },
  );
  await server.listen('127.0.0.1:0');
  return server;
}

function ask(server: HttpServer, path: string, agent: Agent): Promise<number> {
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

test('more workers than sockets report again and again, and users are answered in between', async () => {
  const server = await startServer(16, 8);
  const workers = Array.from({ length: 40 }, () => new Agent({ keepAlive: true }));
  const user = new Agent({ keepAlive: true });
  let most = 0;
  for (let round = 0; round < 3; round++) {
    for (const agent of workers) {
      assert.equal(await ask(server, '/checkin', agent), 200);
      most = Math.max(most, server.connectionCount);
    }
    assert.equal(await ask(server, '/work', user), 200);
  }
  assert.ok(most <= 10, `${most} open`);
  for (const agent of [...workers, user]) agent.destroy();
  server.close();
});

test('when the queue is dropped open connections stay, and new ones are taken', async () => {
  const server = await startServer(16, 8);
  const kept = new Agent({ keepAlive: true, maxSockets: 1 });
  assert.equal(await ask(server, '/work', kept), 200);
  const port = server.address;
  for (let i = 0; i < 3; i++) (server as unknown as { dropBacklog(): void }).dropBacklog();
  assert.equal(await ask(server, '/work', kept), 200);
  assert.equal(server.connectionCount, 1);
  assert.equal(server.address, port);
  const fresh = new Agent();
  let status = 0;
  // Between two queues a connection may be refused for a moment.
  for (let i = 0; i < 1000 && status !== 200; i++) {
    status = await ask(server, '/work', fresh).catch(() => 0);
  }
  assert.equal(status, 200);
  kept.destroy();
  server.close();
});
