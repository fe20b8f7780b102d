import assert from 'node:assert/strict';
import test from 'node:test';
import { pino } from 'pino';
import { required } from '../../src/base/required.ts';
import { isDefectEntry } from '../defects.ts';
import { describeViolations, simulateDay } from './days.ts';

interface LogEntry {
  msg: string;
  machine?: string;
  machines?: string[];
  job?: string;
  reason?: string;
}

test('jobs that fail on every machine stay open until cancelled; only the faulty machine is terminated as faulty', async () => {
  // Guards against two errors in telling faulty jobs from faulty machines: healthy machines are taken out of use
  // because of jobs that fail everywhere, and machines that fail every job are kept.
  let returnedCount = 0;
  for (let seed = 1; seed <= 6; seed++) {
    const entries: LogEntry[] = [];
    const log = pino(
      { level: 'info' },
      { write: (line: string) => entries.push(JSON.parse(line) as LogEntry) },
    );
    // The first three jobs fail everywhere and are cancelled late: an array, a gang, and an array that spreads its tasks.
    const jobs = Array.from({ length: 14 }, (_, i) => ({
      atS: 2 + i * 4,
      kind: i % 6,
      tasks: 3,
      runS: 12,
      cancelS: i < 3 ? 100 : 0,
      mistaken: i < 3,
    }));
    const day = await simulateDay(
      { seed: seed * 31, faults: [], faulty: [1], jobs, endS: 200 },
      undefined,
      log,
    );
    assert.equal(describeViolations(day), '');
    assert.deepEqual(entries.filter(isDefectEntry), []);
    const stages = [...day.lastStageByJob].sort(([a], [b]) => a.localeCompare(b)).map(([, stage]) => stage);
    assert.deepEqual(
      stages,
      jobs.map((j) => (j.mistaken ? 'aborted' : 'done')),
    );
    const returnedMachines = entries
      .filter((e) => e.msg === 'machine terminated' && e.reason === 'faulty')
      .map((e) => required(e.machine, 'machine of the log line'));
    for (const name of returnedMachines) assert.ok(day.faultyMachines.has(name), `${name} is healthy`);
    returnedCount += returnedMachines.length;
    const failedAttempts = entries.filter((e) => e.msg === 'task failed' && e.job === 'req-000000').length;
    assert.ok(
      failedAttempts >= 5 && failedAttempts <= 14,
      `${failedAttempts} attempts of an array that always fails`,
    );
  }
  assert.ok(returnedCount > 0);
});
