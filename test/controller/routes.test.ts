import assert from 'node:assert/strict';
import test from 'node:test';
import { defaultOptions } from '../../src/config/options.ts';
import { Routes, type RoutedUserRequests } from '../../src/controller/routes.ts';
import type { HttpSender } from '../../src/http/client.ts';
import { AdaptiveLimit } from '../../src/http/limit.ts';
import type { HttpResponse } from '../../src/http/server.ts';
import { KeyValueStore } from '../../src/store/key-value-store.ts';
import { FakeClock, silent } from '../helpers.ts';

const OK: HttpResponse = { status: 200, body: '{}' };
/** Maximum number of requests of each kind in progress. */
const LIMIT = 4;

/** Answers polls of `req-1` from memory; all other polls wait forever. */
const userRequests: RoutedUserRequests = {
  submit: (_body, reply) => {
    reply(OK);
  },
  cancel: (_id, reply) => {
    reply(OK);
  },
  pollFromMemory: (id) => (id === 'req-1' ? OK : null),
  poll: () => undefined,
};

interface RoutesHarness {
  /** Answers by method and path, separated by a space. */
  answers: Map<string, HttpResponse>;
  send: (method: string, path: string) => void;
}

function createRoutesHarness(): RoutesHarness {
  const answers = new Map<string, HttpResponse>();
  const limit = (): AdaptiveLimit =>
    new AdaptiveLimit(() => 0, { initial: LIMIT, min: LIMIT, max: LIMIT, slackMs: 1, tolerance: 2 });
  const routes = new Routes({
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
    routes.route({ method, path, body: '' }, (answer) => answers.set(`${method} ${path}`, answer));
  };
  return { answers, send };
}

test('waiting polls do not limit submissions, cancellations, heartbeats, health checks or polls of known jobs', () => {
  // With one limit for all users' requests, polls that wait for a leader would cause submissions to be refused.
  const { answers, send } = createRoutesHarness();
  for (let i = 0; i < LIMIT + 3; i++) send('GET', `/work/req-9${i}`);
  const refused = [...answers.values()];
  assert.equal(refused.length, 3, 'over the limit a poll is refused at once');
  assert.ok(refused.every((answer) => answer.status === 503 && (answer.retryAfterS ?? 0) >= 1));
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

/** A store that counts requests; with `overLimit` it answers all of them with 429. */
class CountingStateService implements HttpSender {
  overLimit = false;
  private served = 0;

  /** Returns the number of requests since the last call. */
  takeServed(): number {
    const { served } = this;
    this.served = 0;
    return served;
  }

  send(): ReturnType<HttpSender['send']> {
    this.served += 1;
    const status = this.overLimit ? 429 : 404;
    return Promise.resolve({ kind: 'answer', status, body: '{"ledger":1}', retryAfterS: null });
  }

  close(): void {
    // No resources to release.
  }
}

test('the polls of all controllers leave part of the request rate of the state service to other calls', async () => {
  // Each poll that the leader can't answer reads from the store. The controllers' shares of its request rate add up to
  // more than its limit. If polls could use all of a share, a high rate of polls on all controllers would delay
  // submissions (one in seven without this rule).
  const clock = new FakeClock();
  const limits = { rps: 100, nodes: 5 };
  const service = new CountingStateService();
  const stores = Array.from(
    { length: limits.nodes },
    () =>
      new KeyValueStore(
        () => service,
        limits,
        () => clock.now(),
        silent,
      ),
  );
  const pollAll = async (): Promise<void> => {
    await Promise.all(stores.flatMap((store) => Array.from({ length: 50 }, () => store.get('k', 'poll'))));
  };
  await pollAll();
  service.takeServed();
  const seconds = 10;
  for (let i = 0; i < seconds * 10; i++) {
    clock.at += 100;
    await pollAll();
  }
  const served = service.takeServed();
  assert.ok(served <= limits.rps * 0.6 * seconds && served > 0, `${served} reads`);
  for (const store of stores) {
    const submitted = await Promise.all(Array.from({ length: 10 }, () => store.get('k', 'user')));
    assert.ok(submitted.every((result) => result.kind === 'ok'));
  }
  // After the service has refused any request with 429, polls pause for about a second.
  clock.at += 10_000;
  service.overLimit = true;
  for (const store of stores) await store.get('k', 'user');
  service.takeServed();
  clock.at += 900;
  await pollAll();
  assert.equal(service.takeServed(), 0);
  clock.at += 200;
  await pollAll();
  assert.ok(service.takeServed() > 0);
});
