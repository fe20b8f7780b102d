import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { Catalog } from '../../src/fleet/catalog.ts';
import { encodeOpenRecord } from '../../src/jobs/records.ts';
import type { UserRequests } from '../../src/jobs/user-requests.ts';
import type { PeerReply, PeerRequest } from '../../src/peers/messages.ts';
import { RateBudget } from '../../src/store/budget.ts';
import { KEYS } from '../../src/store/keys.ts';
import { decodeJob, peekJobId } from '../../src/wire/user.ts';
import { BIG, SEED } from '../helpers.ts';
import { JOB } from '../wire/sample.ts';
import { malformedSubmission } from '../wire/submissions.ts';
import {
  createUserRequests,
  readResult,
  REFUSING_STORE,
  submit,
  type StoreFake,
} from './support/user-requests.ts';

const FEASIBLE = { ...JOB, ovens: ['big'], cores: 1, accelerators: 1, memGb: 1, loaves: 2 };
/** Submissions that get 422 because of the settings alone. */
const INFEASIBLE_FOR_TEAM = [
  { ...FEASIBLE, crew: 'nobody' },
  { ...FEASIBLE, loaves: 1001 },
  { ...FEASIBLE, shape: 'array', accelerators: 1001 },
];
/** Submissions that get 422 because of the machine types. */
const INFEASIBLE_ON_MACHINES = [
  { ...FEASIBLE, cores: 500 },
  { ...FEASIBLE, ovens: ['no-such'] },
  { ...FEASIBLE, ovens: [] },
  { ...FEASIBLE, yard: 'no-such' },
];

type Records = ReadonlyMap<string, unknown>;

interface Situation {
  /** Records in the store; null: it doesn't serve this controller. */
  store: Records | null;
  /** Records that another controller reads there; null: the store serves no other controller. */
  peerStore: Records | null;
  catalogKnown: boolean;
}

/** A store with the given records that accepts every write and adds its keys to `writtenKeys`. */
function storeWith(records: Records, writtenKeys: string[]): StoreFake {
  return {
    get: (key) => Promise.resolve(readResult(key, records.get(key))),
    compareAndSwap: (_conditions, mutations) => {
      for (const mutation of mutations) writtenKeys.push('put' in mutation ? mutation.put : mutation.delete);
      return Promise.resolve({ kind: 'ok', revision: 2 });
    },
  };
}

/** The reply of another controller that reads these records. */
function peerReply(records: Records | null, request: PeerRequest): PeerReply | null {
  if (!records || request.kind !== 'lookup') return null;
  if (!records.has(KEYS.open(request.jobId))) return { kind: 'notFound' };
  return { kind: 'status', created: false, stage: 'pending', done: 0, running: 0 };
}

/** A controller without a leader in a given situation, and the keys that it writes. */
function controllerIn({ store, peerStore, catalogKnown }: Situation): {
  userRequests: UserRequests;
  writtenKeys: string[];
} {
  const writtenKeys: string[] = [];
  const userRequests = createUserRequests(store ? storeWith(store, writtenKeys) : REFUSING_STORE, {
    submissionBudget: new RateBudget(1000, () => 0),
    catalog: () => (catalogKnown ? new Catalog([BIG]) : null),
    callOthers: (request) => Promise.resolve(peerReply(peerStore, request)),
  });
  return { userRequests, writtenKeys };
}

/** Records of one accepted job. */
function recordsOf(id: string): Records {
  const decoded = decodeJob(JSON.stringify({ ...FEASIBLE, uid: id }));
  assert.ok(decoded.ok);
  return new Map([[KEYS.open(id), encodeOpenRecord(decoded.value, 0)]]);
}

/** Every situation in which a lookup can tell that the id was never accepted. */
const SITUATIONS_WITH_LOOKUP: Situation[] = [
  { store: new Map(), peerStore: null, catalogKnown: true },
  { store: new Map(), peerStore: null, catalogKnown: false },
  { store: null, peerStore: new Map(), catalogKnown: true },
  { store: null, peerStore: new Map(), catalogKnown: false },
];

test('a malformed submission gets 400 and nothing is written, whichever controller looks its id up', async () => {
  await fc.assert(
    fc.asyncProperty(
      malformedSubmission,
      fc.constantFrom(...SITUATIONS_WITH_LOOKUP),
      async (body, situation) => {
        const { userRequests, writtenKeys } = controllerIn(situation);
        const answer = await submit(userRequests, body);
        assert.equal(answer.status, 400, answer.body);
        assert.deepEqual(writtenKeys, []);
      },
    ),
    { seed: SEED, numRuns: 300 },
  );
});

test('an infeasible submission gets 422, for which only the check against machines needs the machine types', async () => {
  for (const situation of SITUATIONS_WITH_LOOKUP) {
    const bodies = situation.catalogKnown
      ? [...INFEASIBLE_FOR_TEAM, ...INFEASIBLE_ON_MACHINES]
      : INFEASIBLE_FOR_TEAM;
    for (const body of bodies) {
      const { userRequests, writtenKeys } = controllerIn(situation);
      const answer = await submit(userRequests, JSON.stringify(body));
      assert.equal(answer.status, 422, JSON.stringify([body, answer]));
      assert.deepEqual(writtenKeys, []);
    }
    if (situation.catalogKnown) continue;
    for (const body of [FEASIBLE, ...INFEASIBLE_ON_MACHINES]) {
      const answer = await submit(controllerIn(situation).userRequests, JSON.stringify(body));
      assert.equal(answer.status, 503);
      assert.ok((answer.retryAfterS ?? 0) >= 1);
    }
  }
});

test('a submission is idempotent: the state of an accepted job is returned even for a malformed body', async () => {
  // A 400 or 422 would tell the user that an accepted job is lost.
  await fc.assert(
    fc.asyncProperty(
      malformedSubmission,
      fc.constantFrom(...SITUATIONS_WITH_LOOKUP),
      async (body, situation) => {
        const id = peekJobId(body);
        fc.pre(id !== null);
        const accepted = {
          ...situation,
          store: situation.store && recordsOf(id),
          peerStore: situation.peerStore && recordsOf(id),
        };
        assert.equal((await submit(controllerIn(accepted).userRequests, body)).status, 200);
      },
    ),
    { seed: SEED },
  );
});

test('a submission whose id no controller can look up gets 503, and 400 only if it has no id', async () => {
  for (const catalogKnown of [true, false]) {
    const situation = { store: null, peerStore: null, catalogKnown };
    const bodies = [...INFEASIBLE_FOR_TEAM, ...INFEASIBLE_ON_MACHINES, { ...FEASIBLE, loaves: 0 }];
    for (const body of bodies) {
      const answer = await submit(controllerIn(situation).userRequests, JSON.stringify(body));
      assert.equal(answer.status, 503);
      assert.ok((answer.retryAfterS ?? 0) >= 1);
    }
    // Without an id there is nothing to look up.
    for (const body of ['', '[]', '{}', JSON.stringify({ ...FEASIBLE, uid: 'job-1' })]) {
      assert.equal((await submit(controllerIn(situation).userRequests, body)).status, 400);
    }
  }
});
