import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import type { ControllerOverrides } from '../../src/sim/node.ts';
import { HeartbeatRelay } from '../../src/relay/heartbeat-relay.ts';
import { SEED } from '../helpers.ts';
import { BACKGROUND_FAULTS, describeViolations, simulateDay, type DaySpec } from './days.ts';
import { generatedDay, generatedTakeovers } from './generated.ts';
import { FAULT_COMBINATIONS } from './meetings.ts';

const TIMEOUT = { timeout: 300_000 };

/** The day, with a leader that serves at most one worker itself: followers relay the heartbeats that they receive. */
const withRelaying = (spec: DaySpec): DaySpec => ({ ...spec, reportsPerCoreS: 0.01 });

/** Counts the heartbeats that are answered through a follower. */
async function countRelayedHeartbeats<T>(
  run: () => Promise<T>,
): Promise<{ result: T; relayedCount: number }> {
  // eslint-disable-next-line @typescript-eslint/unbound-method -- called with the relay as `this`
  const { tryRelay: originalTryRelay } = HeartbeatRelay.prototype;
  let relayedCount = 0;
  HeartbeatRelay.prototype.tryRelay = function (this: HeartbeatRelay, body, reply) {
    return originalTryRelay.call(this, body, (answer) => {
      if (answer.status === 200) relayedCount += 1;
      reply(answer);
    });
  };
  try {
    return { result: await run(), relayedCount };
  } finally {
    HeartbeatRelay.prototype.tryRelay = originalTryRelay;
  }
}

test(
  'no rule is violated while followers relay heartbeats, in generated days of faults',
  TIMEOUT,
  async () => {
    const { relayedCount } = await countRelayedHeartbeats(() =>
      fc.assert(
        fc.asyncProperty(generatedDay(170), async (spec) => {
          assert.equal(
            describeViolations(await simulateDay(withRelaying({ ...spec, always: BACKGROUND_FAULTS }))),
            '',
          );
        }),
        { seed: SEED + 3, numRuns: 60, endOnFailure: true, includeErrorInReport: true },
      ),
    );
    assert.ok(relayedCount > 3000, `${relayedCount} heartbeats were answered through followers`);
  },
);

test('no rule is violated while followers relay heartbeats and leaders change', TIMEOUT, async () => {
  await fc.assert(
    fc.asyncProperty(generatedTakeovers, async (spec) => {
      assert.equal(
        describeViolations(await simulateDay(withRelaying({ ...spec, always: BACKGROUND_FAULTS }))),
        '',
      );
    }),
    { seed: SEED + 4, numRuns: 60, endOnFailure: true, includeErrorInReport: true },
  );
});

test('no rule is violated in any fault combination while followers relay heartbeats', TIMEOUT, async () => {
  const failures: string[] = [];
  for (const { name, day } of FAULT_COMBINATIONS) {
    const result = await simulateDay(withRelaying({ ...day, seed: 6151 }));
    assert.ok(result.taskStartCount > 0, 'tasks ran');
    if (result.violations.length > 0) failures.push(`${name}: ${describeViolations(result)}`);
  }
  assert.equal(failures.join('\n\n'), '');
});

/** With these seeds a leader that was cut off terminated the few machines that had reported to itself. */
const SEEDS_WITH_FEW_DIRECT_WORKERS = [20, 25, 28, 54];

test('a leader that loses contact only with its workers steps down, also while followers relay heartbeats', async () => {
  // A leader that keeps its leadership still receives heartbeats through the followers, but its direct commands to the
  // machines are lost: it terminates healthy machines because they don't acknowledge commands.
  for (const seed of [1, 2, 3, 4, ...SEEDS_WITH_FEW_DIRECT_WORKERS]) {
    const jobs = [2, 2, 2, 30, 32, 34, 36].map((atS) => ({ atS, kind: 0, tasks: 4, runS: 20, cancelS: 0 }));
    const day = await simulateDay(
      withRelaying({
        seed: seed * 17,
        faults: [{ kind: 'node_cut', node: 'leader', from: ['workers'], atS: 25, forS: 70 }],
        jobs,
        endS: 160,
        machinesPerZone: 4,
      }),
    );
    assert.equal(describeViolations(day), '');
    assert.equal(day.taskStartCount, 28, 'no task was started again');
    for (const stage of day.lastStageByJob.values()) assert.equal(stage, 'done');
  }
});

/** Makes followers answer without the leader: without a response in time, they repeat the worker's last response. */
function repeatLastAnswers(): ControllerOverrides {
  return {
    patchController: (controller) => {
      const { heartbeats } = controller as unknown as { heartbeats: { relay: HeartbeatRelay } };
      const lastAnswers = new Map<string, { status: number; body: string }>();
      const originalTryRelay = heartbeats.relay.tryRelay.bind(heartbeats.relay);
      heartbeats.relay.tryRelay = (body, reply) => {
        const { hearth } = JSON.parse(body) as { hearth: string };
        const relayed = originalTryRelay(body, (answer) => {
          if (answer.status === 200) lastAnswers.set(hearth, answer);
          reply(answer.status === 503 ? (lastAnswers.get(hearth) ?? answer) : answer);
        });
        const lastAnswer = lastAnswers.get(hearth);
        if (relayed || !lastAnswer) return relayed;
        reply(lastAnswer);
        return true;
      };
    },
  };
}

test('the checker detects a follower that answers heartbeats without the leader', TIMEOUT, async () => {
  // A follower that is cut off together with its workers renews their leases. The leader considers these leases expired
  // and starts the tasks on other machines, so that they run twice.
  const day: Omit<DaySpec, 'seed'> = {
    faults: [
      { kind: 'node_cut', node: 'follower', from: ['state', 'peers'], atS: 20, forS: 90 },
      { kind: 'cloud_trouble', atS: 18, forS: 120 },
    ],
    jobs: Array.from({ length: 10 }, (_, i) => ({
      atS: 2 + i,
      kind: 0,
      tasks: 4,
      runS: 60,
      cancelS: i % 3 === 0 ? 22 : 0,
    })),
    endS: 170,
    machinesPerZone: 5,
  };
  let firstFailure = '';
  let violationCount = 0;
  for (let seed = 1; seed <= 6; seed++) {
    const spec = withRelaying({ ...day, seed: seed * 7919 });
    firstFailure ||= describeViolations(await simulateDay(spec));
    violationCount += (await simulateDay(spec, repeatLastAnswers())).violations.length;
  }
  assert.equal(firstFailure, '');
  assert.ok(violationCount > 0);
});
