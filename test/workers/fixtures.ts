import assert from 'node:assert/strict';
import { Job } from '../../src/jobs/job.ts';
import { decodeStoredJob, type JobRequest } from '../../src/wire/user.ts';
import type { Heartbeat, TaskStatus } from '../../src/wire/worker.ts';
import { Attempt, attemptKey } from '../../src/workers/attempt.ts';
import { Machine, type MachineIdentity } from '../../src/workers/machine.ts';
import { JOB } from '../wire/sample.ts';

const IDENTITY: MachineIdentity = {
  name: 'n-1',
  address: 'x:1',
  machineType: 'g8',
  zone: 'a',
  spot: false,
};

/** The attempt number of all attempts that `assign` creates and `taskStatus` reports. */
const ATTEMPT_NUMBER = 7;

function storedJob(): JobRequest {
  const decoded = decodeStoredJob(JOB);
  assert.ok(decoded.ok);
  return decoded.value;
}

/** The fencing token of the heartbeats and commands of these tests, unless they say otherwise. */
export const FIRST_TOKEN = 1;

/** The job specification that all tests of this folder use. */
export const SPEC = storedJob();

/** A machine that was added at time 0 and has sent no messages. */
export function newMachine(zone = 0): Machine {
  return new Machine({
    index: 0,
    identity: IDENTITY,
    type: 0,
    zone,
    now: 0,
    leaseRenewedBefore: 0,
    firstToken: FIRST_TOKEN,
  });
}

/** A heartbeat of the machine that `newMachine` returns. */
export function heartbeat(
  incarnation: number,
  sequence: number,
  tasks: TaskStatus[] = [],
  fencingToken = FIRST_TOKEN,
): Heartbeat {
  const { name: machine, ...properties } = IDENTITY;
  return { machine, ...properties, incarnation, sequence, fencingToken, interruptionNoticeS: null, tasks };
}

/** The status of a task in a heartbeat; it is running unless `overrides` says otherwise. */
export function taskStatus(task: number, overrides: Partial<TaskStatus> = {}): TaskStatus {
  return {
    jobId: SPEC.id,
    task,
    attempt: ATTEMPT_NUMBER,
    phase: 'running',
    exitReason: null,
    checkpointed: false,
    ...overrides,
  };
}

/** A machine, and a job whose tasks may all be started; `assign` creates an attempt of a task on the machine. */
export function setup(): { machine: Machine; job: Job; assign: (task: number) => Attempt } {
  const machine = newMachine();
  const job = new Job(SPEC, 0, 0, 0);
  job.durableStartWatermark = SPEC.tasks;
  const assign = (task: number): Attempt => {
    const attempt = new Attempt({
      machine,
      job,
      jobId: job.id,
      task,
      number: ATTEMPT_NUMBER,
      assignedAt: 0,
    });
    machine.attempts.set(attemptKey(job.id, task, ATTEMPT_NUMBER), attempt);
    return attempt;
  };
  return { machine, job, assign };
}

/** The body of a worker's message that decodes as `heartbeat(incarnation, sequence)`, a heartbeat without tasks. */
export function wireHeartbeat(incarnation: number, sequence: number): string {
  return JSON.stringify({
    ...{ hearth: IDENTITY.name, address: IDENTITY.address, oven: IDENTITY.machineType },
    ...{ yard: IDENTITY.zone, borrowed: IDENTITY.spot, shift: incarnation, tick: sequence },
    ...{ baton: 1, warningS: null, loaves: [] },
  });
}
