import assert from 'node:assert/strict';
import test from 'node:test';
import { required } from '../../src/base/required.ts';
import { describeViolations, simulateDay } from './days.ts';

const JOBS = 240;
/** Mutations that don't belong to a job: those of the election and of the registration of the first machines. */
const OTHER_MUTATIONS = 12;

// Capacity is free from the start, so that only writes, commands and image fetches can delay a task.
test('one-task jobs at four per second cost at most three mutations each: open record, start watermark, terminal record', async () => {
  // At 5.2 to 5.6 mutations per job, a burst of such jobs delays starts and ends by half a minute, for the rate of the
  // state service.
  const jobs = Array.from({ length: JOBS }, (_, i) => ({
    atS: 12 + i / 4,
    kind: 0,
    tasks: 1,
    runS: 4,
    cancelS: i % 4 === 3 ? 3 : 0,
  }));
  const day = await simulateDay({ seed: 5023, faults: [], jobs, endS: 180, machinesPerZone: 6 });
  assert.equal(describeViolations(day), '');
  const stages = [...day.lastStageByJob.values()];
  assert.ok(stages.every((stage) => stage === 'done' || stage === 'aborted'));
  const doneCount = stages.filter((stage) => stage === 'done').length;
  assert.ok(doneCount >= (JOBS * 3) / 4, `${doneCount} done`);
  const mutationsPerJob = (day.requestedChangeCount - OTHER_MUTATIONS) / JOBS;
  assert.ok(mutationsPerJob <= 3, `${mutationsPerJob.toFixed(2)} mutations per job`);
  // The tasks also start soon.
  const waitsS = [...day.firstStartSByJob].map(
    ([id, at]) => at - required(jobs[Number(id.slice(4))], id).atS,
  );
  waitsS.sort((a, b) => a - b);
  const medianS = required(waitsS[Math.floor(waitsS.length / 2)], 'median');
  assert.ok(medianS < 5, `the median wait is ${medianS} s`);
});
