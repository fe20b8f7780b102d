import assert from 'node:assert/strict';
import test from 'node:test';
import type { HttpResult, HttpSender } from '../../src/http/client.ts';
import { WorkerClient } from '../../src/workers/worker-client.ts';
import { heartbeat, newMachine, wireHeartbeat } from './fixtures.ts';

/** A client whose requests all end with this result. */
function clientWith(result: HttpResult): WorkerClient {
  const sender: HttpSender = { send: () => Promise.resolve(result), close: () => undefined };
  return new WorkerClient({ connect: () => sender, close: () => undefined });
}

function answer(status: number, body = wireHeartbeat(1, 7)): HttpResult {
  return { kind: 'answer', status, body, retryAfterS: null };
}

const NOT_SENT: HttpResult = { kind: 'silent', sent: false, reason: 'ECONNREFUSED' };
const SENT_UNANSWERED: HttpResult = { kind: 'silent', sent: true, reason: 'no answer in time' };

test('commands are in doubt when they may have arrived and no usable answer was received', async () => {
  const send = (result: HttpResult) => clientWith(result).sendCommands(newMachine(), 1, [], () => true);
  const answered = { kind: 'answered', heartbeat: heartbeat(1, 7) };
  assert.deepEqual(await send(answer(200)), { ...answered, executed: true });
  assert.deepEqual(await send(answer(409)), { ...answered, executed: false });
  assert.deepEqual(await send(NOT_SENT), { kind: 'notSent' });
  assert.deepEqual(await send(answer(503)), { kind: 'notSent' });
  assert.deepEqual(await send(SENT_UNANSWERED), { kind: 'unanswered' });
  assert.deepEqual(await send(answer(200, '{')), { kind: 'unanswered' });
});

test('an inspection without a heartbeat reports the reason', async () => {
  const inspect = (result: HttpResult) => clientWith(result).inspect(newMachine());
  assert.deepEqual(await inspect(answer(200)), { kind: 'answered', heartbeat: heartbeat(1, 7) });
  assert.deepEqual(await inspect(SENT_UNANSWERED), { kind: 'unanswered' });
  assert.deepEqual(await inspect(NOT_SENT), { kind: 'unanswered' });
  assert.deepEqual(await inspect(answer(503)), { kind: 'rejected', status: 503 });
  assert.equal((await inspect(answer(200, '{'))).kind, 'malformed');
});
