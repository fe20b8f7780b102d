import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { StartWatermarks } from '../../src/jobs/start-watermarks.ts';
import type { DeferredWrite } from '../../src/store/write-queues.ts';
import type { Item } from '../../src/wire/state.ts';
import { SEED } from '../helpers.ts';
import { jobId } from './support/user-requests.ts';

const PAGE_BYTES = 400;

/** A store that sends and confirms queued writes on request: a value is built when sent, durable when confirmed. */
class SlowStore {
  readonly pages = new Map<string, unknown>();
  private readonly queue: DeferredWrite[] = [];
  private inFlight: { write: DeferredWrite; key: string; value: unknown } | null = null;
  confirmedWrites = 0;

  enqueue(write: DeferredWrite): void {
    this.queue.push(write);
  }

  send(): void {
    const write = this.inFlight ? undefined : this.queue.shift();
    if (!write) return;
    const mutation = write.build();
    assert.ok('put' in mutation);
    assert.ok(JSON.stringify(mutation.value).length <= write.maxBytes, 'a page grew past its bound');
    this.inFlight = { write, key: mutation.put, value: structuredClone(mutation.value) };
  }

  confirm(): void {
    if (!this.inFlight) return;
    const { write, key, value } = this.inFlight;
    this.confirmedWrites += 1;
    this.pages.set(key, value);
    this.inFlight = null;
    write.onCommitted();
  }

  /** Sends and confirms all queued writes. */
  flush(): void {
    while (this.queue.length > 0 || this.inFlight) {
      this.send();
      this.confirm();
    }
  }

  items(): Item[] {
    return [...this.pages].map(([key, value]) => ({ key, value, version: 1, lease: null }));
  }
}

function createWatermarks(store: SlowStore): StartWatermarks {
  return new StartWatermarks({
    pageBytes: PAGE_BYTES,
    enqueueWrite: (write) => {
      store.enqueue(write);
    },
    enqueue: (command) => {
      command();
    },
  });
}

/** The watermarks that a new leader would restore now. */
function durableWatermarks(store: SlowStore): Map<string, number> {
  return createWatermarks(new SlowStore()).restore(
    store.items(),
    () => true,
    () => assert.fail('malformed'),
  ).watermarks;
}

type Operation = 'raise' | 'complete' | 'send' | 'confirm' | 'failover';

const anyOperation: fc.Arbitrary<{ operation: Operation; number: number }> = fc.oneof(
  { weight: 3, arbitrary: fc.record({ operation: fc.constant('raise' as const), number: fc.nat(40) }) },
  { weight: 1, arbitrary: fc.record({ operation: fc.constant('complete' as const), number: fc.nat(40) }) },
  {
    weight: 3,
    arbitrary: fc.record({
      operation: fc.constantFrom('send' as const, 'confirm' as const, 'failover' as const),
      number: fc.nat(9),
    }),
  },
);

/** Successive leaders over one store, and the watermarks that were confirmed to them. */
class WatermarkModel {
  private readonly store = new SlowStore();
  private watermarks = createWatermarks(this.store);
  private term = 0;
  private readonly requested = new Map<string, number>();
  /** Watermarks that were confirmed to a leader as durable. */
  private readonly confirmed = new Map<string, number>();
  private readonly completed = new Set<string>();

  apply(operation: Operation, number: number): void {
    switch (operation) {
      case 'raise':
        this.raise(jobId(number));
        return;
      case 'complete':
        this.complete(jobId(number));
        return;
      case 'send':
        this.store.send();
        return;
      case 'confirm':
        this.store.confirm();
        return;
      case 'failover':
        // Failovers are rarer than the other operations.
        if (number === 0) this.failOver();
    }
  }

  private raise(id: string): void {
    if (this.completed.has(id)) return;
    const watermark = (this.requested.get(id) ?? 0) + 16;
    this.requested.set(id, watermark);
    const { term } = this;
    this.watermarks.raise(id, watermark, () => {
      if (term === this.term && !this.completed.has(id)) this.confirmed.set(id, watermark);
    });
  }

  private complete(id: string): void {
    this.completed.add(id);
    this.confirmed.delete(id);
    this.watermarks.drop(id);
  }

  private failOver(): void {
    this.term += 1;
    this.store.flush();
    this.watermarks = createWatermarks(this.store);
    const restored = this.watermarks.restore(
      this.store.items(),
      (id) => !this.completed.has(id),
      () => assert.fail('malformed'),
    );
    assert.equal(restored.hasUnreadablePage, false);
    for (const id of this.requested.keys()) this.requested.set(id, restored.watermarks.get(id) ?? 0);
  }

  assertConfirmedAreDurable(): void {
    const durable = durableWatermarks(this.store);
    for (const [id, watermark] of this.confirmed) {
      assert.ok(
        (durable.get(id) ?? 0) >= watermark,
        `the watermark of ${id} was confirmed and isn't durable`,
      );
    }
  }
}

test('every confirmed watermark is in the store for the next leader, until the job is completed', () => {
  fc.assert(
    fc.property(fc.array(anyOperation, { maxLength: 120 }), (operations) => {
      const model = new WatermarkModel();
      for (const { operation, number } of operations) {
        model.apply(operation, number);
        model.assertConfirmedAreDurable();
      }
    }),
    { seed: SEED, numRuns: 300 },
  );
});

test('jobs that start together share one write, and the next write of the page removes completed jobs', () => {
  const store = new SlowStore();
  const watermarks = createWatermarks(store);
  for (let number = 0; number < 9; number++) watermarks.raise(jobId(number), 1, () => undefined);
  store.flush();
  assert.equal(store.confirmedWrites, 1);
  for (let number = 0; number < 8; number++) watermarks.drop(jobId(number));
  store.flush();
  assert.equal(store.confirmedWrites, 1, 'the completion of a job rewrote the page');
  watermarks.raise(jobId(20), 1, () => undefined);
  store.flush();
  assert.deepEqual([...durableWatermarks(store).keys()].sort(), [jobId(8), jobId(20)]);
});

test('a page that cannot be read makes this and every later leader assume that all tasks may have been started', () => {
  const store = new SlowStore();
  store.pages.set('b/0', { b: 'damaged' });
  store.pages.set('b/2', { b: [[jobId(1), 3]] });
  for (const watermarkBefore of [3, 5]) {
    const malformedKeys: string[] = [];
    const watermarks = createWatermarks(store);
    const restored = watermarks.restore(
      store.items(),
      () => true,
      (key) => malformedKeys.push(key),
    );
    assert.deepEqual(malformedKeys, ['b/0']);
    assert.equal(restored.hasUnreadablePage, true);
    assert.equal(restored.watermarks.get(jobId(1)), watermarkBefore);
    for (let number = 0; number < 40; number++) watermarks.raise(jobId(number), 5, () => undefined);
    store.flush();
    assert.deepEqual(store.pages.get('b/0'), { b: 'damaged' });
  }
});
