import assert from 'node:assert/strict';
import test from 'node:test';
import type { Election } from '../../src/leadership/election.ts';
import { required } from '../../src/base/required.ts';
import { SEED } from '../helpers.ts';
import { Sim } from '../model/sim.ts';
import { SimulatedCluster, type Controller } from './controllers.ts';
import { createElection } from './election-fixture.ts';
import { LeaseModel } from './lease-model.ts';

const JOB_ID = 'req-000001';
const LONG_OUTAGE_MS = 60_000;
const SAMPLE_MS = 20;

interface StartedCluster {
  cluster: SimulatedCluster;
  leader: Controller;
  others: [Controller, Controller];
}

/** Three controllers of which one leads, and a job. */
async function startCluster(): Promise<StartedCluster> {
  const cluster = new SimulatedCluster(SEED);
  await cluster.run(5000);
  const leader = cluster.leaderWithValidLease();
  assert.ok(leader, 'somebody leads');
  cluster.openJob(JOB_ID);
  const [first, second] = cluster.followers();
  assert.ok(first && second, 'the two others follow');
  return { cluster, leader, others: [first, second] };
}

function electionOf(controller: Controller): Election {
  return required(controller.election, `election of ${controller.name}`);
}

async function waitUntil(
  cluster: SimulatedCluster,
  description: string,
  isFulfilled: () => boolean,
  timeoutMs = 10_000,
): Promise<void> {
  const deadline = cluster.sim.at + timeoutMs;
  while (!isFulfilled() && cluster.sim.at < deadline) await cluster.run(SAMPLE_MS);
  assert.ok(isFulfilled(), description);
}

/** Share of the time in which a controller leads with a valid lease. */
async function validLeaseShare(
  cluster: SimulatedCluster,
  controller: Controller,
  ms: number,
): Promise<number> {
  const samples = ms / SAMPLE_MS;
  let valid = 0;
  for (let sample = 0; sample < samples; sample++) {
    await cluster.run(SAMPLE_MS);
    if (controller.election?.hasValidLease()) valid += 1;
  }
  return valid / samples;
}

/** The store refuses the leader alone until its lease has expired; no other controller becomes a candidate. */
async function expireLease(cluster: SimulatedCluster, leader: Controller): Promise<void> {
  leader.refusedUntil = cluster.sim.at + LONG_OUTAGE_MS;
  for (const controller of cluster.followers()) electionOf(controller).stepDownFor(LONG_OUTAGE_MS, 'test');
  await waitUntil(cluster, 'the leader key is gone', () => !cluster.store.hasLeader());
}

/** A controller confirms a cancellation to a user while nobody leads. */
async function confirmCancellation(cluster: SimulatedCluster, canceller: Controller): Promise<void> {
  let answered: string | null = null;
  cluster.cancel(canceller, JOB_ID, (stage) => (answered = stage));
  await waitUntil(cluster, 'the user is answered', () => answered !== null, 1000);
  assert.equal(answered, 'aborted');
}

/** Through a long outage the lease of the old leader is never valid, and it never reports the cancelled job as running. */
async function assertLeaseStaysExpired(cluster: SimulatedCluster, leader: Controller): Promise<void> {
  assert.equal(await validLeaseShare(cluster, leader, 20_000), 0);
  let answered: string | null = null;
  cluster.poll(leader, JOB_ID, (stage) => (answered = stage));
  await cluster.run(3000);
  assert.notEqual(answered, 'running');
  assert.deepEqual(cluster.violations, []);
}

test('an expired lease does not become valid again after a peer confirmed a cancellation', async () => {
  // By peer leases it once did: the leader reported the job as running and started its tasks all through the outage.
  const { cluster, leader, others } = await startCluster();
  await expireLease(cluster, leader);
  await confirmCancellation(cluster, others[0]);
  cluster.store.startOutage(LONG_OUTAGE_MS);
  await assertLeaseStaysExpired(cluster, leader);
});

test('... nor after the peer that confirmed it was restarted', async () => {
  for (const restartMs of [30, 900, 5000]) {
    const { cluster, leader, others } = await startCluster();
    await expireLease(cluster, leader);
    await confirmCancellation(cluster, others[0]);
    cluster.store.startOutage(LONG_OUTAGE_MS);
    cluster.crash(others[0], restartMs);
    await assertLeaseStaysExpired(cluster, leader);
  }
});

test('... nor after the peer was restarted before the answer to its transaction, which is carried out later', async () => {
  for (const restartMs of [30, 400]) {
    const { cluster, leader, others } = await startCluster();
    await expireLease(cluster, leader);
    others[0].delayNextTransactionMs = 8000;
    cluster.cancel(others[0], JOB_ID);
    await cluster.run(150);
    cluster.crash(others[0], restartMs);
    cluster.store.startOutage(LONG_OUTAGE_MS);
    await assertLeaseStaysExpired(cluster, leader);
    assert.equal(cluster.store.jobRecord(JOB_ID), 'terminal', 'the transaction was carried out in the end');
  }
});

test('... nor while a transaction of the peer may yet be carried out', async () => {
  const { cluster, leader, others } = await startCluster();
  await expireLease(cluster, leader);
  others[0].delayNextTransactionMs = 8000;
  cluster.cancel(others[0], JOB_ID);
  await cluster.run(150);
  cluster.store.startOutage(LONG_OUTAGE_MS);
  await assertLeaseStaysExpired(cluster, leader);
  assert.equal(cluster.store.jobRecord(JOB_ID), 'terminal', 'the transaction was carried out in the end');
});

test('... nor after a newer leader led, and all peers were restarted', async () => {
  const { cluster, leader, others } = await startCluster();
  leader.refusedUntil = cluster.sim.at + LONG_OUTAGE_MS;
  electionOf(others[1]).stepDownFor(LONG_OUTAGE_MS, 'test');
  await waitUntil(cluster, 'another leads', () => cluster.leaderWithValidLease() === others[0]);
  cluster.store.startOutage(LONG_OUTAGE_MS);
  cluster.crash(others[0], 500);
  cluster.crash(others[1], 700);
  await assertLeaseStaysExpired(cluster, leader);
});

test('a cancellation without a leader fails once another term has begun', async () => {
  // Carried out later, when that leader's lease had expired too, it once ended a job that the leader still reported.
  const { cluster, leader, others } = await startCluster();
  await expireLease(cluster, leader);
  others[0].delayNextTransactionMs = 12_000;
  cluster.cancel(others[0], JOB_ID);
  await cluster.run(150);
  electionOf(others[1]).stepDownFor(0, 'test');
  await waitUntil(cluster, 'the third leads', () => cluster.leaderWithValidLease() === others[1]);
  await cluster.run(1500);
  electionOf(others[1]).stepDownFor(LONG_OUTAGE_MS, 'test');
  await cluster.run(12_000);
  assert.ok(!cluster.store.hasLeader(), 'nobody leads');
  assert.equal(cluster.store.jobRecord(JOB_ID), 'open', 'the job is still open');
  assert.deepEqual(cluster.violations, []);
});

test('no leaderless write is sent while the leader key is there', async () => {
  // The store refuses all one by one, so its lease expires while peer leases keep the leadership valid. What a
  // follower that has ended since had sent while the key was there would then be carried out.
  const { cluster, leader, others } = await startCluster();
  others[0].delayNextTransactionMs = 9000;
  cluster.cancel(others[0], JOB_ID);
  await cluster.run(300);
  cluster.crash(others[0], 30);
  await cluster.run(100);
  for (const controller of cluster.controllers) controller.refusedUntil = cluster.sim.at + 20_000;
  assert.equal(await validLeaseShare(cluster, leader, 20_000), 1);
  assert.ok(!cluster.store.hasLeader(), 'the lease has expired at the store');
  assert.equal(cluster.store.jobRecord(JOB_ID), 'open', 'the job is still open');
  await cluster.run(20_000);
  assert.deepEqual(cluster.violations, []);
});

test('a restarted follower abstains for the lease that its earlier process granted', async () => {
  // The store refuses all one by one, so its lease expires while peer leases keep the leadership valid; then a
  // follower is restarted and reaches the store.
  const { cluster, leader, others } = await startCluster();
  leader.refusedUntil = cluster.sim.at + 20_000;
  others[1].refusedUntil = cluster.sim.at + 8000;
  others[0].refusedUntil = cluster.sim.at + 4000;
  assert.equal(await validLeaseShare(cluster, leader, 3800), 1);
  cluster.crash(others[0], 30);
  await cluster.run(400);
  assert.ok(!cluster.store.hasLeader(), 'the lease has expired at the store');
  assert.equal(cluster.leaderWithValidLease(), leader);
  await waitUntil(cluster, 'another leads in the end', () =>
    others.some((controller) => controller === cluster.leaderWithValidLease()),
  );
  assert.deepEqual(cluster.violations, []);
});

test('peer leases granted to a leader with a valid lease do not count once that has expired', async () => {
  // They may come from followers that just started, and whose earlier processes wrote in between.
  const sim = new Sim(SEED);
  const access = { refusedUntil: 0, lossy: false };
  const requested: boolean[] = [];
  const election = createElection(sim, {
    store: new LeaseModel(sim).storeOf(access),
    requestPeerLeases: async ({ continuous }) => {
      requested.push(continuous);
      await sim.pause(3500);
      return [continuous, continuous];
    },
  });
  election.start();
  await sim.run(5000);
  access.refusedUntil = Infinity;
  await sim.run(9000);
  assert.equal(requested[0], true);
  for (let at = 9000; at < 20_000; at += 20) {
    await sim.run(at);
    assert.equal(election.hasValidLease(), false);
  }
  assert.equal(requested.at(-1), false);
});

test('a leadership goes on through an outage in which a follower is restarted', async () => {
  for (const restartMs of [30, 500, 2500]) {
    const { cluster, leader, others } = await startCluster();
    cluster.store.startOutage(LONG_OUTAGE_MS);
    await cluster.run(4000);
    assert.equal(await validLeaseShare(cluster, leader, 4000), 1);
    cluster.crash(others[0], restartMs);
    assert.equal(await validLeaseShare(cluster, leader, 40_000), 1);
    assert.deepEqual(cluster.violations, []);
  }
});

test('a leader that was stalled in an outage goes on if nobody wrote without it', async () => {
  const { cluster, leader, others } = await startCluster();
  cluster.store.startOutage(LONG_OUTAGE_MS);
  await cluster.run(4000);
  leader.stalledUntil = cluster.sim.at + 6000;
  await cluster.run(6000);
  assert.equal(electionOf(leader).hasValidLease(), false);
  await cluster.run(1000);
  assert.equal(await validLeaseShare(cluster, leader, 10_000), 1);
  // Nor does a leaderless write that was certainly not carried out end its lease.
  cluster.cancel(others[0], JOB_ID);
  assert.equal(await validLeaseShare(cluster, leader, 10_000), 1);
  assert.deepEqual(cluster.violations, []);
});

test('in an outage the leader of an earlier term grants its peer lease to a newer leader', async () => {
  // Refused alone, the earlier one doesn't know that its leadership has ended, and once refused its lease for as long.
  const { cluster, leader, others } = await startCluster();
  leader.refusedUntil = cluster.sim.at + LONG_OUTAGE_MS;
  await waitUntil(cluster, 'another leads', () =>
    others.some((controller) => controller === cluster.leaderWithValidLease()),
  );
  const newer = required(cluster.leaderWithValidLease(), 'leader');
  await cluster.run(1000);
  cluster.store.startOutage(LONG_OUTAGE_MS);
  assert.equal(await validLeaseShare(cluster, newer, 20_000), 1);
  assert.equal(electionOf(leader).currentLeadership(), null);
  assert.deepEqual(cluster.violations, []);
});

test('a candidate that wins without an answer revokes that leadership, whenever the transaction is carried out', async () => {
  for (const delayMs of [0, 500, 1490, 1600, 4000]) {
    const { cluster, leader, others } = await startCluster();
    electionOf(others[1]).stepDownFor(LONG_OUTAGE_MS, 'test');
    others[0].delayNextTransactionMs = delayMs;
    cluster.crash(leader, LONG_OUTAGE_MS);
    await waitUntil(
      cluster,
      'it leads in the end',
      () => cluster.leaderWithValidLease() === others[0],
      15_000,
    );
    await cluster.run(8000);
    assert.equal(cluster.leaderWithValidLease(), others[0]);
    assert.deepEqual(cluster.violations, []);
  }
});

test('nobody waits for the lease of a leader that was restarted at once', async () => {
  const { cluster, leader, others } = await startCluster();
  cluster.crash(leader, 30);
  await waitUntil(
    cluster,
    'another leads',
    () => others.some((controller) => controller === cluster.leaderWithValidLease()),
    1000,
  );
  // All end, and one is back within a second: it abstains for what its earlier process may have granted, then leads.
  for (const controller of cluster.controllers)
    cluster.crash(controller, controller === leader ? 300 : LONG_OUTAGE_MS);
  await waitUntil(cluster, 'it leads', () => cluster.leaderWithValidLease() === leader, 6000);
  assert.deepEqual(cluster.violations, []);
});

test('a leadership whose win was answered after its lease expired is not valid, and ends', async () => {
  const { cluster, leader, others } = await startCluster();
  electionOf(others[1]).stepDownFor(20_000, 'test');
  cluster.crash(leader, LONG_OUTAGE_MS);
  await waitUntil(cluster, 'nobody leads', () => !cluster.store.hasLeader());
  others[0].answerDelayMs = 1400;
  await waitUntil(cluster, 'it has acquired the leadership', () => cluster.store.hasLeader());
  others[0].stalledUntil = cluster.sim.at + 8000;
  await cluster.run(8000);
  assert.deepEqual(cluster.violations, []);
  others[0].answerDelayMs = 5;
  await waitUntil(cluster, 'somebody leads again', () => cluster.leaderWithValidLease() !== null, 30_000);
  assert.deepEqual(cluster.violations, []);
});
