/**
 * Stand-ins for a deployment on loopback addresses, written from PROTOCOL and DEPLOY alone: the state service, the
 * cloud, workers and users, and the controllers as processes that are started with the run command of the deploy file.
 */
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

export const LIMIT_BYTES = 64 * 1024;
export const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
/** Steady milliseconds since this script began. */
export const now = () => performance.now();

/** The record of a run: one line for each event, with the seconds since the script began. */
export class Record {
  constructor(file) {
    this.file = file;
    this.lines = 0;
    writeFileSync(file, '');
  }

  add(text) {
    appendFileSync(this.file, `${(now() / 1000).toFixed(3).padStart(8)}  ${text}\n`);
    this.lines += 1;
  }
}

function listen(server, port = 0) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', () => resolve(`127.0.0.1:${server.address().port}`));
  });
}

/** Serves JSON over HTTP/1.1. `route(method, url, text, req)` returns {status, body}, or null: no answer at all. */
async function serveJson(route, port = 0) {
  const server = http.createServer({ keepAliveTimeout: 0 }, (req, res) => {
    const chunks = [];
    req.on('data', (chunk) => chunks.push(chunk));
    req.on('error', () => undefined);
    req.on('end', async () => {
      const text = Buffer.concat(chunks).toString('utf8');
      const answer = await route(req.method, new URL(req.url, 'http://x'), text, req);
      if (!answer || res.destroyed) return;
      const body = JSON.stringify(answer.body);
      res.writeHead(answer.status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) });
      res.end(body);
    });
  });
  const address = await listen(server, port);
  return { server, address };
}

function parse(text) {
  try {
    const value = JSON.parse(text === '' ? '{}' : text);
    return typeof value === 'object' && value !== null && !Array.isArray(value) ? value : null;
  } catch {
    return null;
  }
}

/** A limit per second with a burst of `burstS` seconds' worth. */
class Bucket {
  constructor(perSecond, burstS = 1) {
    this.perSecond = perSecond;
    this.size = perSecond * burstS;
    this.level = this.size;
    this.at = now();
  }

  take(count = 1) {
    const t = now();
    this.level = Math.min(this.size, this.level + ((t - this.at) / 1000) * this.perSecond);
    this.at = t;
    if (this.level < count) return false;
    this.level -= count;
    return true;
  }
}

/** The state service: keys, transactions, leases, watches, limits and outages, as PROTOCOL describes them. */
export class StateService {
  constructor(limits, record) {
    this.limits = limits;
    this.record = record;
    this.latencyMs = 5;
    this.keys = new Map();
    this.sorted = null;
    this.ledger = 1;
    this.log = [];
    this.grants = new Map();
    this.nextGrant = 1;
    this.watches = new Set();
    this.requests = new Bucket(limits.rps);
    this.writes = new Bucket(limits.write_rps);
    this.outage = false;
    this.counts = { requests: 0, refused429: 0, refused503: 0 };
  }

  async start() {
    const { server, address } = await serveJson((method, url, text) => this.answer(method, url, text));
    this.server = server;
    this.address = address;
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
    for (const grant of this.grants.values()) clearTimeout(grant.timer);
  }

  /** Puts keys before any controller runs. */
  seed(entries) {
    for (const [key, data] of entries) {
      this.ledger += 1;
      this.keys.set(key, { data, stamp: this.ledger, permit: null });
    }
    this.sorted = null;
  }

  /** During an outage every request gets 503, leases don't run out and open watches remain open. */
  beginOutage() {
    this.outage = true;
    for (const grant of this.grants.values()) clearTimeout(grant.timer);
    this.record.add('state service: outage begins');
  }

  endOutage() {
    this.outage = false;
    for (const [id, grant] of this.grants) this.armGrant(id, grant.ttlMs);
    for (const wake of [...this.watches]) wake();
    this.record.add('state service: outage ends');
  }

  async answer(method, url, text) {
    this.counts.requests += 1;
    await pause(this.latencyMs);
    if (this.outage) {
      this.counts.refused503 += 1;
      return { status: 503, body: { error: 'outage' } };
    }
    if (!this.requests.take()) {
      this.counts.refused429 += 1;
      return { status: 429, body: { error: 'too many requests' } };
    }
    const path = url.pathname;
    if (method === 'GET' && path.startsWith('/store/')) return this.get(path.slice('/store/'.length));
    if (method === 'GET' && path === '/store') return this.list(url.searchParams);
    if (method === 'GET' && path === '/follow') return this.follow(url.searchParams);
    const body = parse(text);
    if (!body) return { status: 400, body: { error: 'malformed' } };
    if (method === 'POST' && path === '/multi') return this.multi(body, Buffer.byteLength(text));
    if (method === 'POST' && path === '/grants') return this.grant(Number(body.ttlMs));
    const match = /^\/grants\/(\d+)(\/renew)?$/.exec(path);
    const id = Number(match?.[1]);
    const held = this.grants.get(id);
    if (!match || !held) return { status: 404, body: { error: 'no such lease' } };
    if (method === 'DELETE') this.endGrant(id);
    else this.armGrant(id, held.ttlMs);
    return { status: 200, body: {} };
  }

  get(key) {
    const entry = this.keys.get(key);
    if (!entry) return { status: 404, body: { ledger: this.ledger } };
    return { status: 200, body: { k: key, data: entry.data, stamp: entry.stamp, permit: entry.permit } };
  }

  list(query) {
    const prefix = query.get('starts') ?? '';
    const since = query.get('since') ?? '';
    const most = Math.min(1000, Number(query.get('most') ?? 1000));
    this.sorted ??= [...this.keys.keys()].sort();
    const from = since > prefix ? since : prefix;
    let low = 0;
    let high = this.sorted.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.sorted[middle] < from) low = middle + 1;
      else high = middle;
    }
    const rows = [];
    let bytes = 0;
    let hasNext = false;
    for (let i = low; i < this.sorted.length; i++) {
      const k = this.sorted[i];
      if (!k.startsWith(prefix)) break;
      if (k === since) continue;
      const { data, stamp } = this.keys.get(k);
      const row = { k, data, stamp };
      bytes += JSON.stringify(row).length + 1;
      if (rows.length >= most || bytes > 512 * 1024) {
        hasNext = true;
        break;
      }
      rows.push(row);
    }
    return { status: 200, body: { rows, hasNext, ledger: this.ledger } };
  }

  multi(body, bytes) {
    const conditions = body.if ?? [];
    const changes = body.then ?? [];
    const tooLong = (change) =>
      change.set !== undefined &&
      Buffer.byteLength(JSON.stringify(change.data)) > this.limits.value_kb * 1000;
    if (
      bytes > LIMIT_BYTES ||
      changes.length > this.limits.txn_ops ||
      conditions.length > 4 * this.limits.txn_ops ||
      changes.some(tooLong)
    )
      return { status: 400, body: { error: 'malformed' } };
    if (!this.writes.take(changes.length)) {
      this.counts.refused429 += 1;
      return { status: 429, body: { error: 'too many changes' } };
    }
    const failed = conditions.filter((c) => (this.keys.get(c.k)?.stamp ?? 0) !== c.stamp).map((c) => c.k);
    if (failed.length > 0) return { status: 409, body: { failed, ledger: this.ledger } };
    if (changes.some((c) => c.set !== undefined && c.permit != null && !this.grants.has(c.permit)))
      return { status: 400, body: { error: 'no such lease' } };
    this.apply(changes);
    return { status: 200, body: { ledger: this.ledger } };
  }

  apply(changes) {
    if (changes.length === 0) return;
    this.ledger += 1;
    for (const change of changes) {
      if (change.set !== undefined) {
        if (!this.keys.has(change.set)) this.sorted = null;
        this.keys.set(change.set, { data: change.data, stamp: this.ledger, permit: change.permit ?? null });
        this.log.push({ set: change.set, data: change.data, stamp: this.ledger });
      } else if (this.keys.delete(change.drop)) {
        this.sorted = null;
        this.log.push({ drop: change.drop, stamp: this.ledger });
      }
    }
    if (this.log.length > 10_000) this.log.splice(0, this.log.length - 10_000);
    for (const wake of [...this.watches]) wake();
  }

  grant(ttlMs) {
    if (!(ttlMs >= 100 && ttlMs <= 600_000)) return { status: 400, body: { error: 'malformed' } };
    const id = this.nextGrant++;
    this.armGrant(id, ttlMs);
    return { status: 200, body: { permit: id } };
  }

  armGrant(id, ttlMs) {
    clearTimeout(this.grants.get(id)?.timer);
    this.grants.set(id, { ttlMs, timer: setTimeout(() => this.endGrant(id), ttlMs + 10) });
  }

  endGrant(id) {
    clearTimeout(this.grants.get(id)?.timer);
    this.grants.delete(id);
    const attached = [...this.keys].filter(([, entry]) => entry.permit === id).map(([k]) => ({ drop: k }));
    this.apply(attached);
  }

  follow(query) {
    const prefix = query.get('starts') ?? '';
    const since = Number(query.get('since') ?? 0);
    const holdMs = Math.min(60_000, Number(query.get('holdMs') ?? 0));
    const oldest = this.log[0]?.stamp ?? 0;
    if (this.log.length >= 10_000 && since < oldest - 1) return { status: 410, body: { error: 'too old' } };
    const find = () => this.log.filter((e) => e.stamp > since && (e.set ?? e.drop).startsWith(prefix));
    return new Promise((resolve) => {
      const finish = (log) => {
        clearTimeout(timer);
        this.watches.delete(wake);
        resolve({ status: 200, body: { ledger: this.ledger, log } });
      };
      const wake = () => {
        if (this.outage) return;
        const log = find();
        if (log.length > 0 || over) finish(log);
      };
      let over = false;
      const timer = setTimeout(() => {
        over = true;
        wake();
      }, holdMs);
      this.watches.add(wake);
      wake();
    });
  }
}

/** The tasks on all machines, as the machines' owner sees them: every start, end, and two at once. */
export class TaskLog {
  constructor(record) {
    this.record = record;
    /** Machines that hold a task now, by task. */
    this.holders = new Map();
    this.starts = [];
    this.ends = [];
    this.twice = [];
    this.quiet = false;
  }

  on(task, attempt, machine) {
    const at = now();
    const holders = this.holders.get(task) ?? new Set();
    this.starts.push({ task, attempt, machine, at });
    const others = [...holders].filter((name) => name !== machine);
    if (others.length > 0) {
      this.twice.push({ task, machine, others, at });
      this.record.add(`RAN TWICE: ${task} starts on ${machine} while it is on ${others.join(', ')}`);
    }
    holders.add(machine);
    this.holders.set(task, holders);
    if (!this.quiet) this.record.add(`task ${task} attempt ${attempt} is on ${machine}`);
  }

  off(task, attempt, machine, why) {
    this.holders.get(task)?.delete(machine);
    this.ends.push({ task, attempt, machine, why, at: now() });
    if (!this.quiet) this.record.add(`task ${task} attempt ${attempt} is off ${machine}: ${why}`);
  }
}

/** One machine with its worker, which keeps PROTOCOL's limits of 64 KiB for requests and for lines of responses. */
export class Worker {
  constructor(machine, deployment) {
    this.machine = machine;
    this.deployment = deployment;
    this.name = machine.uid;
    this.size = deployment.types.find((type) => type.name === machine.oven);
    this.shift = 1;
    this.tick = 0;
    this.baton = 0;
    this.tasks = new Map();
    this.node = Math.floor(deployment.random() * deployment.nodes.length);
    this.alive = false;
    this.changed = false;
    this.refusals = new Map();
    this.problems = [];
    this.wake = () => undefined;
  }

  async start(port = 0) {
    const { server, address } = await serveJson((method, url, text) => this.route(method, url, text), port);
    this.server = server;
    this.machine.address = address;
    this.alive = true;
    this.leaseFrom = now();
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    this.leaseTimer = setInterval(() => this.checkLease(), 50);
    this.loop = this.reportLoop();
  }

  /** The machine is gone with everything on it. */
  stop(why) {
    if (!this.alive) return;
    this.alive = false;
    clearInterval(this.leaseTimer);
    this.server.close();
    this.server.closeAllConnections();
    this.agent.destroy();
    for (const task of this.tasks.values()) this.leave(task, why);
    this.tasks.clear();
    this.wake();
  }

  get settings() {
    return this.deployment.settings.workers;
  }

  checkLease() {
    if (now() - this.leaseFrom <= this.settings.lease_s * 1000) return;
    if (this.tasks.size > 0 || this.deployment.verbose)
      this.deployment.record.add(`worker ${this.name}: lease of session ${this.shift} ran out with ${this.tasks.size} tasks`);
    this.leaseEnds = (this.leaseEnds ?? 0) + 1;
    for (const task of this.tasks.values()) this.leave(task, 'the lease ran out');
    this.tasks.clear();
    this.shift += 1;
    this.leaseFrom = now();
    this.noteChange();
  }

  noteChange() {
    this.changed = true;
    this.wake();
  }

  report() {
    this.tick += 1;
    const { uid, address, oven, yard, borrowed } = this.machine;
    const loaves = [...this.tasks.values()].map(({ loaf, attempt, stage, cause }) =>
      cause ? { loaf, try: attempt, stage, cause } : { loaf, try: attempt, stage },
    );
    return { hearth: uid, address, oven, yard, borrowed, shift: this.shift, tick: this.tick, baton: this.baton, warningS: null, loaves };
  }

  async reportLoop() {
    while (this.alive) {
      const sentAt = now();
      this.changed = false;
      const shift = this.shift;
      const text = JSON.stringify(this.report());
      const nodes = this.deployment.nodes;
      const answer = await this.post(nodes[this.node].serve, text);
      if (!this.alive) return;
      let delayMs = 1000;
      if (answer?.status === 200) {
        if (shift === this.shift) this.take(answer.body, sentAt);
        const spread = 0.75 + this.deployment.random() * 0.5;
        await this.sleepUntil(sentAt + this.settings.report_s * 1000 * spread, sentAt + 500);
        continue;
      }
      const named = answer?.status === 421 ? nodes.findIndex((node) => node.name === answer.body?.foreman) : -1;
      this.noteRefusal(answer, text);
      if (named >= 0 && named !== this.node) {
        this.node = named;
        delayMs = this.deployment.random() * 500;
      } else this.node = (this.node + 1) % nodes.length;
      await pause(delayMs);
    }
  }

  noteRefusal(answer, text) {
    const status = answer ? String(answer.status) : 'none';
    const count = (this.refusals.get(status) ?? 0) + 1;
    this.refusals.set(status, count);
    if (status === '421' || (count > 3 && count % 20 !== 0)) return;
    const bytes = Buffer.byteLength(text);
    this.deployment.record.add(`worker ${this.name}: report of ${bytes} bytes with ${this.tasks.size} tasks got ${status} (${count} times)`);
  }

  /** Waits until `due`, or after a change, but never less than until `earliest`. */
  async sleepUntil(due, earliest) {
    while (this.alive) {
      const until = this.changed ? earliest : due;
      const waitMs = until - now();
      if (waitMs <= 0) return;
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, waitMs);
        this.wake = () => {
          clearTimeout(timer);
          resolve();
        };
      });
    }
  }

  post(address, text) {
    const [host, port] = address.split(':');
    return new Promise((resolve) => {
      const headers = { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) };
      const req = http.request({ host, port, method: 'POST', path: '/checkin', agent: this.agent, headers }, (res) => {
        const chunks = [];
        res.on('data', (chunk) => chunks.push(chunk));
        res.on('error', () => settle(null));
        res.on('end', () => {
          const body = Buffer.concat(chunks);
          const longest = Math.max(...body.toString('utf8').split('\n').map((line) => Buffer.byteLength(line)));
          if (longest > LIMIT_BYTES) {
            this.problems.push({ kind: 'line', bytes: longest, at: now() });
            this.deployment.record.add(`worker ${this.name}: response with a line of ${longest} bytes, more than 64 KiB`);
            settle({ status: 0, body: null });
            return;
          }
          settle({ status: res.statusCode, body: parse(body.toString('utf8')) });
        });
      });
      const timer = setTimeout(() => {
        settle(null);
        req.destroy();
      }, 4000);
      const settle = (answer) => {
        clearTimeout(timer);
        resolve(answer);
      };
      req.on('error', () => settle(null));
      req.end(text);
    });
  }

  take(body, sentAt) {
    const baton = Number(body?.baton ?? -1);
    if (baton < this.baton || baton < 0) return;
    if (baton > this.baton) {
      this.baton = baton;
      const half = (this.settings.lease_s * 1000) / 2;
      if (now() - (this.tokenReportedAt ?? -Infinity) > half) {
        this.tokenReportedAt = now();
        this.noteChange();
      }
    }
    this.leaseFrom = Math.max(this.leaseFrom, sentAt);
    this.execute(body.orders ?? []);
  }

  route(method, url, text) {
    if (!this.alive) return null;
    if (method === 'GET' && url.pathname === '/inspect') return { status: 200, body: this.report() };
    if (method !== 'POST' || url.pathname !== '/orders') return { status: 404, body: {} };
    if (Buffer.byteLength(text) > LIMIT_BYTES) {
      this.problems.push({ kind: 'orders', bytes: Buffer.byteLength(text), at: now() });
      this.deployment.record.add(`worker ${this.name}: orders of ${Buffer.byteLength(text)} bytes refused, more than 64 KiB`);
      return { status: 400, body: { error: 'body is over 64 KiB' } };
    }
    const body = parse(text);
    if (!body || body.baton == null || body.shift == null) return { status: 400, body: { error: 'malformed' } };
    if (body.baton < this.baton || body.shift !== this.shift) return { status: 409, body: this.report() };
    if (body.baton > this.baton) {
      this.baton = body.baton;
      this.noteChange();
    }
    this.execute(body.orders ?? []);
    return { status: 200, body: this.report() };
  }

  execute(orders) {
    for (const order of orders) {
      const key = `${order.loaf}#${order.try}`;
      const task = this.tasks.get(key);
      if (order.verb === 'launch' && !task) this.launch(key, order);
      else if (order.verb === 'stop' && task && task.stage !== 'ended') this.end(task, 'stopped');
      else if (order.verb === 'clear' && task?.stage === 'ended') {
        this.tasks.delete(key);
        this.noteChange();
      }
    }
  }

  launch(key, order) {
    const [uid, number] = order.loaf.split('/');
    const job = this.deployment.jobs.get(uid);
    const task = { key, loaf: order.loaf, attempt: order.try, stage: 'fetching', cause: undefined, onMachine: false, timer: undefined, job };
    const held = [...this.tasks.values()].filter((other) => other.stage !== 'ended');
    const fits = (of, size) => held.reduce((sum, other) => sum + other.job[of], job ? job[of] : 0) <= size + 1e-6;
    this.tasks.set(key, task);
    this.noteChange();
    if (!job || Number(number) >= job.loaves) this.end(task, 'no_such');
    else if (held.some((other) => other.loaf === order.loaf)) this.end(task, 'busy');
    else if (!fits('cores', this.size.cores) || !fits('accelerators', this.size.accelerators) || !fits('memGb', this.size.memGb))
      this.end(task, 'full');
    else task.timer = setTimeout(() => this.run(task), 200);
  }

  /** The image is there: the task is on the machine from now on. Gangs of one task alone are supported. */
  run(task) {
    if (!this.alive || task.stage !== 'fetching') return;
    task.stage = 'running';
    task.onMachine = true;
    this.deployment.tasks.on(task.loaf, task.attempt, this.name);
    this.noteChange();
    if (this.deployment.kept.has(task.loaf)) {
      this.end(task, 'done');
      return;
    }
    task.timer = setTimeout(() => {
      if (this.alive && task.stage === 'running') this.end(task, 'done');
    }, (task.job.runS ?? task.job.bakeS) * 1000);
  }

  end(task, cause) {
    clearTimeout(task.timer);
    task.stage = 'ended';
    task.cause = cause;
    if (cause === 'done') this.deployment.kept.add(task.loaf);
    this.leave(task, cause);
    this.noteChange();
  }

  leave(task, why) {
    clearTimeout(task.timer);
    if (task.onMachine) this.deployment.tasks.off(task.loaf, task.attempt, this.name, why);
    task.onMachine = false;
  }
}

/** The cloud: a catalog, rentals, returns, and a list that lags. */
export class Cloud {
  constructor(deployment) {
    this.deployment = deployment;
    this.latencyMs = 100;
    this.machines = new Map();
    this.returned = [];
    this.bookings = new Map();
    this.count = 0;
    this.room = 0;
    this.requests = new Bucket(deployment.settings.cloud.rps, 2);
  }

  async start() {
    const { server, address } = await serveJson((method, url, text) => this.answer(method, url, text));
    this.server = server;
    this.address = address;
  }

  async stop() {
    this.server.close();
    this.server.closeAllConnections();
    for (const { worker } of this.machines.values()) worker.stop('the case ends');
  }

  /** A machine that is up before the controllers start. */
  async addRunning(oven, yard, borrowed = false) {
    const machine = this.create(oven, yard, borrowed);
    await this.boot(machine.uid);
    return this.machines.get(machine.uid).worker;
  }

  create(oven, yard, borrowed) {
    const uid = `n-${String(++this.count).padStart(6, '0')}`;
    const machine = { uid, address: '', oven, yard, borrowed, stage: 'starting' };
    this.machines.set(uid, { machine, worker: new Worker(machine, this.deployment), rentedAt: now() });
    return machine;
  }

  async boot(uid) {
    const entry = this.machines.get(uid);
    if (!entry) return;
    await entry.worker.start();
    entry.machine.stage = 'running';
    this.deployment.record.add(`cloud: machine ${uid} (${entry.machine.oven}, ${entry.machine.yard}) is up`);
  }

  async answer(method, url, text) {
    await pause(this.latencyMs);
    if (!this.requests.take()) return { status: 429, body: { error: 'too many requests' } };
    if (url.pathname === '/catalog') return { status: 200, body: { ovens: this.deployment.types } };
    if (url.pathname === '/rentals' && method === 'GET') return this.list(url.searchParams);
    const body = parse(text);
    if (!body) return { status: 400, body: { error: 'malformed' } };
    if (url.pathname === '/rentals/return') {
      for (const uid of body.hearths) {
        const entry = this.machines.get(uid);
        if (!entry) continue;
        this.deployment.record.add(`cloud: machine ${uid} returned`);
        this.returned.push({ uid, at: now() });
        this.machines.delete(uid);
        entry.worker.stop('the machine was returned');
      }
      return { status: 200, body: {} };
    }
    return this.rent(body);
  }

  rent({ booking, oven, yard, borrowed, count }) {
    const known = this.bookings.get(booking);
    if (known) return { status: 200, body: { hearths: known } };
    const type = this.deployment.types.find((t) => t.name === oven);
    if (!type || !type.yards.includes(yard) || !(count >= 1 && count <= 50)) return { status: 400, body: { error: 'malformed' } };
    const granted = Math.min(count, this.room);
    if (granted === 0) return { status: 503, body: { error: 'no capacity' } };
    this.room -= granted;
    const hearths = [];
    for (let i = 0; i < granted; i++) {
      const { uid } = this.create(oven, yard, borrowed);
      hearths.push(uid);
      setTimeout(() => void this.boot(uid), type.startupS * 1000);
    }
    this.deployment.record.add(`cloud: rental ${booking} of ${count} ${oven} in ${yard}: ${hearths.join(', ')}`);
    this.bookings.set(booking, hearths);
    return { status: 200, body: { hearths } };
  }

  list(query) {
    const since = query.get('since') ?? '';
    const most = Math.min(500, Number(query.get('most') ?? 500));
    const lagMs = this.deployment.settings.cloud.list_lag_s * 1000;
    const listed = [...this.machines.values()]
      .filter(({ machine, rentedAt }) => machine.uid > since && (machine.stage === 'running' || now() - rentedAt > lagMs))
      .map(({ machine, rentedAt }) => ({ ...machine, ageS: (now() - rentedAt) / 1000 }));
    return { status: 200, body: { hearths: listed.slice(0, most), hasNext: listed.length > most } };
  }
}

/** A free address for a controller, below the ports that the system gives to outgoing connections. */
async function freeAddress() {
  for (let attempt = 0; attempt < 200; attempt++) {
    const server = net.createServer();
    try {
      const address = await listen(server, 10_000 + Math.floor(Math.random() * 20_000));
      await new Promise((resolve) => server.close(resolve));
      return address;
    } catch {
      // The port is in use: another one is tried.
    }
  }
  throw new Error('no free port');
}

/** The run command of the deploy file: the program and its arguments, without the settings file. */
function readRunCommand(root) {
  const text = readFileSync(join(root, 'deploy/service.toml'), 'utf8');
  const match = /^run = "(.*)"$/m.exec(text);
  if (!match) throw new Error('the deploy file names no run command');
  return match[1].split(' ');
}

/** A deployment: the stand-ins, and controllers as processes. */
export class Deployment {
  constructor({ root, record, settings, types, locations, seed = 1 }) {
    this.root = root;
    this.record = record;
    this.settings = settings;
    this.types = types;
    this.locations = locations;
    this.jobs = new Map();
    this.kept = new Set();
    this.tasks = new TaskLog(record);
    this.nodes = [];
    this.verbose = false;
    this.randomState = seed;
    this.random = () => {
      this.randomState = (this.randomState * 48271) % 2147483647;
      return this.randomState / 2147483647;
    };
    this.state = new StateService(settings.state, record);
    this.cloud = new Cloud(this);
    this.folder = mkdtempSync(join(tmpdir(), 'pondwick-review-'));
  }

  /** Starts the stand-ins and chooses the addresses of the controllers. */
  async start() {
    await this.state.start();
    await this.cloud.start();
    for (let i = 0; i < this.settings.nodes; i++)
      this.nodes.push({ name: `hearth-${i}`, location: this.locations[i % this.locations.length], serve: await freeAddress(), mesh: await freeAddress(), process: null, log: '' });
  }

  startNode(index, settings = this.settings) {
    // A timer may ask for a controller after the case has ended.
    if (this.stopped) return;
    const node = this.nodes[index];
    const file = join(this.folder, `${node.name}.json`);
    const seeds = this.nodes
      .filter((other) => other !== node)
      .map((other) => ({ host_name: other.name, location: other.location, peer_addr: other.mesh }));
    const endpoints = { cloud: this.cloud.address, state: this.state.address };
    writeFileSync(file, JSON.stringify({ host_name: node.name, location: node.location, serve_on: node.serve, mesh_addr: node.mesh, seeds, endpoints, settings }));
    const [program, ...args] = readRunCommand(this.root);
    const child = spawn(program, [...args, file], { cwd: this.root, stdio: ['ignore', 'ignore', 'pipe'], env: { ...process.env, LOG_LEVEL: process.env.CASE_LOG ?? 'info' } });
    child.on('error', () => undefined);
    child.stderr.setEncoding('utf8');
    child.stderr.on('data', (text) => {
      node.log += text;
    });
    child.on('exit', (code, signal) => {
      this.record.add(`controller ${node.name} (process ${child.pid}) ended: ${signal ?? code}`);
      if (node.process === child) node.process = null;
    });
    node.process = child;
    // run.sh ends what is left of these, should this process be killed.
    if (process.env.CASE_PIDS && child.pid) appendFileSync(process.env.CASE_PIDS, `${child.pid}\n`);
    this.record.add(`controller ${node.name} started as process ${child.pid} on ${node.serve}`);
  }

  killNode(index) {
    const { process: child } = this.nodes[index];
    if (child) child.kill('SIGKILL');
  }

  /** The messages of a controller's log that name one of the given texts. */
  logLines(index, texts) {
    return this.nodes[index].log.split('\n').filter((line) => texts.some((text) => line.includes(text)));
  }

  /** The index of the controller that the leader key names; -1: none. */
  leaderIndex() {
    const entry = this.state.keys.get('leader');
    return entry ? this.nodes.findIndex((node) => node.name === entry.data.node) : -1;
  }

  async waitFor(what, check, timeoutMs, stepMs = 100) {
    const until = now() + timeoutMs;
    while (now() < until) {
      if (await check()) {
        this.record.add(`reached: ${what}`);
        return true;
      }
      await pause(stepMs);
    }
    this.record.add(`not reached in ${timeoutMs / 1000} s: ${what}`);
    return false;
  }

  async stop() {
    this.stopped = true;
    for (const node of this.nodes) node.process?.kill('SIGKILL');
    await this.cloud.stop();
    this.state.stop();
    await pause(100);
    if (process.env.CASE_KEEP) for (const node of this.nodes) writeFileSync(join(process.env.CASE_KEEP, `${node.name}.log`), node.log);
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/** One request of a user, on a connection of its own. {status: 0}: no answer. */
export function userRequest(address, method, path, body, timeoutMs) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const text = body === null ? null : JSON.stringify(body);
    const headers = { connection: 'close' };
    if (text !== null) {
      headers['content-type'] = 'application/json';
      headers['content-length'] = Buffer.byteLength(text);
    }
    const req = http.request({ host, port, method, path, headers, agent: false }, (res) => {
      const chunks = [];
      res.on('data', (chunk) => chunks.push(chunk));
      res.on('error', () => settle({ status: 0, body: null }));
      res.on('end', () => settle({ status: res.statusCode, body: parse(Buffer.concat(chunks).toString('utf8')), retryAfterS: Number(res.headers['retry-after'] ?? 0) }));
    });
    const timer = setTimeout(() => {
      settle({ status: 0, body: null });
      req.destroy();
    }, timeoutMs);
    const settle = (answer) => {
      clearTimeout(timer);
      resolve(answer);
    };
    req.on('error', () => settle({ status: 0, body: null }));
    req.end(text ?? undefined);
  });
}

/** Users behind the load balancer: each request goes to the next controller that is up. */
export class Users {
  constructor(deployment) {
    this.deployment = deployment;
    this.turn = 0;
  }

  nextNode() {
    const { nodes } = this.deployment;
    for (let i = 0; i < nodes.length; i++) {
      const node = nodes[this.turn++ % nodes.length];
      if (node.process) return node;
    }
    return nodes[0];
  }

  async repeat(what, send, isAnswer, forMs) {
    const until = now() + forMs;
    for (;;) {
      const node = this.nextNode();
      const answer = await send(node.serve);
      this.deployment.record.add(`${what} at ${node.name}: ${answer.status} ${JSON.stringify(answer.body)}`);
      if (isAnswer(answer)) return answer;
      if (now() > until) return null;
      await pause(Math.max(1000, Math.min(30, answer.retryAfterS || 0) * 1000));
    }
  }

  submit(job, forMs = 60_000) {
    this.deployment.jobs.set(job.uid, job);
    const { runS: _runS, ...body } = job;
    const send = (address) => userRequest(address, 'POST', '/work', body, 5000);
    return this.repeat(`submit ${job.uid}`, send, ({ status }) => [200, 201, 400, 422].includes(status), forMs);
  }

  cancel(uid, forMs = 60_000) {
    const send = (address) => userRequest(address, 'POST', `/work/${uid}/cancel`, {}, 5000);
    return this.repeat(`cancel ${uid}`, send, ({ status }) => status === 200 || status === 404, forMs);
  }

  async poll(uid, node = this.nextNode()) {
    const answer = await userRequest(node.serve, 'GET', `/work/${uid}`, null, 2000);
    this.deployment.record.add(`poll ${uid} at ${node.name}: ${answer.status} ${JSON.stringify(answer.body)}`);
    return answer;
  }
}

/** A job as users submit it. `runS`: how long its tasks really run, known to the workers alone. */
export function createJob(uid, fields) {
  return {
    uid,
    batch: 'route-solve',
    crew: 'dispatch',
    shape: 'array',
    rank: 'standard',
    loaves: 1,
    cores: 1,
    accelerators: 0,
    memGb: 1,
    recipe: 'img-01',
    imageGb: 0.1,
    ovens: null,
    yard: null,
    samePlace: false,
    apart: false,
    borrowed: false,
    bakeS: 10,
    proofS: 0,
    coolS: 0,
    dueS: null,
    ...fields,
  };
}

/** Settings of the order cluster of the brief: 3 controllers, 69 machines at most. */
export function orderClusterSettings() {
  const team = (name, gpusMax) => ({ name, cpus: 0, cpus_max: 0, gpus: 8, gpus_max: gpusMax });
  return {
    nodes: 3,
    zones: ['bayanzurkh', 'khan-uul', 'sukhbaatar'],
    teams: [team('dispatch', 50), team('bakeries', 50), team('orders', 100), team('quality', 32), team('stores', 150), team('finance', 70)],
    objectives: [],
    workers: { report_s: 3, lease_s: 31, gang_wait_s: 45, gang_peer_s: 5, cancel_s: 61 },
    state: { rps: 100, write_rps: 25, value_kb: 8, txn_ops: 20 },
    cloud: { rps: 4, list_lag_s: 4 },
    limits: { cores: 0.085, memory_mb: 178, sockets: 1500 },
    clock_off_ms: 100,
  };
}

/** Settings of the planning cluster of the brief: 3 controllers, 48 machines at most. */
export function planningClusterSettings() {
  const team = (name, gpus, gpusMax) => ({ name, cpus: 0, cpus_max: 0, gpus, gpus_max: gpusMax });
  return {
    nodes: 3,
    zones: ['graz-nord', 'leibnitz', 'weiz'],
    teams: [team('einkauf', 8, 16), team('logistik', 8, 16), team('mitglieder', 4, 12), team('pflanzenschutz', 8, 24), team('buchhaltung', 8, 32)],
    objectives: [],
    workers: { report_s: 3, lease_s: 22, gang_wait_s: 45, gang_peer_s: 5, cancel_s: 42 },
    state: { rps: 80, write_rps: 30, value_kb: 32, txn_ops: 12 },
    cloud: { rps: 4, list_lag_s: 5 },
    limits: { cores: 0.34, memory_mb: 306, sockets: 2000 },
    clock_off_ms: 100,
  };
}

/** The machine types of the order cluster, as its cloud's catalog lists them. */
export const ORDER_TYPES = [
  { name: 'tsagaan', cores: 4, accelerators: 0, memGb: 32, localGb: 35, pullGbPerS: 0.8, rate: 0.23, spotPrice: 0.11, startupS: 15 },
  { name: 'guril', cores: 16, accelerators: 0, memGb: 128, localGb: 40, pullGbPerS: 0.8, rate: 1.01, spotPrice: 0.39, startupS: 25 },
  { name: 'zuuh', cores: 32, accelerators: 0, memGb: 128, localGb: 80, pullGbPerS: 0.8, rate: 1.65, spotPrice: 0.69, startupS: 25 },
].map((type) => ({ ...type, yards: ['bayanzurkh', 'khan-uul', 'sukhbaatar'] }));

/**
 * Runs a case: `run(deployment, users, verdict)` returns {broken, why}, or throws if the case couldn't run. Ends the
 * process with 1 (the rule was broken), 0 (it held) or 2 (the case couldn't run), and ends all controllers before.
 */
export async function runCase({ folder, recordFile, settings, types, run }) {
  const record = new Record(recordFile);
  const trouble = process.env.TROUBLE !== '0';
  record.add(`TROUBLE=${trouble ? 1 : 0}`);
  const deployment = new Deployment({ root: join(folder, '../..'), record, settings, types, locations: settings.zones });
  const finish = async (code, text) => {
    record.add(`exit ${code}: ${text}`);
    process.stdout.write(`exit ${code}: ${text}\n`);
    await deployment.stop().catch(() => undefined);
    process.exit(code);
  };
  const deadline = setTimeout(() => void finish(2, 'the case took longer than 118 s'), 118_000 - now());
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.on(signal, () => void finish(2, `ended by ${signal}`));
  // A fault of the stand-ins is never a broken rule.
  for (const event of ['uncaughtException', 'unhandledRejection']) process.on(event, (error) => void finish(2, `fault of the case: ${error?.stack ?? error}`));
  const parent = process.ppid;
  setInterval(() => {
    if (process.ppid !== parent) void finish(2, 'run.sh has ended');
  }, 500);
  try {
    await deployment.start();
    const { broken, why } = await run(deployment, new Users(deployment), trouble);
    clearTimeout(deadline);
    await finish(broken ? 1 : 0, why);
  } catch (error) {
    clearTimeout(deadline);
    await finish(2, `couldn't run: ${error.stack ?? error}`);
  }
}

/** What the tasks on a machine leave of it, as the machine sees it. */
export function roomOf(worker) {
  const held = [...worker.tasks.values()].filter(({ stage }) => stage !== 'ended');
  const sum = (of) => held.reduce((total, { job }) => total + (job?.[of] ?? 0), 0);
  return { cores: worker.size.cores - sum('cores'), memGb: worker.size.memGb - sum('memGb') };
}

/** For how long a job has waited while one machine, the same all the time, has had room for a task of it. */
export class WaitBesideRoom {
  constructor(workers, job) {
    this.workers = workers;
    this.job = job;
    this.since = new Map();
  }

  /** Looks at the machines; to be called often. Returns seconds. */
  look() {
    let longest = 0;
    for (const worker of this.workers) {
      const room = roomOf(worker);
      if (!worker.alive || room.cores < this.job.cores || room.memGb < this.job.memGb) this.since.delete(worker);
      else if (!this.since.has(worker)) this.since.set(worker, now());
      if (this.since.has(worker)) longest = Math.max(longest, (now() - this.since.get(worker)) / 1000);
    }
    return longest;
  }

  /** The number of machines that have room now. */
  get machines() {
    return this.since.size;
  }

  toString() {
    const text = (worker) => (worker.alive ? `${worker.name} has ${roomOf(worker).cores} CPUs and ${roomOf(worker).memGb} GB free` : `${worker.name} is gone`);
    return `machines: ${this.workers.map(text).join('; ')}`;
  }
}

/** Whether the answer to a submission says that the job is accepted: 201, or 200 if the job is known already. */
export const isAccepted = (answer) => answer !== null && (answer.status === 200 || answer.status === 201);

/** Throws unless a condition of the case is met, so that the case counts as not run. */
export function must(condition, what) {
  if (!condition) throw new Error(what);
}
