import assert from 'node:assert/strict';
import test from 'node:test';
import { LEADER_WRITE_SHARE, createSubmissionBudget } from '../../src/store/budget.ts';
import { FakeClock } from '../helpers.ts';

test('submissions may arrive in a burst, and their average rate leaves the leader its share of writes', () => {
  // A burst of only one second's share would refuse jobs that arrive together while the service is idle.
  const clock = new FakeClock();
  const writesPerSecond = 30;
  const nodes = 5;
  const budgets = Array.from({ length: nodes }, () =>
    createSubmissionBudget(writesPerSecond, nodes, () => clock.now()),
  );
  const take = (): number => {
    let taken = 0;
    for (const budget of budgets) while (budget.take()) taken += 1;
    return taken;
  };
  const share = writesPerSecond * (1 - LEADER_WRITE_SHARE);
  assert.ok(take() >= 3 * share, 'at once');
  let taken = 0;
  for (let second = 0; second < 60; second++) {
    clock.at += 1000;
    taken += take();
  }
  assert.ok(taken <= 60 * share * 1.5 + nodes, `${taken} in a minute`);
  assert.ok(taken >= 60 * share, `${taken} in a minute`);
});
