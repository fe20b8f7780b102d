import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { SEED } from '../helpers.ts';
import { play, type Scenario } from './play.ts';
import type { Fault, Guards, World } from './world.ts';

const KINDS: Fault['kind'][] = [
  'crash',
  'crash_all',
  'refuse',
  'outage',
  'cut',
  'cut_zone',
  'hang',
  'die',
  'notice',
  'blink',
  'deaf',
  'copies',
  'lose_workers',
];

const scenario: fc.Arbitrary<Scenario> = fc.record({
  seed: fc.integer({ min: 1, max: 2 ** 31 }),
  faults: fc.array(
    fc.record({
      atS: fc.integer({ min: 12, max: 100 }),
      kind: fc.constantFrom(...KINDS),
      who: fc.nat(12),
      forS: fc.integer({ min: 1, max: 45 }),
    }),
    { minLength: 1, maxLength: 7 },
  ),
  jobs: fc.array(
    fc.record({
      atS: fc.integer({ min: 1, max: 90 }),
      shape: fc.nat(5),
      tasks: fc.integer({ min: 1, max: 5 }),
      runS: fc.integer({ min: 3, max: 40 }),
      cancelS: fc.oneof(fc.constant(0), fc.integer({ min: 1, max: 40 })),
    }),
    { minLength: 4, maxLength: 12 },
  ),
});

test('no rule is broken whatever fails, in generated days of faults', { timeout: 300_000 }, async () => {
  let started = 0;
  let takeovers = 0;
  let over = 0;
  await fc.assert(
    fc.asyncProperty(scenario, async (s) => {
      const world = await play(s);
      started += world.started;
      takeovers += world.takeovers;
      for (const u of world.users.values()) if (u.told === 'done' || u.told === 'cancelled') over += 1;
      assert.equal(world.broken.slice(0, 3).join('; '), '');
    }),
    { seed: SEED, numRuns: 60, endOnFailure: true, includeErrorInReport: true },
  );
  // The days did something: tasks ran, jobs ended and leaders changed.
  assert.ok(started > 400 && takeovers > 80 && over > 150, `${started} ${takeovers} ${over}`);
});

test('once all troubles are over every job is served, and its user told', { timeout: 300_000 }, async () => {
  let served = 0;
  await fc.assert(
    fc.asyncProperty(scenario, async (s) => {
      const world = await play({ ...s, endS: 420 });
      assert.equal(world.broken.slice(0, 3).join('; '), '');
      assert.equal(world.unserved(120_000).slice(0, 3).join('; '), '');
      for (const u of world.users.values()) if (u.told === 'done') served += 1;
    }),
    { seed: SEED + 1, numRuns: 40, endOnFailure: true, includeErrorInReport: true },
  );
  assert.ok(served > 150, `${served}`);
});

test(
  'a machine that hears nothing and copies of old reports hold nothing up',
  { timeout: 300_000 },
  async () => {
    for (let seed = 1; seed <= 10; seed++) {
      const faults: Fault[] = [
        { atS: 14, kind: 'copies', who: 0, forS: 60 },
        { atS: 16, kind: 'deaf', who: seed, forS: 60 },
        { atS: 18, kind: 'deaf', who: seed + 1, forS: 60 },
        { atS: 30, kind: 'blink', who: 0, forS: 1 },
      ];
      const jobs = [3, 15, 17, 20, 24, 28].map((atS, i) => ({
        atS,
        shape: i % 6,
        tasks: 2,
        runS: 15,
        cancelS: 0,
      }));
      const world = await play({ seed: seed * 104729, faults, jobs, endS: 110 });
      assert.equal(world.broken.slice(0, 3).join('; '), '');
      const told = [...world.users.values()].map((u) => u.told);
      // The troubles go on until after the end, and yet everything was done in time.
      assert.deepEqual(
        told,
        jobs.map(() => 'done'),
        `seed ${seed}`,
      );
    }
  },
);

/** Days that are hard on one guard, so that the checker must notice when it is gone. */
async function breaks(
  guards: Partial<Guards>,
  faults: Fault[],
  atS: number,
): Promise<{ with: number; without: number }> {
  const found = { with: 0, without: 0 };
  for (let seed = 1; seed <= 12; seed++) {
    // Work from the start on keeps machines of both zones; the rest comes when it matters.
    const jobs = [2, 2, atS, atS, atS, atS].map((at, i) => ({
      atS: at,
      shape: (i * 2) % 6,
      tasks: i < 2 ? 2 : 1,
      runS: 40,
      cancelS: 0,
    }));
    const s: Scenario = { seed: seed * 7919, faults, jobs };
    found.with += (await play(s)).broken.length;
    found.without += (await play(s, guards)).broken.length;
  }
  return found;
}

test(
  'without the roster a new leader starts tasks that unheard machines still run',
  { timeout: 300_000 },
  async () => {
    const faults: Fault[] = [
      { atS: 34, kind: 'cut_zone', who: 1, forS: 18 },
      { atS: 35, kind: 'crash', who: 0, forS: 4 },
    ];
    const found = await breaks({ roster: false }, faults, 2);
    assert.equal(found.with, 0);
    assert.ok(found.without > 0);
  },
);

test('a leader that loses only its workers leaves the lead to others, and no machine is given back', async () => {
  // It kept its lease, called all machines silent, and gave back healthy ones with the tasks on them.
  for (let seed = 1; seed <= 4; seed++) {
    const jobs = [2, 2, 2, 30].map((atS) => ({ atS, shape: 0, tasks: 4, runS: 40, cancelS: 0 }));
    const faults: Fault[] = [{ atS: 25, kind: 'lose_workers', who: 0, forS: 70 }];
    const world = await play({ seed: seed * 17, faults, jobs, endS: 140 });
    assert.equal(world.broken.slice(0, 3).join('; '), '');
    assert.equal(world.takeovers, 2);
    assert.equal(world.started, 16, 'nothing was started twice for having been lost');
    for (const u of world.users.values()) assert.equal(u.told, 'done');
  }
});

test(
  'without the note of what was begun a new leader starts what unheard machines run',
  { timeout: 300_000 },
  async () => {
    // Three machines of a zone at least, so that their silence is taken for a cut and nothing is returned.
    const jobs = Array.from({ length: 12 }, () => ({ atS: 2, shape: 0, tasks: 5, runS: 40, cancelS: 0 }));
    const faults: Fault[] = [
      { atS: 45, kind: 'cut_zone', who: 0, forS: 30 },
      { atS: 46, kind: 'crash', who: 0, forS: 4 },
    ];
    const found = { with: 0, without: 0 };
    for (let seed = 1; seed <= 4; seed++) {
      const s: Scenario = { seed: seed * 7919, faults, jobs };
      found.with += (await play(s)).broken.length;
      found.without += (await play(s, { begun: false })).broken.length;
    }
    assert.equal(found.with, 0);
    assert.ok(found.without > 0);
  },
);

function startedTwice(world: World): number {
  return world.broken.filter((rule) => rule.startsWith('ran_twice')).length;
}

test('without the sure lease two leaders start the same tasks', { timeout: 300_000 }, async () => {
  const faults: Fault[] = [
    { atS: 20, kind: 'refuse', who: 0, forS: 40 },
    { atS: 18, kind: 'cut_zone', who: 0, forS: 12 },
    { atS: 18, kind: 'cut_zone', who: 1, forS: 12 },
  ];
  const broken = { with: 0, withoutLease: 0, withoutBoth: 0 };
  for (let seed = 1; seed <= 6; seed++) {
    const jobs = Array.from({ length: 12 }, (_, i) => ({
      atS: i < 2 ? 2 : 24,
      shape: i < 2 ? 0 : (i * 2) % 6,
      tasks: i < 2 ? 2 : 1,
      runS: 40,
      cancelS: 0,
    }));
    const s: Scenario = { seed: seed * 7919, faults, jobs };
    broken.with += (await play(s)).broken.length;
    broken.withoutLease += startedTwice(await play(s, { lease: false }));
    broken.withoutBoth += startedTwice(await play(s, { lease: false, begun: false }));
  }
  assert.equal(broken.with, 0);
  // The note of what was begun alone would prevent it as well: a leader that was can't write it. What such a leader
  // tells users is another matter.
  assert.equal(broken.withoutLease, 0);
  assert.ok(broken.withoutBoth > 0);
});
