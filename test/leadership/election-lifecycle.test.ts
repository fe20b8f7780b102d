/** Start and end of an election, and the owner of its background tasks. */
import assert from 'node:assert/strict';
import test from 'node:test';
import type { Election, ElectionStore } from '../../src/leadership/election.ts';
import { SEED } from '../helpers.ts';
import { Sim } from '../model/sim.ts';
import { createElection } from './election-fixture.ts';
import { LeaseModel } from './lease-model.ts';

interface Harness {
  sim: Sim;
  model: LeaseModel;
  store: ElectionStore;
}

function createHarness(): Harness {
  const sim = new Sim(SEED);
  const model = new LeaseModel(sim);
  return { sim, model, store: model.storeOf({ refusedUntil: 0, lossy: false }) };
}

const rejectWith = (name: string) => (): Promise<never> => Promise.reject(new Error(name));

/** An election whose calls of some kinds fail, and the faults that reach the owner of its background tasks. */
function failingElection(sim: Sim, store: ElectionStore): { election: Election; faults: string[] } {
  const faults: string[] = [];
  const onFault = (error: unknown): void => {
    faults.push(String(error));
  };
  return { election: createElection(sim, { store, onFault }), faults };
}

test('the failure of the watch of the leader key is reported to the owner of the background tasks', async () => {
  const { sim, store } = createHarness();
  const { election, faults } = failingElection(sim, { ...store, get: rejectWith('get') });
  election.start();
  sim.after(1, () => undefined);
  await sim.run(1000);
  assert.deepEqual(faults, ['Error: get']);
});

test('the failure of a renewal is reported, and renewals go on', async () => {
  const { sim, store } = createHarness();
  const { election, faults } = failingElection(sim, { ...store, renewLease: rejectWith('renewLease') });
  election.start();
  await sim.run(6000);
  assert.ok(election.currentLeadership(), 'it leads');
  assert.ok(faults.length > 1, `${faults.length} faults`);
  assert.deepEqual([...new Set(faults)], ['Error: renewLease']);
});

test('the failure to revoke the lease of a leadership that ended is reported', async () => {
  const { sim, store } = createHarness();
  const { election, faults } = failingElection(sim, { ...store, revokeLease: rejectWith('revokeLease') });
  election.start();
  await sim.run(5000);
  assert.ok(election.currentLeadership(), 'it leads');
  election.stop();
  election.stepDown('stopped');
  await sim.run(6000);
  assert.deepEqual(faults, ['Error: revokeLease']);
});

test('a stopped election sends nothing more, and its leadership ends with the step down', async () => {
  const { sim, model, store } = createHarness();
  let calls = 0;
  const countingStore: ElectionStore = {
    ...store,
    get: (key, urgency) => {
      calls += 1;
      return store.get(key, urgency);
    },
    renewLease: (lease, timeoutMs) => {
      calls += 1;
      return store.renewLease(lease, timeoutMs);
    },
  };
  const election = createElection(sim, { store: countingStore });
  election.start();
  await sim.run(5000);
  assert.ok(election.hasValidLease());
  election.stop();
  election.stepDown('stopped');
  calls = 0;
  await sim.run(30_000);
  assert.equal(calls, 0);
  assert.equal(election.currentLeadership(), null);
  assert.equal(model.hasLeader(), false);
});

test('an election that is stopped during its candidacy does not lead, and revokes the lease', async () => {
  const { sim, model, store } = createHarness();
  const acquired: number[] = [];
  const election = createElection(sim, {
    store,
    acquired: ({ term }) => acquired.push(term),
  });
  election.start();
  while (!model.hasLeader()) await sim.run(sim.at + 1);
  assert.equal(
    election.currentLeadership(),
    null,
    'the transaction is carried out, and its answer under way',
  );
  election.stop();
  await sim.run(sim.at + 1000);
  assert.deepEqual(acquired, []);
  assert.equal(model.hasLeader(), false);
});
