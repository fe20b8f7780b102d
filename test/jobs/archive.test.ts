import assert from 'node:assert/strict';
import test from 'node:test';
import { Archive } from '../../src/jobs/archive.ts';
import { decodeTerminalRecord, encodeTerminalRecord } from '../../src/jobs/records.ts';
import { KEYS } from '../../src/store/keys.ts';
import type { ReadyWrite } from '../../src/store/write-queues.ts';
import { MemoryStore } from '../store/memory.ts';
import { jobId } from './support/user-requests.ts';

const MAX_UNARCHIVED = 10;
const MAX_MUTATIONS = 6;
const JOBS = 40;

interface Harness {
  archive: Archive;
  store: MemoryStore;
  /** Writes that the archive has enqueued. */
  queue: ReadyWrite[];
  /** Sets whether the writer has other writes. */
  setBusy: (busy: boolean) => void;
}

function createArchive(): Harness {
  const store = new MemoryStore();
  const queue: ReadyWrite[] = [];
  let isBusy = false;
  const archive = new Archive({
    maxUnarchived: MAX_UNARCHIVED,
    maxMutations: MAX_MUTATIONS,
    isWriterIdle: () => !isBusy,
    enqueueWrite: (write) => queue.push(write),
    enqueue: (command) => {
      command();
    },
  });
  const setBusy = (busy: boolean): void => {
    isBusy = busy;
  };
  return { archive, store, queue, setBusy };
}

/** Number of done tasks in a job's terminal record, which is looked up under the open key first. */
function tasksDone({ data }: MemoryStore, id: string): number | undefined {
  const item = data.get(KEYS.open(id)) ?? data.get(KEYS.archived(id));
  return decodeTerminalRecord(item?.value)?.done;
}

test('surplus terminal records are archived while the writer is idle, oldest first, each in one transaction', () => {
  const { archive, store, queue, setBusy } = createArchive();
  const queuedWrites = (): number => queue.length;
  const completeJob = (number: number): void => {
    const value = encodeTerminalRecord('done', number);
    store.apply([], [{ put: KEYS.open(jobId(number)), value }]);
    archive.add(jobId(number), value);
  };
  for (let number = 0; number < MAX_UNARCHIVED; number++) completeJob(number);
  archive.tick();
  assert.equal(queuedWrites(), 0, 'archived although there is no surplus');
  setBusy(true);
  for (let number = MAX_UNARCHIVED; number < JOBS; number++) completeJob(number);
  archive.tick();
  assert.equal(queuedWrites(), 0, 'archived although the writer is busy');
  setBusy(false);
  for (let round = 0; round < 60; round++) {
    archive.tick();
    archive.tick();
    assert.ok(queuedWrites() <= 1, 'more than one write at once');
    const write = queue.shift();
    if (!write) continue;
    assert.ok(write.mutations.length < MAX_MUTATIONS, 'no mutation is left for the fence key');
    assert.equal(store.apply([], write.mutations).kind, 'ok');
    write.onCommitted();
    for (let number = 0; number < JOBS; number++) assert.equal(tasksDone(store, jobId(number)), number);
  }
  assert.equal(archive.unarchivedCount, MAX_UNARCHIVED);
  const remaining = [...store.data.keys()].filter((key) => key.startsWith(KEYS.openPrefix));
  assert.deepEqual(
    remaining,
    Array.from({ length: MAX_UNARCHIVED }, (_, index) => KEYS.open(jobId(JOBS - MAX_UNARCHIVED + index))),
    'the newest stay',
  );
});

test('a job with a terminal record can not be created again, before and after the record is archived', () => {
  const store = new MemoryStore();
  const id = jobId(1);
  const create = (): string =>
    store.apply(
      [
        { key: KEYS.open(id), version: 0 },
        { key: KEYS.archived(id), version: 0 },
      ],
      [{ put: KEYS.open(id), value: { at: 0, job: {} } }],
    ).kind;
  const terminalRecord = encodeTerminalRecord('cancelled', 0);
  assert.equal(create(), 'ok');
  store.apply([], [{ put: KEYS.open(id), value: terminalRecord }]);
  assert.equal(create(), 'conflict');
  store.apply([], [{ delete: KEYS.open(id) }, { put: KEYS.archived(id), value: terminalRecord }]);
  assert.equal(create(), 'conflict');
});
