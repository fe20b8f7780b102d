import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { required } from '../../src/base/required.ts';
import {
  MIN_MACHINES_FOR_FAILING,
  isFailing,
  assessMachineHealth,
  createJobFailures,
  createMachineFailures,
  recordFailure,
  recordSuccess,
  MAX_RETRY_DELAY_MS,
  computeRetryDelayMs,
  type JobFailures,
  type MachineFailures,
  type MachineHealth,
} from '../../src/workers/failure-attribution.ts';
import { SEED } from '../helpers.ts';

const MACHINE_COUNT = 12;
const TASKS_PER_JOB = 4;
const DURATION_MS = 600_000;
const STEP_MS = 250;
const TASK_DURATION_MS = 20_000;
const TIME_TO_ERROR_MS = 1000;

/** The input of a simulation. */
interface Plan {
  /** For each job, whether it was submitted with a mistake. */
  jobs: boolean[];
  /** Indices of faulty machines. */
  faulty: number[];
  /** Numbers that decide in turn which usable machine is chosen. */
  picks: number[];
}

interface SimulatedJob {
  readonly hasMistake: boolean;
  readonly failures: JobFailures;
  /** Number of tasks that are to be started. */
  waitingTasks: number;
  notBefore: number;
  readonly failedAt: number[];
}

interface SimulatedMachine {
  readonly index: number;
  readonly failures: MachineFailures;
  terminated: boolean;
  /** All states of health that the machine has had. */
  readonly observedHealth: Set<MachineHealth>;
}

interface SimulatedAttempt {
  readonly job: SimulatedJob;
  readonly machine: SimulatedMachine;
  readonly assignedAt: number;
  readonly endsAt: number;
}

/**
 * Simulates jobs of a few tasks on machines that are up until they are terminated. Like the scheduler, it places each
 * attempt on a machine that is not quarantined and on which the job has not failed, unless the job is failing.
 */
class Simulation {
  readonly jobs: SimulatedJob[];
  readonly machines: SimulatedMachine[];
  private readonly attempts = new Set<SimulatedAttempt>();
  private choiceCount = 0;

  constructor(private readonly plan: Plan) {
    this.jobs = plan.jobs.map((hasMistake) => ({
      hasMistake,
      failures: createJobFailures(),
      waitingTasks: TASKS_PER_JOB,
      notBefore: 0,
      failedAt: [],
    }));
    this.machines = Array.from({ length: MACHINE_COUNT }, (_, index) => ({
      index,
      failures: createMachineFailures(),
      terminated: false,
      observedHealth: new Set(),
    }));
  }

  run(): this {
    for (let now = 0; now < DURATION_MS; now += STEP_MS) {
      for (const attempt of [...this.attempts]) if (attempt.endsAt <= now) this.end(attempt, now);
      for (const machine of this.machines) {
        const health = assessMachineHealth(machine.failures, machine.index, now);
        machine.observedHealth.add(health);
        if (health === 'faulty') machine.terminated = true;
      }
      for (const job of this.jobs) if (job.waitingTasks > 0 && now >= job.notBefore) this.start(job, now);
    }
    return this;
  }

  private shouldFail(job: SimulatedJob, machine: SimulatedMachine): boolean {
    return job.hasMistake || this.plan.faulty.includes(machine.index);
  }

  private end(attempt: SimulatedAttempt, now: number): void {
    this.attempts.delete(attempt);
    const { job, machine, assignedAt } = attempt;
    if (!this.shouldFail(job, machine)) {
      recordSuccess(job.failures, machine.index);
      return;
    }
    recordFailure({
      job: job.failures,
      machine: machine.failures,
      machineIndex: machine.index,
      assignedAt,
      now,
    });
    job.failedAt.push(now);
    job.waitingTasks += 1;
    job.notBefore = now + computeRetryDelayMs(job.failures);
  }

  private start(job: SimulatedJob, now: number): void {
    const failing = isFailing(job.failures);
    if (failing && [...this.attempts].some((attempt) => attempt.job === job)) return;
    const usable = this.machines.filter(
      (machine) =>
        !machine.terminated &&
        (failing || !job.failures.failedOn.has(machine.index)) &&
        assessMachineHealth(machine.failures, machine.index, now) === 'healthy',
    );
    if (usable.length === 0) return;
    for (let count = failing ? 1 : job.waitingTasks; count > 0; count--) {
      const machine = this.choose(usable);
      const endsAt = now + (this.shouldFail(job, machine) ? TIME_TO_ERROR_MS : TASK_DURATION_MS);
      this.attempts.add({ job, machine, assignedAt: now, endsAt });
      job.waitingTasks -= 1;
    }
  }

  private choose(usable: readonly SimulatedMachine[]): SimulatedMachine {
    const { picks } = this.plan;
    const pick = required(picks[this.choiceCount++ % picks.length], 'pick');
    return required(usable[pick % usable.length], 'usable machine');
  }
}

const plans = fc.record({
  jobs: fc.array(fc.boolean(), { minLength: 2, maxLength: 10 }),
  faulty: fc.uniqueArray(fc.nat(MACHINE_COUNT - 1), { maxLength: 2 }),
  picks: fc.array(fc.nat(1000), { minLength: 5, maxLength: 60 }),
});

test('jobs that fail on every machine are distinguished from faulty machines', () => {
  fc.assert(
    fc.property(plans, (plan) => {
      const { jobs, machines } = new Simulation(plan).run();
      for (const { hasMistake, failures, waitingTasks, failedAt } of jobs) {
        // Only jobs with a mistake count as failing; the others are done, even if they had attempts on faulty machines.
        assert.equal(isFailing(failures), hasMistake);
        if (!hasMistake) {
          assert.equal(waitingTasks, 0);
          continue;
        }
        // The delays between attempts grow up to the bound, and attempts go on.
        const [secondLast, last] = failedAt.slice(-2);
        assert.ok(secondLast !== undefined && last !== undefined);
        assert.ok(last - secondLast >= MAX_RETRY_DELAY_MS, 'attempts are far apart');
        assert.ok(last > DURATION_MS - 2 * MAX_RETRY_DELAY_MS, 'attempts go on');
        assert.ok(failedAt.length < 4 + 4 * MIN_MACHINES_FOR_FAILING + 20);
      }
      for (const machine of machines) {
        if (!plan.faulty.includes(machine.index)) {
          assert.ok(!machine.observedHealth.has('faulty'), `machine ${machine.index} is healthy`);
          continue;
        }
        const proofs = [...machine.failures.jobs].filter((job) => job.succeededOn !== null).length;
        assert.equal(machine.terminated, proofs >= 2);
      }
    }),
    { seed: SEED },
  );
});

/** Records that a task of the job failed on a machine. */
function failTask(
  job: JobFailures,
  failure: { machineIndex: number; assignedAt: number; now: number; machine?: MachineFailures },
): void {
  recordFailure({ job, machine: createMachineFailures(), ...failure });
}

test('a healthy machine is not quarantined for long because of jobs that fail on every machine', () => {
  // If machines merely counted their failures, a tenth of all jobs failing everywhere would quarantine healthy ones.
  const machine = createMachineFailures();
  const jobs = Array.from({ length: 20 }, createJobFailures);
  for (const job of jobs) failTask(job, { machine, machineIndex: 0, assignedAt: 0, now: 100 });
  assert.equal(assessMachineHealth(machine, 0, 100), 'quarantined');
  for (const job of jobs) failTask(job, { machineIndex: 1, assignedAt: 200, now: 1200 });
  assert.equal(assessMachineHealth(machine, 0, 1200), 'healthy');
});

test('failures of simultaneous attempts count once, and a success resets the count', () => {
  const job = createJobFailures();
  const machine = createMachineFailures();
  for (let task = 0; task < 100; task++)
    failTask(job, { machine, machineIndex: 0, assignedAt: 0, now: 1000 + task });
  assert.equal(computeRetryDelayMs(job), 0);
  // Failures on a single machine, however many, don't make the job failing.
  assert.ok(!isFailing(job));
  const delays: number[] = [];
  for (let assignedAt = 10_000, machineIndex = 1; machineIndex < 9; machineIndex++) {
    failTask(job, { machineIndex, assignedAt, now: assignedAt + 1000 });
    delays.push(computeRetryDelayMs(job));
    assignedAt += 1000 + computeRetryDelayMs(job);
  }
  assert.deepEqual(delays, [2000, 4000, 8000, 16_000, 32_000, 60_000, 60_000, 60_000]);
  assert.ok(isFailing(job));
  recordSuccess(job, 3);
  assert.equal(computeRetryDelayMs(job), 0);
  assert.ok(!isFailing(job));
});
