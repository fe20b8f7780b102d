import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { RateBudget } from '../../src/store/budget.ts';
import type { CompareAndSwapResult } from '../../src/store/key-value-store.ts';
import { KEYS } from '../../src/store/keys.ts';
import { LeaderWriter, type WritePriority } from '../../src/store/leader-writer.ts';
import type { Mutation, Condition } from '../../src/wire/state.ts';
import { FakeClock, SEED, silent } from '../helpers.ts';

/** A store that loses answers and carries transactions out late, by a script of fates. */
class FlakyStore {
  readonly versions = new Map<string, number>([[KEYS.leader, 5]]);
  readonly values = new Map<string, unknown>();
  revision = 10;
  late: { conditions: readonly Condition[]; changes: readonly Mutation[] }[] = [];

  sent = 0;

  constructor(private readonly fates: ('ok' | 'lost' | 'late' | 'refused')[]) {}

  apply(conditions: readonly Condition[], changes: readonly Mutation[]): CompareAndSwapResult {
    const failed = conditions.filter((c) => (this.versions.get(c.key) ?? 0) !== c.version).map((c) => c.key);
    if (failed.length > 0) return { kind: 'conflict', failed };
    this.revision += 1;
    for (const c of changes) {
      if ('put' in c) {
        this.versions.set(c.put, this.revision);
        this.values.set(c.put, c.value);
      } else {
        this.versions.delete(c.delete);
        this.values.delete(c.delete);
      }
    }
    return { kind: 'ok', revision: this.revision };
  }

  compareAndSwap(
    conditions: readonly Condition[],
    changes: readonly Mutation[],
  ): Promise<CompareAndSwapResult> {
    this.sent += 1;
    const fate = this.fates.shift() ?? 'ok';
    if (fate === 'refused') return Promise.resolve({ kind: 'refused' });
    if (fate === 'late') {
      this.late.push({ conditions, changes });
      return Promise.resolve({ kind: 'unknown' });
    }
    const result = this.apply(conditions, changes);
    return Promise.resolve(fate === 'lost' ? { kind: 'unknown' } : result);
  }
}

function writerOn(
  store: FlakyStore,
  lost: string[],
  clock = new FakeClock(),
  { txnOps, perSecond } = { txnOps: 4, perSecond: 1000 },
): LeaderWriter {
  return new LeaderWriter(
    {
      compareAndSwap: (conditions, changes) => store.compareAndSwap(conditions, changes),
      readFence: () => Promise.resolve(store.versions.get(KEYS.fence) ?? 0),
      readLeader: () => Promise.resolve(store.versions.get(KEYS.leader) ?? 0),
      lost: (reason) => lost.push(reason),
      pause: (ms) => {
        clock.at += ms;
        return Promise.resolve();
      },
    },
    5,
    0,
    { txnOps, bytes: 10_000 },
    new RateBudget(perSecond, () => clock.now()),
    silent,
  );
}

const settle = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

test('writes arrive once and in order, however answers are lost; late copies change nothing', async () => {
  const fate = fc.constantFrom('ok' as const, 'lost' as const, 'late' as const, 'refused' as const);
  await fc.assert(
    fc.asyncProperty(
      fc.array(fate, { maxLength: 12 }),
      fc.integer({ min: 1, max: 8 }),
      async (fates, writes) => {
        const store = new FlakyStore([...fates]);
        const lost: string[] = [];
        const writer = writerOn(store, lost);
        const done: number[] = [];
        for (let i = 0; i < writes; i++) {
          writer.enqueue({ changes: [{ put: 'k', value: i }], done: () => done.push(i) }, 'progress');
          if (i % 2 === 1) await settle();
        }
        for (let i = 0; i < 60; i++) await settle();
        assert.deepEqual(lost, []);
        assert.deepEqual(done, [...Array(writes).keys()]);
        assert.equal(store.values.get('k'), writes - 1);
        for (const l of store.late) store.apply(l.conditions, l.changes);
        assert.equal(store.values.get('k'), writes - 1, 'a late copy changed the outcome');
      },
    ),
    { seed: SEED, numRuns: 200 },
  );
});

test('a transaction that meets another leader ends the leadership', async () => {
  const store = new FlakyStore([]);
  store.versions.set(KEYS.leader, 6);
  const lost: string[] = [];
  const writer = writerOn(store, lost);
  let done = false;
  writer.enqueue({ changes: [{ put: 'k', value: 1 }], done: () => (done = true) }, 'ends');
  for (let i = 0; i < 5; i++) await settle();
  assert.equal(lost.length, 1);
  assert.equal(done, false);
  assert.equal(store.values.has('k'), false);
});

test('a write whose answer is lost is settled by a look, and not sent again', async () => {
  // It was sent again after 2 s, again and again, while others read from the store what it had written.
  const store = new FlakyStore(['lost', 'late']);
  const clock = new FakeClock();
  const lost: string[] = [];
  const writer = writerOn(store, lost, clock);
  const done: string[] = [];
  writer.enqueue({ changes: [{ put: 'a', value: 1 }], done: () => done.push('a') }, 'ends');
  for (let i = 0; i < 10; i++) await settle();
  assert.deepEqual([done, store.sent, clock.at], [['a'], 1, 0]);
  // One that was not carried out is sent again at once; its late copy changes nothing.
  writer.enqueue({ changes: [{ put: 'a', value: 2 }], done: () => done.push('b') }, 'ends');
  for (let i = 0; i < 10; i++) await settle();
  assert.deepEqual([done, store.sent, clock.at], [['a', 'b'], 3, 0]);
  for (const l of store.late) assert.equal(store.apply(l.conditions, l.changes).kind, 'conflict');
  assert.deepEqual(lost, []);
});

test('a fence that another leader moved does not confirm a write', async () => {
  // The transaction is never carried out; another controller takes the lead and writes.
  const store = new FlakyStore(['late']);
  const lost: string[] = [];
  const writer = writerOn(store, lost);
  let done = false;
  writer.enqueue({ changes: [{ put: 'k', value: 1 }], done: () => (done = true) }, 'ends');
  store.versions.set(KEYS.leader, 11);
  store.versions.set(KEYS.fence, 12);
  store.revision = 12;
  for (let i = 0; i < 10; i++) await settle();
  assert.equal(done, false);
  assert.equal(lost.length, 1);
  for (const l of store.late) assert.equal(store.apply(l.conditions, l.changes).kind, 'conflict');
});

test('ends go before notes of starts, these before finished tasks, and housekeeping goes last', async () => {
  const store = new FlakyStore([]);
  const clock = new FakeClock();
  const writer = writerOn(store, [], clock, { txnOps: 4, perSecond: 10 });
  const order: string[] = [];
  const push = (name: string, lane: WritePriority): void => {
    writer.enqueue({ changes: [{ put: name, value: 1 }], done: () => order.push(name) }, lane);
  };
  for (const lane of ['background', 'progress', 'starts', 'ends'] as const) {
    for (let i = 0; i < 5; i++) push(`${lane}${i}`, lane);
  }
  for (let i = 0; i < 400; i++) await settle();
  const expected = ['ends', 'starts', 'progress', 'background'].flatMap((lane) =>
    [0, 1, 2, 3, 4].map((i) => `${lane}${i}`),
  );
  assert.deepEqual(order, expected);
});

test('a write to an idle store waits for nothing; many share transactions and stay within the budget', async () => {
  const store = new FlakyStore([]);
  const clock = new FakeClock();
  const writer = writerOn(store, [], clock, { txnOps: 12, perSecond: 15 });
  let done = 0;
  const push = (): void => {
    writer.enqueue({ changes: [{ put: `k${done}`, value: 1 }], done: () => (done += 1) }, 'ends');
  };
  push();
  for (let i = 0; i < 5; i++) await settle();
  assert.deepEqual([done, clock.at], [1, 0]);
  for (let i = 0; i < 110; i++) push();
  for (let i = 0; i < 600; i++) await settle();
  assert.equal(done, 111);
  assert.ok(store.sent <= 14, `${store.sent} transactions`);
  // 111 changes and a fence for each transaction, less the second's worth that was there.
  assert.ok(clock.at >= ((111 + store.sent - 15) / 15) * 1000 - 1 && clock.at < 10_000, `${clock.at} ms`);
});

test('what is written late takes the value of the moment at which it is sent', async () => {
  const store = new FlakyStore([]);
  const clock = new FakeClock();
  const writer = writerOn(store, [], clock, { txnOps: 3, perSecond: 3 });
  let value = 0;
  for (let i = 0; i < 4; i++)
    writer.enqueue({ changes: [{ put: `k${i}`, value: i }], done: () => (value += 1) }, 'ends');
  writer.enqueue({ bytes: 10, build: () => ({ put: 'page', value }), done: () => undefined }, 'starts');
  for (let i = 0; i < 200; i++) await settle();
  assert.equal(store.values.get('page'), 4);
});
