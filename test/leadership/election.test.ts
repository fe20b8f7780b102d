import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { defaultOptions } from '../../src/config/options.ts';
import { scaleLeaseTtlMs } from '../../src/leadership/lease.ts';
import { SEED } from '../helpers.ts';
import { Sim } from '../model/sim.ts';
import { SimulatedCluster } from './controllers.ts';
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

test('two controllers never hold a valid lease, terms only rise, and without faults somebody leads', async () => {
  let acquired = 0;
  let extended = 0;
  const day = fc.record({
    seed: fc.integer({ min: 1 }),
    lossy: fc.boolean(),
    count: fc.constantFrom(3, 5),
    faults: arbitraryFaults(['refuse', 'outage', 'crash'], { from: 2000, to: 50_000 }, { min: 0, max: 6 }),
  });
  await fc.assert(
    fc.asyncProperty(day, async ({ seed, lossy, count, faults }) => {
      const cluster = new SimulatedCluster(seed, { count, lossy, messageLossRatio: 0.05 });
      scheduleFaults(cluster, faults);
      keepCancelling(cluster, 1500, 60_000);
      await cluster.run(90_000);
      assert.deepEqual(cluster.violations, []);
      acquired += cluster.acquiredTerms.length;
      extended += cluster.validLeaseSamplesInOutage;
      if (!lossy) assert.ok(cluster.leaderWithValidLease(), 'somebody leads in the end');
    }),
    { seed: SEED, numRuns: 30, endOnFailure: true, includeErrorInReport: true },
  );
  assert.ok(acquired >= 25, `${acquired}`);
  // Outages that all controllers see don't end a leadership.
  assert.ok(extended > 1000, `${extended}`);
});

test('leaders that change ten times in two minutes, also inside an outage, keep the guarantees', async () => {
  // Handing over and back, all ending with one back within a second, stalls, transactions carried out late, a leader
  // without store and peers: the combinations in which a leadership whose lease had expired once went on.
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
  const day = fc.record({
    seed: fc.integer({ min: 1 }),
    lossy: fc.boolean(),
    faults: arbitraryFaults(kinds, { from: 3000, to: 120_000 }, { min: 20, max: 40 }),
    outageAt: fc.integer({ min: 5000, max: 100_000 }),
    handOverMs: fc.constantFrom(null, 9000),
  });
  await fc.assert(
    fc.asyncProperty(day, async ({ seed, lossy, faults, outageAt, handOverMs }) => {
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
      if (!lossy) assert.ok(cluster.leaderWithValidLease(), 'somebody leads in the end');
    }),
    { seed: SEED, numRuns: 12, endOnFailure: true, includeErrorInReport: true },
  );
  assert.ok(acquired > 10, `${acquired} leaderships`);
  assert.ok(cancellations > 20, `${cancellations} cancellations without a leader`);
  assert.ok(extended > 300, `${extended}`);
});

test('a leader that reads answers late keeps its lease valid', async () => {
  // Renewals that waited for each other came too late on a busy controller, and each lost lease cost a failover.
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
