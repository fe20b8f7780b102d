// From how many records on a new leader reads no state: RECORDS order|plan|five.
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import * as L from '../standins-2/lib.mjs';

const HERE = dirname(fileURLToPath(import.meta.url));
const ROOT = join(HERE, '../..');
const N = Number(process.argv[2]), which = process.argv[3] ?? 'order';
const record = new L.Record(`${HERE}/record.txt`);
const settings = which === 'order' ? L.orderClusterSettings() : L.planningClusterSettings();
if (which !== 'order') settings.teams.push({name:'dispatch',cpus:0,cpus_max:0,gpus:0,gpus_max:0});
if (which === 'five') settings.nodes = 5;
const types = L.ORDER_TYPES.map(t=>({...t,yards:settings.zones}));
const d = new L.Deployment({ root: ROOT, record, settings, types, locations: settings.zones });
await d.start();
const seed = [];
for (let i = 0; i < N; i++) seed.push([`o/req-${String(i).padStart(8,'0')}`, { s: 'done', n: 1 }]);
d.state.seed(seed);
await d.cloud.addRunning('guril', settings.zones[0]);
for (let i = 0; i < settings.nodes; i++) d.startNode(i);
const users = new L.Users(d);
await L.pause(2500);
const r = await users.submit(L.createJob('req-900000001', { bakeS: 3, cores: 1 }));
for (let i = 0; i < 8; i++) { await L.pause(5000); const a = await users.poll('req-900000001'); if (a.body?.stage === 'done') break; }
console.log(d.state.counts, d.nodes.map((n,i)=>[...d.logLines(i,['leadership','recovered','malformed'])].map(l=>{const o=JSON.parse(l);return `${o.time??''} ${o.node} ${o.msg} ${o.reason??''} ${o.term??''}`}).slice(0,8)));
await d.stop();
