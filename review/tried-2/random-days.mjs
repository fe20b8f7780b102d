// Random days on real processes. Arguments: SEED SECONDS. No rule was broken; see REPORT-2.md.
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import * as L from '../standins-2/lib.mjs';

const HERE = dirname(fileURLToPath(import.meta.url));
const ROOT = join(HERE, '../..');
const seed = Number(process.argv[2]), durS = Number(process.argv[3]);
const record = new L.Record(`${HERE}/record.txt`);
const settings = L.planningClusterSettings();
settings.teams.push({name:'dispatch',cpus:0,cpus_max:24,gpus:0,gpus_max:0});
const types = L.ORDER_TYPES.slice(0,2).map(t=>({...t,yards:settings.zones,startupS:4}));
const d = new L.Deployment({ root: ROOT, record, settings, types, locations: settings.zones, seed: 7919*seed+13 });
const R = d.random;
await d.start();
for (let i=0;i<6;i++) await d.cloud.addRunning(i%2?'guril':'tsagaan', settings.zones[i%3]);
d.cloud.room = 12;
for (let i = 0; i < 3; i++) d.startNode(i);
const users = new L.Users(d);
await L.pause(2000);
const jobs = new Map(); const bad = [];
let n = 0, stop = false;
const say = (x) => { bad.push(x); record.add('BAD '+x); };
async function userJob() {
  const uid = `req-${String(1000000+seed*10000+(++n))}`;
  const job = L.createJob(uid, { loaves: 1+Math.floor(R()*5), cores: 1+Math.floor(R()*3), memGb: 1, bakeS: 2+Math.floor(R()*20), samePlace: R()<.2, rank: ['urgent','standard','low'][Math.floor(R()*3)], crew: R()<.5?'dispatch':'einkauf' });
  const a = await users.submit(job);
  if (!a || a.status >= 400) { if (a) say(`${uid} submit ${a.status}`); return; }
  const s = { uid, cancelledAt: null, final: null }; jobs.set(uid, s);
  const cancelAfter = R() < .35 ? R()*25000 : Infinity; const t0 = L.now();
  while (!stop) {
    await L.pause(700 + R()*2500);
    if (L.now()-t0 > cancelAfter && !s.final) {
      const c = await users.cancel(uid, 60000);
      if (c?.status === 404) say(`${uid} cancel 404`);
      if (c?.status === 200) { if (s.final && s.final !== c.body.stage) say(`${uid} went back ${s.final} ${c.body.stage}`); s.final = c.body.stage; if (c.body.stage === 'aborted') s.cancelledAt = L.now(); }
    }
    const p = await users.poll(uid);
    if (p.status === 404) say(`${uid} poll 404`);
    if (p.status === 200) { const st = p.body.stage; if (s.final && st !== s.final) say(`${uid} went back ${s.final} -> ${st}`); if (st === 'aborted' && cancelAfter === Infinity) say(`${uid} aborted uncalled`); if ((st==='done'||st==='aborted') && !s.final) { s.final = st; if (st==='aborted') s.cancelledAt = L.now(); if (st==='done') for (let i=0;i<job.loaves;i++) if (!d.kept.has(`${uid}/${i}`)) say(`${uid} not done ${i}`); } if (s.final && L.now()-t0 > 40000) return; }
    if (R()<.1) { const b = await users.submit(job); if (b?.status===400||b?.status===422) say(`${uid} resubmit ${b.status}`); if (b?.status===201 && s.final) say(`${uid} recreated`); }
  }
}
(async()=>{ while(!stop){ void userJob(); await L.pause(600+R()*1500);} })();
(async()=>{ while(!stop){ await L.pause(300);
  for (const s of jobs.values()) if (s.cancelledAt) for (const [t,h] of d.tasks.holders) if (t.startsWith(s.uid+'/') && h.size && L.now()-s.cancelledAt > settings.workers.cancel_s*1000+200 && !s.rc) { s.rc=1; say(`ran_cancelled ${t} on ${[...h]}`); }
  let cpu=0; for (const [t,h] of d.tasks.holders) { const j=d.jobs.get(t.split('/')[0]); if (j.crew==='dispatch') cpu+=j.cores*h.size; } if (cpu>24) say(`quota ${cpu}`);
 }})();
const t0=L.now();
while (L.now()-t0 < durS*1000) {
  await L.pause(1500+R()*9000);
  const x = R(); const li = d.leaderIndex();
  const i = R()<.6 && li>=0 ? li : Math.floor(R()*3);
  if (x<.3) { record.add('kill '+i); d.killNode(i); const b = R()<.4? 50+R()*300 : 4000; setTimeout(()=>{ if(!stop && !d.nodes[i].process) d.startNode(i); }, b+30); }
  else if (x<.6) { const p=d.nodes[i].process; if (p) { const ms=1000+R()*14000; record.add(`stop ${i} ${ms|0}`); p.kill('SIGSTOP'); setTimeout(()=>p.kill('SIGCONT'), ms);} }
  else if (x<.75) { if (!d.state.outage) { const ms=2000+R()*20000; d.state.beginOutage(); setTimeout(()=>d.state.endOutage(), ms);} }
  else if (x<.85) { record.add('all killed'); for (let k=0;k<3;k++){ d.killNode(k); setTimeout(()=>{ if(!stop && !d.nodes[k].process) d.startNode(k); }, 100+R()*4000);} }
  else if (x<.92) { const m=[...d.cloud.machines.values()].filter(e=>e.worker.alive); if (m.length>3) { const e=m[Math.floor(R()*m.length)]; record.add('machine dies '+e.machine.uid); e.worker.stop('died'); d.cloud.room++; } }
  else d.state.latencyMs = R()<.5?5:80+R()*150;
}
stop = true; await L.pause(300);
for (const t of d.tasks.twice) say('twice '+JSON.stringify(t));
const errs = d.nodes.flatMap((_,i)=>d.logLines(i,['internal error','uncaught','unhandled','malformed']));
console.log('seed',seed,'jobs',jobs.size,'final',[...jobs.values()].filter(s=>s.final).length,'starts',d.tasks.starts.length,'bad',bad.length, bad.slice(0,5), 'errors', errs.slice(0,2));
await d.stop(); process.exit(0);
