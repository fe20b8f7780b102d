import assert from 'node:assert/strict';
import test from 'node:test';
import type { HttpResult, HttpSender } from '../../src/http/client.ts';
import { KeyValueStore } from '../../src/store/key-value-store.ts';
import { FakeClock, silent } from '../helpers.ts';

const response = (status: number, body = '{}'): HttpResult => ({
  kind: 'answer',
  status,
  body,
  retryAfterS: null,
});
const NOT_SENT: HttpResult = { kind: 'silent', sent: false, reason: 'ECONNREFUSED' };
const NO_RESPONSE: HttpResult = { kind: 'silent', sent: true, reason: 'no answer in time' };

/** Creates a client whose calls all have the same result, and records the paths that it called. */
function createStore(result: HttpResult): { store: KeyValueStore; clock: FakeClock; paths: string[] } {
  const clock = new FakeClock();
  const paths: string[] = [];
  const http: HttpSender = {
    send: (_method, path) => {
      paths.push(path);
      return Promise.resolve(result);
    },
    close: () => undefined,
  };
  const store = new KeyValueStore(
    () => http,
    { rps: 10, nodes: 1 },
    () => clock.now(),
    silent,
  );
  return { store, clock, paths };
}

const compareAndSwap = (result: HttpResult) =>
  createStore(result).store.compareAndSwap([{ key: 'a', version: 1 }], [{ delete: 'a' }], 'lease');

test('a transaction is refused only if it will never be executed, and unknown if it may be', async () => {
  assert.deepEqual(await compareAndSwap(NOT_SENT), { kind: 'refused' });
  assert.deepEqual(await compareAndSwap(response(503)), { kind: 'refused', overLimit: false });
  assert.deepEqual(await compareAndSwap(response(429)), { kind: 'refused', overLimit: true });
  assert.deepEqual(await compareAndSwap(response(400, '{"error":"malformed"}')), {
    kind: 'refused',
    overLimit: false,
  });
  assert.deepEqual(await compareAndSwap(NO_RESPONSE), { kind: 'unknown' });
  // The transaction was executed, but its revision is not known.
  assert.deepEqual(await compareAndSwap(response(200, 'not JSON')), { kind: 'unknown' });
  assert.deepEqual(await compareAndSwap(response(409, '{"failed":"a"}')), { kind: 'unknown' });
});

test('a transaction returns its revision, the failed conditions, or that its lease has expired', async () => {
  assert.deepEqual(await compareAndSwap(response(200, '{"ledger":7}')), { kind: 'ok', revision: 7 });
  assert.deepEqual(await compareAndSwap(response(409, '{"failed":["a"],"ledger":7}')), {
    kind: 'conflict',
    failed: ['a'],
  });
  assert.deepEqual(await compareAndSwap(response(400, '{"error":"no such lease"}')), { kind: 'no_lease' });
});

test('a key is missing only if the 404 has the format of the store, not if a proxy sent it', async () => {
  const storeWithoutKey = createStore(response(404, '{"ledger":7}')).store;
  assert.deepEqual(await storeWithoutKey.get('a', 'user'), { kind: 'ok', value: null });
  const storeBehindProxy = createStore(response(404, 'not found')).store;
  assert.deepEqual(await storeBehindProxy.get('a', 'user'), { kind: 'refused' });
});

test('a list is read page by page and returns the revision of the first page', async () => {
  const pages = [
    '{"rows":[{"k":"o/1","data":1,"stamp":2}],"hasNext":true,"ledger":8}',
    '{"rows":[{"k":"o/2","data":2,"stamp":9}],"hasNext":false,"ledger":9}',
  ];
  const paths: string[] = [];
  const http: HttpSender = {
    send: (_method, path) => {
      paths.push(path);
      return Promise.resolve(response(200, pages[paths.length - 1]));
    },
    close: () => undefined,
  };
  const store = new KeyValueStore(
    () => http,
    { rps: 10, nodes: 1 },
    () => 0,
    silent,
  );
  const listed = await store.list('o/', 'lease');
  assert.ok(listed.kind === 'ok');
  assert.equal(listed.value.revision, 8);
  assert.deepEqual(
    listed.value.items.map(({ key }) => key),
    ['o/1', 'o/2'],
  );
  assert.deepEqual(paths, ['/store?starts=o%2F&most=500', '/store?starts=o%2F&since=o%2F1&most=500']);
});

test('calls over the budget are withheld, the least urgent first', async () => {
  // A single controller may send half of the 10 requests per second, with a burst of one second's worth.
  const { store, clock, paths } = createStore(response(404, '{"ledger":7}'));
  const countAdmitted = async (urgency: 'lease' | 'user' | 'background' | 'poll'): Promise<number> => {
    const before = paths.length;
    while ((await store.get('a', urgency)).kind === 'ok');
    return paths.length - before;
  };
  assert.deepEqual(
    [
      await countAdmitted('poll'),
      await countAdmitted('background'),
      await countAdmitted('user'),
      await countAdmitted('lease'),
    ],
    [3, 0, 1, 1],
  );
  assert.deepEqual(await store.get('a', 'lease'), { kind: 'refused', overLimit: true });
  clock.at += 1000;
  assert.equal(await countAdmitted('lease'), 5);
});

test('a watch from a revision that is no longer retained is gone', async () => {
  assert.deepEqual(await createStore(response(410)).store.watch('o/', 1, 1000), { kind: 'gone' });
});
