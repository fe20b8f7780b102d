import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { Job } from '../../src/jobs/job.ts';
import type { Attempt } from '../../src/workers/attempt.ts';
import type { Machine } from '../../src/workers/machine.ts';
import {
  applyHeartbeat,
  buildCommands,
  isNewerHeartbeat,
  canForget,
  needsHigherToken,
  noteStartsInResponse,
  type ReconcileContext,
} from '../../src/workers/reconcile.ts';
import { SEED } from '../helpers.ts';
import { FIRST_TOKEN, heartbeat, setup, SPEC, taskStatus } from './fixtures.ts';

const HIGHER_TOKEN = FIRST_TOKEN + 1;

test('a start that was not observed is sent again, until a new incarnation releases the attempt', () => {
  const { machine, job, assign } = setup();
  const context = { now: 1, jobOf: () => job };
  applyHeartbeat(machine, heartbeat(1, 1), false, context);
  const attempt = assign(0);
  assert.deepEqual(applyHeartbeat(machine, heartbeat(1, 2), false, context), []);
  assert.equal(buildCommands(machine, true)[0]?.op, 'start');
  assert.deepEqual(buildCommands(machine, false), [], 'no task starts without a valid lease');
  const events = applyHeartbeat(machine, heartbeat(2, 3), false, context);
  assert.deepEqual(
    events.map((event) => event.kind),
    ['released'],
  );
  assert.ok(attempt.released);
});

test('a stopped attempt that was never observed is released only when its start cannot be executed any more', () => {
  const { machine, job, assign } = setup();
  const context = { now: 1, jobOf: () => job };
  applyHeartbeat(machine, heartbeat(1, 1), false, context);
  const attemptInDoubt = assign(0);
  attemptInDoubt.decideStop(0);
  attemptInDoubt.noteDirectStartSent();
  attemptInDoubt.noteDirectStartCompleted('unanswered', FIRST_TOKEN);
  assert.deepEqual(
    applyHeartbeat(machine, heartbeat(1, 2), false, context),
    [],
    'a direct start without answer',
  );
  const attempt = assign(1);
  attempt.decideStop(0);
  attempt.noteDirectStartSent();
  assert.deepEqual(applyHeartbeat(machine, heartbeat(1, 3), false, context), [], 'a direct start in flight');
  attempt.noteDirectStartCompleted('notExecuted', FIRST_TOKEN);
  assert.deepEqual(
    applyHeartbeat(machine, heartbeat(1, 4), true, context),
    [],
    'the answer to a command proves nothing',
  );
  const events = applyHeartbeat(machine, heartbeat(1, 5), false, context);
  assert.deepEqual(events, [{ kind: 'released', attempt, checkpointed: false }]);
  assert.ok(!attemptInDoubt.released, 'a start in doubt stays in doubt');
  assert.ok(attemptInDoubt.startInDoubt);
  assert.equal(needsHigherToken(machine), true);
  const settled = applyHeartbeat(machine, heartbeat(1, 6, [], HIGHER_TOKEN), false, context);
  assert.deepEqual(settled, [{ kind: 'released', attempt: attemptInDoubt, checkpointed: false }]);
});

test('an ended attempt may be forgotten only when its end is durable and no start is in flight or accepted', () => {
  const { machine, job, assign } = setup();
  const context = { now: 1, jobOf: () => job };
  const attempt = assign(3);
  const done = taskStatus(3, { phase: 'ended', exitReason: 'done' });
  applyHeartbeat(machine, heartbeat(1, 1, [done]), false, context);
  job.markDone(3);
  assert.equal(canForget(attempt, HIGHER_TOKEN), false);
  job.markChunkDurable(0, job.chunkBits(0));
  assert.equal(canForget(attempt, FIRST_TOKEN), true);
  attempt.noteDirectStartSent();
  assert.equal(canForget(attempt, HIGHER_TOKEN), false);
  attempt.noteDirectStartCompleted('unanswered', FIRST_TOKEN);
  assert.equal(canForget(attempt, FIRST_TOKEN), false);
  assert.equal(canForget(attempt, HIGHER_TOKEN), true, 'its start is refused by then, executed or not');
});

/** A machine with one attempt whose start was executed and answered, by a direct command under the first token. */
function setupStarted(): { machine: Machine; attempt: Attempt; context: ReconcileContext } {
  const { machine, job, assign } = setup();
  const context = { now: 1, jobOf: () => job };
  applyHeartbeat(machine, heartbeat(1, 1), false, context);
  const attempt = assign(0);
  attempt.noteDirectStartSent();
  attempt.noteDirectStartCompleted('executed', FIRST_TOKEN);
  return { machine, attempt, context };
}

test('an attempt started by an answered direct command is forgotten only under a higher token', () => {
  const { machine, attempt, context } = setupStarted();
  const failed = [taskStatus(0, { phase: 'ended', exitReason: 'error' })];
  applyHeartbeat(machine, heartbeat(1, 2, failed), false, context);
  assert.ok(attempt.released);
  assert.deepEqual(buildCommands(machine, true), [], 'a copy of the start would be accepted afterwards');
  assert.equal(needsHigherToken(machine), true);
  machine.raiseCommandToken();
  assert.equal(needsHigherToken(machine), false);
  assert.equal(buildCommands(machine, true)[0]?.op, 'forget');
  applyHeartbeat(machine, heartbeat(1, 3, [], HIGHER_TOKEN), false, context);
  assert.equal(machine.attempts.size, 0);
});

test('an attempt that a worker has lost is released only once the worker refuses copies of its start', () => {
  const { machine, attempt, context } = setupStarted();
  applyHeartbeat(machine, heartbeat(1, 2, [taskStatus(0)]), false, context);
  assert.deepEqual(applyHeartbeat(machine, heartbeat(1, 3), false, context), []);
  assert.equal(needsHigherToken(machine), true);
  attempt.decideStop(0);
  assert.deepEqual(buildCommands(machine, true), [], 'the worker does not hold what it would stop');
  const events = applyHeartbeat(machine, heartbeat(1, 4, [], HIGHER_TOKEN), false, context);
  assert.deepEqual(events, [{ kind: 'released', attempt, checkpointed: false }]);
});

test('a lost attempt is not released while a direct command with its start is in flight', () => {
  const { machine, attempt, context } = setupStarted();
  applyHeartbeat(machine, heartbeat(1, 2, [taskStatus(0)]), false, context);
  attempt.noteDirectStartSent();
  assert.deepEqual(applyHeartbeat(machine, heartbeat(1, 3, [], HIGHER_TOKEN), false, context), []);
  attempt.noteDirectStartCompleted('notExecuted', FIRST_TOKEN);
  const events = applyHeartbeat(machine, heartbeat(1, 4, [], HIGHER_TOKEN), false, context);
  assert.deepEqual(events, [{ kind: 'released', attempt, checkpointed: false }]);
});

test('commands carry no lower token than the worker has shown', () => {
  const { machine, job } = setup();
  applyHeartbeat(machine, heartbeat(1, 1, [], 40), false, { now: 1, jobOf: () => job });
  assert.equal(machine.commandToken, 40);
});

test('an attempt is not forgotten while a response with its start may still be on its way', () => {
  // If a direct command makes the worker forget the attempt and overtakes the response, the response starts it again.
  const { machine, job, assign } = setup();
  const context = { now: 1, jobOf: () => job };
  applyHeartbeat(machine, heartbeat(1, 1), false, context);
  const attempt = assign(0);
  noteStartsInResponse(machine, buildCommands(machine, true));
  const refused = [taskStatus(0, { phase: 'ended', exitReason: 'insufficientResources' })];
  applyHeartbeat(machine, heartbeat(1, 2, refused), true, context);
  assert.ok(attempt.released);
  assert.deepEqual(buildCommands(machine, true), [], 'known from the answer to a command only');
  applyHeartbeat(machine, heartbeat(1, 3, refused), false, context);
  assert.equal(
    buildCommands(machine, true)[0]?.op,
    'forget',
    'its next heartbeat shows that the response is settled',
  );
});

test('a heartbeat is applied only if it is newer than all applied before, in any order of arrival', () => {
  const step = fc.record({
    incarnation: fc.integer({ min: 1, max: 3 }),
    sequence: fc.integer({ min: 1, max: 30 }),
  });
  fc.assert(
    fc.property(fc.array(step, { minLength: 1, maxLength: 20 }), (steps) => {
      const { machine, job } = setup();
      let newest = { incarnation: 0, sequence: 0 };
      for (const { incarnation, sequence } of steps) {
        const received = heartbeat(incarnation, sequence);
        const newer =
          incarnation > newest.incarnation ||
          (incarnation === newest.incarnation && sequence > newest.sequence);
        assert.equal(isNewerHeartbeat(machine, received), newer);
        if (!newer) continue;
        applyHeartbeat(machine, received, false, { now: 1, jobOf: () => job });
        newest = { incarnation, sequence };
      }
      assert.deepEqual({ incarnation: machine.incarnation, sequence: machine.sequence }, newest);
    }),
    { seed: SEED, numRuns: 200 },
  );
});

test('heartbeats of an incarnation with an expired lease are ignored; the next incarnation has its own lease', () => {
  // The expiry of the old incarnation's lease must not be taken for the expiry of the new one's.
  const { machine, job } = setup();
  applyHeartbeat(machine, heartbeat(1, 1), false, { now: 1, jobOf: () => job });
  machine.markLeaseExpired();
  assert.equal(machine.leaseExpired, true);
  assert.equal(isNewerHeartbeat(machine, heartbeat(1, 9)), false);
  applyHeartbeat(machine, heartbeat(2, 10), false, { now: 5000, jobOf: () => job });
  assert.equal(machine.leaseExpired, false);
  assert.equal(machine.leaseRenewedBefore, 5000);
});

test('a task starts only once the store durably records that it may have been started', () => {
  const { machine, job, assign } = setup();
  job.durableStartWatermark = 1;
  assign(0);
  assign(1);
  assert.deepEqual(
    buildCommands(machine, true).map((command) => command.task),
    [0],
  );
});

test('while machines are not reconciled, a new leader starts only tasks that no machine can be running', () => {
  const { job } = setup();
  assert.equal(job.hasNeverStarted, true);
  job.restore(4, 77);
  assert.equal(job.hasNeverStarted, false);
  assert.equal(job.waitingSince, 77, 'the time since which its tasks wait is not known');
  assert.equal(job.startableCount(), SPEC.gang ? 0 : job.spec.tasks - 4);
  const nonGangJob = new Job({ ...SPEC, gang: false, oneZone: false, spread: false }, 0, 0, 0);
  nonGangJob.restore(4, 0);
  assert.equal(nonGangJob.takePending(true), 4);
  assert.equal(nonGangJob.startableCount(), nonGangJob.spec.tasks - 5);
  assert.equal(
    nonGangJob.takePending(),
    0,
    'once all machines are reconciled, the other tasks may start too',
  );
  // With a constraint, the placement of one task depends on the others, which may be running on unknown machines.
  for (const constraint of [{ oneZone: true }, { spread: true }, { gang: true }]) {
    const constrainedJob = new Job(
      { ...SPEC, gang: false, oneZone: false, spread: false, ...constraint },
      0,
      0,
      0,
    );
    constrainedJob.restore(4, 0);
    assert.equal(constrainedJob.startableCount(), 0);
    constrainedJob.restore(0, 0);
    assert.equal(constrainedJob.startableCount(), constrainedJob.spec.tasks);
  }
});
