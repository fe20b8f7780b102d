import type { HttpSender } from '../../src/http/client.ts';
import assert from 'node:assert/strict';
import test from 'node:test';
import { defaultOptions } from '../../src/config/options.ts';
import { Routes } from '../../src/core/routes.ts';
import { AdaptiveLimit } from '../../src/http/limit.ts';
import type { Answer, Reply } from '../../src/http/server.ts';
import type { UserDoor } from '../../src/jobs/door.ts';
import { RateBudget } from '../../src/store/budget.ts';
import { StoreClient, type Urgency } from '../../src/store/client.ts';
import { FakeClock, silent } from '../helpers.ts';

const OK: Answer = { status: 200, body: '{}' };
const MOST = 4;

/** Polls of `req-1` are known at once, all others never get an answer. */
function routes(): { answers: Map<string, Answer>; send(method: string, path: string): void } {
  const answers = new Map<string, Answer>();
  const limit = (): AdaptiveLimit =>
    new AdaptiveLimit(() => 0, { initial: MOST, min: MOST, max: MOST, slackMs: 1, tolerance: 2 });
  const door = {
    submit: (_body: string, reply: Reply) => {
      reply(OK);
    },
    cancel: (_id: string, reply: Reply) => {
      reply(OK);
    },
    pollFromMemory: (id: string) => (id === 'req-1' ? OK : null),
    poll: () => undefined,
  } as unknown as UserDoor;
  const made = new Routes({
    options: defaultOptions(),
    door,
    userLimit: limit(),
    pollLimit: limit(),
    workerLimit: limit(),
    post: (command) => {
      command();
    },
    onReport: (_body, reply) => {
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

/** A state service that never answers. */
const NO_ANSWERS: HttpSender = { send: () => new Promise(() => undefined), close: () => undefined };

test('polls leave room in the budget of the state service to every other kind of call', () => {
  // During a takeover every poll becomes a look into the store; submissions then found the budget empty.
  const clock = new FakeClock();
  const store = new StoreClient(
    () => NO_ANSWERS,
    { rps: 100, nodes: 3 },
    () => clock.now(),
    silent,
  );
  const budget = new RateBudget(50, () => clock.now());
  const taken = (store as unknown as { budget: RateBudget }).budget;
  assert.equal(taken.waitMs(50), budget.waitMs(50));
  const reads: Record<string, number> = {};
  const spend = (urgency: Urgency): void => {
    let served = 0;
    const before = (): number => taken.waitMs(1000);
    for (let wait = before(); ; served++) {
      void store.get('k', urgency);
      if (before() === wait) break;
      wait = before();
    }
    reads[urgency] = served;
  };
  for (const urgency of ['poll', 'background', 'user', 'lease'] as const) spend(urgency);
  assert.ok(reads['poll']! > 0);
  assert.ok(reads['user']! >= 10, JSON.stringify(reads));
  assert.ok(reads['lease']! >= 5, JSON.stringify(reads));
  store.close();
});
