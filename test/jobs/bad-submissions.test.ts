import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { defaultOptions } from '../../src/config/options.ts';
import { Catalog } from '../../src/fleet/catalog.ts';
import type { Answer } from '../../src/http/server.ts';
import { UserRequests, type UserRequestDeps } from '../../src/jobs/user-requests.ts';
import { TerminalStateCache } from '../../src/jobs/terminal-state-cache.ts';
import { openValue } from '../../src/jobs/records.ts';
import { KEYS } from '../../src/store/keys.ts';
import type { KeyValueStore } from '../../src/store/key-value-store.ts';
import { decodeJob, peekJobId } from '../../src/wire/user.ts';
import { BIG, FakeClock, SEED } from '../helpers.ts';
import { JOB } from '../wire/sample.ts';
import { malformedSubmission } from '../wire/submissions.ts';
import { RateBudget } from '../../src/store/budget.ts';

const FITTING = { ...JOB, ovens: ['big'], cores: 1, accelerators: 1, memGb: 1, loaves: 2 };
/** Whether the answer is 422 may hang on the settings alone, or on the machine types too. */
const IMPOSSIBLE_FOR_TEAM = [
  { ...FITTING, crew: 'nobody' },
  { ...FITTING, loaves: 1001 },
  { ...FITTING, shape: 'array', accelerators: 1001 },
];
const IMPOSSIBLE_ON_MACHINES = [
  { ...FITTING, cores: 500 },
  { ...FITTING, ovens: ['no-such'] },
  { ...FITTING, ovens: [] },
  { ...FITTING, yard: 'no-such' },
];

interface Situation {
  /** Keys of the state service; null: it doesn't serve this controller. */
  store: Map<string, unknown> | null;
  /** Another controller that is served by the state service; null: there is none. */
  other: Map<string, unknown> | null;
  catalogKnown: boolean;
}

/** A controller without a leader in a given situation. */
function controller(situation: Situation): { userRequests: UserRequests; written: string[] } {
  const written: string[] = [];
  const get = (key: string) => {
    if (!situation.store) return Promise.resolve({ kind: 'refused' as const });
    const value = situation.store.get(key);
    const item = value === undefined ? null : { key, value, version: 1, lease: null };
    return Promise.resolve({ kind: 'ok' as const, value: item });
  };
  const compareAndSwap = (_conditions: unknown, changes: { put?: string }[]) => {
    if (!situation.store) return Promise.resolve({ kind: 'refused' as const });
    written.push(...changes.map((c) => c.put ?? ''));
    return Promise.resolve({ kind: 'ok' as const, revision: 2 });
  };
  const askOthers: UserRequestDeps['callOthers'] = (request) => {
    const { other } = situation;
    if (!other || request.kind !== 'lookup') return Promise.resolve(null);
    const found = other.has(KEYS.open(request.jobId));
    return Promise.resolve(
      found
        ? { kind: 'status', created: false, stage: 'pending', done: 0, running: 0 }
        : { kind: 'notFound' },
    );
  };
  const userRequests = new UserRequests({
    clock: new FakeClock(),
    options: defaultOptions(),
    store: { get, compareAndSwap } as unknown as KeyValueStore,
    terminalStates: new TerminalStateCache(10),
    submissions: new RateBudget(1000, () => 0),
    teams: [{ name: 'vision', cpus: 0, gpus: 8, cpusMax: 0, gpusMax: 1000 }],
    catalog: () => (situation.catalogKnown ? new Catalog([BIG]) : null),
    leader: () => null,
    beginLeaderlessWrite: () => Promise.resolve(null),
    callLeader: () => Promise.resolve(null),
    callOthers: askOthers,
  });
  return { userRequests, written };
}

const submit = (userRequests: UserRequests, body: string): Promise<Answer> =>
  new Promise((resolve) => {
    userRequests.submit(body, resolve);
  });

const holding = (id: string): Map<string, unknown> => {
  const read = decodeJob(JSON.stringify({ ...FITTING, uid: id }));
  assert.ok(read.ok);
  return new Map([[KEYS.open(id), openValue(read.value, 0)]]);
};

/** Every situation in which it can be found out that the id was never accepted. */
const ABLE: Situation[] = [
  { store: new Map(), other: null, catalogKnown: true },
  { store: new Map(), other: null, catalogKnown: false },
  { store: null, other: new Map(), catalogKnown: true },
  { store: null, other: new Map(), catalogKnown: false },
];

test('a malformed submission gets 400 and nothing is written, wherever its id can be looked up', async () => {
  await fc.assert(
    fc.asyncProperty(malformedSubmission, fc.constantFrom(...ABLE), async (body, situation) => {
      const { userRequests, written } = controller(situation);
      const answer = await submit(userRequests, body);
      assert.equal(answer.status, 400, answer.body);
      assert.deepEqual(written, []);
    }),
    { seed: SEED, numRuns: 300 },
  );
});

test('a submission that can never run gets 422; only for machines must their types be known', async () => {
  for (const situation of ABLE) {
    const bodies = situation.catalogKnown
      ? [...IMPOSSIBLE_FOR_TEAM, ...IMPOSSIBLE_ON_MACHINES]
      : IMPOSSIBLE_FOR_TEAM;
    for (const body of bodies) {
      const { userRequests, written } = controller(situation);
      const answer = await submit(userRequests, JSON.stringify(body));
      assert.equal(answer.status, 422, JSON.stringify([body, answer]));
      assert.deepEqual(written, []);
    }
    if (situation.catalogKnown) continue;
    for (const body of [FITTING, ...IMPOSSIBLE_ON_MACHINES]) {
      const answer = await submit(controller(situation).userRequests, JSON.stringify(body));
      assert.equal(answer.status, 503);
      assert.ok((answer.retryAfterS ?? 0) >= 1);
    }
  }
});

test('an accepted job whose submission comes again is answered with its state, whatever else is sent', async () => {
  // A 400 or 422 there would call an accepted job forgotten.
  await fc.assert(
    fc.asyncProperty(malformedSubmission, fc.constantFrom(...ABLE), async (body, situation) => {
      const id = peekJobId(body);
      fc.pre(id !== null);
      const known = {
        ...situation,
        store: situation.store && holding(id!),
        other: situation.other && holding(id!),
      };
      assert.equal((await submit(controller(known).userRequests, body)).status, 200);
    }),
    { seed: SEED },
  );
});

test('what has an id that nobody can look up is neither accepted nor refused for good', async () => {
  for (const catalogKnown of [true, false]) {
    const situation = { store: null, other: null, catalogKnown };
    const bodies = [...IMPOSSIBLE_FOR_TEAM, ...IMPOSSIBLE_ON_MACHINES, { ...FITTING, loaves: 0 }];
    for (const body of bodies) {
      const answer = await submit(controller(situation).userRequests, JSON.stringify(body));
      assert.equal(answer.status, 503);
      assert.ok((answer.retryAfterS ?? 0) >= 1);
    }
    // Without an id there is nothing to look up.
    for (const body of ['', '[]', '{}', JSON.stringify({ ...FITTING, uid: 'job-1' })]) {
      assert.equal((await submit(controller(situation).userRequests, body)).status, 400);
    }
  }
});
