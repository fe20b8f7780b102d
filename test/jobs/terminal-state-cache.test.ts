import assert from 'node:assert/strict';
import test from 'node:test';
import { TerminalStateCache } from '../../src/jobs/terminal-state-cache.ts';
import type { JobStatus } from '../../src/wire/user.ts';

const DONE: JobStatus = { stage: 'done', done: 4, running: 0 };

test('the terminal state that was stored least recently is evicted first', () => {
  const cache = new TerminalStateCache(2);
  cache.put('a', DONE);
  cache.put('b', DONE);
  cache.put('a', DONE);
  cache.put('c', DONE);
  assert.deepEqual(cache.get('a'), DONE);
  assert.equal(cache.get('b'), undefined);
  assert.deepEqual(cache.get('c'), DONE);
});
