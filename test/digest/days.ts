/** The fixed list of days whose messages are hashed, to detect changes of behaviour. */
import fc from 'fast-check';
import { SEED } from '../helpers.ts';
import { BACKGROUND_FAULTS, type DaySpec } from '../sim/days.ts';
import { generatedDay, generatedTakeovers, withRepeatedRequests } from '../sim/generated.ts';
import { FAULT_COMBINATIONS } from '../sim/meetings.ts';

/** A day of the list. Its name identifies it in `digests.txt`. */
export interface DigestDay {
  name: string;
  spec: DaySpec;
}

const GENERATED_DAY_S = 170;
const GENERATED_DAYS = 12;
const GENERATED_TAKEOVERS = 12;
const REPEATED_REQUEST_KINDS = ['commands', 'heartbeats', 'state', 'cloud', 'peers', 'users'] as const;
const FAULT_COMBINATION_SEED = 6151;
/** With this option a leader serves at most one worker itself, so followers relay the heartbeats that they receive. */
const RELAYING_REPORTS_PER_CORE_S = 0.01;
const FIVE_CONTROLLERS = { nodes: 5 };

type Variant = (spec: DaySpec) => DaySpec;

/** Applied in turn to the days of a list: three or five controllers, without or with relaying by followers. */
const VARIANTS: readonly { suffix: string; apply: Variant }[] = [
  { suffix: '3', apply: (spec) => spec },
  { suffix: '3-relaying', apply: (spec) => ({ ...spec, reportsPerCoreS: RELAYING_REPORTS_PER_CORE_S }) },
  { suffix: '5', apply: (spec) => ({ ...spec, settings: { ...spec.settings, ...FIVE_CONTROLLERS } }) },
  {
    suffix: '5-relaying',
    apply: (spec) => ({
      ...spec,
      settings: { ...spec.settings, ...FIVE_CONTROLLERS },
      reportsPerCoreS: RELAYING_REPORTS_PER_CORE_S,
    }),
  },
];

function applyVariants(prefix: string, specs: readonly DaySpec[]): DigestDay[] {
  return specs.map((spec, index) => {
    const variant = VARIANTS[index % VARIANTS.length];
    if (!variant) throw new RangeError('there is no variant');
    return { name: `${prefix}-${index}-${variant.suffix}`, spec: variant.apply(spec) };
  });
}

function sampleDays(days: fc.Arbitrary<DaySpec>, seed: number, count: number): DaySpec[] {
  return fc.sample(days, { seed, numRuns: count }).map((spec) => ({ ...spec, always: BACKGROUND_FAULTS }));
}

/** One generated day for each kind of request that arrives again. */
function sampleRepeatedRequests(): DaySpec[] {
  const days = generatedDay(GENERATED_DAY_S);
  return REPEATED_REQUEST_KINDS.flatMap((of) => sampleDays(withRepeatedRequests(days, of), SEED + 2, 1));
}

/** The list: generated days with all kinds of faults, generated takeovers, and every fault combination. */
export function digestDays(): DigestDay[] {
  return [
    ...applyVariants('day', sampleDays(generatedDay(GENERATED_DAY_S), SEED, GENERATED_DAYS)),
    ...applyVariants('takeovers', sampleDays(generatedTakeovers, SEED + 1, GENERATED_TAKEOVERS)),
    ...applyVariants(
      'meeting',
      FAULT_COMBINATIONS.map(({ day }) => ({ ...day, seed: FAULT_COMBINATION_SEED })),
    ),
    ...applyVariants('repeats', sampleRepeatedRequests()),
  ];
}
