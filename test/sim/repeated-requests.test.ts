/** Requests that were carried out and answered arrive once more, at once or up to a minute later. */
import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import type { RepeatedRequestKind } from '../../src/sim/repeats.ts';
import { SEED } from '../helpers.ts';
import { BACKGROUND_FAULTS, describeViolations, simulateDay, type DaySpec } from './days.ts';
import { generatedDay, generatedTakeovers, withRepeatedRequests } from './generated.ts';

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

for (const of of ['state', 'cloud', 'peers', 'users', 'heartbeats'] as const) {
  test(`no rule is violated when answered requests arrive again: ${of}`, TIMEOUT, async () => {
    const copyCount =
      (await checkGeneratedDays(generatedDay(DAY_S), of, 16, SEED)) +
      (await checkGeneratedDays(generatedTakeovers, of, 16, SEED + 1));
    assert.ok(copyCount > MIN_COPIES, `${copyCount} copies arrived`);
  });
}
