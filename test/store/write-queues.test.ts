import assert from 'node:assert/strict';
import test from 'node:test';
import { WriteQueues, type QueuedWrite } from '../../src/store/write-queues.ts';

const onCommitted = (): void => undefined;

/** Creates a write with this many mutations of a few bytes each. */
function createWrite(name: string, mutations: number): QueuedWrite {
  return {
    kind: 'ready',
    mutations: Array.from({ length: mutations }, (_, number) => ({ delete: `${name}${number}` })),
    onCommitted,
  };
}

function takeKeys(queues: WriteQueues, maxMutations: number, maxBytes = 1000): string[] {
  const { mutations } = queues.takeBatch(maxMutations, maxBytes);
  return mutations.map((mutation) => ('put' in mutation ? mutation.put : mutation.delete));
}

test('a batch holds the most urgent writes first, and never a part of a write', () => {
  const queues = new WriteQueues();
  queues.enqueue(createWrite('progress', 1), 'progress');
  queues.enqueue(createWrite('start', 2), 'starts');
  queues.enqueue(createWrite('end', 1), 'ends');
  assert.equal(queues.length, 3);
  assert.deepEqual(takeKeys(queues, 2), ['end0']);
  assert.deepEqual(takeKeys(queues, 3), ['start0', 'start1', 'progress0']);
  assert.equal(queues.length, 0);
});

test('a write that exceeds the limits of a transaction is taken alone', () => {
  const queues = new WriteQueues();
  queues.enqueue(createWrite('large', 3), 'ends');
  queues.enqueue(createWrite('small', 1), 'ends');
  assert.deepEqual(takeKeys(queues, 2), ['large0', 'large1', 'large2']);
  assert.deepEqual(takeKeys(queues, 2), ['small0']);
});

test('a batch ends before the write that exceeds its byte limit; a deferred write counts with its upper bound', () => {
  const queues = new WriteQueues();
  const deferred = (key: string): QueuedWrite => ({
    kind: 'deferred',
    maxBytes: 600,
    build: () => ({ put: key, value: 1 }),
    onCommitted,
  });
  queues.enqueue(deferred('a'), 'starts');
  queues.enqueue(deferred('b'), 'starts');
  assert.deepEqual(takeKeys(queues, 10), ['a']);
  assert.deepEqual(takeKeys(queues, 10), ['b']);
});

test('a transaction waits only for the permits of its urgent writes, if there are any', () => {
  const queues = new WriteQueues();
  queues.enqueue(createWrite('background', 2), 'background');
  queues.enqueue(createWrite('progress', 1), 'progress');
  assert.deepEqual(queues.countDueMutations(10), { count: 3, urgent: false });
  queues.enqueue(createWrite('end', 1), 'ends');
  assert.deepEqual(queues.countDueMutations(10), { count: 1, urgent: true });
  queues.enqueue(createWrite('start', 5), 'starts');
  assert.deepEqual(queues.countDueMutations(4), { count: 4, urgent: true });
});
