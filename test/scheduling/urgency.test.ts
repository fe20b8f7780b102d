import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { assignGuarantees, computeUrgency } from '../../src/scheduling/urgency.ts';
import { createTaskGroup, SEED } from '../helpers.ts';

const RESERVE_MS = 60_000;

test('a guarantee goes to the most urgent jobs within its amount, and to all jobs if they fit together', () => {
  // If it went to the oldest jobs, small jobs would wait behind large ones that can't be in time.
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
      const groups = list.map((j, job) =>
        createTaskGroup({ ...j, job, need: { cpus: 1, gpus: j.gpus, memory: 1 } }),
      );
      const guaranteeHeadroom = [0, 1].map(() => ({ cpus: null, gpus: amount }));
      assignGuarantees(groups, guaranteeHeadroom, RESERVE_MS);
      for (const team of [0, 1]) {
        const own = groups.filter((g) => g.team === team && g.need.gpus > 0);
        const sum = (of: typeof own): number => of.reduce((n, g) => n + g.pending * g.need.gpus, 0);
        const given = own.filter((g) => g.guaranteed);
        assert.ok(sum(given) <= amount);
        if (sum(own) <= amount) assert.equal(given.length, own.length);
        const rest = amount - sum(given);
        for (const g of own) if (!g.guaranteed) assert.ok(g.pending * g.need.gpus > rest);
      }
      // No CPUs are guaranteed, so nothing is guaranteed for tasks without GPUs.
      assert.ok(groups.every((g) => g.need.gpus > 0 || !g.guaranteed));
    }),
    { seed: SEED },
  );
});

test('of jobs with the same slack the smaller one goes first, and a starving job goes before both', () => {
  const small = createTaskGroup({ slackS: 50, relativeWork: 0.2 });
  const large = createTaskGroup({ slackS: 50, relativeWork: 4 });
  const starving = createTaskGroup({ slackS: 50, relativeWork: 9, waitedMs: RESERVE_MS * 3 });
  const late = createTaskGroup({ slackS: -1, relativeWork: 0.1 });
  const keys = [starving, small, large, late].map((g) => computeUrgency(g, RESERVE_MS));
  assert.deepEqual(
    [...keys].sort((a, b) => b - a),
    keys,
  );
  // A large job that is about to be late still goes before a small one with much slack.
  assert.ok(
    computeUrgency(createTaskGroup({ slackS: 0, relativeWork: 2 }), RESERVE_MS) >
      computeUrgency({ ...small, slackS: 300 }, RESERVE_MS),
  );
});
