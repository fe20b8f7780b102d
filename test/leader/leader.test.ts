import assert from 'node:assert/strict';
import test from 'node:test';
import { required } from '../../src/base/required.ts';
import { encodeOpenRecord } from '../../src/jobs/records.ts';
import { SETTINGS } from '../config/sample.ts';
import {
  EARLIER_TERM,
  heartbeatOf,
  jobOf,
  LATER_TOKEN,
  NO_RESPONSE,
  responseOf,
  taskStatus,
  TERM,
} from './fakes.ts';
import { LeaderHarness, type SentCommands, type SentProbe } from './harness.ts';

function firstSent(harness: LeaderHarness): SentCommands {
  return required(harness.sentCommands[0], 'commands sent to a worker');
}

function firstProbe(harness: LeaderHarness): SentProbe {
  return required(harness.probes[0], 'probe of a worker');
}

test('a late copy of a heartbeat from a machine whose lease has expired ties no job to its zone', async () => {
  const harness = new LeaderHarness();
  harness.cloudAvailable = false;
  const job = jobOf('req-000001', { tasks: 12, oneZone: true });
  const other = jobOf('req-000002', { tasks: 1 });
  harness.recover(
    [job, other],
    [
      ['n-lost', 'a'],
      ['n-a', 'a'],
      ['n-b', 'b'],
    ],
  );
  // An earlier leader left two tasks in zone b; the lost machine is silent until its lease has expired.
  const workerA = harness.addWorker('n-a', 'a').setTask(taskStatus(other.id, 0, 2));
  const workerB = harness
    .addWorker('n-b', 'b')
    .setTask(taskStatus(job.id, 0, 1))
    .setTask(taskStatus(job.id, 1, 1));
  await harness.advance(26);
  assert.deepEqual(workerB.runningTasks(job.id), [0, 1], 'the lost machine may hold any of the others');
  await harness.advance(2);
  assert.equal(workerB.runningTasks(job.id).length, 4);
  const position = { incarnation: 3, sequence: 40, fencingToken: EARLIER_TERM };
  const copy = heartbeatOf('n-lost', 'a', position, [taskStatus(job.id, 11, 1)]);
  assert.deepEqual(harness.leader.onHeartbeat(copy)?.commands, []);
  // The tasks end one by one, so that there are always others in zone b.
  for (let round = 0; round < 6; round++) {
    const running = [...workerB.tasks.values()].find((status) => status.phase === 'running');
    const first = required(running, 'running task in zone b');
    workerB.setTask({ ...first, phase: 'ended', exitReason: 'done' });
    await harness.advance(3);
    assert.equal(workerA.runningTasks(job.id).length, 0);
    assert.equal(workerB.runningTasks(job.id).length, 4);
  }
});

test('a higher fencing token in a response to commands ends the leadership, unless it has ended before', async () => {
  // A node that leads again within a second must not lose its new leadership to a response that belongs to its
  // previous one.
  const position = { incarnation: 1, sequence: 2, fencingToken: LATER_TOKEN };
  const refusal = responseOf(heartbeatOf('n-1', 'a', position), false);
  const harnessWithSentCommands = async (): Promise<LeaderHarness> => {
    const harness = new LeaderHarness();
    harness.recover([], [['n-1', 'a']]);
    const earlier = { incarnation: 1, sequence: 1, fencingToken: EARLIER_TERM };
    harness.leader.onHeartbeat(heartbeatOf('n-1', 'a', earlier));
    await harness.advance(6);
    return harness;
  };
  const leading = await harnessWithSentCommands();
  firstSent(leading).answer(refusal);
  await leading.advance(1);
  assert.equal(leading.supersededCount, 1);

  const ended = await harnessWithSentCommands();
  ended.leader.stop();
  firstSent(ended).answer(refusal);
  await ended.advance(1);
  assert.equal(ended.supersededCount, 0);
});

test('a probe response with a higher fencing token is not applied', async () => {
  const harness = new LeaderHarness();
  const job = jobOf('req-000001');
  harness.recover([job], [['n-1', 'a']]);
  await harness.advance(5);
  const position = { incarnation: 1, sequence: 1, fencingToken: LATER_TOKEN };
  const heartbeat = heartbeatOf('n-1', 'a', position, [taskStatus(job.id, 0, 9)]);
  firstProbe(harness).answer({ kind: 'answered', heartbeat });
  await harness.advance(1);
  const lookup = harness.leader.lookup(job.id);
  assert.ok(lookup.kind === 'found');
  assert.equal(lookup.status.running, 0);
});

test('a leader without a valid lease terminates no silent machine', async () => {
  // A network partition can delay its requests, which would then terminate machines on which the next leader runs
  // tasks.
  const harness = new LeaderHarness();
  harness.recover([], [['n-1', 'a']]);
  const position = { incarnation: 1, sequence: 1, fencingToken: TERM };
  harness.leader.onHeartbeat(heartbeatOf('n-1', 'a', position));
  const advanceWithoutAnswers = async (seconds: number): Promise<void> => {
    for (let second = 0; second < seconds; second++) {
      await harness.advance(1);
      for (const probe of harness.probes.splice(0)) probe.answer({ kind: 'unanswered' });
    }
  };
  harness.leaseValid = false;
  await advanceWithoutAnswers(60);
  assert.deepEqual(harness.terminated, []);
  harness.leaseValid = true;
  await advanceWithoutAnswers(3);
  assert.deepEqual(harness.terminated, ['n-1']);
});

test('before recovery a leader renews no lease of a worker, since its tasks may be cancelled', () => {
  // If the key-value store answers slowly, or not at all, after a failover, answers to heartbeats would let cancelled
  // tasks run on past cancel_s.
  const harness = new LeaderHarness();
  const running = [taskStatus('req-000001', 0, 1)];
  const heartbeat = (sequence: number) =>
    heartbeatOf('n-1', 'a', { incarnation: 1, sequence, fencingToken: EARLIER_TERM }, running);
  assert.equal(harness.leader.onHeartbeat(heartbeat(1)), null);
  const idle = heartbeatOf('n-2', 'a', { incarnation: 1, sequence: 1, fencingToken: EARLIER_TERM });
  assert.equal(harness.leader.onHeartbeat(idle), null);
  harness.recover([], [['n-1', 'a']]);
  const stop = { op: 'stop', jobId: 'req-000001', task: 0, attempt: 1, graceS: 0 };
  assert.deepEqual(
    harness.leader.onHeartbeat(heartbeat(2))?.commands,
    [stop],
    'the job is not open any more',
  );
});

test('an older attempt that is still reported does not stop a newer one', async () => {
  // An exited member of an earlier gang run, which its worker still remembers, must not end the newer run.
  const harness = new LeaderHarness();
  const gang = jobOf('req-000001', { gang: true, tasks: 2 });
  const array = jobOf('req-000002', { tasks: 1 });
  const machines = ['n-1', 'n-2', 'n-3', 'n-4', 'n-5', 'n-6'];
  harness.recover(
    [gang, array],
    machines.map((name) => [name, 'a']),
  );
  // A copy of an old heartbeat shows the first attempt of the array's task before its machine sends one.
  const position = { incarnation: 1, sequence: 1, fencingToken: EARLIER_TERM };
  harness.leader.onHeartbeat(heartbeatOf('n-1', 'a', position, [taskStatus(array.id, 0, 3)]));
  harness.addWorker('n-1', 'a').sequence = 9;
  const stopped = { phase: 'ended', exitReason: 'stopped' } as const;
  harness.addWorker('n-2', 'a').setTask(taskStatus(gang.id, 0, 4, stopped));
  const workersOfNewest = [
    harness.addWorker('n-3', 'a').setTask(taskStatus(gang.id, 0, 8)),
    harness.addWorker('n-4', 'a').setTask(taskStatus(gang.id, 1, 8)),
    harness.addWorker('n-5', 'a').setTask(taskStatus(array.id, 0, 6)),
  ];
  harness.addWorker('n-6', 'a').setTask(taskStatus(gang.id, 1, 4, stopped));
  await harness.advance(30);
  for (const worker of workersOfNewest) {
    const phases = [...worker.tasks.values()].map((status) => status.phase);
    assert.deepEqual(phases, ['running'], worker.name);
  }
});

test('a leader without a valid lease stops no gang that is incomplete after recovery', async () => {
  // The next leader may have found the missing members.
  const harness = new LeaderHarness();
  const gang = jobOf('req-000001', { gang: true, tasks: 2 });
  harness.recover([gang], [['n-1', 'a']]);
  const worker = harness.addWorker('n-1', 'a').setTask(taskStatus(gang.id, 0, 8));
  harness.leaseValid = false;
  await harness.advance(30);
  assert.deepEqual(worker.runningTasks(gang.id), [0]);
  harness.leaseValid = true;
  await harness.advance(3);
  const wasStopped = ![...worker.tasks.values()].some(
    (status) => status.attempt === 8 && status.phase === 'running',
  );
  assert.ok(wasStopped);
});

test('a machine whose heartbeats are lost is assigned no tasks, though it responds to commands', async () => {
  // Its lease is not renewed, so each task that it is assigned would end when the lease expires.
  const harness = new LeaderHarness();
  const other = jobOf('req-000002', { tasks: 1 });
  harness.recover([other], [['n-1', 'a']]);
  const worker = harness.addWorker('n-1', 'a').setTask(taskStatus(other.id, 0, 2));
  await harness.advance(12);
  worker.heartbeatsLost = true;
  await harness.advance(8);
  const job = jobOf('req-000001', { tasks: 2 });
  harness.leader.observeOpenRecord(job.id, encodeOpenRecord(job, harness.clock.wall()));
  await harness.advance(8);
  assert.ok(harness.probes.length > 0);
  assert.deepEqual(worker.runningTasks(job.id), []);
  worker.heartbeatsLost = false;
  await harness.advance(3);
  assert.equal(worker.runningTasks(job.id).length, 2);
});

test('a cancelled start in doubt on a machine that is not terminated ends with the lease', async () => {
  const harness = new LeaderHarness();
  harness.cloudAvailable = false;
  const job = jobOf('req-000001', { tasks: 1 });
  harness.recover([], [['n-1', 'a']]);
  let sequence = 0;
  const nextPosition = () => {
    sequence += 1;
    return { incarnation: 1, sequence, fencingToken: TERM };
  };
  /** Whether the last heartbeat was answered, which renews the lease. */
  const advanceWithHeartbeats = async (seconds: number): Promise<boolean> => {
    let renewed = true;
    for (let second = 0; second < seconds; second++) {
      renewed = harness.leader.onHeartbeat(heartbeatOf('n-1', 'a', nextPosition())) !== null;
      await harness.advance(1);
    }
    return renewed;
  };
  await advanceWithHeartbeats(10);
  harness.leader.observeOpenRecord(job.id, encodeOpenRecord(job, harness.clock.wall()));
  await harness.advance(1);
  const sent = firstSent(harness);
  const start = required(sent.commands[0], 'command');
  assert.equal(start.op, 'start');
  sent.answer(NO_RESPONSE);
  assert.ok(harness.leader.cancel(job.id, () => undefined));
  const { cancel_s, lease_s } = SETTINGS.settings.workers;
  assert.equal(await advanceWithHeartbeats(cancel_s / 4), true, 'first the cloud is asked to terminate it');
  assert.equal(await advanceWithHeartbeats(cancel_s - lease_s - cancel_s / 4), false);
  // If the start is executed all the same, the worker is told at once to stop the task.
  const started = taskStatus(job.id, 0, start.attempt);
  const late = heartbeatOf('n-1', 'a', nextPosition(), [started]);
  assert.equal(harness.leader.onHeartbeat(late)?.commands[0]?.op, 'stop');
  // In a new incarnation no earlier command can be executed any more.
  const restarted = { incarnation: 2, sequence: 99, fencingToken: TERM };
  assert.deepEqual(harness.leader.onHeartbeat(heartbeatOf('n-1', 'a', restarted))?.commands, []);
});

test('a cancelled start in doubt is settled by a higher token, and its machine is kept', async () => {
  const harness = new LeaderHarness();
  const job = jobOf('req-000001', { tasks: 1 });
  const other = jobOf('req-000002', { tasks: 1 });
  harness.recover([other], [['n-1', 'a']]);
  const runsOther = [taskStatus(other.id, 0, 2)];
  let sequence = 0;
  let fencingToken = TERM;
  const advanceWithHeartbeats = async (seconds: number): Promise<void> => {
    for (let second = 0; second < seconds; second++) {
      sequence += 1;
      const position = { incarnation: 1, sequence, fencingToken };
      const answer = harness.leader.onHeartbeat(heartbeatOf('n-1', 'a', position, runsOther));
      fencingToken = required(answer, 'answer that renews the lease').fencingToken;
      await harness.advance(1);
    }
  };
  await advanceWithHeartbeats(10);
  harness.leader.observeOpenRecord(job.id, encodeOpenRecord(job, harness.clock.wall()));
  await harness.advance(1);
  const sent = firstSent(harness);
  assert.equal(sent.commands[0]?.op, 'start');
  sent.answer(NO_RESPONSE);
  assert.ok(harness.leader.cancel(job.id, () => undefined));
  await advanceWithHeartbeats(SETTINGS.settings.workers.cancel_s);
  assert.ok(fencingToken > sent.fencingToken, 'its worker refuses the start by then');
  assert.deepEqual(harness.terminated, []);
});

test('a machine whose worker answers with an earlier position has lost its tasks and is terminated', async () => {
  const harness = new LeaderHarness();
  const position = { incarnation: 1, sequence: 40, fencingToken: TERM };
  harness.recover(
    [],
    [
      ['n-1', 'a'],
      ['n-2', 'a'],
    ],
  );
  for (const name of ['n-1', 'n-2']) harness.leader.onHeartbeat(heartbeatOf(name, 'a', position));
  await harness.advance(6);
  const [first, second] = harness.probes.splice(0);
  assert.deepEqual([first?.machine, second?.machine], ['n-1', 'n-2']);
  const earlier = heartbeatOf('n-2', 'a', { ...position, sequence: 3 });
  first?.answer({ kind: 'answered', heartbeat: earlier });
  await harness.advance(1);
  assert.deepEqual(harness.terminated, [], 'another machine answers at the address of the first one');
  second?.answer({ kind: 'answered', heartbeat: earlier });
  await harness.advance(1);
  assert.deepEqual(harness.terminated, ['n-2']);
  const copy = heartbeatOf('n-1', 'a', { ...position, sequence: 2 });
  assert.equal(harness.leader.onHeartbeat(copy), null, 'a late copy renews no lease');
});

test('a machine that joins after its termination was requested is assigned no tasks', async () => {
  const harness = new LeaderHarness();
  harness.cloudAvailable = false;
  harness.listedMachines = [
    {
      name: 'n-1',
      address: 'n-1:9000',
      machineType: 'big',
      zone: 'a',
      spot: false,
      state: 'booting',
      ageS: 600,
    },
  ];
  const job = jobOf('req-000001');
  harness.recover([job], []);
  await harness.advance(25);
  const worker = harness.addWorker('n-1', 'a');
  await harness.advance(5);
  assert.deepEqual(worker.runningTasks(job.id), []);
  harness.cloudAvailable = true;
  await harness.advance(3);
  assert.deepEqual(harness.terminated, ['n-1']);
});

test('before recovery a leader answers no heartbeat', () => {
  // A leader whose lease its peers extend through an outage must not answer heartbeats before it knows which tasks to
  // stop as cancelled.
  const harness = new LeaderHarness();
  const position = { incarnation: 1, sequence: 7, fencingToken: EARLIER_TERM };
  const heartbeat = heartbeatOf('n-1', 'a', position);
  assert.equal(harness.leader.onHeartbeat(heartbeat), null);
  harness.recover([], []);
  assert.deepEqual(harness.leader.onHeartbeat(heartbeat)?.commands, []);
});

test('a job that failed on the only machine that fits is retried there within 90 s', async () => {
  // If the machines that a job failed on were excluded for good, it would wait although one of them has free resources.
  const harness = new LeaderHarness();
  const worker = harness.addWorker('n-1', 'a');
  const job = jobOf('req-000001', { tasks: 1 });
  // Keeps the machine from being idle and terminated.
  const other = jobOf('req-000002', { tasks: 1 });
  harness.recover([job, other], [['n-1', 'a']]);
  await harness.advance(15);
  assert.deepEqual(worker.runningTasks(job.id), [0]);
  const running = [...worker.tasks.values()].find((status) => status.jobId === job.id);
  const first = required(running, 'running task of the job');
  worker.setTask({ ...first, phase: 'ended', exitReason: 'error' });
  await harness.advance(10);
  assert.deepEqual(worker.runningTasks(job.id), [], 'another machine is waited for at first');
  await harness.advance(75);
  assert.deepEqual(worker.runningTasks(job.id), [0]);
});
