import assert from 'node:assert/strict';
import test from 'node:test';
import { required } from '../../src/base/required.ts';
import { describe, play } from './days.ts';

const JOBS = 240;
/** Machines that come up are written too, and the election; this is what the first ones cost. */
const OTHER_CHANGES = 12;

// There is room from the start, so that only writes, orders and images can keep a task waiting.
test('one-task jobs at four a second cost three changes each: created, begun, over', async () => {
  // They cost 5.2 to 5.6, and a burst of them kept starts and ends waiting for the state service for half a minute.
  const jobs = Array.from({ length: JOBS }, (_, i) => ({
    atS: 12 + i / 4,
    shape: 0,
    tasks: 1,
    runS: 4,
    cancelS: i % 4 === 3 ? 3 : 0,
  }));
  const day = await play({ seed: 5023, faults: [], jobs, endS: 180, machinesPerZone: 6 });
  assert.equal(describe(day), '');
  const told = [...day.told.values()];
  assert.ok(told.every((stage) => stage === 'done' || stage === 'aborted'));
  const done = told.filter((stage) => stage === 'done').length;
  assert.ok(done >= (JOBS * 3) / 4, `${done} done`);
  const each = (day.requestedChangeCount - OTHER_CHANGES) / JOBS;
  assert.ok(each <= 3, `${each.toFixed(2)} changes a job`);
  // They began soon, too.
  const waits = [...day.firstStartS].map(([id, at]) => at - required(jobs[Number(id.slice(4))], id).atS);
  waits.sort((a, b) => a - b);
  const median = required(waits[Math.floor(waits.length / 2)], 'median');
  assert.ok(median < 5, `half waited over ${median} s`);
});
