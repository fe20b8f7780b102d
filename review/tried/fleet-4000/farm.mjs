// Many idle workers in one process: they report, follow redirects and answer /inspect and /orders; they run no tasks.
import { createServer, request, Agent } from 'node:http';

const { count, first, controllers, reportMs, leaseMs, oven, yards } = JSON.parse(process.argv[2]);
const stats = { sent: 0, ok: 0, redirected: 0, other: 0, silent: 0, leasesOver: 0 };
class Idle {
  constructor(n) {
    this.name = `n-${String(n).padStart(6, '0')}`;
    this.yard = yards[n % yards.length];
    this.shift = 1;
    this.tick = 0;
    this.baton = 0;
    this.node = n % controllers.length;
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
    return JSON.stringify({ hearth: this.name, address: this.address, oven, yard: this.yard, borrowed: false, shift: this.shift, tick: this.tick, baton: this.baton, warningS: null, loaves: [] });
  }
  send() {
    const sentAt = performance.now();
    if (sentAt - this.renewedAt > leaseMs) {
      this.shift += 1;
      this.renewedAt = sentAt;
      stats.leasesOver += 1;
    }
    const text = this.report();
    const [host, port] = controllers[this.node].address.split(':');
    stats.sent += 1;
    let settled = false;
    const next = (ms) => {
      if (settled) return;
      settled = true;
      clearTimeout(timer);
      setTimeout(() => this.send(), ms);
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
          }
          return next(news ? 500 : reportMs * (0.75 + Math.random() * 0.5));
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
