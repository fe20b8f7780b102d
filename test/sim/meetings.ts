/** Short simulated days in which particular faults and user actions coincide. */
import type { Fault } from '../../src/sim/faults.ts';
import type { DaySpec, JobSpec } from './days.ts';

/** A short day in which the named faults and user actions coincide. */
export interface FaultCombination {
  /** What coincides; docs/meetings.md refers to combinations by this name. */
  name: string;
  day: Omit<DaySpec, 'seed'>;
  /** With how many seeds the day is simulated; default 3. */
  seedCount?: number;
}

const SUBMISSION_INTERVAL_S = 0.4;

/** `count` jobs, the first one submitted at `atS`, the others `intervalS` apart. */
function jobSeries(
  count: number,
  atS: number,
  overrides: Partial<JobSpec> = {},
  intervalS = SUBMISSION_INTERVAL_S,
): JobSpec[] {
  return Array.from({ length: count }, (_, i) => ({
    atS: atS + i * intervalS,
    kind: 0,
    tasks: 2,
    runS: 25,
    cancelS: 0,
    ...overrides,
  }));
}

/** Jobs of all kinds in turn. */
const mixedJobs = (count: number, atS: number, overrides: Partial<JobSpec> = {}): JobSpec[] =>
  jobSeries(count, atS, overrides).map((job, i) => ({ ...job, kind: i % 6 }));

/** Long jobs that their users cancel one after another, 0.3 s apart, the first one at `cancelAtS`. */
const jobsCancelledAt = (
  count: number,
  atS: number,
  cancelAtS: number,
  overrides: Partial<JobSpec> = {},
): JobSpec[] =>
  jobSeries(count, atS, { runS: 120, ...overrides }).map((job, i) => ({
    ...job,
    cancelS: cancelAtS - job.atS + i * 0.3,
  }));

/** Four one-task jobs per second, a quarter of them cancelled soon after submission. */
const oneTaskJobs = (fromS: number, forS: number): JobSpec[] =>
  jobSeries(forS * 4, fromS, { tasks: 1, runS: 4 }, 0.25).map((job, i) => ({
    ...job,
    cancelS: i % 4 === 0 ? 0.2 + (i % 9) * 0.6 : 0,
  }));

/** Teams of which one is limited to four GPUs. */
const TEAMS_WITH_GPU_LIMIT = [
  { name: 'vision', cpus: 0, cpus_max: 0, gpus: 4, gpus_max: 4 },
  { name: 'other', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 },
];

const acceleratedJobs = (count: number, atS: number, overrides: Partial<JobSpec> = {}): JobSpec[] =>
  jobSeries(count, atS, { kind: 3, tasks: 2, runS: 40, ...overrides });

const crash = (atS: number, forS: number): Fault => ({ kind: 'crash', node: 'leader', atS, forS });
const closeLooks = (atS: number, forS: number): Fault => ({ kind: 'close_looks', atS, forS });

export const FAULT_COMBINATIONS: FaultCombination[] = [
  {
    name: 'team at its limit, leader change, machines out of contact, cancellations',
    day: {
      endS: 150,
      teams: TEAMS_WITH_GPU_LIMIT,
      jobs: [...acceleratedJobs(6, 2), ...jobsCancelledAt(2, 5, 31, { kind: 3 })],
      faults: [{ kind: 'machine_cut', machines: { from: 0, count: 2 }, atS: 28, forS: 25 }, crash(30, 4)],
    },
  },
  {
    name: 'state service refuses only the leader, then all controllers for longer than cancel_s, while users cancel',
    day: {
      endS: 180,
      jobs: [...jobsCancelledAt(6, 2, 31), ...mixedJobs(4, 2)],
      faults: [
        { kind: 'state_refuses', node: 'leader', atS: 30, forS: 75 },
        { kind: 'state_outage', atS: 38, forS: 60 },
        closeLooks(30, 20),
      ],
    },
  },
  {
    name: 'cancellations when the state service starts to refuse the leader, then an outage a second later',
    day: {
      endS: 180,
      jobs: [...jobsCancelledAt(6, 2, 30), ...mixedJobs(4, 2)],
      faults: [
        { kind: 'state_refuses', node: 'leader', atS: 30, forS: 75 },
        { kind: 'state_outage', atS: 31, forS: 60 },
        { kind: 'cancel_now', count: 3, hangS: 0, atS: 30, forS: 1 },
      ],
    },
    seedCount: 4,
  },
  {
    name: 'slow state service while users cancel and poll',
    day: {
      endS: 130,
      jobs: [...jobsCancelledAt(5, 2, 32), ...mixedJobs(6, 20)],
      faults: [{ kind: 'state_slow', atS: 15, forS: 50 }, closeLooks(15, 60)],
    },
  },
  {
    name: 'four one-task jobs per second, a quarter of them cancelled',
    day: { endS: 130, jobs: oneTaskJobs(2, 45), faults: [] },
    seedCount: 2,
  },
  {
    name: 'more work than capacity, in urgent and other jobs',
    day: { endS: 420, capacity: 4, jobs: mixedJobs(18, 2, { tasks: 4, runS: 30 }), faults: [] },
    seedCount: 2,
  },
  {
    name: 'machines that boot within two seconds get tasks while writes are late, and the leader crashes',
    day: {
      endS: 130,
      jobs: mixedJobs(10, 10, { tasks: 3 }),
      faults: [
        { kind: 'quick_boots', atS: 0, forS: 60 },
        { kind: 'state_slow', atS: 9, forS: 20 },
        { kind: 'late_writes', share: 0.3, atOnce: false, atS: 9, forS: 20 },
        crash(16, 3),
      ],
    },
  },
  {
    name: 'heartbeats held back until a new leader has acted',
    day: {
      endS: 140,
      jobs: mixedJobs(8, 2, { runS: 30 }),
      faults: [{ kind: 'machine_cut', machines: { from: 0, count: 3 }, atS: 20, forS: 16 }, crash(22, 4)],
    },
  },
  {
    name: 'leader cut off only from state service and controllers, while users cancel through the new leader',
    day: {
      endS: 150,
      jobs: [...jobsCancelledAt(6, 2, 36), ...mixedJobs(6, 2)],
      faults: [
        { kind: 'node_cut', node: 'leader', from: ['state', 'peers'], atS: 28, forS: 50 },
        closeLooks(28, 50),
      ],
    },
  },
  {
    name: 'zone with workers and a controller cut off for longer than the lease',
    day: {
      endS: 170,
      jobs: [...mixedJobs(8, 2, { runS: 50 }), ...jobsCancelledAt(3, 4, 35)],
      faults: [{ kind: 'zone_cut', zone: 'a', atS: 25, forS: 45 }],
    },
  },
  {
    name: 'transactions executed late and after newer ones',
    day: {
      endS: 150,
      jobs: [...mixedJobs(8, 5, { runS: 15 }), ...jobsCancelledAt(4, 5, 24)],
      faults: [{ kind: 'late_writes', share: 0.3, atOnce: false, atS: 4, forS: 60 }, closeLooks(4, 70)],
    },
    seedCount: 4,
  },
  {
    name: 'transactions executed at once whose answers are lost, while other controllers read their writes',
    day: {
      endS: 130,
      jobs: [...mixedJobs(8, 5, { runS: 15 }), ...jobsCancelledAt(5, 5, 24)],
      faults: [{ kind: 'late_writes', share: 0.5, atOnce: true, atS: 4, forS: 60 }, closeLooks(4, 70)],
    },
    seedCount: 4,
  },
  {
    name: 'machines reach no controller while direct commands reach them',
    day: {
      endS: 150,
      jobs: [...mixedJobs(6, 2, { runS: 40 }), ...jobsCancelledAt(3, 3, 30)],
      faults: [{ kind: 'machine_mute', machines: { from: 0, count: 3 }, atS: 20, forS: 40 }],
    },
  },
  {
    name: 'jobs of two or three tasks end far apart across a change of leader',
    day: {
      endS: 150,
      jobs: jobSeries(8, 2, { tasks: 3, runS: 30 }),
      faults: [crash(25, 3), crash(42, 3)],
    },
  },
  {
    name: 'leader crashes twice, then all controllers crash and one restarts within a second',
    day: {
      endS: 150,
      jobs: mixedJobs(8, 2, { runS: 30 }),
      faults: [
        crash(20, 0.4),
        crash(24, 4),
        { kind: 'crash', node: 0, atS: 40, forS: 12 },
        { kind: 'crash', node: 1, atS: 40.3, forS: 20 },
        { kind: 'crash', node: 2, atS: 40.6, forS: 0.6 },
      ],
    },
  },
  {
    name: 'cancellation, poll or repeated submission at the end of the last task',
    day: {
      endS: 100,
      jobs: mixedJobs(12, 2, { runS: 12, tasks: 2 }),
      faults: [{ kind: 'cancel_at_end', share: 0.6, atS: 0, forS: 90 }, closeLooks(0, 90)],
    },
    seedCount: 4,
  },
  {
    name: 'commands delayed by seconds while a machine hangs and resumes',
    day: {
      endS: 140,
      jobs: [...mixedJobs(8, 2, { runS: 25 }), ...jobsCancelledAt(4, 3, 28)],
      faults: [
        { kind: 'late_commands', share: 0.6, atS: 1, forS: 50 },
        { kind: 'machine_hang', machines: { from: 1, count: 1 }, atS: 27, forS: 8 },
      ],
    },
  },
  {
    name: 'all controllers down for longer than the lease',
    day: {
      endS: 160,
      jobs: mixedJobs(8, 2, { runS: 30 }),
      faults: [0, 1, 2].map((node) => ({ kind: 'crash', node, atS: 25, forS: 27 + node }) satisfies Fault),
    },
  },
  {
    name: 'cancellations within seconds of a leader crash',
    day: {
      endS: 140,
      jobs: [...jobsCancelledAt(8, 2, 29.5), ...mixedJobs(4, 2)],
      faults: [crash(30, 5), closeLooks(28, 30)],
    },
  },
  {
    name: "commands of a deposed leader arrive after the new leader's",
    day: {
      endS: 150,
      jobs: [...mixedJobs(8, 2, { runS: 40 }), ...jobsCancelledAt(3, 3, 36)],
      faults: [
        { kind: 'late_commands', share: 0.7, atS: 18, forS: 30 },
        { kind: 'state_refuses', node: 'leader', atS: 22, forS: 30 },
      ],
    },
  },
  {
    name: 'stalled leader resumes after another has been elected',
    day: {
      endS: 150,
      jobs: [...mixedJobs(8, 2, { runS: 40 }), ...jobsCancelledAt(4, 3, 30)],
      faults: [{ kind: 'stall', node: 'leader', atS: 24, forS: 14 }, closeLooks(24, 30)],
    },
  },
  {
    name: 'jobs restricted to one zone, arrays too, lose machines',
    day: {
      endS: 150,
      jobs: [1, 3, 5, 1, 3, 5].map((kind, i) => ({ atS: 2 + i, kind, tasks: 3, runS: 30, cancelS: 0 })),
      faults: [
        { kind: 'machine_die', machines: { from: 0, count: 1 }, atS: 18, forS: 1 },
        { kind: 'machine_notice', machines: { from: 2, count: 1 }, atS: 22, forS: 10 },
        { kind: 'machine_cut', machines: { from: 4, count: 2 }, atS: 25, forS: 30 },
      ],
    },
  },
  {
    name: 'every team at its limit, cancelled jobs on machines that are cut off or hang, leader changes',
    day: {
      endS: 160,
      teams: TEAMS_WITH_GPU_LIMIT,
      jobs: [...acceleratedJobs(2, 2, { runS: 120 }), ...acceleratedJobs(5, 4)],
      faults: [
        { kind: 'cancel_now', count: 2, hangS: 15, atS: 28, forS: 1 },
        { kind: 'machine_cut', machines: { from: 0, count: 1 }, atS: 27, forS: 25 },
        crash(30, 4),
      ],
    },
  },
  {
    name: 'an old heartbeat reaches every controller when a new leader starts',
    day: {
      endS: 140,
      jobs: mixedJobs(8, 2, { runS: 20 }),
      faults: [
        { kind: 'late_reports', share: 0.5, untilNextLeader: true, atS: 3, forS: 40 },
        crash(26, 4),
        crash(45, 1),
      ],
    },
  },
  {
    name: 'old heartbeats arrive after newer ones, also of an earlier incarnation or attempt',
    day: {
      endS: 170,
      jobs: mixedJobs(10, 2, { runS: 15 }),
      faults: [
        { kind: 'late_reports', share: 0.5, untilNextLeader: false, atS: 3, forS: 60 },
        { kind: 'machine_cut', machines: { from: 1, count: 1 }, atS: 12, forS: 24 },
      ],
    },
  },
  {
    name: 'users poll every controller within milliseconds and resubmit after acceptance, end and cancellation',
    day: {
      endS: 110,
      jobs: [...mixedJobs(10, 2, { runS: 15 }), ...jobsCancelledAt(5, 3, 20)],
      faults: [closeLooks(0, 100)],
    },
    seedCount: 4,
  },
  {
    name: 'users poll every controller within milliseconds while the leader changes',
    day: {
      endS: 130,
      jobs: [...mixedJobs(10, 2, { runS: 20 }), ...jobsCancelledAt(5, 3, 31)],
      faults: [closeLooks(0, 100), crash(22, 3), crash(32, 0.5), crash(45, 3)],
    },
    seedCount: 4,
  },
  {
    name: 'leaders change ten times in two minutes, also during an outage',
    day: {
      endS: 240,
      jobs: mixedJobs(10, 2, { runS: 30 }),
      faults: [
        ...Array.from({ length: 10 }, (_, i) => crash(15 + i * 12, 1 + (i % 3))),
        { kind: 'state_outage', atS: 60, forS: 15 },
      ],
    },
    seedCount: 2,
  },
  {
    name: 'leader crashes while machines with long tasks are cut off or receive no messages',
    day: {
      endS: 190,
      jobs: mixedJobs(8, 2, { runS: 80 }),
      faults: [
        { kind: 'machine_cut', machines: { from: 0, count: 2 }, atS: 28, forS: 30 },
        { kind: 'machine_deaf', machines: { from: 2, count: 2 }, atS: 28, forS: 30 },
        crash(30, 4),
      ],
    },
  },
  {
    name: 'invalid and repeated submissions while the leader and the state service fail and recover',
    day: {
      endS: 130,
      jobs: mixedJobs(8, 2, { runS: 15 }),
      faults: [
        { kind: 'odd_requests', atS: 5, forS: 90 },
        crash(25, 3),
        { kind: 'state_refuses', node: 'leader', atS: 40, forS: 15 },
        { kind: 'state_outage', atS: 62, forS: 10 },
      ],
    },
  },
];
