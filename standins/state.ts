import type { Server } from 'node:http';
import { required } from '../src/base/required.ts';
import { serveJson, type Answer } from './http.ts';

interface Entry {
  data: unknown;
  stamp: number;
  permit: number | null;
}
interface Change {
  set?: string;
  drop?: string;
  data?: unknown;
  permit?: number;
}

/** A stand-in of the state service: keys, transactions, leases and watches in memory. */
export class StateStandIn {
  private readonly entries = new Map<string, Entry>();
  private readonly leases = new Map<number, { ttlMs: number; timer: NodeJS.Timeout }>();
  private readonly log: { set?: string; drop?: string; data?: unknown; stamp: number }[] = [];
  private readonly waiting = new Set<() => void>();
  private ledger = 1;
  private nextLease = 1;

  /** An outage: every request is refused until it is over. */
  down = false;
  private server: Server | null = null;

  async start(): Promise<string> {
    const { server, address } = await serveJson((method, url, body) =>
      this.down ? { status: 503, body: {} } : this.route(method, url, body),
    );
    this.server = server;
    return address;
  }

  stop(): void {
    this.server?.close();
    this.server?.closeAllConnections();
    for (const id of [...this.leases.keys()]) this.end(id);
  }

  private route(method: string, url: URL, body: Record<string, unknown>): Answer | Promise<Answer> {
    const path = decodeURIComponent(url.pathname);
    if (path === '/store') return this.list(url.searchParams);
    if (path.startsWith('/store/')) return this.get(path.slice('/store/'.length));
    if (path === '/multi') return this.txn(body);
    if (path === '/follow') return this.follow(url.searchParams);
    if (path === '/grants') return this.grant(Number(body.ttlMs));
    const lease = /^\/grants\/(\d+)(\/renew)?$/.exec(path);
    if (!lease) return { status: 404, body: {} };
    const id = Number(lease[1]);
    const held = this.leases.get(id);
    if (!held) return { status: 404, body: {} };
    if (method === 'DELETE') this.end(id);
    else this.arm(id, held.ttlMs);
    return { status: 200, body: {} };
  }

  private get(k: string): Answer {
    const e = this.entries.get(k);
    return e ? { status: 200, body: { k, ...e } } : { status: 404, body: { ledger: this.ledger } };
  }

  private list(query: URLSearchParams): Answer {
    const starts = query.get('starts') ?? '';
    const since = query.get('since') ?? '';
    const most = Number(query.get('most') ?? 1000);
    const keys = [...this.entries.keys()].filter((k) => k.startsWith(starts) && k > since).sort();
    const rows = keys.slice(0, most).map((k) => ({ k, ...required(this.entries.get(k), 'listed key') }));
    return { status: 200, body: { rows, hasNext: keys.length > most, ledger: this.ledger } };
  }

  private txn(body: Record<string, unknown>): Answer {
    const conditions = (body.if ?? []) as { k: string; stamp: number }[];
    const changes = (body.then ?? []) as Change[];
    const failed = conditions.filter((c) => (this.entries.get(c.k)?.stamp ?? 0) !== c.stamp).map((c) => c.k);
    if (failed.length > 0) return { status: 409, body: { failed, ledger: this.ledger } };
    if (changes.some((c) => c.permit !== undefined && !this.leases.has(c.permit))) {
      return { status: 400, body: { error: 'no such lease' } };
    }
    if (changes.length > 0) this.change(changes);
    return { status: 200, body: { ledger: this.ledger } };
  }

  private change(changes: Change[]): void {
    this.ledger += 1;
    for (const c of changes) {
      if (c.set !== undefined) {
        this.entries.set(c.set, { data: c.data, stamp: this.ledger, permit: c.permit ?? null });
        this.log.push({ set: c.set, data: c.data, stamp: this.ledger });
      } else if (c.drop !== undefined && this.entries.delete(c.drop)) {
        this.log.push({ drop: c.drop, stamp: this.ledger });
      }
    }
    if (this.log.length > 10_000) this.log.splice(0, this.log.length - 10_000);
    for (const wake of [...this.waiting]) wake();
  }

  private grant(ttlMs: number): Answer {
    const id = this.nextLease++;
    this.arm(id, ttlMs);
    return { status: 200, body: { permit: id } };
  }

  private arm(id: number, ttlMs: number): void {
    clearTimeout(this.leases.get(id)?.timer);
    const timer = setTimeout(() => {
      this.end(id);
    }, ttlMs);
    this.leases.set(id, { ttlMs, timer });
  }

  private end(id: number): void {
    clearTimeout(this.leases.get(id)?.timer);
    this.leases.delete(id);
    const gone = [...this.entries].filter(([, e]) => e.permit === id).map(([k]) => ({ drop: k }));
    if (gone.length > 0) this.change(gone);
  }

  private follow(query: URLSearchParams): Answer | Promise<Answer> {
    const starts = query.get('starts') ?? '';
    const since = Number(query.get('since') ?? 0);
    const found = (): Answer | null => {
      const log = this.log.filter((e) => e.stamp > since && (e.set ?? e.drop ?? '').startsWith(starts));
      return log.length > 0 ? { status: 200, body: { ledger: this.ledger, log } } : null;
    };
    const now = found();
    if (now) return now;
    return new Promise((resolve) => {
      const finish = (answer: Answer): void => {
        clearTimeout(timer);
        this.waiting.delete(wake);
        resolve(answer);
      };
      const wake = (): void => {
        const answer = found();
        if (answer) finish(answer);
      };
      const timer = setTimeout(
        () => {
          finish({ status: 200, body: { ledger: this.ledger, log: [] } });
        },
        Number(query.get('holdMs') ?? 0),
      );
      timer.unref();
      this.waiting.add(wake);
    });
  }
}
