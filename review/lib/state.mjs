// Stand-in of the state service, after PROTOCOL "Controller nodes -> state service".
import { serve } from './http.mjs';

export class StateService {
  constructor({ valueKb, txnOps }) {
    this.valueKb = valueKb;
    this.txnOps = txnOps;
    this.entries = new Map(); // key -> {data, stamp, permit}
    this.leases = new Map(); // id -> {ttlMs, endsAt}
    this.log = [];
    this.revision = 1;
    this.nextLease = 1;
    this.watchers = new Set();
    this.outage = false;
    /** Test hook: (kind, body) => 'lostAnswer' | undefined, asked for each transaction. */
    this.onTransaction = () => undefined;
  }

  async start() {
    const { server, address } = await serve((m, u, t) => this.route(m, u, t));
    this.server = server;
    this.timer = setInterval(() => this.expire(), 20);
    return address;
  }

  stop() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  setOutage(on) {
    this.outage = on;
    // "Once an outage ends, every lease has its full time again."
    if (!on) for (const l of this.leases.values()) l.endsAt = performance.now() + l.ttlMs;
    if (!on) this.wake();
  }

  expire() {
    if (this.outage) return;
    for (const [id, l] of this.leases) if (performance.now() > l.endsAt + 20) this.endLease(id);
  }

  endLease(id) {
    this.leases.delete(id);
    const drops = [...this.entries].filter(([, e]) => e.permit === id).map(([k]) => ({ drop: k }));
    if (drops.length) this.apply(drops);
  }

  route(method, url, buffer) {
    const path = decodeURIComponent(url.pathname);
    if (path === '/follow') {
      // "During an outage, open watches remain open"; new ones get 503.
      if (this.outage) return { status: 503, body: {} };
      return this.follow(url.searchParams);
    }
    if (this.outage) return { status: 503, body: {} };
    let body = {};
    if (buffer.length) {
      try {
        body = JSON.parse(buffer.toString('utf8'));
      } catch {
        return { status: 400, body: { error: 'malformed' } };
      }
    }
    if (path === '/store') return this.list(url.searchParams);
    if (path.startsWith('/store/')) {
      const key = path.slice('/store/'.length);
      const e = this.entries.get(key);
      return e ? { status: 200, body: { k: key, ...e } } : { status: 404, body: { ledger: this.revision } };
    }
    if (path === '/multi') return this.transaction(body, buffer.length);
    if (path === '/grants') {
      const id = this.nextLease++;
      this.leases.set(id, { ttlMs: Number(body.ttlMs), endsAt: performance.now() + Number(body.ttlMs) });
      return { status: 200, body: { permit: id } };
    }
    const m = /^\/grants\/(\d+)(\/renew)?$/.exec(path);
    if (!m) return { status: 404, body: {} };
    const lease = this.leases.get(Number(m[1]));
    if (!lease) return { status: 404, body: {} };
    if (method === 'DELETE') this.endLease(Number(m[1]));
    else lease.endsAt = performance.now() + lease.ttlMs;
    return { status: 200, body: {} };
  }

  list(q) {
    const prefix = q.get('starts') ?? '';
    const since = q.get('since') ?? '';
    const most = Math.min(1000, Number(q.get('most') ?? 1000));
    const keys = [...this.entries.keys()].filter((k) => k.startsWith(prefix) && k > since).sort();
    const rows = [];
    let bytes = 0;
    for (const k of keys) {
      const row = { k, ...this.entries.get(k) };
      bytes += JSON.stringify(row).length;
      if (rows.length >= most || (rows.length > 0 && bytes > 500 * 1024)) break;
      rows.push(row);
    }
    return { status: 200, body: { rows, hasNext: rows.length < keys.length, ledger: this.revision } };
  }

  transaction(body, size) {
    const conditions = body.if ?? [];
    const changes = body.then ?? [];
    const tooLong = changes.some((c) => c.set !== undefined && Buffer.byteLength(JSON.stringify(c.data)) > this.valueKb * 1024);
    if (size > 64 * 1024 || changes.length > this.txnOps || conditions.length > 4 * this.txnOps || tooLong)
      return { status: 400, body: { error: 'over a limit' } };
    const failed = conditions.filter((c) => (this.entries.get(c.k)?.stamp ?? 0) !== c.stamp).map((c) => c.k);
    const what = this.onTransaction(body, failed.length === 0);
    if (failed.length) return { status: 409, body: { failed, ledger: this.revision } };
    if (changes.some((c) => c.permit !== undefined && !this.leases.has(c.permit)))
      return { status: 400, body: { error: 'no such lease' } };
    if (changes.length) this.apply(changes);
    if (what === 'lostAnswer') return null;
    return { status: 200, body: { ledger: this.revision } };
  }

  apply(changes) {
    this.revision += 1;
    for (const c of changes) {
      if (c.set !== undefined) {
        this.entries.set(c.set, { data: c.data, stamp: this.revision, permit: c.permit ?? null });
        this.log.push({ set: c.set, data: c.data, stamp: this.revision });
      } else if (this.entries.delete(c.drop)) {
        this.log.push({ drop: c.drop, stamp: this.revision });
      }
    }
    if (this.log.length > 10_000) this.log.splice(0, this.log.length - 10_000);
    this.wake();
  }

  wake() {
    for (const w of [...this.watchers]) w();
  }

  follow(q) {
    const prefix = q.get('starts') ?? '';
    const since = Number(q.get('since') ?? 0);
    const holdMs = Math.min(60_000, Number(q.get('holdMs') ?? 0));
    if (this.log.length >= 10_000 && since < this.log[0].stamp - 1) return { status: 410, body: {} };
    const find = () => {
      if (this.outage) return null;
      const log = this.log.filter((e) => e.stamp > since && (e.set ?? e.drop).startsWith(prefix));
      return log.length ? { status: 200, body: { ledger: this.revision, log } } : null;
    };
    const now = find();
    if (now) return now;
    return new Promise((resolve) => {
      const finish = (a) => {
        clearTimeout(timer);
        this.watchers.delete(wake);
        resolve(a);
      };
      const wake = () => {
        const a = find();
        if (a) finish(a);
      };
      const timer = setTimeout(() => finish({ status: 200, body: { ledger: this.revision, log: [] } }), holdMs);
      this.watchers.add(wake);
    });
  }
}
