import assert from 'node:assert/strict';
import test from 'node:test';
import { digestDays } from './days.ts';
import { computeDigest, streamMessages } from './traffic-digest.ts';

const MIN_DAYS = 48;

const FAULT_KINDS = [
  'crash',
  'crash_all',
  'stall',
  'state_refuses',
  'state_outage',
  'state_slow',
  'late_writes',
  'late_reports',
  'late_commands',
  'repeated_requests',
  'node_cut',
  'zone_cut',
  'machine_cut',
  'machine_hang',
  'machine_die',
  'machine_notice',
  'machine_deaf',
  'machine_mute',
  'quick_boots',
  'cloud_trouble',
  'close_looks',
  'cancel_at_end',
  'cancel_now',
  'odd_requests',
];

test('the digest days cover every kind of fault, three and five controllers, with and without relaying', () => {
  const days = digestDays();
  assert.ok(days.length >= MIN_DAYS, `${days.length} days`);
  assert.equal(new Set(days.map(({ name }) => name)).size, days.length, 'names are unique');
  const kinds = new Set(days.flatMap(({ spec }) => spec.faults.map((fault) => fault.kind)));
  assert.deepEqual([...kinds].sort(), [...FAULT_KINDS].sort());
  for (const suffix of ['-3', '-3-relaying', '-5', '-5-relaying']) {
    assert.ok(
      days.some(({ name }) => name.endsWith(suffix)),
      suffix,
    );
  }
});

test('simulating a day twice gives the same digest, and changing one option gives another', async () => {
  const [day] = digestDays();
  assert.ok(day);
  const { spec } = day;
  const first = await computeDigest(spec);
  assert.ok(first.messages > 1000, `${first.messages}`);
  assert.deepEqual(await computeDigest(spec), first);
  const changed = await computeDigest({ ...spec, reportsPerCoreS: 1 });
  assert.notEqual(changed.sha256, first.sha256);
});

test('messages between controllers are hashed as encoded frames', async () => {
  const [day] = digestDays();
  assert.ok(day);
  const frames: string[] = [];
  await streamMessages(day.spec, (line) => {
    if (line.includes(' MESH ')) frames.push(line);
  });
  assert.ok(frames.length > 10, `${frames.length}`);
  for (const frame of frames) assert.match(frame, / [0-9a-f]{10,}$/);
});
