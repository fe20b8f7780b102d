/** Start and stop of an election, and failures of its background tasks. */
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

/** Creates an election on a store with failing calls; `faults` lists the errors that are reported to `onFault`. */
function failingElection(sim: Sim, store: ElectionStore): { election: Election; faults: string[] } {
  const faults: string[] = [];
  const onFault = (error: unknown): void => {
    faults.push(String(error));
  };
  return { election: createElection(sim, { store, onFault }), faults };
}

test('a failed watch of the leader key is reported to the owner of the background tasks', async () => {
  const { sim, store } = createHarness();
  const { election, faults } = failingElection(sim, { ...store, get: rejectWith('get') });
  election.start();
  sim.after(1, () => undefined);
  await sim.run(1000);
  assert.deepEqual(faults, ['Error: get']);
});

test('a failed renewal is reported, and renewals continue', async () => {
  const { sim, store } = createHarness();
  const { election, faults } = failingElection(sim, { ...store, renewLease: rejectWith('renewLease') });
  election.start();
  await sim.run(6000);
  assert.ok(election.currentLeadership(), 'the controller leads');
  assert.ok(faults.length > 1, `${faults.length} faults`);
  assert.deepEqual([...new Set(faults)], ['Error: renewLease']);
});

test('a failed revocation of the lease of an ended leadership is reported', async () => {
  const { sim, store } = createHarness();
  const { election, faults } = failingElection(sim, { ...store, revokeLease: rejectWith('revokeLease') });
  election.start();
  await sim.run(5000);
  assert.ok(election.currentLeadership(), 'the controller leads');
  election.stop();
  election.stepDown('stopped');
  await sim.run(6000);
  assert.deepEqual(faults, ['Error: revokeLease']);
});

test('a stopped election sends no more requests, and its leadership ends when it steps down', async () => {
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

test('an election that is stopped during its candidacy does not become leader, and revokes the lease', async () => {
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
    'the transaction is executed, and its response not received yet',
  );
  election.stop();
  await sim.run(sim.at + 1000);
  assert.deepEqual(acquired, []);
  assert.equal(model.hasLeader(), false);
});
