import { defaultOptions } from '../../src/config/options.ts';
import { HeartbeatHandler } from '../../src/controller/heartbeat-handler.ts';
import { SETTINGS } from '../config/sample.ts';
import { silent } from '../helpers.ts';
import { jobOf, TERM } from '../leader/fakes.ts';
import { LeaderHarness } from '../leader/harness.ts';
import type { Benchmark } from './measure.ts';

const MACHINES = 1300;
const TASKS_PER_MACHINE = 4;
const TASKS_PER_JOB = 100;
const GRACE_MS = 6000;
/** Enough that the leader serves all workers itself. */
const CORES = 100;
const EXPECTED_ANSWER = JSON.stringify({ baton: TERM, orders: [] });

const machineName = (machine: number): string => `n-${String(machine).padStart(6, '0')}`;
const zoneOf = (machine: number): string => (machine % 2 === 0 ? 'a' : 'b');
const jobId = (job: number): string => `req-${String(job).padStart(6, '0')}`;

/** A worker's report with its tasks, all running or, in the `saving` form, with the first one saving. */
function reportText(machine: number, sequence: number, saving: boolean): string {
  const loaves = Array.from({ length: TASKS_PER_MACHINE }, (_, index) => {
    const task = machine * TASKS_PER_MACHINE + index;
    return {
      loaf: `${jobId(Math.floor(task / TASKS_PER_JOB))}/${task % TASKS_PER_JOB}`,
      try: 1,
      stage: saving && index === 0 ? 'saving' : 'running',
      cause: null,
      saved: false,
    };
  });
  return JSON.stringify({
    hearth: machineName(machine),
    address: `${machineName(machine)}:9000`,
    oven: 'big',
    yard: zoneOf(machine),
    borrowed: false,
    shift: 1,
    tick: sequence,
    baton: TERM,
    warningS: null,
    loaves,
  });
}

/** A leader to which all workers report, from the text of a report to the text of its answer. */
class ReportingFleet {
  private readonly harness = new LeaderHarness();
  private readonly handler: HeartbeatHandler;
  private sequence = 0;

  constructor() {
    const jobs = Math.ceil((MACHINES * TASKS_PER_MACHINE) / TASKS_PER_JOB);
    this.harness.recover(
      Array.from({ length: jobs }, (_, job) => jobOf(jobId(job), { tasks: TASKS_PER_JOB })),
      Array.from({ length: MACHINES }, (_, machine) => [machineName(machine), zoneOf(machine)] as const),
    );
    const settings = { ...SETTINGS.settings, limits: { ...SETTINGS.settings.limits, cores: CORES } };
    this.handler = new HeartbeatHandler({
      node: 'hearth-0',
      settings: settings,
      options: defaultOptions(),
      log: silent,
      now: () => this.harness.clock.now(),
      after: () => undefined,
      leader: () => this.harness.leader,
      knownLeader: () => 'hearth-0',
      msSinceLeaseExpiry: () => 0,
      heartbeatGraceMs: GRACE_MS,
      call: () => Promise.resolve(null),
    });
  }

  /** Every worker's next report; the returned work takes them all in. */
  nextReports(saving: boolean): () => void {
    this.sequence += 1;
    this.harness.clock.at += SETTINGS.settings.workers.report_s * 1000;
    const texts = Array.from({ length: MACHINES }, (_, machine) =>
      reportText(machine, this.sequence, saving),
    );
    return () => {
      for (const text of texts) this.handler.onHeartbeat(text, expectPlainAnswer);
    };
  }
}

/** The leader keeps every task and has no commands: otherwise something else than meant is being measured. */
function expectPlainAnswer(answer: { status: number; body: string }): void {
  if (answer.status === 200 && answer.body === EXPECTED_ANSWER) return;
  throw new Error(`unexpected answer ${answer.status} ${answer.body}`);
}

/** Taking in one report that says the same as the one before. */
export function repeatedReport(): Benchmark {
  const fleet = new ReportingFleet();
  return { operations: MACHINES, prepare: () => fleet.nextReports(false) };
}

/** Taking in one report in which the phase of one task has changed. */
export function changedReport(): Benchmark {
  const fleet = new ReportingFleet();
  let saving = false;
  return {
    operations: MACHINES,
    prepare: () => {
      saving = !saving;
      return fleet.nextReports(saving);
    },
  };
}
