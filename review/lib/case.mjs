// What the cases share: a small deployment of real controllers with stand-ins around them, and the record of a run.
import { spawn } from 'node:child_process';
import { createWriteStream, existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Cloud } from './cloud.mjs';
import { call } from './http.mjs';
import { StateService } from './state.mjs';

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
export const pause = (ms) => new Promise((r) => setTimeout(r, ms));

const taken = new Set();

/** A free port below the range from which the system takes those of outgoing connections, so that it stays free. */
async function freePort() {
  for (let i = 0; i < 200; i++) {
    const port = 15_000 + Math.floor(Math.random() * 17_000);
    if (taken.has(port)) continue;
    const free = await new Promise((resolve) => {
      const s = createServer().once('error', () => resolve(false));
      s.listen(port, '127.0.0.1', () => s.close(() => resolve(true)));
    });
    if (!free) continue;
    taken.add(port);
    return port;
  }
  throw new Error('no free port');
}

/** The program and its arguments, as `run` of deploy/service.toml names them. */
function runCommand() {
  const text = readFileSync(join(ROOT, 'deploy', 'service.toml'), 'utf8');
  const run = /^run\s*=\s*"(.*)"\s*$/m.exec(text);
  if (!run) throw new Error('deploy/service.toml has no run command');
  return run[1].split(' ').filter(Boolean);
}

export class Deployment {
  constructor(folder, settings, types) {
    this.settings = settings;
    this.startedAt = performance.now();
    this.out = createWriteStream(join(folder, 'record.txt'));
    this.controllers = [];
    this.events = [];
    const record = (event, quiet) => this.record(event, quiet);
    this.world = { controllers: this.controllers, jobs: new Map(), workers: new Set(), done: new Set(), record, onStart: () => {}, onEnd: () => {} };
    this.state = new StateService({ valueKb: settings.state.value_kb, txnOps: settings.state.txn_ops });
    this.cloud = new Cloud(types, settings.workers, this.world);
    this.ending = false;
    for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'])
      process.on(signal, () => {
        this.killAll();
        process.exit(2);
      });
    process.on('exit', () => this.killAll());
    process.on('uncaughtException', (e) => {
      this.record({ what: 'the case failed', error: String(e?.stack ?? e) });
      this.finish(2);
    });
    process.on('unhandledRejection', (e) => {
      this.record({ what: 'the case failed', error: String(e?.stack ?? e) });
      this.finish(2);
    });
  }

  now() {
    return (performance.now() - this.startedAt) / 1000;
  }

  record(event, quiet = false) {
    const entry = { t: Number(this.now().toFixed(3)), ...event };
    this.events.push(entry);
    const line = JSON.stringify(entry);
    this.out.write(line + '\n');
    if (!quiet && !this.ending) process.stdout.write(line + '\n');
  }

  async start(zones) {
    if (!existsSync(join(ROOT, 'target', 'main.cjs'))) throw new Error('target/main.cjs is missing: run the build of the deploy file');
    const state = await this.state.start();
    const cloud = await this.cloud.start();
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    for (let i = 0; i < this.settings.nodes; i++)
      this.controllers.push({
        name: `hearth-${i}`,
        location: zones[i % zones.length],
        address: `127.0.0.1:${await freePort()}`,
        mesh: `127.0.0.1:${await freePort()}`,
      });
    for (const c of this.controllers) {
      c.file = join(this.folder, `${c.name}.json`);
      const seeds = this.controllers.filter((o) => o !== c).map((o) => ({ host_name: o.name, location: o.location, peer_addr: (this.meshOf ?? ((_, p) => p.mesh))(c, o) }));
      writeFileSync(
        c.file,
        JSON.stringify({
          host_name: c.name,
          location: c.location,
          serve_on: c.address,
          mesh_addr: c.mesh,
          seeds,
          endpoints: { cloud, state: this.stateOf ? await this.stateOf(c, state) : state },
          settings: this.settings,
        }),
      );
      this.spawn(c);
    }
    for (let i = 0; i < 200; i++) {
      const healthy = await Promise.all(this.controllers.map((c) => call(c.address, 'GET', '/healthz', null, 1000)));
      if (healthy.every((h) => h?.status === 200)) return;
      await pause(100);
    }
    throw new Error('the controllers did not become healthy');
  }

  spawn(c) {
    const [program, ...args] = runCommand();
    const child = spawn(program === 'node' ? process.execPath : program, [...args, c.file], {
      cwd: ROOT,
      stdio: ['ignore', 'ignore', 'pipe'],
      env: { ...process.env, LOG_LEVEL: process.env.LOG_LEVEL ?? 'info' },
    });
    c.child = child;
    let rest = '';
    child.stderr.on('data', (d) => {
      rest += d;
      const lines = rest.split('\n');
      rest = lines.pop();
      for (const l of lines) this.out.write(`# ${c.name} ${this.now().toFixed(3)} ${l.slice(0, 400)}\n`);
    });
    child.on('exit', (code, signal) => {
      c.child = null;
      if (!this.ending) this.record({ what: 'controller ended', node: c.name, code, signal });
    });
    this.record({ what: 'controller started', node: c.name, pid: child.pid });
  }

  killAll() {
    this.ending = true;
    for (const c of this.controllers) {
      try {
        c.child?.kill('SIGKILL');
      } catch {
        // it has ended
      }
    }
    if (this.folder) rmSync(this.folder, { recursive: true, force: true });
  }

  finish(code) {
    if (this.finished) return;
    this.finished = true;
    this.record({ what: 'exit', code });
    this.killAll();
    this.out.end(() => process.exit(code));
    setTimeout(() => process.exit(code), 1000);
  }

  /** Submits a job as a user does: repeated until it is accepted or refused, for up to 60 s. */
  async submit(body, extra = {}) {
    this.world.jobs.set(body.uid, { ...body, ...extra });
    const until = performance.now() + 60_000;
    for (let i = 0; performance.now() < until; i++) {
      const c = this.controllers[i % this.controllers.length];
      const a = await call(c.address, 'POST', '/work', body, 5000);
      this.record({ what: 'submission', uid: body.uid, to: c.name, status: a?.status ?? null, answer: a?.text.slice(0, 200) ?? null });
      if (a && [200, 201, 400, 422].includes(a.status)) return a.status;
      await pause(1000);
    }
    return null;
  }

  async poll(uid, node) {
    const c = this.controllers[node];
    const a = await call(c.address, 'GET', `/work/${uid}`, null, 2000);
    return { node: c.name, status: a?.status ?? null, body: a?.body ?? null };
  }

  async health(c) {
    return (await call(c.address, 'GET', '/healthz', null, 1000))?.status ?? null;
  }

  async cancel(uid, node) {
    const c = this.controllers[node];
    const a = await call(c.address, 'POST', `/work/${uid}/cancel`, {}, 5000);
    this.record({ what: 'cancel', uid, to: c.name, status: a?.status ?? null, answer: a?.text.slice(0, 200) ?? null });
    return a;
  }
}

/** Settings like those of the small deployment "Ulaanbaatar Bread Supply" (BRIEF, DEPLOY). */
export function breadSettings(more = {}) {
  const team = (name, gpus, gpus_max) => ({ name, cpus: 0, cpus_max: 0, gpus, gpus_max });
  return {
    nodes: 3,
    zones: ['bayanzurkh', 'khan-uul', 'sukhbaatar'],
    teams: [team('dispatch', 8, 50), team('bakeries', 8, 50), team('orders', 8, 100), team('quality', 8, 32), team('stores', 8, 150), team('finance', 8, 70), ...(more.teams ?? [])],
    objectives: [
      { kind: 'wait', class: 'route-solve', within_s: 10, share: 0.82 },
      { kind: 'finished', class: 'route-solve', within_s: 180, share: 0.94 },
      { kind: 'finished', class: 'loaf-vision', within_s: 200, share: 0.9 },
      { kind: 'finished', class: 'loaf-vision', within_s: 300, share: 0.9 },
    ],
    workers: { report_s: 3, lease_s: 31, gang_wait_s: 45, gang_peer_s: 5, cancel_s: 61 },
    state: { rps: 100, write_rps: 25, value_kb: 8, txn_ops: 20 },
    cloud: { rps: 4, list_lag_s: 4 },
    limits: { cores: 0.085, memory_mb: 178, sockets: 1500 },
    clock_off_ms: 100,
  };
}

export function breadTypes(capacity) {
  const t = (name, cores, accelerators, memGb, localGb, pullGbPerS, rate, spotPrice, startupS) => ({
    name, cores, accelerators, memGb, localGb, pullGbPerS, rate, spotPrice, startupS,
    yards: ['bayanzurkh', 'khan-uul', 'sukhbaatar'], capacity: capacity[name] ?? 0,
  });
  return [
    t('tsagaan', 4, 0, 32, 35, 0.8, 0.23, 0.11, 15),
    t('guril', 16, 0, 128, 40, 0.8, 1.01, 0.39, 25),
    t('zuuh', 32, 0, 128, 80, 0.8, 1.65, 0.69, 25),
    t('nuden', 32, 4, 192, 80, 0.4, 12.37, 5.24, 45),
  ];
}

/** A job as a user submits it. */
export function job(n, fields) {
  return {
    uid: `req-${String(n).padStart(6, '0')}`,
    batch: 'loaf-vision', crew: 'orders', shape: 'array', rank: 'standard', loaves: 1, cores: 1, accelerators: 0, memGb: 1,
    ovens: null, yard: null, samePlace: false, apart: false, borrowed: false, recipe: 'img-01', imageGb: 0.5,
    bakeS: 60, proofS: 0, coolS: 0, dueS: null, ...fields,
  };
}
