import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { StartWatermarks } from '../../src/jobs/start-watermarks.ts';
import type { DeferredWrite } from '../../src/store/write-queues.ts';
import type { Item } from '../../src/wire/state.ts';
import { SEED } from '../helpers.ts';

const PAGE = 400;
const id = (n: number): string => `req-${String(n).padStart(6, '0')}`;

/** A store that takes writes in order when told to; a value is taken when it is sent, and durable later. */
class SlowStore {
  readonly pages = new Map<string, unknown>();
  private readonly queue: DeferredWrite[] = [];
  private sent: { job: DeferredWrite; key: string; value: unknown } | null = null;
  writes = 0;

  push(job: DeferredWrite): void {
    this.queue.push(job);
  }

  send(): void {
    const job = this.sent ? undefined : this.queue.shift();
    if (!job) return;
    const change = job.build();
    assert.ok('put' in change);
    assert.ok(JSON.stringify(change.value).length <= job.maxBytes, 'a page grew past its bound');
    this.sent = { job, key: change.put, value: structuredClone(change.value) };
  }

  confirm(): void {
    if (!this.sent) return;
    this.writes += 1;
    this.pages.set(this.sent.key, this.sent.value);
    const { job } = this.sent;
    this.sent = null;
    job.done();
  }

  settle(): void {
    while (this.queue.length > 0 || this.sent) {
      this.send();
      this.confirm();
    }
  }

  items(): Item[] {
    return [...this.pages].map(([key, value]) => ({ key, value, version: 1, lease: null }));
  }
}

const make = (store: SlowStore): StartWatermarks =>
  new StartWatermarks({
    pageBytes: PAGE,
    enqueueWrite: (job) => {
      store.push(job);
    },
    enqueue: (command) => {
      command();
    },
  });

/** What a leader that takes over now would know. */
const readBack = (store: SlowStore): Map<string, number> =>
  make(new SlowStore()).restore(
    store.items(),
    () => true,
    () => assert.fail('malformed'),
  ).watermarks;

test('whatever counts as noted is in the store for the next leader, until the job is over', () => {
  const step = fc.oneof(
    { weight: 3, arbitrary: fc.record({ op: fc.constant('note' as const), n: fc.nat(40) }) },
    { weight: 1, arbitrary: fc.record({ op: fc.constant('over' as const), n: fc.nat(40) }) },
    {
      weight: 3,
      arbitrary: fc.record({
        op: fc.constantFrom('send' as const, 'confirm' as const, 'takeover' as const),
        n: fc.nat(9),
      }),
    },
  );
  fc.assert(
    fc.property(fc.array(step, { maxLength: 120 }), (steps) => {
      const store = new SlowStore();
      let notes = make(store);
      let term = 0;
      const asked = new Map<string, number>();
      const durable = new Map<string, number>();
      const over = new Set<string>();
      for (const { op, n } of steps) {
        const job = id(n);
        if (op === 'note' && !over.has(job)) {
          const begun = (asked.get(job) ?? 0) + 16;
          asked.set(job, begun);
          const from = term;
          notes.raise(job, begun, () => {
            if (from === term && !over.has(job)) durable.set(job, begun);
          });
        } else if (op === 'over') {
          over.add(job);
          durable.delete(job);
          notes.drop(job);
        } else if (op === 'send') store.send();
        else if (op === 'confirm') store.confirm();
        else if (op === 'takeover' && n === 0) {
          term += 1;
          store.settle();
          notes = make(store);
          const found = notes.restore(
            store.items(),
            (job) => !over.has(job),
            () => assert.fail('malformed'),
          );
          assert.equal(found.unreadable, false);
          for (const job of asked.keys()) asked.set(job, found.watermarks.get(job) ?? 0);
        }
        const written = readBack(store);
        for (const [job, begun] of durable) {
          assert.ok((written.get(job) ?? 0) >= begun, `${job} counts as noted and isn't`);
        }
      }
    }),
    { seed: SEED, numRuns: 300 },
  );
});

test('all jobs that begin together cost one change, and jobs that are over leave the page with the next', () => {
  const store = new SlowStore();
  const notes = make(store);
  for (let n = 0; n < 9; n++) notes.raise(id(n), 1, () => undefined);
  store.settle();
  assert.equal(store.writes, 1);
  for (let n = 0; n < 8; n++) notes.drop(id(n));
  store.settle();
  assert.equal(store.writes, 1, 'the end of a job rewrote the page');
  notes.raise(id(20), 1, () => undefined);
  store.settle();
  assert.deepEqual([...readBack(store).keys()].sort(), [id(8), id(20)]);
});

test('a page that cannot be read makes this and every later leader take all jobs for begun', () => {
  const store = new SlowStore();
  store.pages.set('b/0', { b: 'damaged' });
  store.pages.set('b/2', { b: [[id(1), 3]] });
  for (let leader = 0; leader < 2; leader++) {
    const bad: string[] = [];
    const notes = make(store);
    const found = notes.restore(
      store.items(),
      () => true,
      (key) => bad.push(key),
    );
    assert.deepEqual(bad, ['b/0']);
    assert.equal(found.unreadable, true);
    assert.equal(found.watermarks.get(id(1)), leader === 0 ? 3 : 5);
    for (let n = 0; n < 40; n++) notes.raise(id(n), 5, () => undefined);
    store.settle();
    assert.deepEqual(store.pages.get('b/0'), { b: 'damaged' });
  }
});
