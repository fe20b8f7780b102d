// Tried in part two, for the entry of KNOWN-RED.txt: workers in number, three controllers that get a share of one
// core each (stopped and continued by their processor time), and users who ask about their jobs (arrays of 35 tasks of 6 CPUs and
// 1 GPU). Environment: MACHINES, SHARE, JOBS.
import { fork } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { breadSettings, breadTypes, Deployment, job, pause } from '../../lib/case.mjs';

const here = dirname(fileURLToPath(import.meta.url));
const MACHINES = Number(process.env.MACHINES ?? 4000);
const SHARE = Number(process.env.SHARE ?? 0.085);
const FARMS = 4;
const settings = breadSettings();
settings.workers.report_s = 5;
settings.teams = settings.teams.map((t) => ({ ...t, gpus: 2580, gpus_max: 12900 }));
const d = new Deployment(here, settings, breadTypes({}));
const listed = [];
const route = d.cloud.route.bind(d.cloud);
d.cloud.route = (m, u, b) => {
  if (m !== 'GET' || u.pathname !== '/rentals') return route(m, u, b);
  const since = u.searchParams.get('since') ?? '';
  const rest = listed.filter((x) => x.uid > since);
  return { status: 200, body: { hearths: rest.slice(0, 500).map((x) => ({ ...x, oven: 'nuden', borrowed: false, stage: 'running', ageS: 600 })), hasNext: rest.length > 500 } };
};
await d.start(['khan-uul', 'sukhbaatar']);
const farms = [];
const stats = [];
const plain = d.controllers.map(({ name, address }) => ({ name, address }));
for (let f = 0; f < FARMS; f++) {
  const count = Math.floor(MACHINES / FARMS);
  const farm = fork(join(here, 'farm.mjs'), [JSON.stringify({ count, first: 1 + f * count, controllers: plain, reportMs: 5000, leaseMs: 31000, oven: 'nuden', yards: settings.zones })]);
  farms.push(farm);
  await new Promise((r) => farm.on('message', (m) => {
    if (m.machines) (listed.push(...m.machines), r());
    if (m.stats) stats[f] = m.stats;
  }));
}
listed.sort((a, b) => (a.uid < b.uid ? -1 : 1));
process.on('exit', () => farms.forEach((f) => f.kill('SIGKILL')));
// The share of one core: a process that has used more than its share so far stands still until it has not.
const cpuMs = (pid) => Number(readFileSync(`/proc/${pid}/schedstat`, 'utf8').split(' ')[0]) / 1e6;
const throttled = d.controllers.map((c) => ({ c, pid: c.child.pid, cpu0: cpuMs(c.child.pid), t0: performance.now(), stopped: false, stoppedMs: 0 }));
const throttle = setInterval(() => {
  for (const x of throttled) {
    if (!x.c.child || x.c.child.pid !== x.pid) continue;
    const ahead = cpuMs(x.pid) - x.cpu0 - SHARE * (performance.now() - x.t0);
    if (!x.stopped && ahead > 10) (process.kill(x.pid, 'SIGSTOP'), (x.stopped = true));
    else if (x.stopped && ahead <= 0) (process.kill(x.pid, 'SIGCONT'), (x.stopped = false));
  }
}, 5);
const jobs = Array.from({ length: Number(process.env.JOBS ?? 40) }, (_, i) => job(1 + i, { crew: 'stores', loaves: 35, cores: 6, accelerators: 1, memGb: 36, bakeS: 70, imageGb: 1, ovens: ['nuden'] }));
const polls = [];
let polling = true;
const users = jobs.map(async (j, k) => {
  await pause(k * 60);
  const status = await d.submit(j);
  const accepted = d.now();
  if (status !== 200 && status !== 201) return;
  for (let n = k; polling; n++) {
    const t = d.now();
    const p = await d.poll(j.uid, n % 3);
    polls.push({ t, uid: j.uid, ok: p.status === 200, accepted });
    await pause(5000);
  }
});
while (d.now() < 108) {
  await pause(5000);
  const sum = stats.filter(Boolean).reduce((a, s) => Object.fromEntries(Object.keys(s).map((k) => [k, (a[k] ?? 0) + s[k]])), {});
  const recent = polls.filter((p) => p.t > d.now() - 10);
  const shares = throttled.map((x) => Number(((cpuMs(x.pid) - x.cpu0) / (performance.now() - x.t0)).toFixed(3)));
  d.record({ what: 'state', shares, workers: sum, pollsAnswered: recent.filter((p) => p.ok).length, polls: recent.length });
}
polling = false;
clearInterval(throttle);
await Promise.all(users);
let forgotten = 0;
let longest = 0;
for (const j of jobs) {
  const own = polls.filter((p) => p.uid === j.uid);
  if (own.length === 0) continue;
  let from = own[0].accepted;
  let gap = 0;
  for (const p of own) {
    if (p.ok) from = p.t;
    else gap = Math.max(gap, p.t - from);
  }
  longest = Math.max(longest, gap);
  if (gap >= 75) forgotten += 1;
}
d.record({ what: 'verdict', machines: MACHINES, share: SHARE, polls: polls.length, answered: polls.filter((p) => p.ok).length, longestUnansweredS: Math.round(longest), unansweredFor75s: forgotten });
farms.forEach((f) => f.kill('SIGKILL'));
d.finish(forgotten > 0 ? 1 : 0);
