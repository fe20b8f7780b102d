import assert from 'node:assert/strict';
import { Agent, request } from 'node:http';
import test from 'node:test';
import { HttpServer } from '../../src/http/server.ts';

/** A real server on a port that the system chooses. */
async function openDoor(inbound: number, crowded: number): Promise<HttpServer> {
  const userRequests = new HttpServer(
    (_request, reply) => {
      reply({ status: 200, body: '{}' });
    },
    {
      sockets: { inbound, crowded },
      idleMs: { unknown: 60_000, user: 60_000, worker: 60_000 },
      peerOf: (path) => (path === '/checkin' ? 'worker' : 'user'),
      reportPath: '/checkin',
      now: () => performance.now(),
    },
  );
  await userRequests.listen('127.0.0.1:0');
  return userRequests;
}

function ask(userRequests: HttpServer, path: string, agent: Agent): Promise<number> {
  const [host, port] = userRequests.address.split(':');
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
  const userRequests = await openDoor(16, 8);
  const workers = Array.from({ length: 40 }, () => new Agent({ keepAlive: true }));
  const user = new Agent({ keepAlive: true });
  let most = 0;
  for (let round = 0; round < 3; round++) {
    for (const agent of workers) {
      assert.equal(await ask(userRequests, '/checkin', agent), 200);
      most = Math.max(most, userRequests.open);
    }
    assert.equal(await ask(userRequests, '/work', user), 200);
  }
  assert.ok(most <= 10, `${most} open`);
  for (const agent of [...workers, user]) agent.destroy();
  userRequests.close();
});

test('when the queue is dropped open connections stay, and new ones are taken', async () => {
  const userRequests = await openDoor(16, 8);
  const kept = new Agent({ keepAlive: true, maxSockets: 1 });
  assert.equal(await ask(userRequests, '/work', kept), 200);
  const port = userRequests.address;
  for (let i = 0; i < 3; i++) (userRequests as unknown as { dropQueue(): void }).dropQueue();
  assert.equal(await ask(userRequests, '/work', kept), 200);
  assert.equal(userRequests.open, 1);
  assert.equal(userRequests.address, port);
  const fresh = new Agent();
  let status = 0;
  // Between two queues a connection may be refused for a moment.
  for (let i = 0; i < 1000 && status !== 200; i++) {
    status = await ask(userRequests, '/work', fresh).catch(() => 0);
  }
  assert.equal(status, 200);
  kept.destroy();
  userRequests.close();
});
