import assert from 'node:assert/strict';
import test from 'node:test';
import { describe, play } from './days.ts';
import { MEETINGS } from './meetings.ts';

const SEEDS = 3;

/** Each meeting of troubles by its name, with a few seeds: no rule breaks and no end-of-day check fails. */
for (const { name, day, seeds } of MEETINGS) {
  test(`meeting: ${name}`, { timeout: 120_000 }, async () => {
    const broken: string[] = [];
    for (let seed = 1; seed <= (seeds ?? SEEDS); seed++) {
      const played = await play({ ...day, seed: seed * 6151 });
      assert.ok(played.started > 0, 'tasks ran');
      if (played.violations.length > 0) broken.push(`seed ${seed * 6151}: ${describe(played)}`);
    }
    assert.equal(broken.join('\n\n'), '');
  });
}
