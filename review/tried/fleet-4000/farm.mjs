// Many workers in one process: they report, follow redirects, answer /inspect and /orders, and run array tasks, each
// for RUN_MS after FETCH_MS; they report changes after half a second.
import { createServer, request, Agent } from 'node:http';

const { count, first, controllers, reportMs, leaseMs, oven, yards } = JSON.parse(process.argv[2]);
const stats = { sent: 0, ok: 0, redirected: 0, other: 0, silent: 0, leasesOver: 0, started: 0, done: 0, killed: 0 };
const FETCH_MS = 3000;
const RUN_MS = 70_000;
class Idle {
  constructor(n) {
    this.name = `n-${String(n).padStart(6, '0')}`;
    this.yard = yards[n % yards.length];
    this.shift = 1;
    this.tick = 0;
    this.baton = 0;
    this.node = n % controllers.length;
    this.tasks = new Map();
    this.agent = new Agent({ keepAlive: true, maxSockets: 1 });
  }
  async start() {
    this.server = createServer((req, res) => {
      let t = '';
      req.on('data', (c) => (t += c));
      req.on('end', () => {
        let status = 200;
        if (req.url === '/orders') {
          const b = JSON.parse(t);
          if (b.baton >= this.baton) this.baton = b.baton;
          else status = 409;
          if (b.shift !== this.shift) status = 409;
          if (status === 200) this.execute(b.orders ?? []);
        }
        res.writeHead(status, { 'content-type': 'application/json' });
        res.end(this.report());
      });
    });
    await new Promise((r) => this.server.listen(0, '127.0.0.1', r));
    this.address = `127.0.0.1:${this.server.address().port}`;
    this.renewedAt = performance.now();
    setTimeout(() => this.send(), Math.random() * reportMs);
  }
  report() {
    this.tick += 1;
    return JSON.stringify({ hearth: this.name, address: this.address, oven, yard: this.yard, borrowed: false, shift: this.shift, tick: this.tick, baton: this.baton, warningS: null, loaves: [...this.tasks.values()] });
  }
  send() {
    const sentAt = performance.now();
    this.waiting = null;
    this.lastSentAt = sentAt;
    if (sentAt - this.renewedAt > leaseMs) {
      this.shift += 1;
      this.renewedAt = sentAt;
      stats.leasesOver += 1;
      stats.killed += [...this.tasks.values()].filter((t) => t.stage !== 'ended').length;
      this.tasks.clear();
    }
    this.changed = false;
    const { shift } = this;
    const text = this.report();
    const [host, port] = controllers[this.node].address.split(':');
    stats.sent += 1;
    let settled = false;
    const next = (ms) => {
      if (settled) return;
      settled = true;
      clearTimeout(timer);
      this.waiting = setTimeout(() => this.send(), ms);
    };
    const req = request({ host, port, method: 'POST', path: '/checkin', agent: this.agent, headers: { 'content-type': 'application/json', 'content-length': text.length } }, (res) => {
      let t = '';
      res.on('data', (c) => (t += c));
      res.on('error', () => {});
      res.on('end', () => {
        if (settled) return;
        let b = {};
        try {
          b = JSON.parse(t || '{}');
        } catch {
          // ignored
        }
        if (res.statusCode === 200) {
          stats.ok += 1;
          const news = b.baton > this.baton;
          if (b.baton >= this.baton) {
            this.baton = b.baton;
            this.renewedAt = sentAt;
            if (shift === this.shift) this.execute(b.orders ?? []);
          }
          return next(news || this.changed ? 500 : reportMs * (0.75 + Math.random() * 0.5));
        }
        const k = res.statusCode === 421 ? controllers.findIndex((c) => c.name === b.foreman) : -1;
        if (res.statusCode === 421) stats.redirected += 1;
        else stats.other += 1;
        if (k >= 0 && k !== this.node) {
          this.node = k;
          next(Math.random() * 500);
        } else this.move(next);
      });
    });
    const timer = setTimeout(() => {
      stats.silent += 1;
      req.destroy();
      this.move(next);
    }, 4000);
    req.on('error', () => {
      if (settled) return;
      stats.silent += 1;
      this.move(next);
    });
    req.end(text);
  }
  execute(orders) {
    for (const o of orders) {
      const key = `${o.loaf}#${o.try}`;
      const t = this.tasks.get(key);
      if (o.verb === 'launch' && !t) {
        const task = { loaf: o.loaf, try: o.try, stage: 'fetching' };
        this.tasks.set(key, task);
        stats.started += 1;
        const step = (ms, f) => setTimeout(() => this.tasks.get(key) === task && task.stage !== 'ended' && (f(), this.note()), ms);
        step(FETCH_MS, () => (task.stage = 'running'));
        step(FETCH_MS + RUN_MS, () => {
          task.stage = 'ended';
          task.cause = 'done';
          stats.done += 1;
        });
      } else if (o.verb === 'stop' && t && t.stage !== 'ended') Object.assign(t, { stage: 'ended', cause: 'stopped' });
      else if (o.verb === 'clear' && t?.stage === 'ended') this.tasks.delete(key);
      this.note();
    }
  }
  note() {
    this.changed = true;
    if (!this.waiting) return;
    clearTimeout(this.waiting);
    this.waiting = setTimeout(() => this.send(), Math.max(0, 500 - (performance.now() - this.lastSentAt)));
  }
  move(next) {
    this.node = (this.node + 1) % controllers.length;
    next(1000);
  }
}
const all = Array.from({ length: count }, (_, i) => new Idle(first + i));
for (const w of all) await w.start();
process.send({ machines: all.map((w) => ({ uid: w.name, address: w.address, yard: w.yard })) });
setInterval(() => process.send({ stats }), 5000);
process.on('disconnect', () => process.exit(0));
