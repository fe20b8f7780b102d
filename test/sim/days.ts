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
import { defectRecorder } from '../defects.ts';
import { JOB } from '../wire/sample.ts';

/** The machine types of all tests: a large one with accelerators and a small one. */
export const TYPES: MachineType[] = [
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

/** Kinds of jobs, by number. */
const SHAPES: Partial<JobBody>[] = [
  { shape: 'array', apart: false, samePlace: false },
  { shape: 'ensemble', apart: false, samePlace: true },
  { shape: 'array', apart: true, samePlace: false },
  { shape: 'array', accelerators: 1, ovens: ['big'], samePlace: true, apart: false },
  { shape: 'ensemble', accelerators: 1, ovens: ['big'], samePlace: false, apart: false },
  { shape: 'array', yard: 'b', borrowed: false, rank: 'urgent', samePlace: false, apart: false },
];

/** A job by its kind. */
export interface JobSketch {
  atS: number;
  shape: number;
  tasks: number;
  runS: number;
  /** So long after its submission its user cancels it; 0: never. */
  cancelS: number;
  /** Processors that each task takes; one if not given. */
  cores?: number;
  /** Submitted with a mistake: it fails on every machine. */
  mistaken?: boolean;
}

export function job(index: number, sketch: JobSketch): PlannedJob {
  const body: JobBody = {
    ...(JOB as JobBody),
    uid: `req-${String(index).padStart(6, '0')}`,
    loaves: sketch.tasks,
    cores: sketch.cores ?? 1,
    accelerators: 0,
    memGb: 2,
    imageGb: 1,
    ovens: null,
    yard: null,
    bakeS: sketch.runS,
    proofS: index % 2 === 0 ? 5 : 0,
    coolS: 1,
    dueS: null,
    ...required(SHAPES[sketch.shape % SHAPES.length], 'shape'),
  };
  const cancelAtS = sketch.cancelS > 0 ? { cancelAtS: sketch.atS + sketch.cancelS } : {};
  return { atS: sketch.atS, body, alwaysFails: sketch.mistaken ?? false, ...cancelAtS };
}

export interface DaySketch {
  seed: number;
  endS: number;
  faults: Fault[];
  jobs: JobSketch[];
  capacity?: number;
  /** Machines of each zone that run from the beginning; two if not given. */
  machinesPerZone?: number;
  /** Positions of machines that fail whatever they run. */
  faulty?: number[];
  always?: Partial<Scenario['baselineFaultRates']>;
  teams?: (typeof SETTINGS)['settings']['teams'];
  /** Settings of the platform that differ from those of all days. */
  settings?: Partial<Scenario['settings']>;
  /** Reports a second that a leader on a whole core answers alone; the default is far more than any day has. */
  reportsPerCoreS?: number;
}

const QUIET: Scenario['baselineFaultRates'] = {
  lateWrites: 0,
  lostAnswers: 0,
  refusedRentals: 0,
  neverUp: 0,
};
/** Troubles of every day. */
export const AMBIENT: Scenario['baselineFaultRates'] = {
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

export function scenario(sketch: DaySketch): Scenario {
  const settings = {
    ...SETTINGS.settings,
    nodes: 3,
    ...(sketch.teams ? { teams: sketch.teams } : {}),
    zones: ['a', 'b', 'c'],
    // Enough of a core for the shortest lease of leaders.
    limits: { cores: 0.2, memory_mb: 200, sockets: 1000 },
    ...sketch.settings,
  };
  return {
    seed: sketch.seed,
    endS: sketch.endS,
    faults: sketch.faults,
    jobs: sketch.jobs.map((j, i) => job(i, j)),
    settings,
    types: TYPES,
    machines: ['a', 'b']
      .flatMap((zone) =>
        Array.from({ length: sketch.machinesPerZone ?? 2 }, (_, i) => ({
          type: i % 2 ? 'small' : 'big',
          zone,
          spot: false,
        })),
      )
      .map((machine, at) => ({ ...machine, faulty: sketch.faulty?.includes(at) ?? false })),
    capacity: sketch.capacity ?? 14,
    baselineFaultRates: { ...QUIET, ...sketch.always },
    ...(sketch.reportsPerCoreS === undefined ? {} : { options: optionsWith(sketch.reportsPerCoreS) }),
  };
}

export interface Played extends SimulationResult {
  violations: Violation[];
  started: number;
  leaders: number;
  /** The last state that each job's user was told. */
  told: Map<string, string>;
  /** When the first task of each job was on its machine, in seconds. */
  firstStartS: Map<string, number>;
}

/** Plays a day and judges it. Fails if a controller logs a defect of its own. */
export async function play(
  sketch: DaySketch,
  tamper?: ControllerOverrides,
  logger?: Logger,
): Promise<Played> {
  const planned = scenario(sketch);
  const recorder = defectRecorder();
  const day = await new Emulator(planned, logger ?? recorder.logger, tamper).run();
  assert.deepEqual(recorder.defects, []);
  const { settings } = planned;
  const violations = checkRules(day.events, {
    teams: settings.teams,
    cancelMs: settings.workers.cancel_s * 1000,
    faultsEndMs: day.faultsEndMs,
    endMs: day.endMs,
  });
  const told = new Map<string, string>();
  const firstStartS = new Map<string, number>();
  const asked = new Map<number, string>();
  let started = 0;
  let leaders = 0;
  for (const event of day.events) {
    if (event.kind === 'asked') asked.set(event.request, event.job);
    else if (event.kind === 'answered' && event.stage)
      told.set(required(asked.get(event.request), 'request of the answer'), event.stage);
    else if (event.kind === 'leader') leaders += 1;
    else if (event.kind === 'task_on') {
      started += 1;
      if (!firstStartS.has(event.job)) firstStartS.set(event.job, event.at / 1000);
    }
  }
  return { ...day, violations, started, leaders, told, firstStartS };
}

/** What broke first, with the events that led there; empty if nothing did. */
export function describe(day: Played, most = 3): string {
  const first = day.violations[0];
  if (!first) return '';
  const shown = day.violations.slice(0, most).map((v) => `${v.rule} at ${v.atMs.toFixed(0)} ms: ${v.text}`);
  return [...shown, ...formatEventsBefore(day.events, first)].join('\n');
}
