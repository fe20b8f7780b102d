import type { HttpSender } from '../../src/http/client.ts';
import assert from 'node:assert/strict';
import test from 'node:test';
import { defaultOptions } from '../../src/config/options.ts';
import { Routes } from '../../src/controller/routes.ts';
import { AdaptiveLimit } from '../../src/http/limit.ts';
import type { Answer, Reply } from '../../src/http/server.ts';
import type { UserRequests } from '../../src/jobs/user-requests.ts';
import { KeyValueStore } from '../../src/store/key-value-store.ts';
import { FakeClock, silent } from '../helpers.ts';

const OK: Answer = { status: 200, body: '{}' };
const MOST = 4;

/** Polls of `req-1` are known at once, all others never get an answer. */
function routes(): { answers: Map<string, Answer>; send(method: string, path: string): void } {
  const answers = new Map<string, Answer>();
  const limit = (): AdaptiveLimit =>
    new AdaptiveLimit(() => 0, { initial: MOST, min: MOST, max: MOST, slackMs: 1, tolerance: 2 });
  const userRequests = {
    submit: (_body: string, reply: Reply) => {
      reply(OK);
    },
    cancel: (_id: string, reply: Reply) => {
      reply(OK);
    },
    pollFromMemory: (id: string) => (id === 'req-1' ? OK : null),
    poll: () => undefined,
  } as unknown as UserRequests;
  const made = new Routes({
    options: defaultOptions(),
    userRequests,
    userLimit: limit(),
    pollLimit: limit(),
    workerLimit: limit(),
    enqueue: (command) => {
      command();
    },
    onHeartbeat: (_body, reply) => {
      reply(OK);
    },
    health: () => OK,
  });
  const send = (method: string, path: string): void => {
    made.route({ method, path, body: '' }, (answer) => answers.set(`${method} ${path}`, answer));
  };
  return { answers, send };
}

test('polls that wait take no place from submissions, cancellations, reports, health checks or known jobs', () => {
  // All users' requests once shared one limit: polls that waited for a leader kept submissions out.
  const { answers, send } = routes();
  for (let i = 0; i < MOST + 3; i++) send('GET', `/work/req-9${i}`);
  const refused = [...answers.values()];
  assert.equal(refused.length, 3, 'over the limit a poll is refused at once');
  assert.ok(refused.every((a) => a.status === 503 && (a.retryAfterS ?? 0) >= 1));
  const others: [string, string][] = [
    ['POST', '/work'],
    ['POST', '/work/req-2/cancel'],
    ['POST', '/checkin'],
    ['GET', '/healthz'],
    ['GET', '/work/req-1'],
  ];
  for (const [method, path] of others) {
    send(method, path);
    assert.equal(answers.get(`${method} ${path}`)?.status, 200, path);
  }
});

test('the polls of all nodes together leave the state service to every other kind of call', async () => {
  // Each poll that the leader can't answer reads the service. The nodes' shares add up to more than its limit, so that
  // in a storm of polls on all of them one submission in seven was slowed.
  const clock = new FakeClock();
  const limits = { rps: 100, nodes: 5 };
  let served = 0;
  let overLimit = false;
  const service: HttpSender = {
    send: () => {
      served += 1;
      const status = overLimit ? 429 : 404;
      return Promise.resolve({ kind: 'answer', status, body: '{"ledger":1}', retryAfterS: null });
    },
    close: () => undefined,
  };
  const nodes = Array.from(
    { length: limits.nodes },
    () =>
      new KeyValueStore(
        () => service,
        limits,
        () => clock.now(),
        silent,
      ),
  );
  const polls = async (): Promise<void> => {
    await Promise.all(nodes.flatMap((n) => Array.from({ length: 50 }, () => n.get('k', 'poll'))));
  };
  await polls();
  served = 0;
  const seconds = 10;
  for (let i = 0; i < seconds * 10; i++) {
    clock.at += 100;
    await polls();
  }
  assert.ok(served <= limits.rps * 0.6 * seconds && served > 0, `${served} reads`);
  for (const node of nodes) {
    const submitted = await Promise.all(Array.from({ length: 10 }, () => node.get('k', 'user')));
    assert.ok(submitted.every((result) => result.kind === 'ok'));
  }
  // Once the service refuses anything for its rate, polls rest.
  clock.at += 10_000;
  overLimit = true;
  for (const node of nodes) await node.get('k', 'user');
  served = 0;
  clock.at += 900;
  await polls();
  assert.equal(served, 0);
  clock.at += 200;
  await polls();
  assert.ok(served > 0);
});
