import assert from 'node:assert/strict';
import test from 'node:test';
import { Archive } from '../../src/jobs/archive.ts';
import { terminalValue, readTerminal } from '../../src/jobs/records.ts';
import { KEYS } from '../../src/store/keys.ts';
import type { Write } from '../../src/store/write-queues.ts';
import { MemoryStore } from '../store/memory.ts';

const KEEP = 10;
const TXN_OPS = 6;
const id = (n: number): string => `req-${String(n).padStart(6, '0')}`;

function setUp(): { archive: Archive; store: MemoryStore; queue: Write[]; busy: { now: boolean } } {
  const store = new MemoryStore();
  const queue: Write[] = [];
  const busy = { now: false };
  const archive = new Archive({
    keep: KEEP,
    txnOps: TXN_OPS,
    idle: () => !busy.now,
    enqueueWrite: (job) => queue.push(job),
    enqueue: (command) => {
      command();
    },
  });
  return { archive, store, queue, busy };
}

test('old final records move away when there are many and the store is idle, each in one transaction', () => {
  const { archive, store, queue, busy } = setUp();
  const copies: Write[] = [];
  const end = (n: number): void => {
    const value = terminalValue('done', n);
    store.apply([], [{ put: KEYS.open(id(n)), value }]);
    archive.add(id(n), value);
  };
  /** As any controller looks for it: the record's place first, then the archive. */
  const look = (n: number): unknown =>
    readTerminal((store.data.get(KEYS.open(id(n))) ?? store.data.get(KEYS.archived(id(n))))?.value)?.done;
  for (let n = 0; n < KEEP; n++) end(n);
  archive.tick();
  assert.equal(queue.length, 0, 'moved though there are few');
  busy.now = true;
  for (let n = KEEP; n < 40; n++) end(n);
  archive.tick();
  assert.equal(queue.length, 0, 'moved though the store is busy');
  busy.now = false;
  for (let turn = 0; turn < 60; turn++) {
    archive.tick();
    archive.tick();
    assert.ok(queue.length <= 1, 'more than one batch at once');
    const job = queue.shift();
    if (!job) continue;
    copies.push(job);
    assert.ok(job.mutations.length < TXN_OPS, 'no room for the fence');
    assert.equal(store.apply([], job.mutations).kind, 'ok');
    job.done();
    for (let n = 0; n < 40; n++) assert.equal(look(n), n);
  }
  assert.equal(archive.size, KEEP);
  const left = [...store.data.keys()].filter((key) => key.startsWith(KEYS.openPrefix));
  assert.deepEqual(
    left,
    Array.from({ length: KEEP }, (_, i) => KEYS.open(id(30 + i))),
    'the newest stay',
  );
});

test('a job can not be created again, wherever its final record is', () => {
  const store = new MemoryStore();
  const create = (n: number): string =>
    store.apply(
      [
        { key: KEYS.open(id(n)), version: 0 },
        { key: KEYS.archived(id(n)), version: 0 },
      ],
      [{ put: KEYS.open(id(n)), value: { at: 0, job: {} } }],
    ).kind;
  assert.equal(create(1), 'ok');
  store.apply([], [{ put: KEYS.open(id(1)), value: terminalValue('cancelled', 0) }]);
  assert.equal(create(1), 'conflict');
  store.apply(
    [],
    [{ delete: KEYS.open(id(1)) }, { put: KEYS.archived(id(1)), value: terminalValue('cancelled', 0) }],
  );
  assert.equal(create(1), 'conflict');
});
