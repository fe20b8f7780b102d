import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {
  FAILING_MACHINES,
  isFailing,
  machineHealth,
  newJobFailures,
  newMachineFailures,
  recordFailure,
  recordSuccess,
  RETRY_MAX_MS,
  retryDelayMs,
  type MachineHealth,
} from '../../src/workers/failure-attribution.ts';
import { SEED } from '../helpers.ts';

const MACHINES = 12;
const RUN_MS = 20_000;
const TO_ERROR_MS = 1000;

interface Plan {
  /** Of each job: whether it was submitted with a mistake. */
  jobs: boolean[];
  /** Indices of faulty machines. */
  faulty: number[];
  /** Source of the machine choices. */
  picks: number[];
}

/**
 * Plays jobs of some tasks on machines that are up all the time. Each attempt goes to a machine on which the job has
 * not failed, and that is not out of use, as the scheduler does it.
 */
function play({ jobs: broken, faulty, picks }: Plan) {
  const jobs = broken.map((mistake) => ({ mistake, failures: newJobFailures(), waiting: 4, notBefore: 0 }));
  const machines = Array.from({ length: MACHINES }, (_, index) => ({
    index,
    failures: newMachineFailures(),
    returned: false,
  }));
  const attempts: { job: (typeof jobs)[number]; machine: number; at: number; end: number }[] = [];
  const verdicts = new Map<number, Set<MachineHealth>>();
  const failedAt = jobs.map((): number[] => []);
  let pick = 0;
  for (let now = 0; now < 600_000; now += 250) {
    for (const attempt of attempts.filter((a) => a.end <= now)) {
      attempts.splice(attempts.indexOf(attempt), 1);
      const { job, machine, at } = attempt;
      if (!job.mistake && !faulty.includes(machine)) {
        recordSuccess(job.failures, machine);
        continue;
      }
      recordFailure(job.failures, machines[machine]!.failures, machine, at, now);
      failedAt[jobs.indexOf(job)]!.push(now);
      job.waiting += 1;
      job.notBefore = now + retryDelayMs(job.failures);
    }
    for (const m of machines) {
      const verdict = machineHealth(m.failures, m.index, now);
      verdicts.set(m.index, (verdicts.get(m.index) ?? new Set()).add(verdict));
      if (verdict === 'faulty') m.returned = true;
    }
    for (const job of jobs) {
      if (job.waiting === 0 || now < job.notBefore) continue;
      const failing = isFailing(job.failures);
      if (failing && attempts.some((a) => a.job === job)) continue;
      const usable = machines.filter(
        (m) =>
          !m.returned &&
          (failing || !job.failures.failedOn.has(m.index)) &&
          machineHealth(m.failures, m.index, now) === 'healthy',
      );
      for (let n = failing ? 1 : job.waiting; n > 0 && usable.length > 0; n--) {
        const { index } = usable[picks[pick++ % picks.length]! % usable.length]!;
        const lasts = job.mistake || faulty.includes(index) ? TO_ERROR_MS : RUN_MS;
        attempts.push({ job, machine: index, at: now, end: now + lasts });
        job.waiting -= 1;
      }
    }
  }
  return { jobs, machines, verdicts, failedAt };
}

const plans = fc.record({
  jobs: fc.array(fc.boolean(), { minLength: 2, maxLength: 10 }),
  faulty: fc.uniqueArray(fc.nat(MACHINES - 1), { maxLength: 2 }),
  picks: fc.array(fc.nat(1000), { minLength: 5, maxLength: 60 }),
});

test('jobs that fail everywhere and faulty machines are told apart', () => {
  fc.assert(
    fc.property(plans, (plan) => {
      const { jobs, machines, verdicts, failedAt } = play(plan);
      jobs.forEach(({ mistake, failures, waiting }, at) => {
        // Only jobs with a mistake count as failing; the others are done, whatever machines they met.
        assert.equal(isFailing(failures), mistake);
        if (!mistake) assert.equal(waiting, 0);
        // Attempts are spaced ever further, up to the bound, and go on.
        const last = failedAt[at]!.slice(-2);
        if (mistake) assert.ok(last[1]! - last[0]! >= RETRY_MAX_MS, 'attempts are far apart');
        if (mistake) assert.ok(last[1]! > 600_000 - 2 * RETRY_MAX_MS, 'attempts go on');
        if (mistake) assert.ok(failedAt[at]!.length < 4 + 4 * FAILING_MACHINES + 20);
      });
      for (const m of machines) {
        const seen = verdicts.get(m.index)!;
        if (!plan.faulty.includes(m.index)) {
          assert.ok(!seen.has('faulty'), `machine ${m.index} is healthy`);
          continue;
        }
        const proofs = [...m.failures.jobs].filter((job) => job.succeededOn !== null).length;
        assert.equal(m.returned, proofs >= 2);
      }
    }),
    { seed: SEED },
  );
});

test('a healthy machine is not suspected for long because of jobs that fail everywhere', () => {
  // Counted per machine, a tenth of all jobs failing everywhere once took healthy machines out of use.
  const machine = newMachineFailures();
  const jobs = Array.from({ length: 20 }, newJobFailures);
  for (const job of jobs) recordFailure(job, machine, 0, 0, 100);
  assert.equal(machineHealth(machine, 0, 100), 'quarantined');
  for (const job of jobs) recordFailure(job, newMachineFailures(), 1, 200, 1200);
  assert.equal(machineHealth(machine, 0, 1200), 'healthy');
});

test('tasks of one attempt that fail together count once, and a success ends the row', () => {
  const job = newJobFailures();
  const machine = newMachineFailures();
  for (let task = 0; task < 100; task++) recordFailure(job, machine, 0, 0, 1000 + task);
  assert.equal(retryDelayMs(job), 0);
  // One machine, however many tasks fail on it, says nothing of the job.
  assert.ok(!isFailing(job));
  const delays: number[] = [];
  for (let at = 10_000, n = 1; n < 9; n++) {
    recordFailure(job, newMachineFailures(), n, at, at + 1000);
    delays.push(retryDelayMs(job));
    at += 1000 + retryDelayMs(job);
  }
  assert.deepEqual(delays, [2000, 4000, 8000, 16_000, 32_000, 60_000, 60_000, 60_000]);
  assert.ok(isFailing(job));
  recordSuccess(job, 3);
  assert.equal(retryDelayMs(job), 0);
  assert.ok(!isFailing(job));
});
