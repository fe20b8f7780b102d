import assert from 'node:assert/strict';
import test from 'node:test';
import { WriteQueues, type QueuedWrite } from '../../src/store/write-queues.ts';

const done = (): void => undefined;

/** A write of so many mutations, each of a few bytes. */
function write(name: string, mutations: number): QueuedWrite {
  return {
    kind: 'ready',
    mutations: Array.from({ length: mutations }, (_, number) => ({ delete: `${name}${number}` })),
    done,
  };
}

function keysOf(queues: WriteQueues, maxMutations: number, maxBytes = 1000): string[] {
  const { mutations } = queues.takeBatch(maxMutations, maxBytes);
  return mutations.map((mutation) => ('put' in mutation ? mutation.put : mutation.delete));
}

test('a batch holds the most urgent writes first, and no write in parts', () => {
  const queues = new WriteQueues();
  queues.enqueue(write('progress', 1), 'progress');
  queues.enqueue(write('start', 2), 'starts');
  queues.enqueue(write('end', 1), 'ends');
  assert.equal(queues.length, 3);
  assert.deepEqual(keysOf(queues, 2), ['end0']);
  assert.deepEqual(keysOf(queues, 3), ['start0', 'start1', 'progress0']);
  assert.equal(queues.length, 0);
});

test('a write that is larger than a transaction may be is taken alone', () => {
  const queues = new WriteQueues();
  queues.enqueue(write('large', 3), 'ends');
  queues.enqueue(write('small', 1), 'ends');
  assert.deepEqual(keysOf(queues, 2), ['large0', 'large1', 'large2']);
  assert.deepEqual(keysOf(queues, 2), ['small0']);
});

test('a batch ends before the write that exceeds its bytes; a deferred write counts with its upper bound', () => {
  const queues = new WriteQueues();
  const deferred = (key: string): QueuedWrite => ({
    kind: 'deferred',
    maxBytes: 600,
    build: () => ({ put: key, value: 1 }),
    done,
  });
  queues.enqueue(deferred('a'), 'starts');
  queues.enqueue(deferred('b'), 'starts');
  assert.deepEqual(keysOf(queues, 10), ['a']);
  assert.deepEqual(keysOf(queues, 10), ['b']);
});

test('a transaction waits for permits for its urgent writes alone, if there are any', () => {
  const queues = new WriteQueues();
  queues.enqueue(write('background', 2), 'background');
  queues.enqueue(write('progress', 1), 'progress');
  assert.deepEqual(queues.due(10), { count: 3, urgent: false });
  queues.enqueue(write('end', 1), 'ends');
  assert.deepEqual(queues.due(10), { count: 1, urgent: true });
  queues.enqueue(write('start', 5), 'starts');
  assert.deepEqual(queues.due(4), { count: 4, urgent: true });
});
