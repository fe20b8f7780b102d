import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { RateBudget } from '../../src/store/budget.ts';
import type { TxnResult } from '../../src/store/client.ts';
import { KEYS } from '../../src/store/keys.ts';
import { LeaderWriter } from '../../src/store/writer.ts';
import type { Change, Condition } from '../../src/wire/state.ts';
import { FakeClock, SEED, silent } from '../helpers.ts';

/** A store that loses answers and carries transactions out late, by a script of fates. */
class FlakyStore {
  readonly versions = new Map<string, number>([[KEYS.leader, 5]]);
  readonly values = new Map<string, unknown>();
  revision = 10;
  late: { conditions: readonly Condition[]; changes: readonly Change[] }[] = [];

  constructor(private readonly fates: ('ok' | 'lost' | 'late' | 'refused')[]) {}

  apply(conditions: readonly Condition[], changes: readonly Change[]): TxnResult {
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

  txn(conditions: readonly Condition[], changes: readonly Change[]): Promise<TxnResult> {
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

function writerOn(store: FlakyStore, lost: string[]): LeaderWriter {
  const clock = new FakeClock();
  return new LeaderWriter(
    {
      txn: (conditions, changes) => store.txn(conditions, changes),
      readFence: () => Promise.resolve(store.versions.get(KEYS.fence) ?? 0),
      lost: (reason) => lost.push(reason),
      pause: (ms) => {
        clock.at += ms;
        return Promise.resolve();
      },
    },
    5,
    0,
    { txnOps: 4, bytes: 10_000 },
    new RateBudget(1000, () => clock.now()),
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
          writer.push({ changes: [{ put: 'k', value: i }], done: () => done.push(i) }, false);
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
  writer.push({ changes: [{ put: 'k', value: 1 }], done: () => (done = true) }, true);
  for (let i = 0; i < 5; i++) await settle();
  assert.equal(lost.length, 1);
  assert.equal(done, false);
  assert.equal(store.values.has('k'), false);
});
