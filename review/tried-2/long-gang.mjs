// Case 6 beyond 120 s, on the order cluster: LIMIT_S GANG_TASKS TAG [RANK_OF_GANG RANK_OF_JOB ROOM].
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import * as L from '../standins-2/lib.mjs';

const HERE = dirname(fileURLToPath(import.meta.url));
const ROOT = join(HERE, '../..');
const limit = Number(process.argv[2]), gangN = Number(process.argv[3]), tag=process.argv[4], grank=process.argv[5]??'urgent', jrank=process.argv[6]??'standard', room=Number(process.argv[7]??0);
const record = new L.Record(`${HERE}/record.txt`);
const settings = L.orderClusterSettings();
const d = new L.Deployment({ root: ROOT, record, settings, types: L.ORDER_TYPES, locations: settings.zones });
await d.start();
for (let i=0;i<1;i++) await d.cloud.addRunning('zuuh', 'khan-uul');
d.cloud.room = room;
for (let i = 0; i < 3; i++) d.startNode(i);
const users = new L.Users(d);
await d.waitFor('leader', ()=>d.leaderIndex()>=0, 10000);
await users.submit(L.createJob('req-900000002', { rank: 'urgent', loaves: 1, cores: 1, memGb: 1, bakeS: 600, crew:'bakeries' }));
await d.waitFor('fill runs', () => d.tasks.starts.length >= 1, 20000);
if (gangN) await users.submit(L.createJob('req-900000001', { shape:'ensemble', rank: grank, loaves: gangN, cores: 15, memGb: 50, samePlace: true, bakeS: 100, proofS: 60, coolS: 3 }));
await L.pause(1000);
await users.submit(L.createJob('req-900000003', { rank: jrank, loaves: 12, cores: 4, memGb: 1, bakeS: 5, crew: 'orders' }));
const t0 = L.now();
while (L.now() < limit*1000) { await L.pause(5000); const a = await users.poll('req-900000003'); if (a.body?.stage==='done') break; }
console.log(tag, process.argv.slice(2).join(' '), 'ended at', L.now()/1000, 'machines', [...d.cloud.machines.keys()], 'starts', d.tasks.starts.map(s=>s.task+'@'+Math.round(s.at/1000)).join(' '));
for (let i=0;i<3;i++) console.log(d.logLines(i,['internal','uncaught','terminated','preempted']).slice(0,6).join('\n'));
await d.stop();
