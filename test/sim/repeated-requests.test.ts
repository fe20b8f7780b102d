/** Requests that were carried out and answered arrive once more, at once or up to a minute later. */
import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import type { Fault } from '../../src/sim/faults.ts';
import type { RepeatedRequestKind } from '../../src/sim/repeats.ts';
import { SEED } from '../helpers.ts';
import { BACKGROUND_FAULTS, describeViolations, simulateDay, type DaySpec } from './days.ts';
import { generatedDay, generatedTakeovers, withRepeatedRequests } from './generated.ts';
import { runWithoutHigherTokens } from './guards.ts';

const TIMEOUT = { timeout: 300_000 };
const DAY_S = 170;
/** Fewest copies in all days of a test: with fewer, it would show little. */
const MIN_COPIES = 100;

/** Checks the rules on generated days in which answered requests arrive again. Returns how many arrived. */
async function checkGeneratedDays(
  days: fc.Arbitrary<DaySpec>,
  of: RepeatedRequestKind,
  numRuns: number,
  seed: number,
): Promise<number> {
  let copyCount = 0;
  await fc.assert(
    fc.asyncProperty(withRepeatedRequests(days, of), async (spec) => {
      const day = await simulateDay({ ...spec, always: BACKGROUND_FAULTS });
      copyCount += day.repeatedRequestCount;
      assert.equal(describeViolations(day), '');
    }),
    { seed, numRuns, endOnFailure: true, includeErrorInReport: true },
  );
  return copyCount;
}

/** All direct commands of the first `forS` seconds arrive again after `minDelayS` to `maxDelayS` seconds. */
const repeatedCommands = (minDelayS: number, maxDelayS: number, forS: number): Fault => ({
  kind: 'repeated_requests',
  of: 'commands',
  share: 1,
  minDelayS,
  maxDelayS,
  atS: 1,
  forS,
});

interface RegressionDay {
  failure: string;
  rule: 'ran_twice' | 'ran_cancelled' | 'wrong_place';
  day: Omit<DaySpec, 'seed'>;
}

/** A cancelled job beside one that keeps the machines rented. */
const CANCELLED_AND_LONG_JOB = [
  { atS: 2, kind: 0, tasks: 6, runS: 60, cancelS: 12 },
  { atS: 2, kind: 0, tasks: 6, runS: 80, cancelS: 0 },
];

/** The shortest days that show each failure without the safeguard. */
const REGRESSION_DAYS: RegressionDay[] = [
  {
    failure: 'a task that failed is started again beside its next attempt',
    rule: 'ran_twice',
    day: {
      endS: 30,
      jobs: [{ atS: 2, kind: 0, tasks: 4, runS: 20, cancelS: 0, mistaken: true }],
      faults: [repeatedCommands(1.5, 3, 60)],
    },
  },
  {
    failure: 'a task of a gang is started again in another zone than its next attempt',
    rule: 'wrong_place',
    day: {
      endS: 40,
      jobs: [{ atS: 2, kind: 1, tasks: 2, runS: 20, cancelS: 0, mistaken: true }],
      faults: [repeatedCommands(1.5, 3, 60)],
    },
  },
  {
    failure: 'a cancelled task is started again on a machine that reaches no controller',
    rule: 'ran_cancelled',
    day: {
      endS: 70,
      jobs: CANCELLED_AND_LONG_JOB,
      faults: [
        repeatedCommands(42, 46, 14),
        { kind: 'machine_mute', machines: { from: 0, count: 4 }, atS: 52, forS: 9 },
      ],
    },
  },
  {
    failure: 'a cancelled task is started again while the leader changes',
    rule: 'ran_cancelled',
    day: {
      endS: 70,
      jobs: CANCELLED_AND_LONG_JOB,
      faults: [repeatedCommands(44, 48, 14), { kind: 'crash', node: 'leader', atS: 54.5, forS: 1 }],
    },
  },
  {
    failure: 'a task is started again beside its next attempt while the leader changes',
    rule: 'ran_twice',
    day: {
      endS: 30,
      faulty: [0, 1],
      jobs: [{ atS: 2, kind: 0, tasks: 8, runS: 40, cancelS: 0 }],
      faults: [repeatedCommands(6, 9, 14), { kind: 'crash', node: 'leader', atS: 16.5, forS: 0.2 }],
    },
  },
];

for (const { failure, rule, day } of REGRESSION_DAYS) {
  test(`a copy of an answered start command changes nothing: ${failure}`, TIMEOUT, async () => {
    const brokenWithout: string[] = [];
    for (let seed = 1; seed <= 4; seed++) {
      const spec = { ...day, seed: seed * 6151 };
      assert.equal(describeViolations(await simulateDay(spec)), '');
      const without = await runWithoutHigherTokens(() => simulateDay(spec));
      brokenWithout.push(...without.violations.map((violation) => violation.rule));
    }
    assert.ok(brokenWithout.includes(rule), `without the safeguard: ${brokenWithout.join(', ')}`);
  });
}

test('no rule is violated when answered direct commands arrive again', TIMEOUT, async () => {
  const relaying = generatedDay(DAY_S).map((spec) => ({ ...spec, reportsPerCoreS: 0.01 }));
  const copyCount =
    (await checkGeneratedDays(generatedDay(DAY_S), 'commands', 60, SEED)) +
    (await checkGeneratedDays(relaying, 'commands', 30, SEED + 1)) +
    (await checkGeneratedDays(generatedTakeovers, 'commands', 60, SEED + 2));
  assert.ok(copyCount > 10 * MIN_COPIES, `${copyCount} copies arrived`);
});

for (const of of ['state', 'cloud', 'peers', 'users', 'heartbeats'] as const) {
  test(`no rule is violated when answered requests arrive again: ${of}`, TIMEOUT, async () => {
    const copyCount =
      (await checkGeneratedDays(generatedDay(DAY_S), of, 16, SEED)) +
      (await checkGeneratedDays(generatedTakeovers, of, 16, SEED + 1));
    assert.ok(copyCount > MIN_COPIES, `${copyCount} copies arrived`);
  });
}
