import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { SEED } from '../helpers.ts';
import type { UserRequest } from './support/answer-history.ts';
import { CONTROLLER_COUNT, Controllers } from './support/controllers.ts';
import { NO_FAULTS, type FaultRates } from './support/fault-rates.ts';
import { stageIn } from './support/user-requests.ts';

type Step =
  | { kind: 'submit' | 'poll' | 'cancel'; node: number; job: number }
  | { kind: 'complete'; job: number }
  | { kind: 'hang'; node: number; ms: number }
  | { kind: 'restart'; node: number }
  | { kind: 'failover'; node: number };

interface Scenario {
  seed: number;
  faults: FaultRates;
  steps: { atMs: number; step: Step }[];
}

const JOBS = 4;
const LAST_STEP_MS = 15_000;
/** Late transactions are applied at most 12 s after they were sent. */
const END_MS = 40_000;

const node = fc.nat(CONTROLLER_COUNT - 1);
const job = fc.nat(JOBS - 1);
const anyStep: fc.Arbitrary<Step> = fc.oneof(
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
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('failover' as const), node }) },
);

const chanceUpTo = (max: number): fc.Arbitrary<number> =>
  fc.oneof(fc.constant(0), fc.double({ min: 0, max, noNaN: true }));

const anyScenario: fc.Arbitrary<Scenario> = fc.record({
  seed: fc.integer({ min: 1, max: 2 ** 31 }),
  faults: fc.record({
    answerLost: chanceUpTo(0.6),
    appliedLate: chanceUpTo(0.3),
    refused: chanceUpTo(0.2),
    answerSlow: chanceUpTo(0.3),
    peersSlow: chanceUpTo(0.3),
  }),
  steps: fc.array(fc.record({ atMs: fc.integer({ min: 0, max: LAST_STEP_MS }), step: anyStep }), {
    minLength: 5,
    maxLength: 25,
  }),
});

function applyStep(controllers: Controllers, step: Step): void {
  switch (step.kind) {
    case 'complete':
      controllers.complete(step.job);
      return;
    case 'hang':
      controllers.hang(step.node, step.ms);
      return;
    case 'restart':
      controllers.restart(step.node);
      controllers.expireLease();
      controllers.elect((step.node + 1) % CONTROLLER_COUNT);
      return;
    case 'failover':
      controllers.expireLease();
      controllers.elect(step.node);
      return;
    default:
      controllers.request(step.node, step.kind, step.job);
  }
}

async function run({ seed, faults, steps }: Scenario, trustMemory = false): Promise<Controllers> {
  const controllers = new Controllers(seed, faults, trustMemory);
  controllers.elect(0);
  for (const { atMs, step } of steps) {
    controllers.sim.after(atMs, () => {
      applyStep(controllers, step);
    });
  }
  await controllers.sim.run(END_MS);
  return controllers;
}

const PROPERTY_OPTIONS = { seed: SEED, numRuns: 120, endOnFailure: true };

test(
  'no controller gives an older answer than any controller gave before the request',
  { timeout: 300_000 },
  async () => {
    const counts = { open: 0, done: 0, aborted: 0, unknown: 0 };
    await fc.assert(
      fc.asyncProperty(anyScenario, async (scenario) => {
        const { history } = await run(scenario);
        for (const stage of ['open', 'done', 'aborted', 'unknown'] as const) {
          counts[stage] += history.counts[stage];
        }
        assert.equal(history.violations.slice(0, 3).join('; '), '');
      }),
      { ...PROPERTY_OPTIONS, includeErrorInReport: true },
    );
    // The scenarios cover all cases: jobs were accepted, completed, cancelled, and polled before their submission.
    assert.ok(
      counts.open > 5000 && counts.done > 1000 && counts.aborted > 1000 && counts.unknown > 50,
      JSON.stringify(counts),
    );
  },
);

test('a leader that trusts its memory while a terminal state is being written gives older answers', async () => {
  const checked = await fc.check(
    fc.asyncProperty(anyScenario, async (scenario) => {
      const { history } = await run(scenario, true);
      return history.violations.length === 0;
    }),
    PROPERTY_OPTIONS,
  );
  assert.ok(checked.failed, 'the history must show that unconfirmed terminal writes are not checked');
});

/** Controllers with a leader and with job 1, which was submitted a second after the start. */
async function controllersWithAcceptedJob(): Promise<Controllers> {
  const controllers = new Controllers(SEED, NO_FAULTS);
  controllers.elect(0);
  await controllers.sim.run(1000);
  controllers.request(0, 'submit', 1);
  await controllers.sim.run(6000);
  return controllers;
}

/** The stage in the answer to the user, or the HTTP status of a refusal. */
function outcomeOf({ answer }: UserRequest): unknown {
  if (!answer) return 'no answer';
  return answer.status === 200 ? stageIn(answer) : String(answer.status);
}

test('while the result of its terminal write is unknown, every controller answers for a cancelled job from the store', async () => {
  // Otherwise the leader answers `pending` from memory while another controller answers `aborted` from the store.
  const controllers = await controllersWithAcceptedJob();
  controllers.faults = { ...NO_FAULTS, answerLost: 1 };
  const cancellation = controllers.request(1, 'cancel', 1);
  await controllers.sim.run(6100);
  const polls = [0, 1, 2].map((index) => controllers.request(index, 'poll', 1));
  const resubmission = controllers.request(0, 'submit', 1);
  await controllers.sim.run(6350);
  assert.equal(outcomeOf(cancellation), 'no answer', 'its terminal state is not confirmed yet');
  assert.deepEqual([...polls, resubmission].map(outcomeOf), ['aborted', 'aborted', 'aborted', 'aborted']);
  assert.deepEqual(controllers.history.violations, []);
});

test('while the store refuses all calls, a poll for a job whose terminal write is in doubt is refused at once', async () => {
  const controllers = await controllersWithAcceptedJob();
  controllers.faults = { ...NO_FAULTS, answerLost: 1 };
  controllers.request(0, 'cancel', 1);
  await controllers.sim.run(6100);
  controllers.faults = { ...NO_FAULTS, refused: 1 };
  const poll = controllers.request(0, 'poll', 1);
  await controllers.sim.run(6200);
  assert.equal(outcomeOf(poll), '503');
  assert.equal(poll.answer?.retryAfterS, 1);
});

test('a terminal write that the store has refused every time is not in doubt, and its job stays open', async () => {
  // Otherwise polls for the job are refused as long as an outage lasts, while polls for other jobs are answered.
  const controllers = await controllersWithAcceptedJob();
  controllers.faults = { ...NO_FAULTS, refused: 1 };
  controllers.request(0, 'cancel', 1);
  await controllers.sim.run(6060);
  const poll = controllers.request(0, 'poll', 1);
  await controllers.sim.run(6070);
  assert.equal(outcomeOf(poll), 'pending');
});
