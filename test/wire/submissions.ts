import fc from 'fast-check';
import { required } from '../../src/base/required.ts';

/** A submission as users send it, with the wire names. */
export type WireSubmission = Record<string, unknown>;

/** Amounts as users write them: integers and decimal fractions. */
const wireAmount = (max: number): fc.Arbitrary<number> =>
  fc.oneof(fc.integer({ min: 0, max }), fc.double({ min: 0, max, noNaN: true, noDefaultInfinity: true }));

const wireName = fc.string({ minLength: 1, maxLength: 12 });

/** Every submission that PROTOCOL allows, whether or not it can run. */
export const validSubmission: fc.Arbitrary<WireSubmission> = fc.record({
  uid: fc.integer({ min: 0, max: 999_999 }).map((n) => `req-${String(n).padStart(6, '0')}`),
  batch: wireName,
  crew: wireName,
  shape: fc.constantFrom('array', 'ensemble'),
  rank: fc.constantFrom('critical', 'urgent', 'standard', 'low'),
  loaves: fc.integer({ min: 1, max: 100_000 }),
  cores: wireAmount(1000),
  accelerators: wireAmount(64),
  memGb: wireAmount(10_000),
  recipe: wireName,
  imageGb: wireAmount(500),
  ovens: fc.option(fc.array(wireName, { maxLength: 4 })),
  yard: fc.option(wireName),
  samePlace: fc.boolean(),
  apart: fc.boolean(),
  borrowed: fc.boolean(),
  bakeS: wireAmount(1e6),
  proofS: wireAmount(1e6),
  coolS: wireAmount(1000),
  dueS: fc.option(wireAmount(1e7)),
});

/** Fields that may be null or missing. */
export const OPTIONAL_FIELDS = ['ovens', 'yard', 'dueS'] as const;

export const REQUIRED_FIELDS = [
  'uid',
  'batch',
  'crew',
  'shape',
  'rank',
  'loaves',
  'cores',
  'accelerators',
  'memGb',
  'recipe',
  'imageGb',
  'samePlace',
  'apart',
  'borrowed',
  'bakeS',
  'proofS',
  'coolS',
] as const;

// The values are JSON texts, since JSON.stringify can't write some of them, such as 1e999.
const NOT_AN_AMOUNT = ['-1', '-0.001', '1e999', '-1e999', '1e300', '"4.0"', '""', 'true', '[]', '[4]', '{}'];
const NOT_A_NAME = ['""', '7', 'true', '[]', '["x"]', '{}'];
const NOT_A_FLAG = ['0', '1', '"true"', '"false"', '""', '[]', '{}'];
const NOT_A_COUNT = ['0', '-1', '1.5', '100001', '9007199254740993', '1e999', '"3"', 'true', '[3]', '{}'];
const NOT_AN_ID = [
  '""',
  '7',
  '"req-"',
  '"req-x"',
  '"REQ-000001"',
  '"req-000001/0"',
  '"req-000001\\n"',
  '" req-000001"',
  '"../req-000001"',
  '"req-0000000000000000000001"',
  '["req-000001"]',
  '{}',
];

/** Invalid values of each field, as JSON texts. */
export const INVALID_VALUES: Record<string, readonly string[]> = {
  uid: [...NOT_AN_ID, 'null'],
  batch: [...NOT_A_NAME, 'null'],
  crew: [...NOT_A_NAME, 'null'],
  recipe: [...NOT_A_NAME, 'null'],
  shape: ['"swarm"', '"Array"', '""', '0', 'true', '["array"]', '{}', 'null'],
  rank: ['"top"', '"URGENT"', '""', '2', 'true', '["low"]', '{}', 'null'],
  loaves: [...NOT_A_COUNT, 'null'],
  cores: [...NOT_AN_AMOUNT, 'null'],
  accelerators: [...NOT_AN_AMOUNT, 'null'],
  memGb: [...NOT_AN_AMOUNT, 'null'],
  imageGb: [...NOT_AN_AMOUNT, 'null'],
  bakeS: [...NOT_AN_AMOUNT, 'null'],
  proofS: [...NOT_AN_AMOUNT, 'null'],
  coolS: [...NOT_AN_AMOUNT, 'null'],
  samePlace: [...NOT_A_FLAG, 'null'],
  apart: [...NOT_A_FLAG, 'null'],
  borrowed: [...NOT_A_FLAG, 'null'],
  ovens: ['"g8"', '7', 'true', '{}', '[7]', '[null]', '[["g8"]]', '[""]'],
  yard: ['7', 'true', '[]', '{}', '""'],
  dueS: ['-1', '1e999', '1e300', '"900"', 'true', '[]', '{}'],
};

/** The JSON text of a submission in which the value of one field is replaced by the given JSON text. */
export function withRawField(submission: WireSubmission, field: string, raw: string): string {
  const others = withoutField(submission, field).slice(1, -1);
  return `{${others},${JSON.stringify(field)}:${raw}}`;
}

export function withoutField(submission: WireSubmission, field: string): string {
  const rest = Object.entries(submission).filter(([name]) => name !== field);
  return JSON.stringify(Object.fromEntries(rest));
}

/** A submission whose text has one fault: a required field is missing, or a field is invalid. */
export const malformedSubmission: fc.Arbitrary<string> = validSubmission.chain((submission) =>
  fc.oneof(
    fc.constantFrom(...REQUIRED_FIELDS).map((field) => withoutField(submission, field)),
    fc
      .constantFrom(...Object.keys(INVALID_VALUES))
      .chain((field) =>
        fc
          .constantFrom(...required(INVALID_VALUES[field], field))
          .map((raw) => withRawField(submission, field, raw)),
      ),
  ),
);
