// Case 5 beyond 120 s, with the gang accepted in the run: TAG GANG_TASKS any|same RANK LIMIT_S [SECONDS_SINCE_ACCEPTED].
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import * as L from '../standins-2/lib.mjs';

const HERE = dirname(fileURLToPath(import.meta.url));
const ROOT = join(HERE, '../..');
const [tag, gangN, same, vr, limit, seedAge] = [process.argv[2], Number(process.argv[3]), process.argv[4]==='same', process.argv[5], Number(process.argv[6]), Number(process.argv[7]??0)];
const record = new L.Record(`${HERE}/record.txt`);
const settings = L.planningClusterSettings();
const types = [{ name: 'linde', cores: 16, accelerators: 0, memGb: 32, localGb: 50, pullGbPerS: 1, rate: 0.74, spotPrice: 0.28, startupS: 50, yards: settings.zones }];
const d = new L.Deployment({ root: ROOT, record, settings, types, locations: settings.zones });
await d.start();
const gang = L.createJob('req-900000002', { batch:'tour-plan', crew:'logistik', shape:'ensemble', rank: 'urgent', loaves: gangN, cores: 15, memGb: 26, samePlace: same, bakeS: 150, proofS:45, coolS:5 });
if (seedAge) { d.state.seed([['o/req-900000002', { at: Date.now() - seedAge*1000, job: gang }]]); d.jobs.set(gang.uid, gang); }
for (let i=0;i<4;i++) await d.cloud.addRunning('linde', settings.zones[i%2]);
for (let i = 0; i < 3; i++) d.startNode(i);
const users = new L.Users(d);
await d.waitFor('leader', ()=>d.leaderIndex()>=0, 10000);
for (let i=0;i<4;i++) await users.submit(L.createJob(`req-90000001${i}`, { crew:'buchhaltung', cores: 9, memGb: 8, bakeS: 900, recipe: 'img-1'+i }));
await d.waitFor('fill', ()=>d.tasks.starts.length>=4, seedAge?13000:20000);
if (!seedAge) await users.submit(gang);
if (!seedAge) await L.pause(66000);
await users.submit(L.createJob('req-900000003', { rank: vr, loaves: 12, cores: 2, memGb: 2, bakeS: 5, crew: 'einkauf' }));
const t0=L.now();
while (L.now() < limit*1000) { await L.pause(5000); const a = await users.poll('req-900000003'); if (a.body?.stage==='done') break; }
console.log(tag, 'ended at', L.now()/1000, 'submitted', t0/1000, 'machines', [...d.cloud.machines.keys()].length, 'starts', d.tasks.starts.map(s=>s.task+'@'+s.machine.slice(-1)+'@'+Math.round(s.at/1000)).join(' '));
for (let i=0;i<3;i++) console.log(d.logLines(i,['internal','uncaught','terminated','preempted']).slice(0,6).join('\n'));
await d.stop();
