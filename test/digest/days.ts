import fc from 'fast-check';
import { SEED } from '../helpers.ts';
import { AMBIENT, type DaySketch } from '../sim/days.ts';
import { generatedDay, generatedTakeovers } from '../sim/generated.ts';
import { MEETINGS } from '../sim/meetings.ts';

/** A day of the fixed list whose traffic is hashed. */
export interface DigestDay {
  name: string;
  sketch: DaySketch;
}

const GENERATED_DAY_S = 170;
const GENERATED_DAYS = 12;
const GENERATED_TAKEOVERS = 12;
const MEETING_SEED = 6151;
/** A leader with this option serves at most one worker alone, so followers relay what reaches them. */
const RELAYING_REPORTS_PER_CORE_S = 0.01;
const FIVE_CONTROLLERS = { nodes: 5 };

type Variant = (sketch: DaySketch) => DaySketch;

/** The days of one list in turn with three controllers, three that relay, five, and five that relay. */
const VARIANTS: readonly { suffix: string; apply: Variant }[] = [
  { suffix: '3', apply: (sketch) => sketch },
  { suffix: '3-relaying', apply: (sketch) => ({ ...sketch, reportsPerCoreS: RELAYING_REPORTS_PER_CORE_S }) },
  { suffix: '5', apply: (sketch) => ({ ...sketch, settings: { ...sketch.settings, ...FIVE_CONTROLLERS } }) },
  {
    suffix: '5-relaying',
    apply: (sketch) => ({
      ...sketch,
      settings: { ...sketch.settings, ...FIVE_CONTROLLERS },
      reportsPerCoreS: RELAYING_REPORTS_PER_CORE_S,
    }),
  },
];

function inVariants(prefix: string, sketches: readonly DaySketch[]): DigestDay[] {
  return sketches.map((sketch, index) => {
    const variant = VARIANTS[index % VARIANTS.length];
    if (!variant) throw new RangeError('there is no variant');
    return { name: `${prefix}-${index}-${variant.suffix}`, sketch: variant.apply(sketch) };
  });
}

function sample(days: fc.Arbitrary<DaySketch>, seed: number, count: number): DaySketch[] {
  return fc.sample(days, { seed, numRuns: count }).map((sketch) => ({ ...sketch, always: AMBIENT }));
}

/** The list: generated days of all troubles, generated takeovers, and every named meeting of troubles. */
export function digestDays(): DigestDay[] {
  return [
    ...inVariants('day', sample(generatedDay(GENERATED_DAY_S), SEED, GENERATED_DAYS)),
    ...inVariants('takeovers', sample(generatedTakeovers, SEED + 1, GENERATED_TAKEOVERS)),
    ...inVariants(
      'meeting',
      MEETINGS.map(({ day }) => ({ ...day, seed: MEETING_SEED })),
    ),
  ];
}
