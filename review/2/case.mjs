// The leader ends and another takes over; later the state service is down. See claim.txt.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { breadSettings, breadTypes, Deployment, job, pause } from '../lib/case.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const LIMIT_S = 90; // the rule's own
const OUTAGE_S = 94;
const ASK_S = 4.6; // PROTOCOL: users poll "roughly every 5 s"

// Processor, memory and sockets as of the other small deployment (gc-steiermark): its leases end sooner.
const settings = breadSettings();
settings.limits = { cores: 0.34, memory_mb: 306, sockets: 2000 };
const d = new Deployment(dirname(fileURLToPath(import.meta.url)), settings, breadTypes({ guril: 2 }));
await d.start(['khan-uul', 'sukhbaatar']);
await d.cloud.addRunning('guril', 'khan-uul');

const fields = { cores: 1, memGb: 2, imageGb: 0, ovens: ['guril'] };
const past = Array.from({ length: 4 }, (_, i) => job(1 + i, { ...fields, crew: 'orders', bakeS: 0.5 }));
const open = Array.from({ length: 8 }, (_, i) => job(11 + i, { ...fields, crew: 'stores', bakeS: 300 }));
for (const j of [...open, ...past]) if ((await d.submit(j)) !== 201) d.finish(2);
const allDone = () => past.every((j) => d.world.done.has(`${j.uid}/0`));
while (!allDone() && d.now() < 20) await pause(50);
if (!allDone()) d.finish(2);
// Each user is told of the end, by the leader: the controller that answers the worker.
const [worker] = d.world.workers;
const leader = d.controllers[worker.node];
for (const j of past) {
  let stage = null;
  for (let i = 0; i < 30 && stage !== 'done'; i++) {
    const p = await d.poll(j.uid, worker.node);
    stage = p.body?.stage ?? null;
    if (stage !== 'done') await pause(100);
    else d.record({ what: 'told', uid: j.uid, by: leader.name, answer: p.body });
  }
  if (stage !== 'done') d.finish(2);
}

if (TROUBLE) {
  const before = worker.baton;
  leader.child.kill('SIGKILL');
  await pause(1000);
  d.spawn(leader);
  while ((await d.health(leader)) !== 200 || worker.baton === before) {
    if (d.now() > 20) d.finish(2);
    await pause(50);
  }
  d.record({ what: 'another controller leads, the one that ended is back', newToken: worker.baton, health: await Promise.all(d.controllers.map((c) => d.health(c))) });
  await pause(500);
  d.record({ what: 'the state service is down' });
  d.state.setOutage(true);
}

const polls = []; // {t, uid, past, ok}
let polling = true;
async function user(uid, isPast, k) {
  await pause(100 * k);
  for (let n = k; polling; n++) {
    const t = d.now();
    const p = await d.poll(uid, n % 3);
    polls.push({ t, uid, past: isPast, ok: p.status === 200 || p.status === 404 });
    d.record({ what: 'poll', uid, node: p.node, status: p.status, stage: p.body?.stage ?? null }, true);
    await pause(ASK_S * 1000);
  }
}
const users = [...past.map((j, k) => user(j.uid, true, k)), ...open.map((j, k) => user(j.uid, false, k))];
const began = d.now();
if (TROUBLE) {
  await pause(OUTAGE_S * 1000);
  d.state.setOutage(false);
  d.record({ what: 'the state service is back', afterS: Number((d.now() - began).toFixed(1)) });
} else await pause(20_000);
polling = false;
const after = await Promise.all(past.map((j, k) => d.poll(j.uid, k % 3)));
d.record({ what: 'afterwards', answers: after.map((p) => p.body ?? p.status) });

// forgotten: "every poll for it fails for 90 s while most other polls are answered".
const forgotten = [];
for (const { uid } of past) {
  const own = polls.filter((p) => p.uid === uid && p.t <= began + OUTAGE_S);
  const failedForS = own.some((p) => p.ok) ? 0 : own.at(-1).t - own[0].t;
  const others = polls.filter((p) => p.uid !== uid && p.t >= own[0].t && p.t <= own.at(-1).t);
  const answered = others.filter((p) => p.ok).length;
  d.record({ what: 'job', uid, polls: own.length, failedForS: Number(failedForS.toFixed(1)), others: others.length, othersAnswered: answered });
  if (failedForS >= LIMIT_S && answered > others.length / 2) forgotten.push(uid);
}
const failures = polls.filter((p) => !p.ok).length;
d.record({ what: 'verdict', forgotten, failedPolls: failures, polls: polls.length, broken: forgotten.length > 0 });
d.finish(forgotten.length > 0 ? 1 : TROUBLE || failures === 0 ? 0 : 2);
