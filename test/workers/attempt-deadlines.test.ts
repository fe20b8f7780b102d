import assert from 'node:assert/strict';
import test from 'node:test';
import type { Job } from '../../src/jobs/job.ts';
import {
  isStartInDoubtOverdue,
  mustAwaitLeaseExpiry,
  mustCheckpointNow,
} from '../../src/workers/attempt-deadlines.ts';
import type { Attempt } from '../../src/workers/attempt.ts';
import { heartbeat, setup, SPEC } from './fixtures.ts';

const TIMES = { cancelMs: 60_000, leaseMs: 30_000 };
const MARGIN_S = 10;

/** An attempt assigned at time 0 whose direct start had no answer. */
function startInDoubt(): { attempt: Attempt; job: Job } {
  const { job, assign } = setup();
  const attempt = assign(0);
  attempt.noteDirectStartSent();
  attempt.noteDirectStartCompleted('unanswered', 1);
  return { attempt, job };
}

test('a start in doubt of a task to be stopped is overdue after a quarter of the time to cancel', () => {
  const { attempt, job } = startInDoubt();
  assert.equal(isStartInDoubtOverdue(attempt, TIMES, 15_001, false), false, 'no stop is decided');
  attempt.decideStop(0);
  assert.equal(isStartInDoubtOverdue(attempt, TIMES, 15_000, false), false);
  assert.equal(isStartInDoubtOverdue(attempt, TIMES, 15_001, false), true);
  assert.equal(isStartInDoubtOverdue(attempt, TIMES, 15_001, true), false, 'overloaded');
  job.pendingOutcome = 'cancelled';
  assert.equal(isStartInDoubtOverdue(attempt, TIMES, 15_001, true), true);
  attempt.observe('running', 15_001);
  assert.equal(isStartInDoubtOverdue(attempt, TIMES, 15_002, false), false, 'no longer in doubt');
});

test('the lease of a machine with a cancelled start in doubt is left to expire just in time, once', () => {
  const { attempt, job } = startInDoubt();
  assert.equal(mustAwaitLeaseExpiry(attempt, TIMES, 99_000), false, 'the job is not cancelled');
  job.pendingOutcome = 'cancelled';
  assert.equal(mustAwaitLeaseExpiry(attempt, TIMES, 100_000), false, 'unwanted from now on');
  // The time to cancel of 60 s, less the lease with its drift and a margin of 5 s.
  assert.equal(mustAwaitLeaseExpiry(attempt, TIMES, 124_969), false);
  assert.equal(mustAwaitLeaseExpiry(attempt, TIMES, 124_971), true);
  attempt.awaitLeaseExpiry();
  assert.equal(mustAwaitLeaseExpiry(attempt, TIMES, 124_972), false);
});

test('before the cloud reclaims a machine, its tasks save checkpoints with time to spare', () => {
  const { machine, assign } = setup();
  const attempt = assign(0);
  const neededMs = (SPEC.checkpointDurationS + MARGIN_S) * 1000;
  assert.equal(mustCheckpointNow(attempt, MARGIN_S, 0), false, 'no notice');
  machine.noteHeartbeat({ ...heartbeat(1, 1), interruptionNoticeS: 120 }, false, 0);
  assert.equal(mustCheckpointNow(attempt, MARGIN_S, 120_000 - neededMs), false);
  assert.equal(mustCheckpointNow(attempt, MARGIN_S, 120_001 - neededMs), true);
  attempt.decideStop(30);
  assert.equal(mustCheckpointNow(attempt, MARGIN_S, 120_001 - neededMs), false, 'a stop is already decided');
});
