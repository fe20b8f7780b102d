import assert from 'node:assert/strict';
import test from 'node:test';
import { describeViolations, simulateDay } from './days.ts';
import { FAULT_COMBINATIONS } from './meetings.ts';

const DEFAULT_SEED_COUNT = 3;

/** Simulates each fault combination with a few seeds: no rule is violated and no end-of-day check fails. */
for (const { name, day, seedCount } of FAULT_COMBINATIONS) {
  test(`fault combination: ${name}`, { timeout: 120_000 }, async () => {
    const failures: string[] = [];
    for (let seed = 1; seed <= (seedCount ?? DEFAULT_SEED_COUNT); seed++) {
      const result = await simulateDay({ ...day, seed: seed * 6151 });
      assert.ok(result.taskStartCount > 0, 'tasks ran');
      if (result.violations.length > 0) failures.push(`seed ${seed * 6151}: ${describeViolations(result)}`);
    }
    assert.equal(failures.join('\n\n'), '');
  });
}
