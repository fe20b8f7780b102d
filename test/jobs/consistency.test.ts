import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { SEED } from '../helpers.ts';
import { CALM, Controllers, type Luck } from './support/controllers.ts';

type Step =
  | { kind: 'submit' | 'poll' | 'cancel'; node: number; job: number }
  | { kind: 'complete'; job: number }
  | { kind: 'hang'; node: number; ms: number }
  | { kind: 'restart'; node: number }
  | { kind: 'handover'; node: number };

interface Scenario {
  seed: number;
  luck: Luck;
  steps: { atMs: number; step: Step }[];
}

const JOBS = 4;
const LAST_STEP_MS = 15_000;
/** Late transactions are carried out at most 12 s after they were sent. */
const END_MS = 40_000;

const node = fc.nat(2);
const job = fc.nat(JOBS - 1);
const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('submit' as const), node, job }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('poll' as const), node, job }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('cancel' as const), node, job }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('complete' as const), job }) },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('hang' as const),
      node,
      ms: fc.integer({ min: 50, max: 4000 }),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('restart' as const), node }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('handover' as const), node }) },
);

const chance = (most: number): fc.Arbitrary<number> =>
  fc.oneof(fc.constant(0), fc.double({ min: 0, max: most, noNaN: true }));

const scenario: fc.Arbitrary<Scenario> = fc.record({
  seed: fc.integer({ min: 1, max: 2 ** 31 }),
  luck: fc.record({
    answerLost: chance(0.6),
    late: chance(0.3),
    refused: chance(0.2),
    slow: chance(0.3),
    peersSlow: chance(0.3),
  }),
  steps: fc.array(fc.record({ atMs: fc.integer({ min: 0, max: LAST_STEP_MS }), step }), {
    minLength: 5,
    maxLength: 25,
  }),
});

function take(world: Controllers, s: Step): void {
  if (s.kind === 'complete') world.complete(s.job);
  else if (s.kind === 'hang') world.hang(s.node, s.ms);
  else if (s.kind === 'restart') {
    world.restart(s.node);
    world.depose();
    world.elect((s.node + 1) % 3);
  } else if (s.kind === 'handover') {
    world.depose();
    world.elect(s.node);
  } else world.ask(s.node, s.kind, s.job);
}

async function play(s: Scenario, trustMemory = false): Promise<Controllers> {
  const world = new Controllers(s.seed, s.luck, trustMemory);
  world.elect(0);
  for (const { atMs, step: taken } of s.steps) {
    world.sim.after(atMs, () => {
      take(world, taken);
    });
  }
  await world.sim.run(END_MS);
  return world;
}

const RUNS = { seed: SEED, numRuns: 120, endOnFailure: true };

test(
  'no controller gives an older answer than any gave before it was asked',
  { timeout: 300_000 },
  async () => {
    const told = { open: 0, done: 0, aborted: 0, unknown: 0 };
    await fc.assert(
      fc.asyncProperty(scenario, async (s) => {
        const world = await play(s);
        for (const stage of ['open', 'done', 'aborted', 'unknown'] as const) told[stage] += world.told[stage];
        assert.equal(world.broken.slice(0, 3).join('; '), '');
      }),
      { ...RUNS, includeErrorInReport: true },
    );
    // The interleavings did something: jobs were accepted, done, cancelled and asked for before they were submitted.
    assert.ok(
      told.open > 5000 && told.done > 1000 && told.aborted > 1000 && told.unknown > 50,
      JSON.stringify(told),
    );
  },
);

test('a leader that trusts its memory while an end is being written gives older answers', async () => {
  const checked = await fc.check(
    fc.asyncProperty(scenario, async (s) => (await play(s, true)).broken.length === 0),
    RUNS,
  );
  assert.ok(checked.failed, 'the checker must notice that the guard is away');
});

/** A leader, and a job that was accepted a second ago. */
async function accepted(trustMemory = false): Promise<Controllers> {
  const world = new Controllers(SEED, CALM, trustMemory);
  world.elect(0);
  await world.sim.run(1000);
  world.ask(0, 'submit', 1);
  await world.sim.run(6000);
  return world;
}

function stageTold(asked: { answer: { status: number; body: string } | null }): string {
  const { answer } = asked;
  if (!answer) return 'no answer';
  return answer.status === 200 ? (JSON.parse(answer.body) as { stage: string }).stage : String(answer.status);
}

test('while the answer of its end is lost, a cancelled job is told from the store by every controller', async () => {
  // The leader once told `pending` from its memory while another controller told `aborted` from the store.
  const world = await accepted();
  world.luck = { ...CALM, answerLost: 1 };
  const cancel = world.ask(1, 'cancel', 1);
  await world.sim.run(6100);
  const polls = [0, 1, 2].map((n) => world.ask(n, 'poll', 1));
  const again = world.ask(0, 'submit', 1);
  await world.sim.run(6350);
  assert.equal(stageTold(cancel), 'no answer', 'its end is not confirmed yet');
  assert.deepEqual([...polls, again].map(stageTold), ['aborted', 'aborted', 'aborted', 'aborted']);
  assert.deepEqual(world.broken, []);
});

test('while the store refuses all calls, a job whose end may be written is refused at once', async () => {
  const world = await accepted();
  world.luck = { ...CALM, answerLost: 1 };
  world.ask(0, 'cancel', 1);
  await world.sim.run(6100);
  world.luck = { ...CALM, refused: 1 };
  const poll = world.ask(0, 'poll', 1);
  await world.sim.run(6200);
  assert.equal(stageTold(poll), '503');
  assert.equal(poll.answer?.retryAfterS, 1);
});

test('an end that the store has only ever refused is not in doubt, and its job stays open', async () => {
  // Else every poll for it would be refused for as long as an outage lasts, while others are answered.
  const world = await accepted();
  world.luck = { ...CALM, refused: 1 };
  world.ask(0, 'cancel', 1);
  await world.sim.run(6060);
  const poll = world.ask(0, 'poll', 1);
  await world.sim.run(6070);
  assert.equal(stageTold(poll), 'pending');
});
