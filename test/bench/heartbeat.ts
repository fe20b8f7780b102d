/** Benchmarks of a leader that handles the heartbeats of a large fleet. */
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
/** So many that the leader serves all workers itself, without relaying by followers. */
const CORES = 100;
const EXPECTED_ANSWER = JSON.stringify({ baton: TERM, orders: [] });

const machineName = (machine: number): string => `n-${String(machine).padStart(6, '0')}`;
const zoneOf = (machine: number): string => (machine % 2 === 0 ? 'a' : 'b');
const jobId = (job: number): string => `req-${String(job).padStart(6, '0')}`;

/** A worker's heartbeat with its tasks: all are running or, if `saving`, the first one is saving. */
function heartbeatBody(machine: number, sequence: number, saving: boolean): string {
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

/** A leader and the heartbeats of its workers; handling includes decoding the heartbeat and encoding its response. */
class HeartbeatFleet {
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
      settings,
      options: defaultOptions(),
      log: silent,
      now: () => this.harness.clock.now(),
      after: () => undefined,
      leader: () => this.harness.leader,
      knownLeader: () => 'hearth-0',
      msSinceLeaseExpiry: () => 0,
      heartbeatGraceMs: GRACE_MS,
      call: () => Promise.resolve(null),
      onError: () => undefined,
    });
  }

  /** Creates the next heartbeat of every worker; the returned function handles them all. */
  nextHeartbeats(saving: boolean): () => void {
    this.sequence += 1;
    this.harness.clock.at += SETTINGS.settings.workers.report_s * 1000;
    const bodies = Array.from({ length: MACHINES }, (_, machine) =>
      heartbeatBody(machine, this.sequence, saving),
    );
    return () => {
      for (const text of bodies) this.handler.onHeartbeat(text, assertNoCommands);
    };
  }
}

/** Fails unless the response has no commands: otherwise the benchmark would include work that it isn't meant to measure. */
function assertNoCommands(answer: { status: number; body: string }): void {
  if (answer.status === 200 && answer.body === EXPECTED_ANSWER) return;
  throw new Error(`unexpected answer ${answer.status} ${answer.body}`);
}

/** Handles heartbeats that report the same as the previous ones; an operation is one heartbeat. */
export function repeatedHeartbeat(): Benchmark {
  const fleet = new HeartbeatFleet();
  return { operations: MACHINES, prepare: () => fleet.nextHeartbeats(false) };
}

/** Handles heartbeats in which the phase of one task has changed; an operation is one heartbeat. */
export function changedHeartbeat(): Benchmark {
  const fleet = new HeartbeatFleet();
  let saving = false;
  return {
    operations: MACHINES,
    prepare: () => {
      saving = !saving;
      return fleet.nextHeartbeats(saving);
    },
  };
}
