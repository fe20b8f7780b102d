// Beside review/3: the same deployment for 400 s, to see what becomes of the job after the 90 s of the rule. TASKS tasks.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { breadSettings, breadTypes, Deployment, job, pause } from '../../lib/case.mjs';

const settings = breadSettings({ teams: [{ name: 'grain-survey', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 }] });
const d = new Deployment(dirname(fileURLToPath(import.meta.url)), settings, breadTypes({ nuden: 2 }));
let started = 0;
const fields = { crew: 'grain-survey', batch: 'harvest-backfill', rank: 'low', loaves: 8, cores: 8, memGb: 28.8, borrowed: true, bakeS: 30, proofS: 30, coolS: 3, ovens: ['nuden'], recipe: 'img-02' };
await d.start(['khan-uul', 'sukhbaatar']);
await d.cloud.addRunning('nuden', 'khan-uul');
d.world.onStart = (_, t) => (started += t.uid === 'req-000002' ? 1 : 0);
await d.submit(job(1, { crew: 'quality', cores: 6, accelerators: 1, memGb: 36, bakeS: 900, ovens: ['nuden'] }));
await pause(10_000);
await d.submit(job(2, fields));
while (d.now() < 400) {
  await pause(20_000);
  const p = await d.poll('req-000002', 0);
  d.record({ what: 'user asks', answer: p.body, started });
}
d.finish(0);
