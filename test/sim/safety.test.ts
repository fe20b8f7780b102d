import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { required } from '../../src/base/required.ts';
import type { Fault } from '../../src/sim/faults.ts';
import { SEED } from '../helpers.ts';
import { BACKGROUND_FAULTS, describeViolations, simulateDay, type DaySpec, type JobSpec } from './days.ts';
import { generatedDay, generatedTakeovers } from './generated.ts';
import { disableSafeguards, runWithoutTerminalWriteTracking, type DisabledSafeguards } from './guards.ts';
import { FAULT_COMBINATIONS } from './meetings.ts';

const TIMEOUT = { timeout: 300_000 };

test('no rule is violated in generated days of faults', TIMEOUT, async () => {
  let taskStartCount = 0;
  let leaderCount = 0;
  let finishedCount = 0;
  await fc.assert(
    fc.asyncProperty(generatedDay(170), async (spec) => {
      const day = await simulateDay({ ...spec, always: BACKGROUND_FAULTS });
      taskStartCount += day.taskStartCount;
      leaderCount += day.leaderCount;
      for (const stage of day.lastStageByJob.values())
        if (stage === 'done' || stage === 'aborted') finishedCount += 1;
      assert.equal(describeViolations(day), '');
    }),
    { seed: SEED, numRuns: 60, endOnFailure: true, includeErrorInReport: true },
  );
  // The generated days are not trivial: tasks run, jobs end and leaders change.
  assert.ok(
    taskStartCount > 800 && leaderCount > 80 && finishedCount > 250,
    `${taskStartCount} ${leaderCount} ${finishedCount}`,
  );
});

test('after all faults have ended, every job ends and its user receives its state', TIMEOUT, async () => {
  let servedCount = 0;
  await fc.assert(
    fc.asyncProperty(generatedDay(420), async (spec) => {
      const day = await simulateDay({ ...spec, always: BACKGROUND_FAULTS });
      assert.equal(describeViolations(day), '');
      assert.equal(day.lastStageByJob.size, spec.jobs.length, 'every user got a stage for the submitted job');
      for (const [uid, stage] of day.lastStageByJob) {
        assert.ok(stage === 'done' || stage === 'aborted', `${uid} is ${stage}`);
        if (stage === 'done') servedCount += 1;
      }
    }),
    { seed: SEED + 1, numRuns: 40, endOnFailure: true, includeErrorInReport: true },
  );
  assert.ok(servedCount > 150, `${servedCount}`);
});

test('no rule is violated while leaders change and users poll every controller', TIMEOUT, async () => {
  let leaderCount = 0;
  await fc.assert(
    fc.asyncProperty(generatedTakeovers, async (spec) => {
      const day = await simulateDay({ ...spec, always: BACKGROUND_FAULTS });
      leaderCount += day.leaderCount;
      assert.equal(describeViolations(day), '');
    }),
    { seed: SEED + 2, numRuns: 100, endOnFailure: true, includeErrorInReport: true },
  );
  assert.ok(leaderCount > 150, `${leaderCount}`);
});

test('simulating the same day twice produces the same events', async () => {
  const spec = required(fc.sample(generatedDay(120), { seed: SEED, numRuns: 1 })[0], 'sample');
  const first = await simulateDay({ ...spec, always: BACKGROUND_FAULTS });
  const second = await simulateDay({ ...spec, always: BACKGROUND_FAULTS });
  assert.ok(first.events.length > 100);
  assert.deepEqual(second.events, first.events);
});

test('under a backlog every array starts within four minutes, and all arrays are done in the end', async () => {
  const jobs = Array.from({ length: 20 }, (_, i) => ({
    atS: 2 + i,
    kind: 0,
    tasks: i % 3 === 0 ? 60 : 30,
    runS: 90,
    cancelS: 0,
  }));
  const day = await simulateDay({ seed: 11, faults: [], jobs, endS: 2400, always: BACKGROUND_FAULTS });
  assert.equal(describeViolations(day), '');
  assert.equal(day.firstStartSByJob.size, jobs.length);
  for (const [i, { atS }] of jobs.entries()) {
    const uid = `req-${String(i).padStart(6, '0')}`;
    const waited = required(day.firstStartSByJob.get(uid), uid) - atS;
    assert.ok(waited < 240, `${uid} started after ${waited} s`);
  }
  assert.equal(day.lastStageByJob.size, jobs.length);
  for (const stage of day.lastStageByJob.values()) assert.equal(stage, 'done');
});

test('machines that receive nothing and duplicates of old heartbeats delay no job', TIMEOUT, async () => {
  for (let seed = 1; seed <= 10; seed++) {
    const faults: Fault[] = [
      { kind: 'late_reports', share: 1, untilNextLeader: false, atS: 14, forS: 60 },
      { kind: 'machine_deaf', machines: { from: seed, count: 1 }, atS: 16, forS: 120 },
      { kind: 'machine_deaf', machines: { from: seed + 1, count: 1 }, atS: 18, forS: 120 },
      { kind: 'crash', node: 'leader', atS: 30, forS: 0.2 },
    ];
    const jobs = [3, 15, 17, 20, 24, 28].map((atS, i) => ({
      atS,
      kind: i % 6,
      tasks: 2,
      runS: 15,
      cancelS: 0,
    }));
    const day = await simulateDay({
      seed: seed * 104729,
      faults,
      jobs,
      endS: 110,
      always: BACKGROUND_FAULTS,
    });
    assert.equal(describeViolations(day), '');
    // Machines stay deaf until after the end of the day, and still every job is done.
    assert.equal(day.lastStageByJob.size, jobs.length);
    for (const [uid, stage] of day.lastStageByJob) assert.equal(stage, 'done', `${uid}, seed ${seed}`);
  }
});

test('a leader that loses contact only with its workers steps down, and no task is started again', async () => {
  // A leader that keeps its lease in this case considers all machines unresponsive, and terminates healthy ones together
  // with the tasks on them.
  for (let seed = 1; seed <= 4; seed++) {
    const jobs = [2, 2, 2, 30].map((atS) => ({ atS, kind: 0, tasks: 4, runS: 40, cancelS: 0 }));
    const faults: Fault[] = [{ kind: 'node_cut', node: 'leader', from: ['workers'], atS: 25, forS: 70 }];
    const day = await simulateDay({ seed: seed * 17, faults, jobs, endS: 140 });
    assert.equal(describeViolations(day), '');
    assert.equal(day.leaderCount, 2);
    assert.equal(day.taskStartCount, 16, 'no task was started again');
    assert.equal(day.lastStageByJob.size, jobs.length);
    for (const stage of day.lastStageByJob.values()) assert.equal(stage, 'done');
  }
});

/** Simulates the same days with all safeguards and without some of them. */
async function compareWithout(
  disabled: DisabledSafeguards,
  day: Omit<DaySpec, 'seed'>,
  seedCount: number,
): Promise<{ violationsWithSafeguards: string; violationCountWithout: number }> {
  let withSafeguards = '';
  let countWithout = 0;
  for (let seed = 1; seed <= seedCount; seed++) {
    const spec = { ...day, seed: seed * 7919 };
    withSafeguards ||= describeViolations(await simulateDay(spec));
    countWithout += (await simulateDay(spec, disableSafeguards(disabled))).violations.length;
  }
  return { violationsWithSafeguards: withSafeguards, violationCountWithout: countWithout };
}

const jobsAt = (submitTimesS: readonly number[], overrides: Partial<JobSpec>): JobSpec[] =>
  submitTimesS.map((atS, i) => ({ atS, kind: (i * 2) % 6, tasks: 1, runS: 40, cancelS: 0, ...overrides }));

test(
  'without the machine registry a new leader starts tasks that machines out of contact still run',
  TIMEOUT,
  async () => {
    const faults: Fault[] = [
      { kind: 'zone_cut', zone: 'a', atS: 34, forS: 18 },
      { kind: 'crash', node: 'leader', atS: 35, forS: 4 },
    ];
    // Work from the start keeps machines in both zones rented.
    const jobs = [...jobsAt([2, 2], { tasks: 2 }), ...jobsAt([2, 2, 2, 2], {})];
    const found = await compareWithout({ machineRegistry: true }, { faults, jobs, endS: 170 }, 12);
    assert.equal(found.violationsWithSafeguards, '');
    assert.ok(found.violationCountWithout > 0);
  },
);

test(
  'without start watermarks a new leader starts tasks that machines out of contact still run',
  TIMEOUT,
  async () => {
    // Enough work for at least three machines in a zone: only then does the loss of contact with all of them count as a
    // network partition of the zone, and none is terminated.
    const jobs = jobsAt(Array<number>(12).fill(2), { kind: 0, tasks: 5 });
    const faults: Fault[] = [
      { kind: 'zone_cut', zone: 'b', atS: 45, forS: 30 },
      { kind: 'crash', node: 'leader', atS: 46, forS: 4 },
    ];
    const found = await compareWithout({ startWatermarks: true }, { faults, jobs, endS: 170 }, 4);
    assert.equal(found.violationsWithSafeguards, '');
    assert.ok(found.violationCountWithout > 0);
  },
);

test('without the lease check two leaders start the same tasks', TIMEOUT, async () => {
  // There is more work than capacity, and in some of the days the leader is cut off together with its zone. At least
  // three machines run in each zone: only then does the loss of contact with all of them count as a network partition
  // of the zone, and none is terminated.
  const day = {
    capacity: 8,
    machinesPerZone: 4,
    jobs: jobsAt(Array<number>(24).fill(2), { kind: 0, tasks: 4, runS: 14 }),
    faults: [{ kind: 'zone_cut', zone: 'a', atS: 20, forS: 80 }] satisfies Fault[],
    endS: 100,
  };
  const lease = await compareWithout({ leaseCheck: true }, day, 6);
  const both = await compareWithout({ leaseCheck: true, startWatermarks: true }, day, 6);
  assert.equal(lease.violationsWithSafeguards, '');
  // Start watermarks alone prevent it, too: a former leader can't write them, so it starts no task.
  assert.equal(lease.violationCountWithout, 0);
  assert.ok(both.violationCountWithout > 0);
});

test(
  'without tracking of terminal writes, lost answers let a job return to an earlier stage',
  TIMEOUT,
  async () => {
    const combination = required(
      FAULT_COMBINATIONS.find((m) => m.name.startsWith('transactions executed at once')),
      'fault combination',
    );
    const brokenRules: string[] = [];
    for (let seed = 1; seed <= 4; seed++) {
      const spec = { ...combination.day, seed: seed * 6151 };
      const day = await runWithoutTerminalWriteTracking(() => simulateDay(spec));
      brokenRules.push(...day.violations.map((v) => v.rule));
      assert.equal(describeViolations(await simulateDay(spec)), '');
    }
    assert.ok(brokenRules.includes('went_back'), brokenRules.join(', '));
  },
);
