import assert from 'node:assert/strict';
import test from 'node:test';
import { defaultOptions } from '../../src/config/options.ts';
import { Catalog } from '../../src/fleet/catalog.ts';
import type { Answer } from '../../src/http/server.ts';
import { UserRequests, type UserRequestDeps, type LocalLeader } from '../../src/jobs/user-requests.ts';
import { TerminalStateCache } from '../../src/jobs/terminal-state-cache.ts';
import { MAX_LOOKUP_AGE_MS } from '../../src/jobs/job-lookup.ts';
import type { PeerReply, PeerRequest } from '../../src/peers/messages.ts';
import { RateBudget } from '../../src/store/budget.ts';
import type { KeyValueStore } from '../../src/store/key-value-store.ts';
import { KEYS } from '../../src/store/keys.ts';
import type { Item } from '../../src/wire/state.ts';
import { BIG, FakeClock } from '../helpers.ts';
import { MemoryStore } from '../store/memory.ts';
import { JOB } from '../wire/sample.ts';
import { leaderlessWrite } from './leaderless.ts';

const OPEN = { at: 0, job: JOB };
const ID = 'req-000001';

/** A controller without a leader over a store whose calls take a given time, on the controller's own clock. */
function slow(records: Record<string, unknown>, ms: number): UserRequests {
  const clock = new FakeClock();
  const found = (key: string): Item | null =>
    key in records ? { key, value: records[key], version: 1, lease: null } : null;
  const store = {
    get: (key: string) => {
      clock.at += ms;
      return Promise.resolve({ kind: 'ok', value: found(key) });
    },
    compareAndSwap: () => {
      clock.at += ms;
      const known = KEYS.open(JOB.uid) in records;
      return Promise.resolve(known ? { kind: 'conflict', failed: [] } : { kind: 'ok', revision: 2 });
    },
  } as unknown as KeyValueStore;
  return userRequestsOver(store, { clock });
}

function userRequestsOver(store: KeyValueStore, over: Partial<UserRequestDeps> = {}): UserRequests {
  return new UserRequests({
    clock: new FakeClock(),
    options: defaultOptions(),
    store,
    terminalStates: new TerminalStateCache(10),
    submissions: new RateBudget(10, () => 0),
    teams: [{ name: 'vision', cpus: 0, gpus: 8, cpusMax: 0, gpusMax: 1000 }],
    catalog: () => new Catalog([{ ...BIG, name: 'g8', cpus: 96, gpus: 8, memory: 768 }]),
    leader: () => null,
    beginLeaderlessWrite: () => Promise.resolve(null),
    callLeader: () => Promise.resolve(null),
    callOthers: () => Promise.resolve(null),
    ...over,
  });
}

/** A controller that the state service refuses alone and that knows of no leader. */
function refused(others: (request: PeerRequest) => PeerReply | null): {
  userRequests: UserRequests;
  asked: PeerRequest[];
} {
  const asked: PeerRequest[] = [];
  const refuse = () => Promise.resolve({ kind: 'refused' as const });
  const store = { get: refuse, compareAndSwap: refuse } as unknown as KeyValueStore;
  const userRequests = userRequestsOver(store, {
    callOthers: (request) => {
      asked.push(request);
      return Promise.resolve(others(request));
    },
  });
  return { userRequests, asked };
}

const answer = (run: (reply: (a: Answer) => void) => void): Promise<Answer> => new Promise(run);

test('a node that the state service refuses alone answers with the help of the others', async () => {
  // Its users' polls were once refused for as long as it was, while those of other nodes were answered.
  const running = { kind: 'status', created: false, stage: 'running', done: 1, running: 2 } as const;
  const cancelled = { ...running, stage: 'cancelled', running: 0 } as const;
  const helped = refused((r) => {
    if (r.kind === 'submit') return { ...running, created: true };
    return r.kind === 'cancel' ? cancelled : running;
  });
  const poll = await answer((reply) => {
    helped.userRequests.poll('req-000001', reply);
  });
  assert.equal(poll.status, 200);
  assert.equal((JSON.parse(poll.body) as { stage: string }).stage, 'running');
  const submit = await answer((reply) => {
    helped.userRequests.submit(JSON.stringify(JOB), reply);
  });
  assert.equal(submit.status, 201);
  const cancel = await answer((reply) => {
    helped.userRequests.cancel('req-000001', reply);
  });
  assert.equal(cancel.status, 200);
  assert.equal((JSON.parse(cancel.body) as { stage: string }).stage, 'aborted');
  assert.deepEqual(
    helped.asked.map((r) => r.kind),
    ['lookup', 'submit', 'cancel'],
  );
});

test('a job is unknown only if somebody looked and found nothing; else the answer is 503 at once', async () => {
  const unknown = refused(() => ({ kind: 'notFound' }));
  const poll = (userRequests: UserRequests): Promise<Answer> =>
    answer((reply) => {
      userRequests.poll('req-000002', reply);
    });
  assert.equal((await poll(unknown.userRequests)).status, 404);
  const alone = refused(() => null);
  const busy = await poll(alone.userRequests);
  assert.equal(busy.status, 503);
  assert.ok((busy.retryAfterS ?? 0) >= 1);
});

test('an answer from a read that took long is refused unless it is final', async () => {
  // Meanwhile another controller may have told the user something newer.
  const poll = (userRequests: UserRequests): Promise<Answer> =>
    answer((reply) => {
      userRequests.poll(ID, reply);
    });
  assert.ok(MAX_LOOKUP_AGE_MS < 2000, 'users wait for 2 s');
  const late = MAX_LOOKUP_AGE_MS + 1;
  const open = { [KEYS.open(ID)]: OPEN };
  assert.equal((await poll(slow(open, MAX_LOOKUP_AGE_MS))).status, 200);
  assert.equal((await poll(slow(open, late))).status, 503);
  assert.equal((await poll(slow({}, late / 2))).status, 503, 'two reads that found nothing');
  assert.equal((await poll(slow({ [KEYS.archived(ID)]: { s: 'done', n: 16 } }, late))).status, 200);
});

test('a submission that was carried out but answered late is looked up before it is told', async () => {
  const submit = (userRequests: UserRequests): Promise<Answer> =>
    answer((reply) => {
      userRequests.submit(JSON.stringify(JOB), reply);
    });
  assert.equal((await submit(slow({}, 10))).status, 201);
  const late = slow({ [KEYS.archived(JOB.uid)]: { s: 'cancelled', n: 0 } }, MAX_LOOKUP_AGE_MS + 1);
  const told = await submit(late);
  assert.deepEqual([told.status, (JSON.parse(told.body) as { stage: string }).stage], [200, 'aborted']);
});

test('a cancellation is answered with a final state or refused', async () => {
  const open = { kind: 'status', created: false, stage: 'pending', done: 0, running: 0 } as const;
  const { userRequests } = refused(() => open);
  const told = await answer((reply) => {
    userRequests.cancel(ID, reply);
  });
  assert.equal(told.status, 503);
});

test('what was read in one term brings no job back in the next one of the same controller', async () => {
  // Another controller may have led in between and ended the job.
  let term = 1;
  const created: string[] = [];
  const leader = (): LocalLeader => ({
    term,
    lookup: () => ({ kind: 'unknown' }),
    cancel: () => false,
    observeOpenRecord: (id) => created.push(id),
  });
  const store = {
    get: (key: string) => {
      term = 3;
      return Promise.resolve({ kind: 'ok', value: { key, value: OPEN, version: 1, lease: null } });
    },
  } as unknown as KeyValueStore;
  const told = await answer((reply) => {
    userRequestsOver(store, { leader }).cancel(ID, reply);
  });
  assert.equal(told.status, 503);
  assert.deepEqual(created, []);
});

/** A follower with the state service at hand and no leader to ask. */
function follower(
  store: MemoryStore,
  perSecond = 5,
): { userRequests: UserRequests; clock: FakeClock; asked: PeerRequest[] } {
  const clock = new FakeClock();
  const asked: PeerRequest[] = [];
  const userRequests = new UserRequests({
    clock,
    options: defaultOptions(),
    store: store as unknown as KeyValueStore,
    terminalStates: new TerminalStateCache(1),
    submissions: new RateBudget(perSecond, () => clock.now()),
    teams: [{ name: 'vision', cpus: 0, gpus: 8, cpusMax: 0, gpusMax: 1000 }],
    catalog: () => new Catalog([{ ...BIG, name: 'g8', cpus: 96, gpus: 8, memory: 768 }]),
    leader: () => null,
    beginLeaderlessWrite: () => Promise.resolve(leaderlessWrite(store as unknown as KeyValueStore)),
    callLeader: () => Promise.resolve(null),
    callOthers: (request) => {
      asked.push(request);
      return Promise.resolve(null);
    },
  });
  return { userRequests, clock, asked };
}

const jobId = (n: number): string => `req-${String(n).padStart(6, '0')}`;
const submit = (userRequests: UserRequests, n: number): Promise<Answer> =>
  answer((reply) => {
    userRequests.submit(JSON.stringify({ ...JOB, uid: jobId(n) }), reply);
  });
const poll = (userRequests: UserRequests, n: number): Promise<Answer> =>
  answer((reply) => {
    userRequests.poll(jobId(n), reply);
  });
const stage = (a: Answer): unknown => (JSON.parse(a.body) as { stage?: string }).stage;

test('a final state takes the place of the open record, and is told wherever it is moved later', async () => {
  const store = new MemoryStore();
  const { userRequests } = follower(store);
  assert.equal((await submit(userRequests, 1)).status, 201);
  assert.equal(stage(await poll(userRequests, 1)), 'pending');
  const cancelled = await answer((reply) => {
    userRequests.cancel(jobId(1), reply);
  });
  assert.equal(stage(cancelled), 'aborted');
  assert.deepEqual([...store.data.keys()], [KEYS.open(jobId(1))]);
  // From here on by nodes that remember nothing, before and after the move to the archive.
  for (const place of ['record', 'archive']) {
    const other = follower(store).userRequests;
    assert.equal(stage(await poll(other, 1)), 'aborted', place);
    const again = await submit(follower(store).userRequests, 1);
    assert.deepEqual([again.status, stage(again)], [200, 'aborted'], place);
    const cancelledAgain = await answer((reply) => {
      follower(store).userRequests.cancel(jobId(1), reply);
    });
    assert.equal(stage(cancelledAgain), 'aborted', place);
    const { value } = store.data.get(KEYS.open(jobId(1))) ?? { value: null };
    if (place === 'record') {
      store.apply([], [{ delete: KEYS.open(jobId(1)) }, { put: KEYS.archived(jobId(1)), value }]);
    }
  }
});

test("submissions beyond this node's share are refused at once and cost the state service nothing", async () => {
  const store = new MemoryStore();
  const { userRequests, clock, asked } = follower(store, 5);
  const statuses: number[] = [];
  for (let n = 0; n < 40; n++) {
    const a = await submit(userRequests, n);
    statuses.push(a.status);
    if (a.status !== 201) assert.ok((a.retryAfterS ?? 0) >= 1);
  }
  assert.equal(statuses.filter((s) => s === 201).length, 5);
  assert.equal(statuses.filter((s) => s === 503).length, 35);
  assert.equal(store.changes, 5);
  clock.at += 1000;
  assert.equal((await submit(userRequests, 7)).status, 201);
  // Refused for its rate by the service itself: this node leaves the changes to others for a while.
  store.fates.push('over_limit');
  assert.equal((await submit(userRequests, 8)).status, 503);
  const before = store.changes;
  clock.at += 900;
  assert.equal((await submit(userRequests, 8)).status, 503);
  assert.equal(store.changes, before);
  clock.at += 300;
  assert.equal((await submit(userRequests, 8)).status, 201);
  assert.deepEqual(asked, [], 'others were asked to spend what this node may not');
});

test('a submission that was carried out though its answer was lost is accepted after a look', async () => {
  const store = new MemoryStore();
  const { userRequests } = follower(store);
  store.fates.push('lost');
  const a = await submit(userRequests, 3);
  assert.deepEqual([a.status, stage(a)], [200, 'pending']);
  assert.equal(store.changes, 1);
});
