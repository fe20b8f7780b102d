import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { RateBudget } from '../../src/store/budget.ts';
import { KEYS } from '../../src/store/keys.ts';
import { LeaderWriter } from '../../src/store/leader-writer.ts';
import type { ReadyWrite, WritePriority } from '../../src/store/write-queues.ts';
import { failTest, FakeClock, SEED, silent } from '../helpers.ts';
import { FlakyStore, type TransactionOutcome } from './flaky-store.ts';

interface WriterSetup {
  /** Collects the reasons with which the writer reports the loss of the leadership. */
  lossReasons?: string[];
  clock?: FakeClock;
  maxMutations?: number;
  mutationsPerSecond?: number;
}

/** Creates a writer whose pauses end immediately and advance the clock. */
function createWriter(
  store: FlakyStore,
  {
    lossReasons = [],
    clock = new FakeClock(),
    maxMutations = 4,
    mutationsPerSecond = 1000,
  }: WriterSetup = {},
): LeaderWriter {
  return new LeaderWriter({
    onError: failTest,
    host: {
      compareAndSwap: (conditions, mutations) => store.compareAndSwap(conditions, mutations),
      readVersion: (key) => Promise.resolve({ kind: 'ok', value: store.version(key) }),
      onLeadershipLost: (reason) => lossReasons.push(reason),
      pause: (ms) => {
        clock.at += ms;
        return Promise.resolve();
      },
    },
    leaderVersion: 5,
    fenceVersion: 0,
    limits: { maxMutations, maxBytes: 10_000 },
    budget: new RateBudget(mutationsPerSecond, () => clock.now()),
    log: silent,
  });
}

function put(key: string, value: unknown, done: () => void): ReadyWrite {
  return { kind: 'ready', mutations: [{ put: key, value }], onCommitted: done };
}

/** Waits for this many turns of the event loop. */
async function runEventLoop(turns = 1): Promise<void> {
  for (let turn = 0; turn < turns; turn++) await new Promise((resolve) => setImmediate(resolve));
}

test('writes are committed once and in order although responses are lost; late copies change nothing', async () => {
  const arbitraryOutcome = fc.constantFrom<TransactionOutcome[]>('ok', 'lost', 'late', 'refused');
  await fc.assert(
    fc.asyncProperty(
      fc.array(arbitraryOutcome, { maxLength: 12 }),
      fc.integer({ min: 1, max: 8 }),
      async (outcomes, writes) => {
        const store = new FlakyStore([...outcomes]);
        const lossReasons: string[] = [];
        const writer = createWriter(store, { lossReasons });
        const done: number[] = [];
        for (let number = 0; number < writes; number++) {
          writer.enqueue(
            put('k', number, () => done.push(number)),
            'progress',
          );
          if (number % 2 === 1) await runEventLoop();
        }
        await runEventLoop(60);
        assert.deepEqual(lossReasons, []);
        assert.deepEqual(done, [...Array(writes).keys()]);
        assert.equal(store.values.get('k'), writes - 1);
        for (const transaction of store.pending) store.apply(transaction);
        assert.equal(store.values.get('k'), writes - 1, 'a late copy changed the outcome');
      },
    ),
    { seed: SEED, numRuns: 200 },
  );
});

test('a transaction that conflicts with another leader ends the leadership', async () => {
  const store = new FlakyStore([]);
  store.versions.set(KEYS.leader, 6);
  const lossReasons: string[] = [];
  const writer = createWriter(store, { lossReasons });
  let done = false;
  writer.enqueue(
    put('k', 1, () => (done = true)),
    'ends',
  );
  await runEventLoop(5);
  assert.equal(lossReasons.length, 1);
  assert.equal(done, false);
  assert.equal(store.values.has('k'), false);
});

test('a transaction whose response is lost is resolved by read-back, and not retried', async () => {
  // Without the read-back it is sent again every 2 s, although other clients can read its mutations from the store.
  const store = new FlakyStore(['lost', 'late']);
  const clock = new FakeClock();
  const lossReasons: string[] = [];
  const writer = createWriter(store, { lossReasons, clock });
  const done: string[] = [];
  writer.enqueue(
    put('a', 1, () => done.push('a')),
    'ends',
  );
  await runEventLoop(10);
  assert.deepEqual([done, store.sentCount, clock.at], [['a'], 1, 0]);
  // A transaction that is not committed is retried immediately; its late copy changes nothing.
  writer.enqueue(
    put('a', 2, () => done.push('b')),
    'ends',
  );
  await runEventLoop(10);
  assert.deepEqual([done, store.sentCount, clock.at], [['a', 'b'], 3, 0]);
  for (const transaction of store.pending) assert.equal(store.apply(transaction).kind, 'conflict');
  assert.deepEqual(lossReasons, []);
});

test('a fence key that another leader has changed does not confirm a write', async () => {
  // The transaction is never executed; another controller becomes leader and writes.
  const store = new FlakyStore(['late']);
  const lossReasons: string[] = [];
  const writer = createWriter(store, { lossReasons });
  let done = false;
  writer.enqueue(
    put('k', 1, () => (done = true)),
    'ends',
  );
  store.versions.set(KEYS.leader, 11);
  store.versions.set(KEYS.fence, 12);
  store.revision = 12;
  await runEventLoop(10);
  assert.equal(done, false);
  assert.equal(lossReasons.length, 1);
  for (const transaction of store.pending) assert.equal(store.apply(transaction).kind, 'conflict');
});

test('terminal states are committed first, then start watermarks, completions and housekeeping', async () => {
  const store = new FlakyStore([]);
  const writer = createWriter(store, { mutationsPerSecond: 10 });
  const order: string[] = [];
  const enqueue = (name: string, priority: WritePriority): void => {
    writer.enqueue(
      put(name, 1, () => order.push(name)),
      priority,
    );
  };
  for (const priority of ['background', 'progress', 'starts', 'ends'] as const) {
    for (let number = 0; number < 5; number++) enqueue(`${priority}${number}`, priority);
  }
  await runEventLoop(400);
  const expected = ['ends', 'starts', 'progress', 'background'].flatMap((priority) =>
    [0, 1, 2, 3, 4].map((number) => `${priority}${number}`),
  );
  assert.deepEqual(order, expected);
});

test('a write to an idle store does not wait; many writes share transactions and stay within the budget', async () => {
  const store = new FlakyStore([]);
  const clock = new FakeClock();
  const writer = createWriter(store, { clock, maxMutations: 12, mutationsPerSecond: 15 });
  let done = 0;
  const enqueue = (): void => {
    writer.enqueue(
      put(`k${done}`, 1, () => (done += 1)),
      'ends',
    );
  };
  enqueue();
  await runEventLoop(5);
  assert.deepEqual([done, clock.at], [1, 0]);
  for (let number = 0; number < 110; number++) enqueue();
  await runEventLoop(600);
  assert.equal(done, 111);
  assert.ok(store.sentCount <= 14, `${store.sentCount} transactions`);
  // 111 mutations and a fence mutation for each transaction, less the initial burst of one second's worth.
  assert.ok(
    clock.at >= ((111 + store.sentCount - 15) / 15) * 1000 - 1 && clock.at < 10_000,
    `${clock.at} ms`,
  );
});

test('a deferred write has the value at the time when its transaction is built', async () => {
  const store = new FlakyStore([]);
  const writer = createWriter(store, { maxMutations: 3, mutationsPerSecond: 3 });
  let value = 0;
  for (let number = 0; number < 4; number++) {
    writer.enqueue(
      put(`k${number}`, number, () => (value += 1)),
      'ends',
    );
  }
  writer.enqueue(
    { kind: 'deferred', maxBytes: 10, build: () => ({ put: 'page', value }), onCommitted: () => undefined },
    'starts',
  );
  await runEventLoop(200);
  assert.equal(store.values.get('page'), 4);
});
