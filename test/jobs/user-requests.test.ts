import assert from 'node:assert/strict';
import test from 'node:test';
import type { HttpResponse } from '../../src/http/server.ts';
import { MAX_LOOKUP_AGE_MS } from '../../src/jobs/job-lookup.ts';
import { TerminalStateCache } from '../../src/jobs/terminal-state-cache.ts';
import type { LocalLeader } from '../../src/jobs/user-request-deps.ts';
import type { UserRequests } from '../../src/jobs/user-requests.ts';
import type { PeerReply, PeerRequest } from '../../src/peers/messages.ts';
import { RateBudget } from '../../src/store/budget.ts';
import { KEYS } from '../../src/store/keys.ts';
import { FakeClock } from '../helpers.ts';
import { MemoryStore } from '../store/memory.ts';
import { JOB } from '../wire/sample.ts';
import { leaderlessWrite } from './support/leaderless-write.ts';
import {
  cancel,
  createUserRequests,
  jobId,
  poll,
  readResult,
  REFUSING_STORE,
  sampleSubmission,
  stageIn,
  submit,
  type StoreFake,
} from './support/user-requests.ts';

const OPEN_RECORD = { at: 0, job: JOB };
const ID = jobId(1);
/** How long users wait for an answer. */
const USER_TIMEOUTS = { pollMs: 2000 };

/** A controller that knows of no leader; each call to its store takes `ms` on the controller's clock. */
function withSlowStore(records: Record<string, unknown>, ms: number): UserRequests {
  const clock = new FakeClock();
  const store: StoreFake = {
    get: (key) => {
      clock.at += ms;
      return Promise.resolve(readResult(key, records[key]));
    },
    compareAndSwap: () => {
      clock.at += ms;
      const known = KEYS.open(JOB.uid) in records;
      return Promise.resolve(known ? { kind: 'conflict', failed: [] } : { kind: 'ok', revision: 2 });
    },
  };
  return createUserRequests(store, { clock });
}

/** A controller that knows of no leader and is refused by the store, but reaches other controllers. */
function refusedByStore(answerOfPeers: (request: PeerRequest) => PeerReply | null): {
  userRequests: UserRequests;
  peerRequests: PeerRequest[];
} {
  const peerRequests: PeerRequest[] = [];
  const userRequests = createUserRequests(REFUSING_STORE, {
    callOthers: (request) => {
      peerRequests.push(request);
      return Promise.resolve(answerOfPeers(request));
    },
  });
  return { userRequests, peerRequests };
}

test('while the state service refuses only one controller, it answers through the other controllers', async () => {
  // Otherwise its users' polls are refused for as long as it is, while those on other controllers are answered.
  const running = { kind: 'status', created: false, stage: 'running', done: 1, running: 2 } as const;
  const cancelled = { ...running, stage: 'cancelled', running: 0 } as const;
  const { userRequests, peerRequests } = refusedByStore((request) => {
    if (request.kind === 'submit') return { ...running, created: true };
    return request.kind === 'cancel' ? cancelled : running;
  });
  const polled = await poll(userRequests, ID);
  assert.equal(polled.status, 200);
  assert.equal(stageIn(polled), 'running');
  const submitted = await submit(userRequests, JSON.stringify(JOB));
  assert.equal(submitted.status, 201);
  const cancellation = await cancel(userRequests, ID);
  assert.equal(cancellation.status, 200);
  assert.equal(stageIn(cancellation), 'aborted');
  assert.deepEqual(
    peerRequests.map((request) => request.kind),
    ['lookup', 'submit', 'cancel'],
  );
});

test('a poll gets 404 only if a controller read the store and found no record, and otherwise 503 at once', async () => {
  const notFound = refusedByStore(() => ({ kind: 'notFound' }));
  assert.equal((await poll(notFound.userRequests, jobId(2))).status, 404);
  const unavailable = refusedByStore(() => null);
  const refusal = await poll(unavailable.userRequests, jobId(2));
  assert.equal(refusal.status, 503);
  assert.ok((refusal.retryAfterS ?? 0) >= 1);
});

test('the result of a slow read is refused unless it is a terminal state', async () => {
  // During the read another controller may have given the user a newer answer.
  assert.ok(MAX_LOOKUP_AGE_MS < USER_TIMEOUTS.pollMs, 'users wait for 2 s');
  const tooLate = MAX_LOOKUP_AGE_MS + 1;
  const open = { [KEYS.open(ID)]: OPEN_RECORD };
  const archived = { [KEYS.archived(ID)]: { s: 'done', n: 16 } };
  assert.equal((await poll(withSlowStore(open, MAX_LOOKUP_AGE_MS), ID)).status, 200);
  assert.equal((await poll(withSlowStore(open, tooLate), ID)).status, 503);
  assert.equal((await poll(withSlowStore({}, tooLate / 2), ID)).status, 503, 'two reads that found nothing');
  assert.equal((await poll(withSlowStore(archived, tooLate), ID)).status, 200);
});

test('a submission whose write was confirmed late is looked up before it is answered', async () => {
  const body = JSON.stringify(JOB);
  assert.equal((await submit(withSlowStore({}, 10), body)).status, 201);
  const archived = { [KEYS.archived(JOB.uid)]: { s: 'cancelled', n: 0 } };
  const answer = await submit(withSlowStore(archived, MAX_LOOKUP_AGE_MS + 1), body);
  assert.deepEqual([answer.status, stageIn(answer)], [200, 'aborted']);
});

test('a cancellation is answered with a terminal state or refused', async () => {
  const open = { kind: 'status', created: false, stage: 'pending', done: 0, running: 0 } as const;
  const { userRequests } = refusedByStore(() => open);
  assert.equal((await cancel(userRequests, ID)).status, 503);
});

test('an open record that was read in one term is not passed to the leader of a later term', async () => {
  // Another controller may have led in between and ended the job.
  let term = 1;
  const observed: string[] = [];
  const leader = (): LocalLeader => ({
    term,
    lookup: () => ({ kind: 'unknown' }),
    cancel: () => false,
    observeOpenRecord: (id) => observed.push(id),
  });
  const store: StoreFake = {
    ...REFUSING_STORE,
    get: (key) => {
      term = 3;
      return Promise.resolve(readResult(key, OPEN_RECORD));
    },
  };
  const answer = await cancel(createUserRequests(store, { leader }), ID);
  assert.equal(answer.status, 503);
  assert.deepEqual(observed, []);
});

/** A follower that reaches the store and knows of no leader. */
function follower(
  store: MemoryStore,
  submissionsPerSecond = 5,
): { userRequests: UserRequests; clock: FakeClock; peerRequests: PeerRequest[] } {
  const clock = new FakeClock();
  const peerRequests: PeerRequest[] = [];
  const userRequests = createUserRequests(store, {
    clock,
    terminalStates: new TerminalStateCache(1),
    submissionBudget: new RateBudget(submissionsPerSecond, () => clock.now()),
    beginLeaderlessWrite: () => Promise.resolve(leaderlessWrite(store)),
    callOthers: (request) => {
      peerRequests.push(request);
      return Promise.resolve(null);
    },
  });
  return { userRequests, clock, peerRequests };
}

const submitJob = (userRequests: UserRequests, number: number): Promise<HttpResponse> =>
  submit(userRequests, sampleSubmission(jobId(number)));

test('a terminal state replaces the open record, and is found before and after it is archived', async () => {
  const store = new MemoryStore();
  const { userRequests } = follower(store);
  assert.equal((await submitJob(userRequests, 1)).status, 201);
  assert.equal(stageIn(await poll(userRequests, ID)), 'pending');
  assert.equal(stageIn(await cancel(userRequests, ID)), 'aborted');
  assert.deepEqual([...store.data.keys()], [KEYS.open(ID)]);
  // The following answers come from controllers with an empty cache, before and after the record is archived.
  for (const place of ['record', 'archive']) {
    assert.equal(stageIn(await poll(follower(store).userRequests, ID)), 'aborted', place);
    const resubmission = await submitJob(follower(store).userRequests, 1);
    assert.deepEqual([resubmission.status, stageIn(resubmission)], [200, 'aborted'], place);
    assert.equal(stageIn(await cancel(follower(store).userRequests, ID)), 'aborted', place);
    if (place === 'record') {
      const { value } = store.data.get(KEYS.open(ID)) ?? { value: null };
      store.apply([], [{ delete: KEYS.open(ID) }, { put: KEYS.archived(ID), value }]);
    }
  }
});

test("submissions beyond this controller's share are refused at once, without a write to the state service", async () => {
  const store = new MemoryStore();
  const { userRequests, clock, peerRequests } = follower(store, 5);
  const statuses: number[] = [];
  for (let number = 0; number < 40; number++) {
    const answer = await submitJob(userRequests, number);
    statuses.push(answer.status);
    if (answer.status !== 201) assert.ok((answer.retryAfterS ?? 0) >= 1);
  }
  assert.equal(statuses.filter((status) => status === 201).length, 5);
  assert.equal(statuses.filter((status) => status === 503).length, 35);
  assert.equal(store.mutationCount, 5);
  clock.at += 1000;
  assert.equal((await submitJob(userRequests, 7)).status, 201);
  // If the store itself refuses a write because of its rate limit, this controller pauses submissions.
  store.outcomes.push('over_limit');
  assert.equal((await submitJob(userRequests, 8)).status, 503);
  const mutationsBefore = store.mutationCount;
  clock.at += 900;
  assert.equal((await submitJob(userRequests, 8)).status, 503);
  assert.equal(store.mutationCount, mutationsBefore);
  clock.at += 300;
  assert.equal((await submitJob(userRequests, 8)).status, 201);
  assert.deepEqual(peerRequests, [], 'other controllers were asked although this one is over its share');
});

test('a submission whose write was applied although its answer was lost is accepted after a read', async () => {
  const store = new MemoryStore();
  const { userRequests } = follower(store);
  store.outcomes.push('lost');
  const answer = await submitJob(userRequests, 3);
  assert.deepEqual([answer.status, stageIn(answer)], [200, 'pending']);
  assert.equal(store.mutationCount, 1);
});
