import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { defaultOptions } from '../../src/config/options.ts';
import { scaleLeaseTtlMs } from '../../src/leadership/lease.ts';
import { SEED } from '../helpers.ts';
import { Sim } from '../model/sim.ts';
import { SimulatedCluster } from './simulated-cluster.ts';
import { createElection } from './election-fixture.ts';
import {
  arbitraryFaults,
  keepCancelling,
  keepHandingOver,
  scheduleFaults,
  type FaultKind,
} from './faults.ts';
import { LeaseModel } from './lease-model.ts';

const { leadership } = defaultOptions();

test('at most one lease is valid, terms only increase, and a leader exists once all faults have ended', async () => {
  let acquired = 0;
  let extended = 0;
  const scenario = fc.record({
    seed: fc.integer({ min: 1 }),
    lossy: fc.boolean(),
    count: fc.constantFrom(3, 5),
    faults: arbitraryFaults(['refuse', 'outage', 'crash'], { from: 2000, to: 50_000 }, { min: 0, max: 6 }),
  });
  await fc.assert(
    fc.asyncProperty(scenario, async ({ seed, lossy, count, faults }) => {
      const cluster = new SimulatedCluster(seed, { count, lossy, messageLossRatio: 0.05 });
      scheduleFaults(cluster, faults);
      keepCancelling(cluster, 1500, 60_000);
      await cluster.run(90_000);
      assert.deepEqual(cluster.violations, []);
      acquired += cluster.acquiredTerms.length;
      extended += cluster.validLeaseSamplesInOutage;
      if (!lossy) assert.ok(cluster.leaderWithValidLease(), 'there is a leader in the end');
    }),
    { seed: SEED, numRuns: 30, endOnFailure: true, includeErrorInReport: true },
  );
  assert.ok(acquired >= 25, `${acquired}`);
  // An outage that affects all controllers does not end a leadership.
  assert.ok(extended > 1000, `${extended}`);
});

test('the guarantees hold through ten changes of the leader in two minutes, also during an outage', async () => {
  // Guards against a leadership that continues after its lease has expired. Such a fault needs combinations of handing
  // over and back, crashes of all controllers of which one restarts within a second, stalls, transactions that are
  // executed late, and a leader that reaches neither the store nor its peers.
  const kinds: FaultKind[] = [
    'refuse',
    'outage',
    'crash',
    'crash_all',
    'stall',
    'partition',
    'hand_over',
    'delay_transaction',
    'slow',
  ];
  let acquired = 0;
  let cancellations = 0;
  let extended = 0;
  const scenario = fc.record({
    seed: fc.integer({ min: 1 }),
    lossy: fc.boolean(),
    faults: arbitraryFaults(kinds, { from: 3000, to: 120_000 }, { min: 20, max: 40 }),
    outageAt: fc.integer({ min: 5000, max: 100_000 }),
    handOverMs: fc.constantFrom(null, 9000),
  });
  await fc.assert(
    fc.asyncProperty(scenario, async ({ seed, lossy, faults, outageAt, handOverMs }) => {
      const cluster = new SimulatedCluster(seed, { lossy, messageLossRatio: 0.02 });
      scheduleFaults(cluster, faults);
      cluster.sim.after(outageAt, () => {
        cluster.store.startOutage(20_000);
      });
      keepCancelling(cluster, 700, 125_000);
      if (handOverMs !== null) keepHandingOver(cluster, handOverMs, 125_000);
      await cluster.run(150_000);
      assert.deepEqual(cluster.violations, []);
      acquired = Math.max(acquired, cluster.acquiredTerms.length);
      cancellations += cluster.store.leaderlessWrites.filter(({ kind }) => kind === 'cancellation').length;
      extended += cluster.validLeaseSamplesInOutage;
      if (!lossy) assert.ok(cluster.leaderWithValidLease(), 'there is a leader in the end');
    }),
    { seed: SEED, numRuns: 12, endOnFailure: true, includeErrorInReport: true },
  );
  assert.ok(acquired > 10, `${acquired} leaderships`);
  assert.ok(cancellations > 20, `${cancellations} cancellations without a leader`);
  assert.ok(extended > 300, `${extended}`);
});

test('a leader that reads responses late keeps its lease valid', async () => {
  // If each renewal waits for the one before, a busy controller sends them too late and loses its lease: a failover.
  const sim = new Sim(SEED);
  const access = { refusedUntil: 0, lossy: false, answerDelayMs: 0 };
  let acquired = 0;
  const election = createElection(sim, {
    store: new LeaseModel(sim).storeOf(access),
    acquired: () => {
      acquired += 1;
      access.answerDelayMs = leadership.lease_ms * 0.45;
    },
  });
  election.start();
  let expiredSamples = 0;
  const sample = (): void => {
    if (acquired > 0 && !election.hasValidLease()) expiredSamples += 1;
    sim.after(20, sample);
  };
  sim.after(20, sample);
  await sim.run(60_000);
  assert.deepEqual([acquired, expiredSamples], [1, 0]);
});

test('a lease is longer on a small share of a core, within bounds', () => {
  assert.equal(scaleLeaseTtlMs(3000, 1), 3000);
  assert.equal(scaleLeaseTtlMs(3000, 0.07), 6000);
  assert.equal(scaleLeaseTtlMs(3000, 0.001), 6000);
  assert.ok(scaleLeaseTtlMs(3000, 0.1) > 3000 && scaleLeaseTtlMs(3000, 0.1) < 6000);
});
