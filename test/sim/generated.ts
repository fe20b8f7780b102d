/** Generators of random days with faults, for property tests. */
import fc from 'fast-check';
import type { Fault, MachineChoice, NodeChoice } from '../../src/sim/faults.ts';
import type { RepeatedRequestKind } from '../../src/sim/repeats.ts';
import type { DaySpec } from './days.ts';

const nodeChoice: fc.Arbitrary<NodeChoice> = fc.oneof(
  { weight: 3, arbitrary: fc.constant('leader' as const) },
  { weight: 1, arbitrary: fc.constant('follower' as const) },
  { weight: 1, arbitrary: fc.nat(2) },
);
const machineChoice: fc.Arbitrary<MachineChoice> = fc.record({
  from: fc.nat(12),
  count: fc.integer({ min: 1, max: 3 }),
});
const share = fc.constantFrom(0.2, 0.5, 1);
const flag = fc.boolean();

const cutFrom = fc.constantFrom<('state' | 'peers' | 'workers' | 'users')[][]>(
  ['state', 'peers'],
  ['workers'],
  ['peers'],
  ['users'],
  ['state'],
);

const faultKinds = [
  fc.record({ kind: fc.constant('crash' as const), node: nodeChoice }),
  fc.record({ kind: fc.constant('crash_all' as const) }),
  fc.record({ kind: fc.constant('stall' as const), node: nodeChoice }),
  fc.record({ kind: fc.constant('state_refuses' as const), node: nodeChoice }),
  fc.record({ kind: fc.constant('state_outage' as const) }),
  fc.record({ kind: fc.constant('state_slow' as const) }),
  fc.record({ kind: fc.constant('late_writes' as const), share, atOnce: flag }),
  fc.record({ kind: fc.constant('late_reports' as const), share, untilNextLeader: flag }),
  fc.record({ kind: fc.constant('late_commands' as const), share }),
  fc.record({ kind: fc.constant('node_cut' as const), node: nodeChoice, from: cutFrom }),
  fc.record({ kind: fc.constant('zone_cut' as const), zone: fc.constantFrom('a', 'b') }),
  fc.record({ kind: fc.constant('machine_cut' as const), machines: machineChoice }),
  fc.record({ kind: fc.constant('machine_hang' as const), machines: machineChoice }),
  fc.record({ kind: fc.constant('machine_die' as const), machines: machineChoice }),
  fc.record({ kind: fc.constant('machine_notice' as const), machines: machineChoice }),
  fc.record({ kind: fc.constant('machine_deaf' as const), machines: machineChoice }),
  fc.record({ kind: fc.constant('machine_mute' as const), machines: machineChoice }),
  fc.record({ kind: fc.constant('quick_boots' as const) }),
  fc.record({ kind: fc.constant('cloud_trouble' as const) }),
  fc.record({ kind: fc.constant('close_looks' as const) }),
  fc.record({ kind: fc.constant('cancel_at_end' as const), share }),
  fc.record({
    kind: fc.constant('cancel_now' as const),
    count: fc.integer({ min: 1, max: 4 }),
    hangS: fc.constantFrom(0, 5, 25),
  }),
  fc.record({ kind: fc.constant('odd_requests' as const) }),
];

/** Faults that affect leadership, the state service and cancellations. */
const leadershipFaultKinds = [
  fc.record({ kind: fc.constant('crash' as const), node: nodeChoice }),
  fc.record({ kind: fc.constant('stall' as const), node: fc.constant('leader' as const) }),
  fc.record({ kind: fc.constant('state_refuses' as const), node: nodeChoice }),
  fc.record({ kind: fc.constant('state_outage' as const) }),
  fc.record({ kind: fc.constant('state_slow' as const) }),
  fc.record({ kind: fc.constant('late_writes' as const), share, atOnce: flag }),
  fc.record({ kind: fc.constant('node_cut' as const), node: nodeChoice, from: cutFrom }),
  fc.record({ kind: fc.constant('cancel_now' as const), count: fc.nat(4), hangS: fc.constantFrom(0, 15) }),
];

const fault: fc.Arbitrary<Fault> = fc
  .tuple(fc.oneof(...faultKinds), fc.integer({ min: 12, max: 100 }), fc.integer({ min: 1, max: 45 }))
  .map(([kind, atS, forS]) => ({ ...kind, atS, forS }));

/** Days with faults of all kinds. */
export const generatedDay = (endS: number): fc.Arbitrary<DaySpec> =>
  fc.record({
    seed: fc.integer({ min: 1, max: 2 ** 31 - 1 }),
    endS: fc.constant(endS),
    faults: fc.array(fault, { minLength: 1, maxLength: 7 }),
    jobs: fc.array(
      fc.record({
        atS: fc.integer({ min: 1, max: 90 }),
        kind: fc.nat(5),
        tasks: fc.integer({ min: 1, max: 5 }),
        runS: fc.integer({ min: 3, max: 40 }),
        cancelS: fc.oneof(fc.constant(0), fc.integer({ min: 1, max: 40 })),
      }),
      { minLength: 4, maxLength: 12 },
    ),
  });

const leadershipFault: fc.Arbitrary<Fault> = fc
  .tuple(
    fc.oneof(...leadershipFaultKinds),
    fc.integer({ min: 150, max: 500 }),
    fc.oneof(fc.integer({ min: 1, max: 100 }), fc.integer({ min: 100, max: 500 })),
  )
  .map(([kind, tenthsAt, tenthsFor]) => ({ ...kind, atS: tenthsAt / 10, forS: tenthsFor / 10 }));

/** Days in which leadership changes and answers are lost while users cancel jobs and poll every controller. */
export const generatedTakeovers: fc.Arbitrary<DaySpec> = fc.record({
  seed: fc.integer({ min: 1, max: 2 ** 31 - 1 }),
  endS: fc.constant(150),
  faults: fc
    .array(leadershipFault, { minLength: 2, maxLength: 7 })
    .map((faults): Fault[] => [{ kind: 'close_looks', atS: 10, forS: 100 }, ...faults]),
  jobs: fc.array(
    fc.record({
      atS: fc.integer({ min: 1, max: 40 }),
      kind: fc.nat(5),
      tasks: fc.integer({ min: 1, max: 3 }),
      runS: fc.integer({ min: 3, max: 60 }),
      cancelS: fc.oneof(fc.constant(0), fc.integer({ min: 1, max: 40 })),
    }),
    { minLength: 6, maxLength: 12 },
  ),
});

const repeatDelayS = fc.constantFrom(
  { minDelayS: 0.2, maxDelayS: 1 },
  { minDelayS: 0.2, maxDelayS: 5 },
  { minDelayS: 2, maxDelayS: 20 },
  { minDelayS: 20, maxDelayS: 60 },
);

/** Periods of a day in which answered requests of one kind arrive again, 0.2 s to a minute later. */
const repeatedRequests = (of: RepeatedRequestKind): fc.Arbitrary<Fault> =>
  fc
    .tuple(repeatDelayS, share, fc.integer({ min: 1, max: 60 }), fc.integer({ min: 20, max: 90 }))
    .map(([delayS, ratio, atS, forS]) => ({
      kind: 'repeated_requests' as const,
      of,
      share: ratio,
      ...delayS,
      atS,
      forS,
    }));

/**
 * The same days with copies of answered requests of one kind. The days themselves are drawn as without copies, but the
 * tasks of some jobs fail wherever they run: they are started, forgotten and started elsewhere again and again.
 */
export const withRepeatedRequests = (
  day: fc.Arbitrary<DaySpec>,
  of: RepeatedRequestKind,
): fc.Arbitrary<DaySpec> =>
  fc
    .tuple(day, fc.array(repeatedRequests(of), { minLength: 1, maxLength: 2 }), fc.nat(3))
    .map(([spec, repeats, mistakenRemainder]) => ({
      ...spec,
      jobs: spec.jobs.map((job, index) => ({ ...job, mistaken: index % 4 === mistakenRemainder })),
      faults: [...spec.faults, ...repeats],
    }));

const returnS = fc.double({ min: 0.1, max: 2, noNaN: true });
const returnAtS = fc.double({ min: 10, max: 90, noNaN: true });

/** Controllers and machines that are back after 0.1 to 2 s; the workers of the machines as they were, or emptied. */
const quickReturns = (emptied: boolean): fc.Arbitrary<Fault[]> =>
  fc.tuple(
    fc.record({ kind: fc.constant('crash' as const), node: nodeChoice, atS: returnAtS, forS: returnS }),
    fc.record({ kind: fc.constant('crash' as const), node: nodeChoice, atS: returnAtS, forS: returnS }),
    ...Array.from({ length: 4 }, () =>
      fc.record({
        kind: fc.constant('machine_restart' as const),
        machines: machineChoice,
        emptied: fc.constant(emptied),
        atS: returnAtS,
        forS: returnS,
      }),
    ),
  );

/** The same days with controllers and machines that are back within two seconds. */
export const withQuickReturns = (day: fc.Arbitrary<DaySpec>, emptied: boolean): fc.Arbitrary<DaySpec> =>
  fc
    .tuple(day, quickReturns(emptied))
    .map(([spec, returns]) => ({ ...spec, faults: [...spec.faults, ...returns] }));
