// Tried in part one: a catalog whose stored form is under value_kb in characters and over it in bytes. ASCII=1: the same
// with names of one byte a character. Exits with 1 if no task was started in 60 s.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { breadSettings, breadTypes, Deployment, job, pause } from '../../lib/case.mjs';

const ascii = process.env.ASCII === '1';
const zones = ascii ? ['bayanzurkh', 'khan-uul', 'sukhbaatar'] : ['Баянзүрхд', 'Хан-Уулд', 'Сүхбаатард'];
const settings = { ...breadSettings(), zones };
const types = breadTypes({ zuuh: 1 });
for (let i = 0; i < 39; i++) types.push({ ...types[1], name: `${ascii ? 'zuukh-type' : 'зуух-төрөл'}-${10 + i}` });
for (const t of types) t.yards = zones;
const d = new Deployment(dirname(fileURLToPath(import.meta.url)), settings, types);
let started = 0;
d.world.onStart = () => (started += 1);
await d.start([zones[1], zones[2]]);
await d.cloud.addRunning('zuuh', zones[1]);
const statuses = [];
const transaction = d.state.transaction.bind(d.state);
d.state.transaction = (b, n) => {
  const a = transaction(b, n);
  statuses.push(a.status);
  return a;
};
if ((await d.submit(job(1, { cores: 2, bakeS: 5 }))) !== 201) d.finish(2);
while (d.now() < 60 && started === 0) await pause(500);
d.record({ what: 'verdict', started, refusedAsMalformed: statuses.filter((s) => s === 400).length });
d.finish(started === 0 ? 1 : 0);
