// Tried in part one: random days of some 100 s on real processes, with the rules of PROTOCOL checked from what users and
// workers see. Usage: node review/tried/chaos.mjs SEED FOLDER
import { mkdirSync } from 'node:fs';
import { connect, createServer } from 'node:net';
import { breadSettings, breadTypes, Deployment, job, pause } from '../lib/case.mjs';
import { call, serve } from '../lib/http.mjs';
import { Worker } from '../lib/worker.mjs';

const seed = Number(process.argv[2] ?? 1);
const folder = process.argv[3];
mkdirSync(folder, { recursive: true });
let x = (seed * 2654435761) >>> 0 || 1;
const rnd = () => {
  x ^= x << 13;
  x >>>= 0;
  x ^= x >>> 17;
  x ^= x << 5;
  x >>>= 0;
  return x / 4294967296;
};
const pick = (a) => a[Math.floor(rnd() * a.length)];
const between = (a, b) => a + rnd() * (b - a);

const settings = breadSettings();
settings.teams = [
  { name: 'orders', cpus: 0, cpus_max: 40, gpus: 0, gpus_max: 0 },
  { name: 'stores', cpus: 8, cpus_max: 24, gpus: 0, gpus_max: 0 },
];
settings.workers = { report_s: 1.5, lease_s: 9, gang_wait_s: 12, gang_peer_s: 3, cancel_s: 19 };
settings.limits.cores = 0.3;
const types = breadTypes({ guril: 3, tsagaan: 3 });
for (const t of types) t.startupS = 2;
const d = new Deployment(folder, settings, types);
const broken = [];
const flag = (rule, what) => {
  broken.push(rule);
  d.record({ what: 'BROKEN', rule, ...what });
};

// ---- troubles of workers and of the state service
const faults = { lateReports: 0, lateCommands: 0, lateWrites: 0, lostAnswers: 0 };
Worker.prototype.hungMs = function () {
  return Math.max(0, (this.hungUntil ?? 0) - performance.now());
};
const plainTick = Worker.prototype.tickTock;
Worker.prototype.tickTock = function () {
  if (this.hungMs() === 0) plainTick.call(this);
};
const plainLater = Worker.prototype.later;
Worker.prototype.later = function (task, ms, f) {
  plainLater.call(this, task, ms, () => {
    if (this.hungMs() > 0) this.later(task, this.hungMs() + 1, f);
    else f();
  });
};
const plainRoute = Worker.prototype.route;
Worker.prototype.route = async function (m, u, t) {
  while (this.hungMs() > 0) await pause(this.hungMs() + 2);
  if (!this.gone) plainTick.call(this);
  if (performance.now() < (this.deafUntil ?? 0)) return null;
  if (u.pathname === '/orders' && rnd() < faults.lateCommands) {
    setTimeout(async () => {
      while (this.hungMs() > 0) await pause(this.hungMs() + 2);
      if (!this.gone) plainRoute.call(this, m, u, t);
    }, between(2000, 16000));
    return null;
  }
  return plainRoute.call(this, m, u, t);
};
const plainReport = Worker.prototype.report;
Worker.prototype.report = function () {
  const text = plainReport.call(this);
  if (rnd() < faults.lateReports) {
    setTimeout(() => {
      for (const c of d.controllers) if (rnd() < 0.5) void call(c.address, 'POST', '/checkin', text, 3000);
    }, between(2000, 25000));
  }
  return text;
};
const plainExecute = Worker.prototype.execute;
Worker.prototype.execute = function (orders, by) {
  if (by.startsWith('response') && (this.hungMs() > 0 || performance.now() < (this.deafUntil ?? 0))) return;
  plainExecute.call(this, orders, by);
};
const plainSee = Worker.prototype.seeToken;
Worker.prototype.seeToken = function (b) {
  if (performance.now() < (this.deafUntil ?? 0)) return;
  plainSee.call(this, b);
};
Object.defineProperty(Worker.prototype, 'renewedAt', {
  get() {
    return this.renewed;
  },
  set(v) {
    // An answer that a deaf machine doesn't receive renews nothing; a new session begins all the same.
    if (performance.now() < (this.deafUntil ?? 0) && v < performance.now() - 5) return;
    this.renewed = v;
  },
});
const plainTransaction = d.state.transaction.bind(d.state);
d.state.transaction = (body, size) => {
  const r = rnd();
  if (r < faults.lateWrites) {
    setTimeout(() => !d.state.outage && plainTransaction(body, size), between(2000, 12000));
    return null;
  }
  const a = plainTransaction(body, size);
  return r < faults.lateWrites + faults.lostAnswers ? null : a;
};

// ---- what users and workers see
const on = new Map(); // loaf -> Map worker -> task
const jobs = new Map(); // uid -> {body, accepted, told, toldAt, cancelAsked, cancelToldAt}
const teamUse = () => {
  const use = {};
  for (const [, m] of on) for (const t of m.values()) use[t.job.crew] = (use[t.job.crew] ?? 0) + t.job.cores;
  return use;
};
d.world.onStart = (w, t) => {
  const holders = on.get(t.loaf) ?? new Map();
  for (const o of holders.keys()) if (o !== w) flag('ran_twice', { task: t.loaf, try: t.try, on: w.identity.hearth, also: o.identity.hearth });
  holders.set(w, t);
  on.set(t.loaf, holders);
  const j = jobs.get(t.uid);
  if (t.job.samePlace)
    for (const [loaf, m] of on) for (const [o, u] of m) if (u.uid === t.uid && o.identity.yard !== w.identity.yard) flag('wrong_place', { task: t.loaf, other: loaf });
  if (t.job.apart) {
    let n = 0;
    for (const [, m] of on) for (const [o, u] of m) if (u.uid === t.uid && o.identity.yard === w.identity.yard) n += 1;
    if (n > Math.ceil(t.job.loaves / 2)) flag('wrong_place', { task: t.loaf, apart: n });
  }
  if (t.job.ovens && !t.job.ovens.includes(w.identity.oven)) flag('wrong_place', { task: t.loaf, oven: w.identity.oven });
  for (const team of settings.teams) if (team.cpus_max > 0 && (teamUse()[team.name] ?? 0) > team.cpus_max + 1e-6) flag('quota', { team: team.name, use: teamUse()[team.name] });
  if (j?.cancelToldAt && d.now() - j.cancelToldAt > settings.workers.cancel_s) flag('ran_cancelled', { task: t.loaf, afterS: d.now() - j.cancelToldAt, start: true });
};
d.world.onEnd = (w, t, cause) => {
  on.get(t.loaf)?.delete(w);
  const j = jobs.get(t.uid);
  if (j?.cancelToldAt && d.now() - j.cancelToldAt > settings.workers.cancel_s + 0.1) flag('ran_cancelled', { task: t.loaf, afterS: d.now() - j.cancelToldAt, cause });
};
const order = { pending: 1, running: 1, done: 2, aborted: 2 };
function told(uid, a, askedAt, how) {
  const j = jobs.get(uid);
  if (!a) return;
  if (a.status === 404) {
    if (j.acceptedAt && j.acceptedAt < askedAt) flag('forgotten', { uid, how });
    return;
  }
  if (a.status === 400 || a.status === 422) {
    if (j.acceptedAt && j.acceptedAt < askedAt) flag('forgotten', { uid, how, status: a.status });
    return;
  }
  if (a.status !== 200 && a.status !== 201) return;
  const { stage } = a.body;
  j.acceptedAt ??= performance.now();
  if (j.final && j.finalAt < askedAt && stage !== j.final) flag('went_back', { uid, how, was: j.final, now: stage });
  if (order[stage] === 2 && j.final && stage !== j.final) flag('went_back', { uid, how, was: j.final, now: stage, overlap: true });
  if (stage === 'aborted' && !j.cancelAsked) flag('went_back', { uid, how, notAsked: true });
  if (stage === 'done') for (let i = 0; i < j.body.loaves; i++) if (!d.world.done.has(`${uid}/${i}`)) flag('not_done', { uid, task: i, how });
  if (order[stage] === 2 && !j.final) {
    j.final = stage;
    j.finalAt = performance.now();
    if (stage === 'aborted') j.cancelToldAt = d.now();
    j.look?.();
  }
}
const at = (c) => c.address;
async function ask(uid, c, how) {
  const t = performance.now();
  told(uid, await call(at(c), 'GET', `/work/${uid}`, null, 2000), t, `${how} ${c.name}`);
}
let ending = false;
async function user(n) {
  const kind = rnd();
  const body = job(n, {
    crew: pick(['orders', 'stores']), loaves: kind < 0.5 ? 1 : 1 + Math.floor(rnd() * 4), cores: pick([1, 2, 4]), memGb: 4,
    bakeS: between(0.5, 14), imageGb: between(0, 1), rank: pick(['low', 'standard', 'urgent']), shape: kind > 0.8 ? 'ensemble' : 'array',
    samePlace: rnd() < 0.2, borrowed: rnd() < 0.5, recipe: `img-${Math.floor(rnd() * 4)}`, proofS: rnd() < 0.3 ? 2 : 0, coolS: 1,
    ovens: rnd() < 0.2 ? ['guril'] : null,
  });
  body.apart = !body.samePlace && body.loaves > 1 && rnd() < 0.2;
  const { uid } = body;
  d.world.jobs.set(uid, body);
  const j = { body };
  jobs.set(uid, j);
  j.look = () => {
    for (let i = 0; i < 3; i++) setTimeout(() => d.controllers.forEach((c) => void ask(uid, c, 'close look')), i * 3);
  };
  while (!j.acceptedAt && !ending) {
    const t = performance.now();
    const c = pick(d.controllers);
    const a = await call(at(c), 'POST', '/work', body, 5000);
    told(uid, a, t, `submit ${c.name}`);
    if (a?.status === 400 || a?.status === 422) return;
    if (!j.acceptedAt) await pause(1000);
  }
  if (rnd() < 0.3) setTimeout(() => void cancel(), between(0, 15_000));
  async function cancel() {
    j.cancelAsked = true;
    for (let i = 0; i < 30 && !j.final && !ending; i++) {
      const t = performance.now();
      const c = pick(d.controllers);
      const a = await call(at(c), 'POST', `/work/${uid}/cancel`, {}, 5000);
      if (a && a.status === 200 && !['aborted', 'done'].includes(a.body?.stage)) flag('cancel answer', { uid, a: a.text });
      told(uid, a, t, `cancel ${c.name}`);
      if (!j.final) await pause(1000);
    }
  }
  while (!j.final && !ending) {
    await pause(between(500, 2500));
    await ask(uid, pick(d.controllers), 'poll');
    if (rnd() < 0.1) {
      const t = performance.now();
      told(uid, await call(at(pick(d.controllers)), 'POST', '/work', body, 5000), t, 'repeat');
    }
  }
}

// ---- cuts: a proxy on each link between controllers and to the state service
class Link {
  constructor(target) {
    this.target = target;
    this.mode = 'pass';
    this.pairs = new Set();
  }
  async listen() {
    const server = createServer((a) => this.accept(a));
    await new Promise((r) => server.listen(0, '127.0.0.1', r));
    this.address = `127.0.0.1:${server.address().port}`;
    return this;
  }
  accept(a) {
    if (this.mode === 'refuse' || this.mode === 'reset') return a.resetAndDestroy();
    a.on('error', () => {});
    if (this.mode === 'hold') {
      // An attempt that is given up before the cut ends doesn't complete.
      a.pause();
      const wait = setInterval(() => {
        if (a.destroyed || a.readableEnded) clearInterval(wait);
        else if (this.mode === 'pass') {
          clearInterval(wait);
          this.join(a);
        }
      }, 20);
      a.on('close', () => clearInterval(wait));
      return;
    }
    this.join(a);
  }
  join(a) {
    const [host, port] = this.target().split(':');
    const b = connect({ host, port: Number(port) });
    const pair = { a, b, queue: [] };
    this.pairs.add(pair);
    const pass = (to) => (data) => {
      if (this.mode === 'hold') pair.queue.push([to, data]);
      else to.write(data);
    };
    const end = (to) => () => {
      if (this.mode === 'hold') pair.queue.push([to, null]);
      else to.end();
      if (this.mode !== 'hold') setTimeout(() => this.pairs.delete(pair), 1000);
    };
    a.on('data', pass(b));
    b.on('data', pass(a));
    a.on('end', end(b));
    b.on('end', end(a));
    a.on('close', end(b));
    b.on('close', end(a));
    a.on('error', () => {});
    b.on('error', () => a.destroy());
  }
  cut(mode, ms) {
    if (this.mode !== 'pass') return;
    this.mode = mode;
    if (mode === 'reset') for (const { a, b } of this.pairs) (a.resetAndDestroy(), b.destroy());
    setTimeout(() => {
      this.mode = 'pass';
      for (const p of this.pairs) {
        for (const [to, data] of p.queue.splice(0)) if (!to.destroyed) data === null ? to.end() : to.write(data);
      }
    }, ms);
  }
}
const links = {};
for (let i = 0; i < 3; i++)
  for (let k = 0; k < 3; k++) if (i !== k) links[`${i}${k}`] = await new Link(() => d.controllers[k].mesh).listen();
const indexOf = (c) => d.controllers.indexOf(c);
d.meshOf = (c, o) => links[`${indexOf(c)}${indexOf(o)}`].address;
const refused = new Set();
d.stateOf = async (c) => {
  const own = await serve((m, u, t) => {
    if (!refused.has(c)) return d.state.route(m, u, t);
    return { status: 503, body: {} };
  });
  links[`s${indexOf(c)}`] = await new Link(() => own.address).listen();
  return links[`s${indexOf(c)}`].address;
};

await d.start(['khan-uul', 'sukhbaatar']);
for (const z of ['bayanzurkh', 'khan-uul', 'sukhbaatar']) for (const o of ['guril', 'tsagaan']) await d.cloud.addRunning(o, z);
let n = 100;
const END = Number(process.env.END_S ?? 95);
const QUIET = Number(process.env.QUIET_S ?? 70); // no trouble begins from here on
const users = [];
let nextFault = 8;
while (d.now() < END) {
  if (d.now() < QUIET - 6 && rnd() < 0.45) users.push(user(n++));
  if (d.now() < QUIET && d.now() > nextFault) {
    nextFault = d.now() + between(0.5, 6);
    const c = pick(d.controllers);
    const workers = [...d.world.workers];
    const w = pick(workers);
    const forMs = between(500, 12_000);
    const kind = pick(['kill', 'kill', 'killAll', 'freeze', 'freeze', 'outage', 'lateWrites', 'lostAnswers', 'lateCommands', 'lateReports', 'hang', 'hang', 'deaf', 'die', 'refuseOne', 'refuseThenOutage', 'cutState', 'cutStateAndPeers', 'cutPeers']);
    d.record({ what: 'trouble', kind, node: c.name, machine: w?.identity.hearth, forMs: Math.round(forMs) });
    const kill = (k) => {
      if (!k.child) return;
      k.child.kill('SIGKILL');
      setTimeout(() => !k.child && !ending && d.spawn(k), pick([60, 200, 1000, 5000]));
    };
    if (kind === 'kill') kill(c);
    else if (kind === 'killAll') d.controllers.forEach(kill);
    else if (kind === 'freeze' && c.child) {
      const { child } = c;
      child.kill('SIGSTOP');
      setTimeout(() => child.kill('SIGCONT'), forMs);
    } else if (kind === 'outage' && !d.state.outage) {
      d.state.setOutage(true);
      setTimeout(() => d.state.setOutage(false), forMs);
    } else if (kind in faults) {
      faults[kind] = between(0.1, 0.7);
      setTimeout(() => (faults[kind] = 0), forMs);
    } else if (kind === 'hang' && w) w.hungUntil = performance.now() + forMs;
    else if (kind === 'deaf' && w) w.deafUntil = performance.now() + forMs * 2;
    else if (kind === 'die' && w) w.stop();
    else if (kind === 'refuseOne' || kind === 'refuseThenOutage') {
      refused.add(c);
      setTimeout(() => refused.delete(c), forMs);
      if (kind === 'refuseThenOutage')
        setTimeout(() => {
          d.state.setOutage(true);
          setTimeout(() => d.state.setOutage(false), between(2000, 20_000));
        }, between(300, forMs));
    } else if (kind.startsWith('cut')) {
      const mode = pick(['hold', 'hold', 'reset', 'refuse']);
      const i = indexOf(c);
      if (kind !== 'cutPeers') links[`s${i}`].cut(mode, forMs);
      if (kind !== 'cutState') for (const [k, l] of Object.entries(links)) if (!k.startsWith('s') && k.includes(String(i))) l.cut(mode, forMs);
    }
  }
  await pause(200);
}
ending = true;
for (const [, m] of on)
  for (const [w, t] of m) {
    const j = jobs.get(t.uid);
    if (!w.gone && j?.cancelToldAt && d.now() - j.cancelToldAt > settings.workers.cancel_s) flag('ran_cancelled', { task: t.loaf, stillOn: w.identity.hearth });
  }
const open = [...jobs].filter(([, j]) => j.acceptedAt && !j.final).map(([u]) => u);
if (process.env.END_S) for (const u of open) d.record({ what: 'open', uid: u, body: jobs.get(u).body, cancelAsked: jobs.get(u).cancelAsked }, true);
d.record({ what: 'day over', seed, jobs: jobs.size, done: [...jobs.values()].filter((j) => j.final === 'done').length, cancelled: [...jobs.values()].filter((j) => j.final === 'aborted').length, open: open.length, broken });
d.finish(broken.length ? 1 : 0);
