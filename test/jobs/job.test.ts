import assert from 'node:assert/strict';
import test from 'node:test';
import { TASKS_PER_CHUNK } from '../../src/jobs/completion-chunks.ts';
import { Job } from '../../src/jobs/job.ts';
import { decodeJob } from '../../src/wire/user.ts';
import { JOB } from '../wire/sample.ts';

/** A job array of `tasks` tasks, all of them pending. */
function jobArray(tasks: number): Job {
  const decoded = decodeJob(JSON.stringify({ ...JOB, shape: 'array', samePlace: false, loaves: tasks }));
  assert.ok(decoded.ok);
  return new Job(decoded.value, 0, 0, 0);
}

test('pending tasks are taken in order, requeued ones before those that were never assigned', () => {
  const job = jobArray(4);
  assert.deepEqual([job.takePending(), job.takePending()], [0, 1]);
  job.requeue(0, 10);
  assert.equal(job.pendingCount, 3);
  assert.deepEqual([job.takePending(), job.takePending(), job.takePending()], [0, 2, 3]);
  assert.equal(job.takePending(), -1);
  assert.equal(job.pendingCount, 0);
});

test('a task that is done is neither requeued nor adopted nor taken again', () => {
  const job = jobArray(2);
  const task = job.takePending();
  assert.equal(job.markDone(task), true);
  assert.equal(job.markDone(task), false);
  job.requeue(task, 10);
  assert.equal(job.adopt(task), false);
  assert.equal(job.isDone(task), true);
  assert.deepEqual([job.takePending(), job.takePending()], [1, -1]);
  assert.equal(job.markDone(job.spec.tasks), false, 'there is no such task');
});

test('the waiting time restarts when the first task is requeued', () => {
  const job = jobArray(2);
  const tasks = [job.takePending(), job.takePending()];
  for (const [index, task] of tasks.entries()) job.requeue(task, 100 + index);
  assert.equal(job.waitingSince, 100);
});

test('the status counts only tasks whose completion is durable as done, until the job is terminal', () => {
  const job = jobArray(3);
  job.markDone(0);
  job.runningCount = 1;
  assert.deepEqual(job.status(), { stage: 'running', done: 0, running: 1 });
  assert.deepEqual([...job.dirtyChunks], [0]);
  job.markChunkDurable(0, job.chunkBits(0));
  assert.deepEqual([job.isDurable(0), job.isDurable(1)], [true, false]);
  assert.deepEqual(job.status(), { stage: 'running', done: 1, running: 1 });
  job.pendingOutcome = 'cancelled';
  assert.equal(job.isOutcomeUnconfirmed, true);
  job.terminalState = 'cancelled';
  assert.equal(job.isOutcomeUnconfirmed, false);
  assert.deepEqual(job.status(), { stage: 'cancelled', done: 1, running: 0 });
});

test('the completion bitmap of one leader restores the durable tasks of the next, chunk by chunk', () => {
  const tasks = TASKS_PER_CHUNK + 3;
  const job = jobArray(tasks);
  const done = [0, 9, TASKS_PER_CHUNK - 1, TASKS_PER_CHUNK, tasks - 1];
  for (const task of done) job.markDone(task);
  assert.deepEqual([...job.dirtyChunks], [0, 1]);
  const restored = jobArray(tasks);
  for (const chunk of [0, 1]) restored.markChunkDurable(chunk, job.chunkBits(chunk));
  const durable = Array.from({ length: tasks }, (_, task) => task).filter((task) => restored.isDurable(task));
  assert.deepEqual(durable, done);
  assert.equal(restored.doneCount, done.length);
  assert.equal(restored.durableCount, done.length);
  assert.equal(restored.pendingCount, tasks - done.length);
  assert.deepEqual([...restored.storedChunks], [0, 1]);
});
