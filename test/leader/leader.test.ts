import assert from 'node:assert/strict';
import test from 'node:test';
import { openValue } from '../../src/jobs/records.ts';
import { SETTINGS } from '../config/sample.ts';
import { jobOf, LeaderHarness, reportOf, task, TERM } from './harness.ts';

const OLD = TERM - 1;

test('a copy of an old report of a machine that was given up unheard ties no job to its zone', async () => {
  const h = new LeaderHarness();
  h.cloudUp = false;
  const job = jobOf('req-000001', { loaves: 12, samePlace: true });
  const other = jobOf('req-000002', { loaves: 1 });
  h.load(
    [job, other],
    [
      ['n-lost', 'a'],
      ['n-a', 'a'],
      ['n-b', 'b'],
    ],
  );
  // An earlier leader left two tasks in zone b; nothing is heard of the lost machine until its lease is over.
  const a = h.worker('n-a', 'a').put(task(other.id, 0, 2));
  const b = h
    .worker('n-b', 'b')
    .put(task(job.id, 0, 1))
    .put(task(job.id, 1, 1));
  await h.pass(26);
  assert.deepEqual(b.running(job.id), [0, 1], 'the lost machine may hold any of the others');
  await h.pass(2);
  assert.equal(b.running(job.id).length, 4);
  const copy = reportOf('n-lost', 'a', { incarnation: 3, sequence: 40, fencingToken: OLD }, [
    task(job.id, 11, 1),
  ]);
  assert.deepEqual(h.leader.onHeartbeat(copy), []);
  // The tasks end one by one, so that there are always others in zone b.
  for (let round = 0; round < 6; round++) {
    const first = [...b.tasks.values()].find((t) => t.phase === 'running')!;
    b.put({ ...first, phase: 'ended', exitReason: 'done' });
    await h.pass(3);
    assert.equal(a.running(job.id).length, 0);
    assert.equal(b.running(job.id).length, 4);
  }
});

test('a higher token in the answer to an order ends the leadership, one that comes after its end does not', async () => {
  // A node that leads again within a second once lost its new lead to what it heard about its old one.
  const higher = reportOf('n-1', 'a', { incarnation: 1, sequence: 2, fencingToken: TERM + 1 });
  const ordered = async (): Promise<LeaderHarness> => {
    const h = new LeaderHarness();
    h.load([], [['n-1', 'a']]);
    h.leader.onHeartbeat(reportOf('n-1', 'a', { incarnation: 1, sequence: 1, fencingToken: OLD }));
    await h.pass(6);
    return h;
  };
  const h = await ordered();
  h.orders[0]!.answer({ report: higher, executed: false });
  await h.pass(1);
  assert.equal(h.superseded, 1);

  const ended = await ordered();
  ended.leader.stop();
  ended.orders[0]!.answer({ report: higher, executed: false });
  await ended.pass(1);
  assert.equal(ended.superseded, 0);
});

test('what a worker of a newer leader answers to a question is not taken in', async () => {
  const h = new LeaderHarness();
  const job = jobOf('req-000001');
  h.load([job], [['n-1', 'a']]);
  await h.pass(5);
  const order = { incarnation: 1, sequence: 1, fencingToken: TERM + 1 };
  h.inspected[0]!.answer(reportOf('n-1', 'a', order, [task(job.id, 0, 9)]));
  await h.pass(1);
  const view = h.leader.lookup(job.id);
  assert.ok(view.kind === 'found');
  assert.equal(view.status.running, 0);
});

test('a leader that is not sure to lead takes no silent machine for lost and returns none', async () => {
  // Held back by the same cut, its requests once could end machines on which the next leader ran tasks.
  const h = new LeaderHarness();
  h.load([], [['n-1', 'a']]);
  h.leader.onHeartbeat(reportOf('n-1', 'a', { incarnation: 1, sequence: 1, fencingToken: TERM }));
  const deaf = (): void => {
    for (const question of h.inspected.splice(0)) question.answer(null);
  };
  h.sure = false;
  for (let s = 0; s < 60; s++) {
    await h.pass(1);
    deaf();
  }
  assert.deepEqual(h.returned, []);
  h.sure = true;
  for (let s = 0; s < 3; s++) {
    await h.pass(1);
    deaf();
  }
  assert.deepEqual(h.returned, ['n-1']);
});

test('a leader that has not read the state yet renews the lease of no task, which may be cancelled', () => {
  // With a state service that answers slowly, or not at all after the takeover, tasks once went on past cancel_s.
  const h = new LeaderHarness();
  const running = [task('req-000001', 0, 1)];
  const report = (seq: number, token = OLD) =>
    reportOf('n-1', 'a', { incarnation: 1, sequence: seq, fencingToken: token }, running);
  assert.equal(h.leader.onHeartbeat(report(1)), null);
  assert.equal(
    h.leader.onHeartbeat(reportOf('n-2', 'a', { incarnation: 1, sequence: 1, fencingToken: OLD })),
    null,
  );
  h.load([], [['n-1', 'a']]);
  const stop = { op: 'stop', jobId: 'req-000001', task: 0, attempt: 1, graceS: 0 };
  assert.deepEqual(h.leader.onHeartbeat(report(2)), [stop], 'the job is not open any more');
});

test('what is left of an older attempt does not end the work of a newer one', async () => {
  // An exited member of an earlier run, not cleared yet, once ended the whole run that a new leader found.
  const h = new LeaderHarness();
  const gang = jobOf('req-000001', { shape: 'ensemble', loaves: 2 });
  const array = jobOf('req-000002', { loaves: 1 });
  const machines = ['n-1', 'n-2', 'n-3', 'n-4', 'n-5', 'n-6'];
  h.load(
    [gang, array],
    machines.map((name) => [name, 'a']),
  );
  // A copy of an old report shows the first attempt of the array's task before its machine is heard.
  h.leader.onHeartbeat(
    reportOf('n-1', 'a', { incarnation: 1, sequence: 1, fencingToken: OLD }, [task(array.id, 0, 3)]),
  );
  h.worker('n-1', 'a').seq = 9;
  const ended = { phase: 'ended', cause: 'stopped' } as const;
  h.worker('n-2', 'a').put(task(gang.id, 0, 4, ended));
  const works = [
    h.worker('n-3', 'a').put(task(gang.id, 0, 8)),
    h.worker('n-4', 'a').put(task(gang.id, 1, 8)),
    h.worker('n-5', 'a').put(task(array.id, 0, 6)),
  ];
  h.worker('n-6', 'a').put(task(gang.id, 1, 4, ended));
  await h.pass(30);
  for (const w of works) {
    assert.deepEqual(
      [...w.tasks.values()].map((t) => t.phase),
      ['running'],
      w.name,
    );
  }
});

test('a machine whose reports reach nobody is given no work, though it answers orders', async () => {
  // Its lease is not renewed: it was given task after task, each of which died with the next lease.
  const h = new LeaderHarness();
  const other = jobOf('req-000002', { loaves: 1 });
  h.load([other], [['n-1', 'a']]);
  const worker = h.worker('n-1', 'a').put(task(other.id, 0, 2));
  await h.pass(12);
  worker.mute = true;
  await h.pass(8);
  const job = jobOf('req-000001', { loaves: 2 });
  h.leader.observeOpenRecord(job.id, openValue(job, h.clock.wall()));
  await h.pass(8);
  assert.ok(h.inspected.length > 0);
  assert.deepEqual(worker.running(job.id), []);
  worker.mute = false;
  await h.pass(3);
  assert.equal(worker.running(job.id).length, 2);
});

test('a cancelled launch in doubt on a machine that the cloud does not take back ends with the lease', async () => {
  const h = new LeaderHarness();
  h.cloudUp = false;
  const job = jobOf('req-000001', { loaves: 1 });
  h.load([], [['n-1', 'a']]);
  let seq = 0;
  const report = () =>
    h.leader.onHeartbeat(reportOf('n-1', 'a', { incarnation: 1, sequence: (seq += 1), fencingToken: TERM }));
  const passReporting = async (seconds: number): Promise<boolean> => {
    let renewed = true;
    for (let s = 0; s < seconds; s++) {
      renewed = report() !== null;
      await h.pass(1);
    }
    return renewed;
  };
  await passReporting(10);
  h.leader.observeOpenRecord(job.id, openValue(job, h.clock.wall()));
  await h.pass(1);
  assert.equal(h.orders[0]?.commands[0]?.op, 'start');
  h.orders[0].answer('silent');
  assert.ok(h.leader.cancel(job.id, () => undefined));
  const { cancel_s, lease_s } = SETTINGS.settings.workers;
  assert.equal(await passReporting(cancel_s / 4), true, 'first the cloud is asked to take it back');
  assert.equal(await passReporting(cancel_s - lease_s - cancel_s / 4), false);
  // If it is carried out all the same, the worker is told at once to stop it.
  const late = h.orders[0].commands[0];
  const started = task(job.id, 0, late.attempt);
  const order = { incarnation: 1, sequence: (seq += 1), fencingToken: TERM };
  assert.equal(h.leader.onHeartbeat(reportOf('n-1', 'a', order, [started]))?.[0]?.op, 'stop');
  // Of a new session nothing can start any more.
  assert.deepEqual(
    h.leader.onHeartbeat(reportOf('n-1', 'a', { incarnation: 2, sequence: 99, fencingToken: TERM })),
    [],
  );
});

test('a machine that comes up after it was given up takes no work while its return is due', async () => {
  const h = new LeaderHarness();
  h.cloudUp = false;
  const place = { address: 'n-1:9000', machineType: 'big', zone: 'a', spot: false };
  h.listed = [{ name: 'n-1', ...place, state: 'booting', ageS: 600 }];
  const job = jobOf('req-000001');
  h.load([job], []);
  await h.pass(25);
  const worker = h.worker('n-1', 'a');
  await h.pass(5);
  assert.deepEqual(worker.running(job.id), []);
  h.cloudUp = true;
  await h.pass(3);
  assert.deepEqual(h.returned, ['n-1']);
});

test('a leader that has not read the state answers no report', () => {
  // Kept sure by promises through an outage it answered them all, without a stop for what had been cancelled before.
  const h = new LeaderHarness();
  const report = reportOf('n-1', 'a', { incarnation: 1, sequence: 7, fencingToken: OLD });
  assert.equal(h.leader.onHeartbeat(report), null);
  h.load([], []);
  assert.deepEqual(h.leader.onHeartbeat(report), []);
});

test('a job that failed on the only machine that fits is tried there again within 90 s', async () => {
  // The machines that a job had failed on were avoided for good, and it waited although one of them had room.
  const h = new LeaderHarness();
  const worker = h.worker('n-1', 'a');
  const job = jobOf('req-000001', { loaves: 1 });
  // Keeps the machine from being given back.
  const other = jobOf('req-000002', { loaves: 1 });
  h.load([job, other], [['n-1', 'a']]);
  await h.pass(15);
  assert.deepEqual(worker.running(job.id), [0]);
  const first = [...worker.tasks.values()].find((t) => t.jobId === job.id)!;
  worker.put({ ...first, phase: 'ended', exitReason: 'error' });
  await h.pass(10);
  assert.deepEqual(worker.running(job.id), [], 'another machine is waited for at first');
  await h.pass(75);
  assert.deepEqual(worker.running(job.id), [0]);
});
