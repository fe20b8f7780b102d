import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import type { Write } from '../../src/store/write-queues.ts';
import type { MachineIdentity } from '../../src/workers/machine.ts';
import { MachineRegistry } from '../../src/workers/machine-registry.ts';
import { SEED } from '../helpers.ts';

const PAGE = 400;
const identity = (n: number): MachineIdentity => ({
  name: `n-${String(n).padStart(6, '0')}`,
  address: `10.1.0.${n}:9000`,
  machineType: 'g8',
  zone: 'a',
  spot: n % 2 === 0,
});

/** A store that takes writes in order, when it is told to. */
class SlowStore {
  readonly pages = new Map<string, string[]>();
  readonly queue: Write[] = [];
  writes = 0;

  take(): void {
    const job = this.queue.shift();
    if (!job) return;
    for (const c of job.mutations) {
      this.writes += 1;
      if ('put' in c) {
        assert.ok(JSON.stringify(c.value).length <= PAGE * 1.2);
        this.pages.set(
          c.put,
          (c.value as { m: string[][] }).m.map((e) => e[0]!),
        );
      } else this.pages.delete(c.delete);
    }
    job.done();
  }

  names(): string[] {
    return [...this.pages.values()].flat().sort();
  }
}

const make = (store: SlowStore): MachineRegistry =>
  new MachineRegistry({
    pageBytes: PAGE,
    enqueueWrite: (job) => store.queue.push(job),
    enqueue: (command) => {
      command();
    },
  });

test('a machine counts as written only while a durable page has it, and what is gone leaves in the end', () => {
  const step = fc.oneof(
    fc.record({ op: fc.constant('enroll' as const), n: fc.nat(30) }),
    fc.record({ op: fc.constant('remove' as const), n: fc.nat(30) }),
    fc.record({ op: fc.constantFrom('flush' as const, 'calm' as const, 'take' as const), n: fc.constant(0) }),
  );
  fc.assert(
    fc.property(fc.array(step, { maxLength: 80 }), (steps) => {
      const store = new SlowStore();
      const roster = make(store);
      const there = new Set<string>();
      const durable = new Set<string>();
      for (const s of steps) {
        const { name } = identity(s.n);
        if (s.op === 'enroll' && !there.has(name)) {
          there.add(name);
          roster.register(identity(s.n), () => {
            if (there.has(name)) durable.add(name);
          });
        } else if (s.op === 'remove') {
          there.delete(name);
          durable.delete(name);
          roster.remove(name);
        } else if (s.op === 'flush' || s.op === 'calm') roster.flush(s.op === 'calm');
        else store.take();
        const written = new Set(store.names());
        for (const d of durable) assert.ok(written.has(d), `${d} counts as written and isn't`);
      }
      for (let i = 0; i < 3; i++) {
        roster.flush(true);
        while (store.queue.length > 0) store.take();
      }
      assert.deepEqual(store.names(), [...there].sort());
    }),
    { seed: SEED, numRuns: 300 },
  );
});

test('many machines cost few changes, and a new leader reads them all back', () => {
  // One value a machine once used up the changes of the state service for as long as 224 machines take.
  const store = new SlowStore();
  const roster = make(store);
  for (let n = 0; n < 60; n++) roster.register(identity(n), () => undefined);
  roster.flush(false);
  while (store.queue.length > 0) store.take();
  assert.ok(store.writes <= 12, `${store.writes}`);
  const items = [...store.pages].map(([key, names]) => ({
    key,
    value: { m: names.map((name) => [name, 'x:1', 'g8', 'a', false]) },
    version: 1,
    lease: null,
  }));
  const bad: string[] = [];
  const found = make(new SlowStore()).restore([...items, { ...items[0]!, value: { m: 7 } }], (key) =>
    bad.push(key),
  );
  assert.equal(found.length, 60);
  assert.equal(bad.length, 1);
});
