import assert from 'node:assert/strict';
import test from 'node:test';
import type { WriteQueue } from '../../src/leader/context.ts';
import { TokenReservation } from '../../src/leader/token-reservation.ts';
import type { QueuedWrite } from '../../src/store/write-queues.ts';
import { silent } from '../helpers.ts';
import { FencingTokens, TOKENS_PER_RESERVATION } from '../../src/workers/fencing-tokens.ts';

test('further tokens are used only once the term record that exceeds them is durable', () => {
  const tokens = new FencingTokens(101, 100 + TOKENS_PER_RESERVATION);
  const queued: QueuedWrite[] = [];
  const writer: Pick<WriteQueue, 'enqueue'> = {
    enqueue: (write) => {
      queued.push(write);
    },
  };
  const host = {
    log: silent,
    enqueue: (command: () => void) => {
      command();
    },
  };
  const reservation = new TokenReservation({ tokens, writer, host });
  const { last } = tokens;
  for (let token = tokens.first; token <= last; token++) reservation.noteUsed(token);
  assert.equal(queued.length, 1, 'one write at a time');
  assert.equal(tokens.last, last, 'not before the write is durable');
  assert.equal(tokens.isSuperseding(last + 1), true);
  const [write] = queued;
  assert.ok(write?.kind === 'ready');
  assert.deepEqual(write.mutations, [{ put: 'term', value: { n: last + TOKENS_PER_RESERVATION } }]);
  write.onCommitted();
  assert.equal(tokens.last, last + TOKENS_PER_RESERVATION);
  reservation.noteUsed(last + 1);
  assert.equal(queued.length, 1, 'enough are left');
  reservation.noteUsed(tokens.last);
  assert.equal(queued.length, 2);
});
