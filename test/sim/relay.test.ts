import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import type { ControllerOverrides } from '../../src/sim/node.ts';
import { HeartbeatRelay } from '../../src/relay/heartbeat-relay.ts';
import { SEED } from '../helpers.ts';
import { AMBIENT, describe, play, type DaySketch } from './days.ts';
import { generatedDay, generatedTakeovers } from './generated.ts';
import { MEETINGS } from './meetings.ts';

const TIMEOUT = { timeout: 300_000 };

/** The day, with a leader that serves at most one worker alone: followers hand on what reaches them. */
const relayed = (sketch: DaySketch): DaySketch => ({ ...sketch, reportsPerCoreS: 0.01 });

/** Counts the reports that are answered by way of a follower. */
async function countingRelayed<T>(run: () => Promise<T>): Promise<{ result: T; taken: number }> {
  // eslint-disable-next-line @typescript-eslint/unbound-method -- called with the relay as `this`
  const { tryRelay: take } = HeartbeatRelay.prototype;
  let taken = 0;
  HeartbeatRelay.prototype.tryRelay = function (this: HeartbeatRelay, body, reply) {
    return take.call(this, body, (answer) => {
      if (answer.status === 200) taken += 1;
      reply(answer);
    });
  };
  try {
    return { result: await run(), taken };
  } finally {
    HeartbeatRelay.prototype.tryRelay = take;
  }
}

test('no rule is broken while followers hand reports on, in generated days of faults', TIMEOUT, async () => {
  const { taken } = await countingRelayed(() =>
    fc.assert(
      fc.asyncProperty(generatedDay(170), async (sketch) => {
        assert.equal(describe(await play(relayed({ ...sketch, always: AMBIENT }))), '');
      }),
      { seed: SEED + 3, numRuns: 60, endOnFailure: true, includeErrorInReport: true },
    ),
  );
  assert.ok(taken > 3000, `${taken} reports were answered by way of followers`);
});

test('no rule is broken while followers hand reports on and leaders change', TIMEOUT, async () => {
  await fc.assert(
    fc.asyncProperty(generatedTakeovers, async (sketch) => {
      assert.equal(describe(await play(relayed({ ...sketch, always: AMBIENT }))), '');
    }),
    { seed: SEED + 4, numRuns: 60, endOnFailure: true, includeErrorInReport: true },
  );
});

test('each meeting of troubles, while followers hand reports on', TIMEOUT, async () => {
  const broken: string[] = [];
  for (const { name, day } of MEETINGS) {
    const played = await play(relayed({ ...day, seed: 6151 }));
    assert.ok(played.started > 0, 'tasks ran');
    if (played.violations.length > 0) broken.push(`${name}: ${describe(played)}`);
  }
  assert.equal(broken.join('\n\n'), '');
});

test('a leader that loses only its workers leaves the lead to others, also while others hand reports on', async () => {
  // It still heard its machines, took each that it sent an order to for deaf, and gave back healthy ones.
  for (let seed = 1; seed <= 4; seed++) {
    const jobs = [2, 2, 2, 30, 32, 34, 36].map((atS) => ({ atS, shape: 0, tasks: 4, runS: 20, cancelS: 0 }));
    const day = await play(
      relayed({
        seed: seed * 17,
        faults: [{ kind: 'node_cut', node: 'leader', from: ['workers'], atS: 25, forS: 70 }],
        jobs,
        endS: 160,
        machinesPerZone: 4,
      }),
    );
    assert.equal(describe(day), '');
    assert.equal(day.started, 28, 'nothing was started twice for having been lost');
    for (const stage of day.told.values()) assert.equal(stage, 'done');
  }
});

/** Without the leader's judgement: a follower that gets no answer in time repeats the last one that the worker got. */
function answersAreKept(): ControllerOverrides {
  return {
    patchController: (controller) => {
      const { heartbeats } = controller as unknown as { heartbeats: { relay: HeartbeatRelay } };
      const kept = new Map<string, { status: number; body: string }>();
      const take = heartbeats.relay.tryRelay.bind(heartbeats.relay);
      heartbeats.relay.tryRelay = (body, reply) => {
        const { hearth } = JSON.parse(body) as { hearth: string };
        const taken = take(body, (answer) => {
          if (answer.status === 200) kept.set(hearth, answer);
          reply(answer.status === 503 ? (kept.get(hearth) ?? answer) : answer);
        });
        const last = kept.get(hearth);
        if (taken || !last) return taken;
        reply(last);
        return true;
      };
    },
  };
}

test("a follower that answers without the leader's judgement is found by the checker", TIMEOUT, async () => {
  // Cut off with its workers, it keeps their leases alive: the leader counts them as over and starts the tasks elsewhere.
  const day: Omit<DaySketch, 'seed'> = {
    faults: [
      { kind: 'node_cut', node: 'follower', from: ['state', 'peers'], atS: 20, forS: 90 },
      { kind: 'cloud_trouble', atS: 18, forS: 120 },
    ],
    jobs: Array.from({ length: 10 }, (_, i) => ({
      atS: 2 + i,
      shape: 0,
      tasks: 4,
      runS: 60,
      cancelS: i % 3 === 0 ? 22 : 0,
    })),
    endS: 170,
    machinesPerZone: 5,
  };
  let broken = '';
  let found = 0;
  for (let seed = 1; seed <= 6; seed++) {
    const sketch = relayed({ ...day, seed: seed * 7919 });
    broken ||= describe(await play(sketch));
    found += (await play(sketch, answersAreKept())).violations.length;
  }
  assert.equal(broken, '');
  assert.ok(found > 0);
});
