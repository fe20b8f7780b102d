import assert from 'node:assert/strict';
import test from 'node:test';
import { TerminalWrites } from '../../src/jobs/terminal-writes.ts';
import { KEYS } from '../../src/store/keys.ts';
import type { CompareAndSwapResult } from '../../src/store/key-value-store.ts';
import { jobId } from './support/user-requests.ts';

const ID = jobId(1);
const REFUSED: CompareAndSwapResult = { kind: 'refused' };
const UNKNOWN: CompareAndSwapResult = { kind: 'unknown' };

/** Tracked terminal writes of a leader, and a function that sends one for job 1 with a given result. */
function createTerminalWrites(isOutcomeUnconfirmed: (id: string) => boolean = () => true): {
  writes: TerminalWrites;
  send: (result: CompareAndSwapResult, key?: string) => Promise<CompareAndSwapResult>;
} {
  const writes = new TerminalWrites(isOutcomeUnconfirmed);
  const send = (result: CompareAndSwapResult, key = KEYS.open(ID)): Promise<CompareAndSwapResult> => {
    const compareAndSwap = writes.trackResults(() => Promise.resolve(result));
    return compareAndSwap([], [{ put: key, value: {} }]);
  };
  return { writes, send };
}

test('a terminal write in flight may be in the store; one that was refused every time is not', async () => {
  const { writes, send } = createTerminalWrites();
  assert.equal(writes.mayBeWritten(ID), false);
  const firstAttempt = send(REFUSED);
  assert.equal(writes.mayBeWritten(ID), true);
  assert.deepEqual(await firstAttempt, REFUSED);
  assert.equal(writes.mayBeWritten(ID), false);
});

test('a terminal write without an answer stays in doubt through later refusals, until it is durable', async () => {
  const { writes, send } = createTerminalWrites();
  await send(UNKNOWN);
  await send(REFUSED);
  assert.equal(writes.mayBeWritten(ID), true);
  writes.markDurable(ID);
  assert.equal(writes.mayBeWritten(ID), false);
});

test('a conflict leaves a terminal write in doubt, because an earlier attempt of it may be the cause', async () => {
  const { writes, send } = createTerminalWrites();
  await send({ kind: 'conflict', failed: [KEYS.fence] });
  assert.equal(writes.mayBeWritten(ID), true);
});

test('only writes of open records of jobs with a pending outcome count as terminal writes', async () => {
  const ended = createTerminalWrites();
  await ended.send(UNKNOWN, KEYS.completions(ID, 0));
  assert.equal(ended.writes.mayBeWritten(ID), false);
  const open = createTerminalWrites(() => false);
  await open.send(UNKNOWN);
  assert.equal(open.writes.mayBeWritten(ID), false);
});
