import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { Job } from '../../src/jobs/job.ts';
import { decodeStoredJob } from '../../src/wire/user.ts';
import type { Heartbeat, TaskStatus } from '../../src/wire/worker.ts';
import { attemptKey, Machine, newAttempt, type Attempt } from '../../src/workers/machine.ts';
import { applyHeartbeat, commandsFor, isNewer, mayClear, noteResponse } from '../../src/workers/reconcile.ts';
import { SEED } from '../helpers.ts';
import { JOB } from '../wire/sample.ts';

const decoded = decodeStoredJob(JOB);
assert.ok(decoded.ok);
const SPEC = decoded.value;
const IDENTITY = { name: 'n-1', address: 'x:1', machineType: 'g8', zone: 'a', spot: false };

function setup(): { machine: Machine; job: Job; launch: (task: number) => Attempt } {
  const machine = new Machine(0, IDENTITY, 0, 0, 0, 0);
  const job = new Job(SPEC, 0, 0, 0);
  job.durableStartWatermark = SPEC.tasks;
  const launch = (task: number): Attempt => {
    const a = newAttempt(machine, job, job.id, task, 7, 0);
    machine.attempts.set(attemptKey(job.id, task, 7), a);
    return a;
  };
  return { machine, job, launch };
}

const reported = (task: number, over: Partial<TaskStatus> = {}): TaskStatus => ({
  jobId: SPEC.id,
  task,
  attempt: 7,
  phase: 'running',
  exitReason: null,
  checkpointed: false,
  ...over,
});

const report = (session: number, seq: number, tasks: TaskStatus[]): Heartbeat => ({
  machine: 'n-1',
  address: 'x:1',
  machineType: 'g8',
  zone: 'a',
  spot: false,
  incarnation: session,
  sequence: seq,
  fencingToken: 1,
  interruptionNoticeS: null,
  tasks,
});

test('an unseen start stays with its machine until a new session, and is sent again', () => {
  const { machine, job, launch } = setup();
  const ctx = { now: 1, jobOf: () => job };
  applyHeartbeat(machine, report(1, 1, []), false, ctx);
  const a = launch(0);
  assert.deepEqual(applyHeartbeat(machine, report(1, 2, []), false, ctx), []);
  assert.equal(commandsFor(machine, true)[0]?.op, 'start');
  assert.deepEqual(commandsFor(machine, false), [], 'nothing starts while the lease is not sure');
  const events = applyHeartbeat(machine, report(2, 3, []), false, ctx);
  assert.deepEqual(
    events.map((e) => e.kind),
    ['released'],
  );
  assert.ok(a.released);
});

test('a stopped start that was never seen is let go only when no launch can be under way', () => {
  const { machine, job, launch } = setup();
  const ctx = { now: 1, jobOf: () => job };
  applyHeartbeat(machine, report(1, 1, []), false, ctx);
  const a = launch(0);
  a.stopGraceS = 0;
  a.inDoubt = true;
  assert.deepEqual(
    applyHeartbeat(machine, report(1, 2, []), false, ctx),
    [],
    'a direct launch without answer',
  );
  a.inDoubt = false;
  a.inFlight = 1;
  assert.deepEqual(applyHeartbeat(machine, report(1, 3, []), false, ctx), [], 'an order on its way');
  a.inFlight = 0;
  assert.deepEqual(
    applyHeartbeat(machine, report(1, 4, []), true, ctx),
    [],
    'the answer to an order proves nothing',
  );
  assert.equal(applyHeartbeat(machine, report(1, 5, []), false, ctx).length, 1);
});

test('an ended attempt is forgotten only when durable and with no launch in doubt', () => {
  const { machine, job, launch } = setup();
  const ctx = { now: 1, jobOf: () => job };
  const a = launch(3);
  applyHeartbeat(machine, report(1, 1, [reported(3, { phase: 'ended', exitReason: 'done' })]), false, ctx);
  job.markDone(3);
  assert.equal(mayClear(a), false);
  job.markChunkDurable(0, job.chunkBits(0));
  assert.equal(mayClear(a), true);
  a.inDoubt = true;
  assert.equal(mayClear(a), false);
});

test('an attempt is not forgotten while an answer with its launch may still be on its way', () => {
  // Forgotten by a direct order that overtakes the answer, the launch in the answer would start it anew.
  const { machine, job, launch } = setup();
  const ctx = { now: 1, jobOf: () => job };
  applyHeartbeat(machine, report(1, 1, []), false, ctx);
  const a = launch(0);
  noteResponse(machine, commandsFor(machine, true));
  const refused = [reported(0, { phase: 'ended', exitReason: 'insufficientResources' })];
  applyHeartbeat(machine, report(1, 2, refused), true, ctx);
  assert.ok(a.released);
  assert.deepEqual(commandsFor(machine, true), [], 'known from the answer to an order only');
  applyHeartbeat(machine, report(1, 3, refused), false, ctx);
  assert.equal(
    commandsFor(machine, true)[0]?.op,
    'forget',
    'its next report shows that the answer is settled',
  );
});

test('whatever the order in which reports arrive, only the newest counts', () => {
  const step = fc.record({ session: fc.integer({ min: 1, max: 3 }), seq: fc.integer({ min: 1, max: 30 }) });
  fc.assert(
    fc.property(fc.array(step, { minLength: 1, maxLength: 20 }), (steps) => {
      const { machine, job } = setup();
      let newest = [0, 0];
      for (const s of steps) {
        const r = report(s.session, s.seq, []);
        const newer = s.session > newest[0]! || (s.session === newest[0]! && s.seq > newest[1]!);
        assert.equal(isNewer(machine, r), newer);
        if (!newer) continue;
        applyHeartbeat(machine, r, false, { now: 1, jobOf: () => job });
        newest = [s.session, s.seq];
      }
      assert.deepEqual([machine.incarnation, machine.sequence], newest);
    }),
    { seed: SEED, numRuns: 200 },
  );
});

test('a session that is surely over takes no more reports; the next one does, with a lease of its own', () => {
  // The end of an old session's lease was once taken for the end of the new one's.
  const { machine, job } = setup();
  applyHeartbeat(machine, report(1, 1, []), false, { now: 1, jobOf: () => job });
  machine.leaseExpired = true;
  assert.equal(isNewer(machine, report(1, 9, [])), false);
  applyHeartbeat(machine, report(2, 10, []), false, { now: 5000, jobOf: () => job });
  assert.equal(machine.leaseExpired, false);
  assert.equal(machine.leaseRenewedBefore, 5000);
});

test('nothing starts before the store says that it may have been started', () => {
  const { machine, job, launch } = setup();
  job.durableStartWatermark = 1;
  launch(0);
  launch(1);
  assert.deepEqual(
    commandsFor(machine, true).map((c) => c.task),
    [0],
  );
});

test('while machines are unheard a new leader starts only what nobody can be running', () => {
  const { job } = setup();
  assert.equal(job.neverStarted, true);
  job.restore(4, 77);
  assert.equal(job.neverStarted, false);
  assert.equal(job.waitingSince, 77, 'since when its tasks wait is not known');
  assert.equal(job.startableCount(), SPEC.gang ? 0 : job.spec.tasks - 4);
  const array = new Job({ ...SPEC, gang: false, oneZone: false, spread: false }, 0, 0, 0);
  array.restore(4, 0);
  assert.equal(array.takePending(true), 4);
  assert.equal(array.startableCount(), array.spec.tasks - 5);
  assert.equal(array.takePending(), 0, 'once all are heard the others follow');
  // Where the others are decides where these may go: none of them is sure.
  for (const bound of [{ oneZone: true }, { spread: true }, { gang: true }]) {
    const tied = new Job({ ...SPEC, gang: false, oneZone: false, spread: false, ...bound }, 0, 0, 0);
    tied.restore(4, 0);
    assert.equal(tied.startableCount(), 0);
    tied.restore(0, 0);
    assert.equal(tied.startableCount(), tied.spec.tasks);
  }
});
