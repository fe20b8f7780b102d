import assert from 'node:assert/strict';
import test from 'node:test';
import type { Election } from '../../src/leadership/election.ts';
import { required } from '../../src/base/required.ts';
import { SEED } from '../helpers.ts';
import { Sim } from '../model/sim.ts';
import { SimulatedCluster, type Controller } from './simulated-cluster.ts';
import { createElection } from './election-fixture.ts';
import { LeaseModel } from './lease-model.ts';

const JOB_ID = 'req-000001';
const LONG_DURATION_MS = 60_000;
const SAMPLE_MS = 20;

interface StartedCluster {
  cluster: SimulatedCluster;
  leader: Controller;
  others: [Controller, Controller];
}

/** Starts three controllers, waits until one of them leads, and opens a job. */
async function startCluster(): Promise<StartedCluster> {
  const cluster = new SimulatedCluster(SEED);
  await cluster.run(5000);
  const leader = cluster.leaderWithValidLease();
  assert.ok(leader, 'there is a leader');
  cluster.openJob(JOB_ID);
  const [first, second] = cluster.followers();
  assert.ok(first && second, 'there are two followers');
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

/** Lets time pass and returns the share of it in which the controller is leader with a valid lease. */
async function measureValidLeaseShare(
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

/** Lets the store refuse only the leader until its lease has expired; no other controller becomes a candidate. */
async function expireLease(cluster: SimulatedCluster, leader: Controller): Promise<void> {
  leader.refusedUntil = cluster.sim.at + LONG_DURATION_MS;
  for (const controller of cluster.followers()) electionOf(controller).stepDownFor(LONG_DURATION_MS, 'test');
  await waitUntil(cluster, 'the leader key is gone', () => !cluster.store.hasLeader());
}

/** Lets a controller confirm a user's cancellation while there is no leader. */
async function confirmCancellation(cluster: SimulatedCluster, canceller: Controller): Promise<void> {
  let answeredStage: string | null = null;
  cluster.cancel(canceller, JOB_ID, (stage) => (answeredStage = stage));
  await waitUntil(cluster, 'the user is answered', () => answeredStage !== null, 1000);
  assert.equal(answeredStage, 'aborted');
}

/** Checks that in a long outage the old leader's lease is never valid and the cancelled job not reported as running. */
async function assertLeaseStaysExpired(cluster: SimulatedCluster, leader: Controller): Promise<void> {
  assert.equal(await measureValidLeaseShare(cluster, leader, 20_000), 0);
  let answeredStage: string | null = null;
  cluster.poll(leader, JOB_ID, (stage) => (answeredStage = stage));
  await cluster.run(3000);
  assert.notEqual(answeredStage, 'running');
  assert.deepEqual(cluster.violations, []);
}

test('an expired lease stays expired after a peer confirmed a cancellation', async () => {
  // Guards against peer leases that revive the lease: the leader would report the job as running and start its tasks
  // throughout the outage.
  const { cluster, leader, others } = await startCluster();
  await expireLease(cluster, leader);
  await confirmCancellation(cluster, others[0]);
  cluster.store.startOutage(LONG_DURATION_MS);
  await assertLeaseStaysExpired(cluster, leader);
});

test('an expired lease stays expired after the peer that confirmed a cancellation was restarted', async () => {
  for (const restartMs of [30, 900, 5000]) {
    const { cluster, leader, others } = await startCluster();
    await expireLease(cluster, leader);
    await confirmCancellation(cluster, others[0]);
    cluster.store.startOutage(LONG_DURATION_MS);
    cluster.crash(others[0], restartMs);
    await assertLeaseStaysExpired(cluster, leader);
  }
});

test('an expired lease stays expired if a transaction of a restarted peer is executed late', async () => {
  for (const restartMs of [30, 400]) {
    const { cluster, leader, others } = await startCluster();
    await expireLease(cluster, leader);
    others[0].delayNextTransactionMs = 8000;
    cluster.cancel(others[0], JOB_ID);
    await cluster.run(150);
    cluster.crash(others[0], restartMs);
    cluster.store.startOutage(LONG_DURATION_MS);
    await assertLeaseStaysExpired(cluster, leader);
    assert.equal(cluster.store.jobRecord(JOB_ID), 'terminal', 'the transaction was carried out in the end');
  }
});

test('an expired lease stays expired while a transaction of a peer may yet be executed', async () => {
  const { cluster, leader, others } = await startCluster();
  await expireLease(cluster, leader);
  others[0].delayNextTransactionMs = 8000;
  cluster.cancel(others[0], JOB_ID);
  await cluster.run(150);
  cluster.store.startOutage(LONG_DURATION_MS);
  await assertLeaseStaysExpired(cluster, leader);
  assert.equal(cluster.store.jobRecord(JOB_ID), 'terminal', 'the transaction was carried out in the end');
});

test('an expired lease stays expired after a newer leader was elected and all peers were restarted', async () => {
  const { cluster, leader, others } = await startCluster();
  leader.refusedUntil = cluster.sim.at + LONG_DURATION_MS;
  electionOf(others[1]).stepDownFor(LONG_DURATION_MS, 'test');
  await waitUntil(cluster, 'another controller leads', () => cluster.leaderWithValidLease() === others[0]);
  cluster.store.startOutage(LONG_DURATION_MS);
  cluster.crash(others[0], 500);
  cluster.crash(others[1], 700);
  await assertLeaseStaysExpired(cluster, leader);
});

test('a cancellation without a leader fails once a later term has been won', async () => {
  // Otherwise the cancellation, if it is executed after the next leader's lease has expired too, ends a job that the
  // next leader still reports.
  const { cluster, leader, others } = await startCluster();
  await expireLease(cluster, leader);
  others[0].delayNextTransactionMs = 12_000;
  cluster.cancel(others[0], JOB_ID);
  await cluster.run(150);
  electionOf(others[1]).stepDownFor(0, 'test');
  await waitUntil(cluster, 'the third controller leads', () => cluster.leaderWithValidLease() === others[1]);
  await cluster.run(1500);
  electionOf(others[1]).stepDownFor(LONG_DURATION_MS, 'test');
  await cluster.run(12_000);
  assert.ok(!cluster.store.hasLeader(), 'there is no leader');
  assert.equal(cluster.store.jobRecord(JOB_ID), 'open', 'the job is still open');
  assert.deepEqual(cluster.violations, []);
});

test('no leaderless write is sent while the leader key exists', async () => {
  // The store refuses each controller separately, so the leader's lease expires at the store while peer leases keep the
  // leadership valid. A write that a crashed follower had sent while the key existed would then be executed.
  const { cluster, leader, others } = await startCluster();
  others[0].delayNextTransactionMs = 9000;
  cluster.cancel(others[0], JOB_ID);
  await cluster.run(300);
  cluster.crash(others[0], 30);
  await cluster.run(100);
  for (const controller of cluster.controllers) controller.refusedUntil = cluster.sim.at + 20_000;
  assert.equal(await measureValidLeaseShare(cluster, leader, 20_000), 1);
  assert.ok(!cluster.store.hasLeader(), 'the lease has expired at the store');
  assert.equal(cluster.store.jobRecord(JOB_ID), 'open', 'the job is still open');
  await cluster.run(20_000);
  assert.deepEqual(cluster.violations, []);
});

test('a restarted follower abstains for the peer lease that its earlier process granted', async () => {
  // The store refuses each controller separately, so the leader's lease expires at the store while peer leases keep the
  // leadership valid. Then a follower is restarted and reaches the store.
  const { cluster, leader, others } = await startCluster();
  leader.refusedUntil = cluster.sim.at + 20_000;
  others[1].refusedUntil = cluster.sim.at + 8000;
  others[0].refusedUntil = cluster.sim.at + 4000;
  assert.equal(await measureValidLeaseShare(cluster, leader, 3800), 1);
  cluster.crash(others[0], 30);
  await cluster.run(400);
  assert.ok(!cluster.store.hasLeader(), 'the lease has expired at the store');
  assert.equal(cluster.leaderWithValidLease(), leader);
  await waitUntil(cluster, 'another controller leads in the end', () =>
    others.some((controller) => controller === cluster.leaderWithValidLease()),
  );
  assert.deepEqual(cluster.violations, []);
});

test('peer leases requested with a valid lease do not count if they are granted after it has expired', async () => {
  // They may come from followers that have just been restarted and whose earlier processes wrote in the meantime.
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

test('a leadership continues through an outage in which a follower is restarted', async () => {
  for (const restartMs of [30, 500, 2500]) {
    const { cluster, leader, others } = await startCluster();
    cluster.store.startOutage(LONG_DURATION_MS);
    await cluster.run(4000);
    assert.equal(await measureValidLeaseShare(cluster, leader, 4000), 1);
    cluster.crash(others[0], restartMs);
    assert.equal(await measureValidLeaseShare(cluster, leader, 40_000), 1);
    assert.deepEqual(cluster.violations, []);
  }
});

test('a leader that was stalled in an outage continues if no leaderless write was executed', async () => {
  const { cluster, leader, others } = await startCluster();
  cluster.store.startOutage(LONG_DURATION_MS);
  await cluster.run(4000);
  leader.stalledUntil = cluster.sim.at + 6000;
  await cluster.run(6000);
  assert.equal(electionOf(leader).hasValidLease(), false);
  await cluster.run(1000);
  assert.equal(await measureValidLeaseShare(cluster, leader, 10_000), 1);
  // A leaderless write that certainly was not executed does not end the lease either.
  cluster.cancel(others[0], JOB_ID);
  assert.equal(await measureValidLeaseShare(cluster, leader, 10_000), 1);
  assert.deepEqual(cluster.violations, []);
});

test('in an outage the leader of an earlier term grants a peer lease to the newer leader', async () => {
  // The earlier leader, the only one that the store refuses, does not know that its leadership has ended. While it
  // still believes that it leads, it must not refuse the peer lease.
  const { cluster, leader, others } = await startCluster();
  leader.refusedUntil = cluster.sim.at + LONG_DURATION_MS;
  await waitUntil(cluster, 'another controller leads', () =>
    others.some((controller) => controller === cluster.leaderWithValidLease()),
  );
  const newer = required(cluster.leaderWithValidLease(), 'leader');
  await cluster.run(1000);
  cluster.store.startOutage(LONG_DURATION_MS);
  assert.equal(await measureValidLeaseShare(cluster, newer, 20_000), 1);
  assert.equal(electionOf(leader).currentLeadership(), null);
  assert.deepEqual(cluster.violations, []);
});

test('a candidate whose transaction has no response revokes the lease, however late it is executed', async () => {
  for (const delayMs of [0, 500, 1490, 1600, 4000]) {
    const { cluster, leader, others } = await startCluster();
    electionOf(others[1]).stepDownFor(LONG_DURATION_MS, 'test');
    others[0].delayNextTransactionMs = delayMs;
    cluster.crash(leader, LONG_DURATION_MS);
    await waitUntil(
      cluster,
      'the candidate leads in the end',
      () => cluster.leaderWithValidLease() === others[0],
      15_000,
    );
    await cluster.run(8000);
    assert.equal(cluster.leaderWithValidLease(), others[0]);
    assert.deepEqual(cluster.violations, []);
  }
});

test('a leader that is restarted immediately is replaced before its lease would expire', async () => {
  const { cluster, leader, others } = await startCluster();
  cluster.crash(leader, 30);
  await waitUntil(
    cluster,
    'another controller leads',
    () => others.some((controller) => controller === cluster.leaderWithValidLease()),
    1000,
  );
  // All crash, and one restarts within a second: it abstains for the leases that its earlier process may have granted,
  // and then becomes leader.
  for (const controller of cluster.controllers)
    cluster.crash(controller, controller === leader ? 300 : LONG_DURATION_MS);
  await waitUntil(cluster, 'the controller leads', () => cluster.leaderWithValidLease() === leader, 6000);
  assert.deepEqual(cluster.violations, []);
});

test('a leadership whose acquisition is confirmed after its lease has expired is not valid, and ends', async () => {
  const { cluster, leader, others } = await startCluster();
  electionOf(others[1]).stepDownFor(20_000, 'test');
  cluster.crash(leader, LONG_DURATION_MS);
  await waitUntil(cluster, 'there is no leader', () => !cluster.store.hasLeader());
  others[0].answerDelayMs = 1400;
  await waitUntil(cluster, 'the candidate has put the leader key', () => cluster.store.hasLeader());
  others[0].stalledUntil = cluster.sim.at + 8000;
  await cluster.run(8000);
  assert.deepEqual(cluster.violations, []);
  others[0].answerDelayMs = 5;
  await waitUntil(cluster, 'there is a leader again', () => cluster.leaderWithValidLease() !== null, 30_000);
  assert.deepEqual(cluster.violations, []);
});
