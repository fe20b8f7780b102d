import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { assignGuarantees, computeUrgency } from '../../src/scheduling/urgency.ts';
import { group, SEED } from '../helpers.ts';

const RESERVE_MS = 60_000;

test('a guarantee goes to the most urgent jobs, never beyond its amount, and to all that fit together', () => {
  // It once went to the oldest jobs, and small ones waited behind large ones that could not be in time.
  const jobs = fc.array(
    fc.record({
      team: fc.integer({ min: 0, max: 1 }),
      pending: fc.integer({ min: 1, max: 20 }),
      gpus: fc.integer({ min: 0, max: 2 }),
      slackS: fc.integer({ min: -1, max: 300 }),
      relativeWork: fc.double({ min: 0.1, max: 8, noNaN: true }),
    }),
    { minLength: 1, maxLength: 12 },
  );
  fc.assert(
    fc.property(jobs, fc.integer({ min: 0, max: 120 }), (list, amount) => {
      const groups = list.map((j, job) => group({ ...j, job, need: { cpus: 1, gpus: j.gpus, memory: 1 } }));
      const left = [0, 1].map(() => ({ cpus: null, gpus: amount }));
      assignGuarantees(groups, left, RESERVE_MS);
      for (const team of [0, 1]) {
        const own = groups.filter((g) => g.team === team && g.need.gpus > 0);
        const sum = (of: typeof own): number => of.reduce((n, g) => n + g.pending * g.need.gpus, 0);
        const given = own.filter((g) => g.guaranteed);
        assert.ok(sum(given) <= amount);
        if (sum(own) <= amount) assert.equal(given.length, own.length);
        const rest = amount - sum(given);
        for (const g of own) if (!g.guaranteed) assert.ok(g.pending * g.need.gpus > rest);
      }
      // Without GPUs and without a guarantee of processors nothing is guaranteed.
      assert.ok(groups.every((g) => g.need.gpus > 0 || !g.guaranteed));
    }),
    { seed: SEED },
  );
});

test('of jobs with the same time to spare the small one goes first; who has starved before both', () => {
  const small = group({ slackS: 50, relativeWork: 0.2 });
  const large = group({ slackS: 50, relativeWork: 4 });
  const starved = group({ slackS: 50, relativeWork: 9, waitedMs: RESERVE_MS * 3 });
  const late = group({ slackS: -1, relativeWork: 0.1 });
  const keys = [starved, small, large, late].map((g) => computeUrgency(g, RESERVE_MS));
  assert.deepEqual(
    [...keys].sort((a, b) => b - a),
    keys,
  );
  // A large job that is about to be late still goes before a small one with much time.
  assert.ok(
    computeUrgency(group({ slackS: 0, relativeWork: 2 }), RESERVE_MS) >
      computeUrgency({ ...small, slackS: 300 }, RESERVE_MS),
  );
});
