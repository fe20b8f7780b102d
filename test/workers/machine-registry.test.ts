import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import type { ReadyWrite } from '../../src/store/write-queues.ts';
import type { MachineIdentity } from '../../src/workers/machine.ts';
import { MachineRegistry } from '../../src/workers/machine-registry.ts';
import { SEED } from '../helpers.ts';

const PAGE_BYTES = 400;
/** The registry bounds pages by an approximate size, which leaves out some of the JSON punctuation. */
const SIZE_TOLERANCE = 1.2;

function machineIdentity(number: number): MachineIdentity {
  return {
    name: `n-${String(number).padStart(6, '0')}`,
    address: `10.1.0.${number}:9000`,
    machineType: 'g8',
    zone: 'a',
    spot: number % 2 === 0,
  };
}

/** A store that queues writes, and executes them in order on request. */
class SteppedStore {
  /** The machines' names by the key of their page. */
  readonly pages = new Map<string, string[]>();
  private readonly queue: ReadyWrite[] = [];
  writes = 0;

  enqueue(write: ReadyWrite): void {
    this.queue.push(write);
  }

  /** Executes the next write, if there is one. */
  executeNext(): void {
    const write = this.queue.shift();
    if (!write) return;
    for (const mutation of write.mutations) {
      this.writes += 1;
      if ('put' in mutation) {
        assert.ok(JSON.stringify(mutation.value).length <= PAGE_BYTES * SIZE_TOLERANCE);
        const { m: entries } = mutation.value as { m: [name: string, ...rest: unknown[]][] };
        this.pages.set(
          mutation.put,
          entries.map(([name]) => name),
        );
      } else this.pages.delete(mutation.delete);
    }
    write.onCommitted();
  }

  executeAll(): void {
    while (this.queue.length > 0) this.executeNext();
  }

  names(): string[] {
    return [...this.pages.values()].flat().sort();
  }
}

function createRegistry(store: SteppedStore): MachineRegistry {
  return new MachineRegistry({
    pageBytes: PAGE_BYTES,
    enqueueWrite: (write) => {
      store.enqueue(write);
    },
    enqueue: (command) => {
      command();
    },
  });
}

test('a machine counts as registered only while a durable page holds it, and removed machines leave the store', () => {
  const step = fc.oneof(
    fc.record({ op: fc.constant('register' as const), number: fc.nat(30) }),
    fc.record({ op: fc.constant('remove' as const), number: fc.nat(30) }),
    fc.record({
      op: fc.constantFrom('flush' as const, 'flushIdle' as const, 'execute' as const),
      number: fc.constant(0),
    }),
  );
  fc.assert(
    fc.property(fc.array(step, { maxLength: 80 }), (steps) => {
      const store = new SteppedStore();
      const registry = createRegistry(store);
      const present = new Set<string>();
      const durable = new Set<string>();
      for (const { op, number } of steps) {
        const identity = machineIdentity(number);
        if (op === 'register' && !present.has(identity.name)) {
          present.add(identity.name);
          registry.register(identity, () => {
            if (present.has(identity.name)) durable.add(identity.name);
          });
        } else if (op === 'remove') {
          present.delete(identity.name);
          durable.delete(identity.name);
          registry.remove(identity.name);
        } else if (op === 'flush' || op === 'flushIdle') registry.flush(op === 'flushIdle');
        else store.executeNext();
        const written = new Set(store.names());
        for (const name of durable)
          assert.ok(written.has(name), `${name} counts as registered, but no durable page holds it`);
      }
      for (let round = 0; round < 3; round++) {
        registry.flush(true);
        store.executeAll();
      }
      assert.deepEqual(store.names(), [...present].sort());
    }),
    { seed: SEED, numRuns: 300 },
  );
});

test('many machines need few writes, and a new leader restores them all', () => {
  // With one value per machine, 224 machines would use up the store's write budget for as long as 224 writes take.
  const store = new SteppedStore();
  const registry = createRegistry(store);
  for (let number = 0; number < 60; number++) registry.register(machineIdentity(number), () => undefined);
  registry.flush(false);
  store.executeAll();
  assert.ok(store.writes <= 12, `${store.writes}`);
  const items = [...store.pages].map(([key, names]) => ({
    key,
    value: { m: names.map((name) => [name, 'x:1', 'g8', 'a', false]) },
    version: 1,
    lease: null,
  }));
  const [first] = items;
  assert.ok(first);
  const malformed: string[] = [];
  const restored = createRegistry(new SteppedStore()).restore(
    [...items, { ...first, value: { m: 7 } }],
    (key) => malformed.push(key),
  );
  assert.equal(restored.length, 60);
  assert.equal(malformed.length, 1);
});
