import assert from 'node:assert/strict';
import test from 'node:test';
import { defaultOptions } from '../../src/config/options.ts';
import { Catalog } from '../../src/fleet/catalog.ts';
import type { Answer } from '../../src/http/server.ts';
import { UserDoor } from '../../src/jobs/door.ts';
import { FinalCache } from '../../src/jobs/finals.ts';
import type { MeshReply, MeshRequest } from '../../src/mesh/frames.ts';
import type { StoreClient } from '../../src/store/client.ts';
import { BIG, FakeClock } from '../helpers.ts';
import { JOB } from '../wire/sample.ts';

/** A controller that the state service refuses alone and that knows of no leader. */
function refused(others: (request: MeshRequest) => MeshReply | null): {
  door: UserDoor;
  asked: MeshRequest[];
} {
  const asked: MeshRequest[] = [];
  const refuse = () => Promise.resolve({ kind: 'refused' as const });
  const store = { get: refuse, txn: refuse } as unknown as StoreClient;
  const door = new UserDoor({
    clock: new FakeClock(),
    options: defaultOptions(),
    store,
    finals: new FinalCache(10),
    teams: [{ name: 'vision', cpus: 0, gpus: 8, cpusMax: 0, gpusMax: 1000 }],
    catalog: () => new Catalog([{ ...BIG, name: 'g8', cpus: 96, gpus: 8, memory: 768 }]),
    leader: () => null,
    actAlone: () => Promise.resolve(null),
    askLeader: () => Promise.resolve(null),
    askOthers: (request) => {
      asked.push(request);
      return Promise.resolve(others(request));
    },
  });
  return { door, asked };
}

const answer = (run: (reply: (a: Answer) => void) => void): Promise<Answer> => new Promise(run);

test('a node that the state service refuses alone answers with the help of the others', async () => {
  // Its users' polls were once refused for as long as it was, while those of other nodes were answered.
  const running = { kind: 'status', created: false, stage: 'running', done: 1, running: 2 } as const;
  const helped = refused((r) => (r.kind === 'submit' ? { ...running, created: true } : running));
  const poll = await answer((reply) => {
    helped.door.poll('req-000001', reply);
  });
  assert.equal(poll.status, 200);
  assert.equal((JSON.parse(poll.body) as { stage: string }).stage, 'running');
  const submit = await answer((reply) => {
    helped.door.submit(JSON.stringify(JOB), reply);
  });
  assert.equal(submit.status, 201);
  const cancel = await answer((reply) => {
    helped.door.cancel('req-000001', reply);
  });
  assert.equal(cancel.status, 200);
  assert.deepEqual(
    helped.asked.map((r) => r.kind),
    ['look', 'submit', 'cancel'],
  );
});

test('a job is unknown only if somebody looked and found nothing; else the answer is 503 at once', async () => {
  const unknown = refused(() => ({ kind: 'unknown' }));
  const poll = (door: UserDoor): Promise<Answer> =>
    answer((reply) => {
      door.poll('req-000002', reply);
    });
  assert.equal((await poll(unknown.door)).status, 404);
  const alone = refused(() => null);
  const busy = await poll(alone.door);
  assert.equal(busy.status, 503);
  assert.ok((busy.retryAfterS ?? 0) >= 1);
});
