/**
 * A long run by hand: `npm run soak -- --seed S --days N`. Plays generated days in which answered requests arrive again
 * and machines and controllers are back within two seconds, and prints what they break. Exits with 1 if a rule is broken.
 */
import { parseArgs } from 'node:util';
import fc from 'fast-check';
import type { RepeatedRequestKind } from '../../src/sim/repeats.ts';
import { BACKGROUND_FAULTS, describeViolations, simulateDay, type DaySpec } from './days.ts';
import { generatedDay, generatedTakeovers, withQuickReturns, withRepeatedRequests } from './generated.ts';

const DAY_S = 170;
const DEFAULT_DAYS = 1000;
/** Days that are drawn at a time. */
const BATCH = 50;

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    days: { type: 'string', default: String(DEFAULT_DAYS) },
    of: { type: 'string', default: 'commands' },
  },
});

const of = values.of as RepeatedRequestKind;
const repeats = withRepeatedRequests(generatedDay(DAY_S), of);
const days: fc.Arbitrary<DaySpec> = fc.oneof(
  repeats,
  withRepeatedRequests(generatedTakeovers, of),
  withQuickReturns(repeats, false),
  repeats.map((spec) => ({ ...spec, reportsPerCoreS: 0.01 })),
);

let played = 0;
let copies = 0;
let broken = 0;
for (let seed = Number(values.seed); played < Number(values.days); seed++) {
  for (const spec of fc.sample(days, { seed, numRuns: BATCH })) {
    const day = await simulateDay({ ...spec, always: BACKGROUND_FAULTS });
    played += 1;
    copies += day.repeatedRequestCount;
    if (day.violations.length === 0) continue;
    broken += 1;
    process.stdout.write(`seed ${seed}: ${JSON.stringify(spec)}\n${describeViolations(day)}\n`);
  }
}
process.stdout.write(
  `${played} days from seed ${values.seed}, ${copies} copies of ${of}: ${broken} broke a rule\n`,
);
process.exitCode = broken === 0 ? 0 : 1;
