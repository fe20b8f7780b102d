import assert from 'node:assert/strict';
import test from 'node:test';
import { defaultOptions } from '../../src/config/options.ts';
import { Election } from '../../src/leadership/election.ts';
import { SEED, silent } from '../helpers.ts';
import { Sim } from '../model/sim.ts';
import { Controllers, type Controller } from './controllers.ts';
import { LeaseModel } from './lease-model.ts';

const JOB_ID = 'req-000001';
const LONG_MS = 60_000;
const STEP_MS = 20;

/** Three controllers of which one leads, and a job. */
async function started(): Promise<{ c: Controllers; leader: Controller; others: [Controller, Controller] }> {
  const c = new Controllers(SEED);
  await c.run(5000);
  const leader = c.sure();
  assert.ok(leader, 'somebody leads');
  c.openJob(JOB_ID);
  const [first, second] = c.followers();
  return { c, leader, others: [first!, second!] };
}

async function until(c: Controllers, what: string, holds: () => boolean, mostMs = 10_000): Promise<void> {
  const end = c.sim.at + mostMs;
  while (!holds() && c.sim.at < end) await c.run(STEP_MS);
  assert.ok(holds(), what);
}

/** Share of the time in which a controller surely leads. */
async function sureShare(c: Controllers, node: Controller, ms: number): Promise<number> {
  const samples = ms / STEP_MS;
  let sure = 0;
  for (let i = 0; i < samples; i++) {
    await c.run(STEP_MS);
    if (node.election?.hasValidLease()) sure += 1;
  }
  return sure / samples;
}

/** The state service refuses the leader alone until its lease is over; nobody stands in its place. */
async function lapsed(c: Controllers, leader: Controller): Promise<void> {
  leader.refusedUntil = c.sim.at + LONG_MS;
  for (const node of c.followers()) node.election!.stepDownFor(LONG_MS, 'rests');
  await until(c, 'the leader key is gone', () => !c.store.hasLeader());
}

/** A controller confirms a cancellation to a user while nobody leads. */
async function cancelledBy(c: Controllers, canceller: Controller): Promise<void> {
  let told: string | null = null;
  c.cancel(canceller, JOB_ID, (stage) => (told = stage));
  await until(c, 'the user is told', () => told !== null, 1000);
  assert.equal(told, 'aborted');
}

/** Through a long outage the old leader is never sure and never calls the cancelled job running. */
async function staysUnsure(c: Controllers, leader: Controller): Promise<void> {
  assert.equal(await sureShare(c, leader, 20_000), 0);
  let told: string | null = null;
  c.poll(leader, JOB_ID, (stage) => (told = stage));
  await c.run(3000);
  assert.notEqual(told, 'running');
  assert.deepEqual(c.broken, []);
}

test('a leader whose lease lapsed is not sure again after another confirmed a cancellation', async () => {
  // With the others' promises it once was, and called the job running and started its tasks all through the outage.
  const { c, leader, others } = await started();
  await lapsed(c, leader);
  await cancelledBy(c, others[0]);
  c.store.outage(LONG_MS);
  await staysUnsure(c, leader);
});

test('... nor after the controller that confirmed it ended and is back', async () => {
  for (const backMs of [30, 900, 5000]) {
    const { c, leader, others } = await started();
    await lapsed(c, leader);
    await cancelledBy(c, others[0]);
    c.store.outage(LONG_MS);
    c.crash(others[0], backMs);
    await staysUnsure(c, leader);
  }
});

test('... nor after it ended before the answer to its transaction, which is carried out later', async () => {
  for (const backMs of [30, 400]) {
    const { c, leader, others } = await started();
    await lapsed(c, leader);
    others[0].holdNextTxnMs = 8000;
    c.cancel(others[0], JOB_ID);
    await c.run(150);
    c.crash(others[0], backMs);
    c.store.outage(LONG_MS);
    await staysUnsure(c, leader);
    assert.equal(c.store.jobRecord(JOB_ID), 'final', 'the transaction was carried out in the end');
  }
});

test('... nor while a transaction of the other may yet be carried out', async () => {
  const { c, leader, others } = await started();
  await lapsed(c, leader);
  others[0].holdNextTxnMs = 8000;
  c.cancel(others[0], JOB_ID);
  await c.run(150);
  c.store.outage(LONG_MS);
  await staysUnsure(c, leader);
  assert.equal(c.store.jobRecord(JOB_ID), 'final', 'the transaction was carried out in the end');
});

test('... nor after a newer leader was there, ended, and all others are back', async () => {
  const { c, leader, others } = await started();
  leader.refusedUntil = c.sim.at + LONG_MS;
  others[1].election!.stepDownFor(LONG_MS, 'rests');
  await until(c, 'another leads', () => c.sure() === others[0]);
  c.store.outage(LONG_MS);
  c.crash(others[0], 500);
  c.crash(others[1], 700);
  await staysUnsure(c, leader);
});

test('a cancellation without a leader fails once another leadership began', async () => {
  // Carried out later, when that leader's lease had lapsed too, it once ended a job that the leader went on telling.
  const { c, leader, others } = await started();
  await lapsed(c, leader);
  others[0].holdNextTxnMs = 12_000;
  c.cancel(others[0], JOB_ID);
  await c.run(150);
  others[1].election!.stepDownFor(0, 'stands');
  await until(c, 'the third leads', () => c.sure() === others[1]);
  await c.run(1500);
  others[1].election!.stepDownFor(LONG_MS, 'rests');
  await c.run(12_000);
  assert.ok(!c.store.hasLeader(), 'nobody leads');
  assert.equal(c.store.jobRecord(JOB_ID), 'open', 'the job is still open');
  assert.deepEqual(c.broken, []);
});

test('nobody sends a step that needs the absence of a leader while its key is there', async () => {
  // The service refuses all one by one, so the lease runs out while promises keep the leader sure. What a follower
  // that has ended since had sent while the key was there would then be carried out.
  const { c, leader, others } = await started();
  others[0].holdNextTxnMs = 9000;
  c.cancel(others[0], JOB_ID);
  await c.run(300);
  c.crash(others[0], 30);
  await c.run(100);
  for (const node of c.nodes) node.refusedUntil = c.sim.at + 20_000;
  assert.equal(await sureShare(c, leader, 20_000), 1);
  assert.ok(!c.store.hasLeader(), 'the lease has run out');
  assert.equal(c.store.jobRecord(JOB_ID), 'open', 'the job is still open');
  await c.run(20_000);
  assert.deepEqual(c.broken, []);
});

test('a follower that is back keeps what its earlier process promised', async () => {
  // The service refuses all one by one, so the lease runs out while promises keep the leader sure; then a follower
  // is back and reaches it.
  const { c, leader, others } = await started();
  leader.refusedUntil = c.sim.at + 20_000;
  others[1].refusedUntil = c.sim.at + 8000;
  others[0].refusedUntil = c.sim.at + 4000;
  assert.equal(await sureShare(c, leader, 3800), 1);
  c.crash(others[0], 30);
  await c.run(400);
  assert.ok(!c.store.hasLeader(), 'the lease has run out');
  assert.equal(c.sure(), leader);
  await until(c, 'another leads in the end', () => others.some((n) => n === c.sure()));
  assert.deepEqual(c.broken, []);
});

test('promises for a leader that was still sure say nothing once it is not', async () => {
  // They may come from followers that just started, and whose earlier processes acted in between.
  const sim = new Sim(SEED);
  const node = { refusedUntil: 0, lossy: false };
  const asked: boolean[] = [];
  const { leadership } = defaultOptions();
  const election = new Election(
    'n0',
    'n0-1',
    new LeaseModel(sim).for(node),
    { now: () => sim.at, wall: () => sim.at },
    () => sim.random(),
    { ttlMs: leadership.lease_ms, renewMs: leadership.renew_ms },
    { acquired: () => undefined, lost: () => undefined },
    silent,
    (ms) => sim.pause(ms),
    async ({ continuous }) => {
      asked.push(continuous);
      await sim.pause(3500);
      return [continuous, continuous];
    },
  );
  election.start();
  await sim.run(5000);
  node.refusedUntil = Infinity;
  await sim.run(9000);
  assert.equal(asked[0], true);
  for (let at = 9000; at < 20_000; at += 20) {
    await sim.run(at);
    assert.equal(election.hasValidLease(), false);
  }
  assert.equal(asked.at(-1), false);
});

test('a leader goes on through an outage in which a follower is restarted', async () => {
  for (const backMs of [30, 500, 2500]) {
    const { c, leader, others } = await started();
    c.store.outage(LONG_MS);
    await c.run(4000);
    assert.equal(await sureShare(c, leader, 4000), 1);
    c.crash(others[0], backMs);
    assert.equal(await sureShare(c, leader, 40_000), 1);
    assert.deepEqual(c.broken, []);
  }
});

test('a leader that stood still in an outage goes on if nobody acted without it', async () => {
  const { c, leader, others } = await started();
  c.store.outage(LONG_MS);
  await c.run(4000);
  leader.stalledUntil = c.sim.at + 6000;
  await c.run(6000);
  assert.equal(leader.election!.hasValidLease(), false);
  await c.run(1000);
  assert.equal(await sureShare(c, leader, 10_000), 1);
  // A step that surely wasn't carried out says nothing against it either.
  c.cancel(others[0], JOB_ID);
  assert.equal(await sureShare(c, leader, 10_000), 1);
  assert.deepEqual(c.broken, []);
});

test('in an outage a newer leader gets the promise of the one before it', async () => {
  // Refused alone, that one doesn't know that it is over, and once refused its promise for as long.
  const { c, leader, others } = await started();
  leader.refusedUntil = c.sim.at + LONG_MS;
  await until(c, 'another leads', () => others.some((n) => n === c.sure()));
  const newer = c.sure()!;
  await c.run(1000);
  c.store.outage(LONG_MS);
  assert.equal(await sureShare(c, newer, 20_000), 1);
  assert.equal(leader.election!.current(), null);
  assert.deepEqual(c.broken, []);
});

test('who wins without knowing ends that leadership, whenever the transaction is carried out', async () => {
  for (const holdMs of [0, 500, 1490, 1600, 4000]) {
    const { c, leader, others } = await started();
    others[1].election!.stepDownFor(LONG_MS, 'rests');
    others[0].holdNextTxnMs = holdMs;
    c.crash(leader, LONG_MS);
    await until(c, 'it leads in the end', () => c.sure() === others[0], 15_000);
    await c.run(8000);
    assert.equal(c.sure(), others[0]);
    assert.deepEqual(c.broken, []);
  }
});

test('a leader that ends and is back at once leaves no wait for its lease', async () => {
  const { c, leader, others } = await started();
  c.crash(leader, 30);
  await until(c, 'another leads', () => others.some((n) => n === c.sure()), 1000);
  // All end, and one is back within a second: it keeps what its earlier process may have promised, then leads.
  for (const node of c.nodes) c.crash(node, node === leader ? 300 : LONG_MS);
  await until(c, 'it leads', () => c.sure() === leader, 6000);
  assert.deepEqual(c.broken, []);
});

test('a leadership whose win was answered after its lease is not sure, and ends', async () => {
  const { c, leader, others } = await started();
  others[1].election!.stepDownFor(20_000, 'rests');
  c.crash(leader, LONG_MS);
  await until(c, 'nobody leads', () => !c.store.hasLeader());
  others[0].answerMs = 1400;
  await until(c, 'it has won', () => c.store.hasLeader());
  others[0].stalledUntil = c.sim.at + 8000;
  await c.run(8000);
  assert.deepEqual(c.broken, []);
  others[0].answerMs = 5;
  await until(c, 'somebody leads again', () => c.sure() !== null, 30_000);
  assert.deepEqual(c.broken, []);
});
