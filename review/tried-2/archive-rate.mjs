// How many records of ended jobs the leader archives while tasks end all the time: busy|idle.
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import * as L from '../standins-2/lib.mjs';

const HERE = dirname(fileURLToPath(import.meta.url));
const ROOT = join(HERE, '../..');
const busy = process.argv[2] === 'busy';
const record = new L.Record(`${HERE}/record.txt`);
const settings = L.planningClusterSettings();
settings.nodes = 5; settings.limits.cores = 0.306;
settings.teams.push({name:'dispatch',cpus:0,cpus_max:0,gpus:0,gpus_max:0});
const types = L.ORDER_TYPES.map(t=>({...t,yards:settings.zones}));
const d = new L.Deployment({ root: ROOT, record, settings, types, locations: settings.zones });
d.tasks.quiet = true;
await d.start();
d.state.seed(Array.from({length:6000},(_,i)=>[`o/req-${String(i).padStart(8,'0')}`, { s: 'done', n: 1 }]));
await d.cloud.addRunning('guril', settings.zones[0]);
await d.cloud.addRunning('guril', settings.zones[1]);
for (let i = 0; i < settings.nodes; i++) d.startNode(i);
const users = new L.Users(d);
await L.pause(2500);
if (busy) for (let i=0;i<6;i++) await users.submit(L.createJob(`req-90000000${i}`, { bakeS: 4, runS:4, cores: 1, loaves: 150 }));
const t0=L.now();
while (L.now()-t0<75000) { await L.pause(10000); let f=0,o=0; for (const k of d.state.keys.keys()) { if (k.startsWith('f/')) f++; else if (k.startsWith('o/')) o++; } console.log(busy, Math.round(L.now()/1000), 'archived', f, 'unarchived', o, 'task ends', d.tasks.ends.length); }
await d.stop();
