/** Controllers and machines that are back within 0.1 to 2 s, also while copies of answered commands arrive. */
import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import type { Fault } from '../../src/sim/faults.ts';
import { SEED } from '../helpers.ts';
import { BACKGROUND_FAULTS, describeViolations, simulateDay, type DaySpec } from './days.ts';
import { generatedDay, withQuickReturns, withRepeatedRequests } from './generated.ts';

const TIMEOUT = { timeout: 300_000 };
const DAY_S = 170;
const NUM_RUNS = 30;
const SEED_COUNT = 24;

async function checkDays(days: fc.Arbitrary<DaySpec>): Promise<void> {
  await fc.assert(
    fc.asyncProperty(days, async (spec) => {
      const day = await simulateDay({ ...spec, always: BACKGROUND_FAULTS });
      assert.equal(describeViolations(day), '');
    }),
    { seed: SEED, numRuns: NUM_RUNS, endOnFailure: true, includeErrorInReport: true },
  );
}

test(
  'no rule is violated when machines are back as they were and copies of commands arrive',
  TIMEOUT,
  async () => {
    await checkDays(withQuickReturns(withRepeatedRequests(generatedDay(DAY_S), 'commands'), false));
  },
);

test(
  'no rule is violated when machines are back without their tasks, incarnations and tokens',
  TIMEOUT,
  async () => {
    await checkDays(withQuickReturns(generatedDay(DAY_S), true));
  },
);

test('the lease of a worker that is back emptied is not renewed while it counts as not renewed', async () => {
  // Its heartbeats look like late copies: tasks that it got after its restart were taken for lost with its old lease.
  const emptied = (atS: number, forS: number, from: number): Fault => ({
    kind: 'machine_restart',
    machines: { from, count: 2 },
    emptied: true,
    atS,
    forS,
  });
  const day: Omit<DaySpec, 'seed'> = {
    endS: 100,
    jobs: [
      { atS: 18, kind: 2, tasks: 3, runS: 14, cancelS: 33 },
      { atS: 68, kind: 5, tasks: 5, runS: 11, cancelS: 38 },
      { atS: 62, kind: 2, tasks: 1, runS: 18, cancelS: 5 },
      { atS: 55, kind: 0, tasks: 5, runS: 39, cancelS: 29 },
    ],
    faults: [
      { kind: 'crash', node: 'leader', atS: 13, forS: 1.4 },
      emptied(21.9, 1.4, 7),
      { kind: 'crash', node: 'leader', atS: 49.9, forS: 1.3 },
      emptied(63.9, 0.5, 2),
      emptied(73.8, 1.8, 0),
    ],
    always: BACKGROUND_FAULTS,
  };
  for (let seed = 1; seed <= SEED_COUNT; seed++) {
    assert.equal(describeViolations(await simulateDay({ ...day, seed: seed * 6151 })), '');
  }
});
