// Stand-in of a worker, after PROTOCOL "Workers -> controller nodes" and "Controller nodes -> workers".
import { Agent } from 'node:http';
import { call, LIMIT, serve } from './http.mjs';

export class Worker {
  /** `world`: {controllers: [{name, address}], jobs: Map uid -> body, workers: Set, record(event)}; */
  constructor(identity, type, settings, world) {
    Object.assign(this, { identity, type, world });
    this.reportMs = settings.report_s * 1000;
    this.leaseMs = settings.lease_s * 1000;
    this.gangWaitMs = settings.gang_wait_s * 1000;
    this.gangPeerMs = settings.gang_peer_s * 1000;
    this.shift = 1;
    this.tick = 0;
    this.baton = 0;
    this.tasks = new Map(); // loaf#try -> task
    this.images = new Map(); // recipe -> time at which it is there
    this.node = Math.floor(Math.random() * world.controllers.length);
    this.gone = false;
    this.lastSentAt = -Infinity;
    this.changed = true;
    this.agent = new Agent({ keepAlive: true });
    this.tokenReportedAt = -Infinity;
  }

  async start() {
    const { server, address } = await serve((m, u, t) => this.route(m, u, t));
    this.server = server;
    this.address = address;
    this.renewedAt = performance.now();
    this.world.workers.add(this);
    this.timer = setInterval(() => this.tickTock(), 50);
  }

  stop() {
    this.gone = true;
    clearInterval(this.timer);
    this.world.workers.delete(this);
    for (const t of this.tasks.values()) if (t.stage !== 'ended') this.off(t, 'machine gone');
    this.tasks.clear();
    this.server.close();
    this.server.closeAllConnections();
    this.agent.destroy();
  }

  report() {
    this.tick += 1;
    return JSON.stringify({
      ...this.identity,
      address: this.address,
      shift: this.shift,
      tick: this.tick,
      baton: this.baton,
      warningS: null,
      loaves: [...this.tasks.values()].map((t) => ({
        loaf: t.loaf,
        try: t.try,
        stage: t.stage,
        ...(t.cause ? { cause: t.cause } : {}),
        ...(t.saved ? { saved: true } : {}),
      })),
    });
  }

  tickTock() {
    const now = performance.now();
    if (now - this.renewedAt > this.leaseMs) {
      const lost = [...this.tasks.values()].filter((t) => t.stage !== 'ended');
      this.world.record({ what: 'lease over', machine: this.identity.hearth, shift: this.shift, tasks: lost.length });
      for (const t of lost) this.off(t, 'lease over');
      this.tasks.clear();
      this.shift += 1;
      this.renewedAt = now;
      this.changed = true;
    }
    if (this.inFlight || now < (this.notBefore ?? 0)) return;
    this.interval ??= this.reportMs * (0.75 + Math.random() * 0.5);
    if (now - this.lastSentAt >= (this.changed ? 500 : this.interval)) void this.send();
  }

  async send() {
    this.inFlight = true;
    this.changed = false;
    this.interval = undefined;
    const sentAt = performance.now();
    this.lastSentAt = sentAt;
    const { shift } = this;
    const text = this.report();
    const to = this.world.controllers[this.node];
    const answer = await call(to.address, 'POST', '/checkin', text, 4000, this.agent);
    this.inFlight = false;
    if (this.gone) return;
    const bytes = Buffer.byteLength(text);
    if (bytes > LIMIT)
      this.world.record({ what: 'report over 64 KiB', machine: this.identity.hearth, bytes, tasks: this.tasks.size, to: to.name, status: answer?.status ?? null });
    const longest = answer ? Math.max(...answer.text.split('\n').map((l) => Buffer.byteLength(l))) : 0;
    if (longest > LIMIT) {
      this.world.record({ what: 'response with a line over 64 KiB', machine: this.identity.hearth, from: to.name, bytes: longest, orders: answer.body?.orders?.length });
      this.nextNode(1000); // unreadable: as a failed connection
      return;
    }
    if (answer?.status === 200 && answer.body) {
      const { baton, orders } = answer.body;
      this.world.onAnswer?.(this, to, answer.body);
      if (shift !== this.shift || !Number.isInteger(baton) || baton < this.baton) return;
      this.seeToken(baton);
      this.renewedAt = sentAt;
      this.execute(orders ?? [], `response of ${to.name}`);
      return;
    }
    const named = answer?.status === 421 ? this.world.controllers.findIndex((c) => c.name === answer.body?.foreman) : -1;
    if (named >= 0 && named !== this.node) {
      this.node = named;
      this.notBefore = performance.now() + Math.random() * 500;
      this.changed = true;
      this.lastSentAt = -Infinity;
    } else this.nextNode(1000);
  }

  nextNode(ms) {
    this.node = (this.node + 1) % this.world.controllers.length;
    this.notBefore = performance.now() + ms;
    this.changed = true;
    this.lastSentAt = -Infinity;
  }

  seeToken(baton) {
    if (baton <= this.baton) return;
    this.baton = baton;
    if (performance.now() - this.tokenReportedAt < this.leaseMs / 2) return;
    this.tokenReportedAt = performance.now();
    this.changed = true;
  }

  route(method, url, buffer) {
    if (this.gone) return null;
    if (url.pathname === '/inspect') return { status: 200, body: JSON.parse(this.report()) };
    if (url.pathname !== '/orders') return { status: 404, body: {} };
    if (buffer.length > LIMIT) {
      const parsed = JSON.parse(buffer.toString('utf8'));
      this.world.record({ what: 'request body over 64 KiB', machine: this.identity.hearth, bytes: buffer.length, orders: parsed.orders?.length });
      return { status: 400, body: { error: 'body is over 64 KiB' } };
    }
    const body = JSON.parse(buffer.toString('utf8'));
    if (!Number.isInteger(body.baton) || !Number.isInteger(body.shift)) return { status: 400, body: {} };
    const ok = body.baton >= this.baton && body.shift === this.shift;
    if (ok) {
      this.seeToken(body.baton);
      this.execute(body.orders ?? [], 'direct command');
    }
    return { status: ok ? 200 : 409, body: JSON.parse(this.report()) };
  }

  execute(orders, by) {
    for (const o of orders) {
      const key = `${o.loaf}#${o.try}`;
      const t = this.tasks.get(key);
      if (o.verb === 'launch' && !t) this.launch(key, o, by);
      else if (o.verb === 'clear' && t?.stage === 'ended') this.tasks.delete(key);
      else if (o.verb === 'stop' && t && t.stage !== 'ended') this.stopTask(t, o.windDownS ?? 0);
    }
  }

  launch(key, o, by) {
    const slash = o.loaf.lastIndexOf('/');
    const job = this.world.jobs.get(o.loaf.slice(0, slash));
    const task = { loaf: o.loaf, try: o.try, stage: 'fetching', job, uid: o.loaf.slice(0, slash), index: Number(o.loaf.slice(slash + 1)), on: false };
    this.tasks.set(key, task);
    this.changed = true;
    const active = [...this.tasks.values()].filter((t) => t !== task && t.stage !== 'ended');
    const sum = (f) => active.reduce((n, t) => n + f(t.job), f(job));
    if (!job || !(task.index < job.loaves)) return this.end(task, 'no_such');
    if (active.some((t) => t.loaf === o.loaf)) return this.end(task, 'busy');
    const over = (a, b) => a > b + 1e-6;
    if (over(sum((j) => j.cores), this.type.cores) || over(sum((j) => j.accelerators), this.type.accelerators) || over(sum((j) => j.memGb), this.type.memGb))
      return this.end(task, 'full');
    this.world.record({ what: 'launch', task: o.loaf, try: o.try, machine: this.identity.hearth, by }, true);
    const now = performance.now();
    let readyAt = this.images.get(job.recipe);
    if (readyAt === undefined) {
      readyAt = now + (job.imageGb / this.type.pullGbPerS) * 1000;
      this.images.set(job.recipe, readyAt);
    }
    this.later(task, Math.max(0, readyAt - now), () => {
      task.on = true;
      this.world.onStart(this, task);
      if (this.world.done.has(task.loaf)) this.end(task, 'done');
      else if (job.shape === 'ensemble') this.wait(task);
      else this.run(task);
    });
  }

  later(task, ms, f) {
    setTimeout(() => {
      if (!this.gone && task.stage !== 'ended' && this.tasks.get(`${task.loaf}#${task.try}`) === task) f();
    }, ms);
  }

  wait(task) {
    task.stage = 'waiting';
    this.changed = true;
    const members = this.members(task);
    if (members.filter(([, t]) => t.stage === 'waiting').length === task.job.loaves) {
      for (const [w, t] of members) w.run(t);
      return;
    }
    this.later(task, this.gangWaitMs, () => {
      if (task.stage === 'waiting') this.end(task, 'incomplete');
    });
  }

  members(task) {
    const found = [];
    for (const w of this.world.workers)
      for (const t of w.tasks.values()) if (t.uid === task.uid && t.try === task.try && t.stage !== 'ended') found.push([w, t]);
    return found;
  }

  run(task) {
    task.stage = 'running';
    this.changed = true;
    this.later(task, (task.job.runS ?? task.job.bakeS) * 1000, () => {
      if (task.stage !== 'running') return;
      if (task.job.shape !== 'ensemble') return this.end(task, 'done');
      const members = this.members(task);
      if (members.length === task.job.loaves) for (const [w, t] of members) w.end(t, 'done');
    });
    if (task.job.shape === 'ensemble') this.watchPeers(task);
  }

  watchPeers(task) {
    this.later(task, this.gangPeerMs, () => {
      if (task.stage !== 'running') return;
      if (this.members(task).length < task.job.loaves) this.end(task, 'peers');
      else this.watchPeers(task);
    });
  }

  stopTask(task, graceS) {
    const { job } = task;
    if (task.stage === 'saving') {
      if (graceS === 0) this.end(task, 'stopped');
      return;
    }
    if (task.stage !== 'running' || job.proofS === 0 || graceS < job.coolS) return this.end(task, 'stopped');
    task.stage = 'saving';
    this.changed = true;
    this.later(task, job.coolS * 1000, () => {
      task.saved = true;
      this.end(task, 'stopped');
    });
  }

  end(task, cause) {
    if (task.stage === 'ended') return;
    task.stage = 'ended';
    task.cause = cause;
    this.changed = true;
    if (cause === 'done') this.world.done.add(task.loaf);
    this.off(task, cause);
    // An image fetch is given up with the last task that waits for it.
    const { recipe } = task.job ?? {};
    if (recipe && this.images.get(recipe) > performance.now() && ![...this.tasks.values()].some((t) => t.stage !== 'ended' && t.job?.recipe === recipe))
      this.images.delete(recipe);
  }

  off(task, cause) {
    this.world.record({ what: 'task off', task: task.loaf, try: task.try, machine: this.identity.hearth, cause, wasOn: task.on }, true);
    if (task.on) this.world.onEnd(this, task, cause);
    task.on = false;
  }
}
