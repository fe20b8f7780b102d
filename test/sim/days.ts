/** Builds simulated days from short specifications, simulates them and checks the rules of the protocol. */
import { required } from '../../src/base/required.ts';
import assert from 'node:assert/strict';
import type { Logger } from '../../src/base/log.ts';
import { defaultOptions, type Options } from '../../src/config/options.ts';
import { checkRules, formatEventsBefore, type Violation } from '../../src/sim/checker.ts';
import { Emulator, type SimulationResult, type Scenario } from '../../src/sim/emulator.ts';
import type { Fault } from '../../src/sim/faults.ts';
import type { ControllerOverrides } from '../../src/sim/node.ts';
import type { JobBody, MachineType } from '../../src/sim/protocol.ts';
import type { PlannedJob } from '../../src/sim/users.ts';
import { SETTINGS } from '../config/sample.ts';
import { createDefectRecorder } from '../defects.ts';
import { JOB } from '../wire/sample.ts';

/** The machine types of all simulated days: a large one with accelerators and a small one. */
export const MACHINE_TYPES: MachineType[] = [
  {
    name: 'big',
    cores: 8,
    accelerators: 4,
    memGb: 64,
    localGb: 50,
    pullGbPerS: 1,
    rate: 4,
    spotPrice: 2,
    startupS: 8,
    yards: ['a', 'b'],
  },
  {
    name: 'small',
    cores: 4,
    accelerators: 0,
    memGb: 32,
    localGb: 50,
    pullGbPerS: 1,
    rate: 1,
    spotPrice: 0.5,
    startupS: 6,
    yards: ['a', 'b'],
  },
];

/** Fields in which the kinds of jobs differ; `JobSpec.kind` is an index into this list. */
const JOB_KINDS: Partial<JobBody>[] = [
  { shape: 'array', apart: false, samePlace: false },
  { shape: 'ensemble', apart: false, samePlace: true },
  { shape: 'array', apart: true, samePlace: false },
  { shape: 'array', accelerators: 1, ovens: ['big'], samePlace: true, apart: false },
  { shape: 'ensemble', accelerators: 1, ovens: ['big'], samePlace: false, apart: false },
  { shape: 'array', yard: 'b', borrowed: false, rank: 'urgent', samePlace: false, apart: false },
];

/** A job of a simulated day. */
export interface JobSpec {
  /** When it is submitted, in seconds of the day. */
  atS: number;
  /** Index into `JOB_KINDS`, modulo its length. */
  kind: number;
  tasks: number;
  runS: number;
  /** Seconds from its submission until its user cancels it; 0: never. */
  cancelS: number;
  /** CPUs that each task requests; default 1. */
  cores?: number;
  /** Its tasks fail on every machine, as with a mistake of the user. */
  mistaken?: boolean;
}

/** The submission and cancellation of a job; its id is derived from its index. */
export function planJob(index: number, spec: JobSpec): PlannedJob {
  const body: JobBody = {
    ...(JOB as JobBody),
    uid: `req-${String(index).padStart(6, '0')}`,
    loaves: spec.tasks,
    cores: spec.cores ?? 1,
    accelerators: 0,
    memGb: 2,
    imageGb: 1,
    ovens: null,
    yard: null,
    bakeS: spec.runS,
    proofS: index % 2 === 0 ? 5 : 0,
    coolS: 1,
    dueS: null,
    ...required(JOB_KINDS[spec.kind % JOB_KINDS.length], 'job kind'),
  };
  const cancelAtS = spec.cancelS > 0 ? { cancelAtS: spec.atS + spec.cancelS } : {};
  return { atS: spec.atS, body, alwaysFails: spec.mistaken ?? false, ...cancelAtS };
}

/** What differs between simulated days; `buildScenario` adds the rest. */
export interface DaySpec {
  seed: number;
  endS: number;
  faults: Fault[];
  jobs: JobSpec[];
  capacity?: number;
  /** Machines in each of the zones a and b that run from the start; default 2. */
  machinesPerZone?: number;
  /** Indices of the initial machines that fail every task. */
  faulty?: number[];
  always?: Partial<Scenario['baselineFaultRates']>;
  teams?: (typeof SETTINGS)['settings']['teams'];
  /** Platform settings that override the defaults of the simulated days. */
  settings?: Partial<Scenario['settings']>;
  /**
   * Option `workers.reports_per_core_s`: heartbeats per second and core that a leader serves itself, without relaying by
   * followers. The default exceeds the heartbeats of every simulated day.
   */
  reportsPerCoreS?: number;
}

const NO_BACKGROUND_FAULTS: Scenario['baselineFaultRates'] = {
  lateWrites: 0,
  lostAnswers: 0,
  refusedRentals: 0,
  neverUp: 0,
};
/** Fault probabilities that apply throughout a day, beside its scheduled faults. */
export const BACKGROUND_FAULTS: Scenario['baselineFaultRates'] = {
  lateWrites: 0.02,
  lostAnswers: 0.02,
  refusedRentals: 0.1,
  neverUp: 0.02,
};

function optionsWith(reportsPerCoreS: number): Options {
  const options = defaultOptions();
  options.workers.reports_per_core_s = reportsPerCoreS;
  return options;
}

/** The complete scenario of a day, for the emulator. */
export function buildScenario(spec: DaySpec): Scenario {
  const settings = {
    ...SETTINGS.settings,
    nodes: 3,
    ...(spec.teams ? { teams: spec.teams } : {}),
    zones: ['a', 'b', 'c'],
    // Enough CPU for the shortest leadership lease.
    limits: { cores: 0.2, memory_mb: 200, sockets: 1000 },
    ...spec.settings,
  };
  return {
    seed: spec.seed,
    endS: spec.endS,
    faults: spec.faults,
    jobs: spec.jobs.map((j, i) => planJob(i, j)),
    settings,
    types: MACHINE_TYPES,
    machines: ['a', 'b']
      .flatMap((zone) =>
        Array.from({ length: spec.machinesPerZone ?? 2 }, (_, i) => ({
          type: i % 2 ? 'small' : 'big',
          zone,
          spot: false,
        })),
      )
      .map((machine, at) => ({ ...machine, faulty: spec.faulty?.includes(at) ?? false })),
    capacity: spec.capacity ?? 14,
    baselineFaultRates: { ...NO_BACKGROUND_FAULTS, ...spec.always },
    ...(spec.reportsPerCoreS === undefined ? {} : { options: optionsWith(spec.reportsPerCoreS) }),
  };
}

/** The events of a simulated day, the rule violations and some counts. */
export interface SimulatedDay extends SimulationResult {
  violations: Violation[];
  /** How many task attempts were started on machines. */
  taskStartCount: number;
  /** How many times a controller became leader. */
  leaderCount: number;
  /** The last stage that was returned to the user of each job, by job id. */
  lastStageByJob: Map<string, string>;
  /** When the first task of each job was started, in seconds of the day, by job id. */
  firstStartSByJob: Map<string, number>;
}

/** Simulates a day and checks its events. Rejects if a controller logs a defect of its own. */
export async function simulateDay(
  spec: DaySpec,
  tamper?: ControllerOverrides,
  logger?: Logger,
): Promise<SimulatedDay> {
  const scenario = buildScenario(spec);
  const recorder = createDefectRecorder();
  const day = await new Emulator(scenario, logger ?? recorder.logger, tamper).run();
  assert.deepEqual(recorder.defects, []);
  const { settings } = scenario;
  const violations = checkRules(day.events, {
    teams: settings.teams,
    cancelMs: settings.workers.cancel_s * 1000,
    faultsEndMs: day.faultsEndMs,
    endMs: day.endMs,
  });
  const lastStageByJob = new Map<string, string>();
  const firstStartSByJob = new Map<string, number>();
  const jobByRequest = new Map<number, string>();
  let taskStartCount = 0;
  let leaderCount = 0;
  for (const event of day.events) {
    if (event.kind === 'asked') jobByRequest.set(event.request, event.job);
    else if (event.kind === 'answered' && event.stage)
      lastStageByJob.set(required(jobByRequest.get(event.request), 'request of the answer'), event.stage);
    else if (event.kind === 'leader') leaderCount += 1;
    else if (event.kind === 'task_on') {
      taskStartCount += 1;
      if (!firstStartSByJob.has(event.job)) firstStartSByJob.set(event.job, event.at / 1000);
    }
  }
  return { ...day, violations, taskStartCount, leaderCount, lastStageByJob, firstStartSByJob };
}

/** The first violations, and the events that led to the first one; empty if there are none. */
export function describeViolations(day: SimulatedDay, maxShown = 3): string {
  const first = day.violations[0];
  if (!first) return '';
  const shown = day.violations
    .slice(0, maxShown)
    .map((v) => `${v.rule} at ${v.atMs.toFixed(0)} ms: ${v.text}`);
  return [...shown, ...formatEventsBefore(day.events, first)].join('\n');
}
