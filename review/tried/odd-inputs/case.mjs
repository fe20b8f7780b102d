// Tried in part one. GANG: a gang that its own zone rules keep from ever running. LARGE=1: a state service whose lease
// ids and revisions are beyond 2^53 (PROTOCOL: "integers smaller than 2^64"). Prints what is answered.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { breadSettings, breadTypes, Deployment, job, pause } from '../../lib/case.mjs';

const d = new Deployment(dirname(fileURLToPath(import.meta.url)), breadSettings(), breadTypes({ guril: 1 }));
if (process.env.LARGE === '1') d.state.nextLease = 2 ** 60;
let started = 0;
d.world.onStart = () => (started += 1);
await d.start(['khan-uul', 'sukhbaatar']);
await d.cloud.addRunning('guril', 'khan-uul');
await d.submit(job(1, { cores: 1, bakeS: 1 }));
await d.submit(job(2, { shape: 'ensemble', loaves: 2, samePlace: true, apart: true }));
await d.submit(job(3, { shape: 'ensemble', loaves: 2, yard: 'khan-uul', apart: true }));
await pause(20_000);
const answers = await Promise.all(['req-000001', 'req-000002', 'req-000003'].map((u, i) => d.poll(u, i)));
d.record({ what: 'verdict', started, answers: answers.map((a) => a.body?.stage ?? a.status) });
d.finish(0);
