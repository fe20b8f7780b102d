import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { required } from '../../src/base/required.ts';
import {
  MIN_FAILING_MACHINES,
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

const MACHINES = 12;
const TASKS = 4;
const DURATION_MS = 600_000;
const STEP_MS = 250;
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

interface SimulatedJob {
  readonly hasMistake: boolean;
  readonly failures: JobFailures;
  /** Tasks that are to be started. */
  waiting: number;
  notBefore: number;
  readonly failedAt: number[];
}

interface SimulatedMachine {
  readonly index: number;
  readonly failures: MachineFailures;
  terminated: boolean;
  /** What it was judged to be at some time. */
  readonly healths: Set<MachineHealth>;
}

interface SimulatedAttempt {
  readonly job: SimulatedJob;
  readonly machine: SimulatedMachine;
  readonly startedAt: number;
  readonly endsAt: number;
}

/**
 * Simulates jobs of some tasks on machines that are up all the time. Each attempt goes to a machine on which the job
 * has not failed, and that is not quarantined, as the scheduler does it.
 */
class Simulation {
  readonly jobs: SimulatedJob[];
  readonly machines: SimulatedMachine[];
  private readonly attempts = new Set<SimulatedAttempt>();
  private choices = 0;

  constructor(private readonly plan: Plan) {
    this.jobs = plan.jobs.map((hasMistake) => ({
      hasMistake,
      failures: createJobFailures(),
      waiting: TASKS,
      notBefore: 0,
      failedAt: [],
    }));
    this.machines = Array.from({ length: MACHINES }, (_, index) => ({
      index,
      failures: createMachineFailures(),
      terminated: false,
      healths: new Set(),
    }));
  }

  run(): this {
    for (let now = 0; now < DURATION_MS; now += STEP_MS) {
      for (const attempt of [...this.attempts]) if (attempt.endsAt <= now) this.end(attempt, now);
      for (const machine of this.machines) {
        const health = assessMachineHealth(machine.failures, machine.index, now);
        machine.healths.add(health);
        if (health === 'faulty') machine.terminated = true;
      }
      for (const job of this.jobs) if (job.waiting > 0 && now >= job.notBefore) this.start(job, now);
    }
    return this;
  }

  private fails(job: SimulatedJob, machine: SimulatedMachine): boolean {
    return job.hasMistake || this.plan.faulty.includes(machine.index);
  }

  private end(attempt: SimulatedAttempt, now: number): void {
    this.attempts.delete(attempt);
    const { job, machine, startedAt } = attempt;
    if (!this.fails(job, machine)) {
      recordSuccess(job.failures, machine.index);
      return;
    }
    recordFailure({
      job: job.failures,
      machine: machine.failures,
      machineIndex: machine.index,
      assignedAt: startedAt,
      now,
    });
    job.failedAt.push(now);
    job.waiting += 1;
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
    for (let count = failing ? 1 : job.waiting; count > 0; count--) {
      const machine = this.choose(usable);
      const endsAt = now + (this.fails(job, machine) ? TO_ERROR_MS : RUN_MS);
      this.attempts.add({ job, machine, startedAt: now, endsAt });
      job.waiting -= 1;
    }
  }

  private choose(usable: readonly SimulatedMachine[]): SimulatedMachine {
    const { picks } = this.plan;
    const pick = required(picks[this.choices++ % picks.length], 'pick');
    return required(usable[pick % usable.length], 'usable machine');
  }
}

const plans = fc.record({
  jobs: fc.array(fc.boolean(), { minLength: 2, maxLength: 10 }),
  faulty: fc.uniqueArray(fc.nat(MACHINES - 1), { maxLength: 2 }),
  picks: fc.array(fc.nat(1000), { minLength: 5, maxLength: 60 }),
});

test('jobs that fail everywhere and faulty machines are told apart', () => {
  fc.assert(
    fc.property(plans, (plan) => {
      const { jobs, machines } = new Simulation(plan).run();
      for (const { hasMistake, failures, waiting, failedAt } of jobs) {
        // Only jobs with a mistake count as failing; the others are done, whatever machines they met.
        assert.equal(isFailing(failures), hasMistake);
        if (!hasMistake) {
          assert.equal(waiting, 0);
          continue;
        }
        // Attempts are spaced ever further, up to the bound, and go on.
        const [lastButOne, last] = failedAt.slice(-2);
        assert.ok(lastButOne !== undefined && last !== undefined);
        assert.ok(last - lastButOne >= MAX_RETRY_DELAY_MS, 'attempts are far apart');
        assert.ok(last > DURATION_MS - 2 * MAX_RETRY_DELAY_MS, 'attempts go on');
        assert.ok(failedAt.length < 4 + 4 * MIN_FAILING_MACHINES + 20);
      }
      for (const machine of machines) {
        if (!plan.faulty.includes(machine.index)) {
          assert.ok(!machine.healths.has('faulty'), `machine ${machine.index} is healthy`);
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
function fail(
  job: JobFailures,
  at: { machineIndex: number; assignedAt: number; now: number; machine?: MachineFailures },
): void {
  recordFailure({ job, machine: createMachineFailures(), ...at });
}

test('a healthy machine is not quarantined for long because of jobs that fail everywhere', () => {
  // Counted per machine, a tenth of all jobs failing everywhere once took healthy machines out of use.
  const machine = createMachineFailures();
  const jobs = Array.from({ length: 20 }, createJobFailures);
  for (const job of jobs) fail(job, { machine, machineIndex: 0, assignedAt: 0, now: 100 });
  assert.equal(assessMachineHealth(machine, 0, 100), 'quarantined');
  for (const job of jobs) fail(job, { machineIndex: 1, assignedAt: 200, now: 1200 });
  assert.equal(assessMachineHealth(machine, 0, 1200), 'healthy');
});

test('tasks of one attempt that fail together count once, and a success resets the count', () => {
  const job = createJobFailures();
  const machine = createMachineFailures();
  for (let task = 0; task < 100; task++)
    fail(job, { machine, machineIndex: 0, assignedAt: 0, now: 1000 + task });
  assert.equal(computeRetryDelayMs(job), 0);
  // One machine, however many tasks fail on it, says nothing of the job.
  assert.ok(!isFailing(job));
  const delays: number[] = [];
  for (let assignedAt = 10_000, machineIndex = 1; machineIndex < 9; machineIndex++) {
    fail(job, { machineIndex, assignedAt, now: assignedAt + 1000 });
    delays.push(computeRetryDelayMs(job));
    assignedAt += 1000 + computeRetryDelayMs(job);
  }
  assert.deepEqual(delays, [2000, 4000, 8000, 16_000, 32_000, 60_000, 60_000, 60_000]);
  assert.ok(isFailing(job));
  recordSuccess(job, 3);
  assert.equal(computeRetryDelayMs(job), 0);
  assert.ok(!isFailing(job));
});
