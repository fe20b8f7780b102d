import assert from 'node:assert/strict';
import test from 'node:test';
import { ArrivalForecast } from '../../src/scheduling/forecast.ts';
import { decodeStoredJob } from '../../src/wire/user.ts';
import { JOB } from '../wire/sample.ts';

test('tasks of watched classes are expected while jobs arrive, and no longer once the class is quiet', () => {
  const decoded = decodeStoredJob({ ...JOB, loaves: 2 });
  assert.ok(decoded.ok);
  const job = decoded.value;
  const forecast = new ArrivalForecast(new Set(['train']));
  const other = new ArrivalForecast(new Set(['else']));
  for (let t = 0; t <= 200_000; t += 20_000) {
    forecast.record(job, t);
    other.record(job, t);
  }
  const tasksAt = (f: ArrivalForecast, t: number): number =>
    f.expectedTasks(t, () => 50, 1).reduce((n, e) => n + e.tasks, 0);
  assert.ok(tasksAt(forecast, 210_000) >= 2);
  assert.equal(tasksAt(other, 210_000), 0);
  // Otherwise surplus machines are held for minutes after the last arrival of the day.
  assert.equal(tasksAt(forecast, 400_000), 0);
});
