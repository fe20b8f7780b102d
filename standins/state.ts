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

/** A stand-in for the state service: keys, transactions, leases and watches in memory. */
export class StateStandIn {
  private readonly entries = new Map<string, Entry>();
  private readonly leases = new Map<number, { ttlMs: number; timer: NodeJS.Timeout }>();
  private readonly log: { set?: string; drop?: string; data?: unknown; stamp: number }[] = [];
  private readonly watchCallbacks = new Set<() => void>();
  private revision = 1;
  private nextLease = 1;

  /** Outage: while true, every request is answered 503. */
  unavailable = false;
  private server: Server | null = null;

  async start(): Promise<string> {
    const { server, address } = await serveJson((method, url, body) =>
      this.unavailable ? { status: 503, body: {} } : this.route(method, url, body),
    );
    this.server = server;
    return address;
  }

  stop(): void {
    this.server?.close();
    this.server?.closeAllConnections();
    for (const id of [...this.leases.keys()]) this.endLease(id);
  }

  private route(method: string, url: URL, body: Record<string, unknown>): Answer | Promise<Answer> {
    const path = decodeURIComponent(url.pathname);
    if (path === '/store') return this.listItems(url.searchParams);
    if (path.startsWith('/store/')) return this.getItem(path.slice('/store/'.length));
    if (path === '/multi') return this.runTransaction(body);
    if (path === '/follow') return this.watch(url.searchParams);
    if (path === '/grants') return this.grantLease(Number(body.ttlMs));
    const lease = /^\/grants\/(\d+)(\/renew)?$/.exec(path);
    if (!lease) return { status: 404, body: {} };
    const id = Number(lease[1]);
    const held = this.leases.get(id);
    if (!held) return { status: 404, body: {} };
    if (method === 'DELETE') this.endLease(id);
    else this.scheduleLeaseExpiry(id, held.ttlMs);
    return { status: 200, body: {} };
  }

  private getItem(key: string): Answer {
    const entry = this.entries.get(key);
    return entry
      ? { status: 200, body: { k: key, ...entry } }
      : { status: 404, body: { ledger: this.revision } };
  }

  private listItems(query: URLSearchParams): Answer {
    const prefix = query.get('starts') ?? '';
    const since = query.get('since') ?? '';
    const limit = Number(query.get('most') ?? 1000);
    const keys = [...this.entries.keys()].filter((k) => k.startsWith(prefix) && k > since).sort();
    const rows = keys.slice(0, limit).map((k) => ({ k, ...required(this.entries.get(k), 'listed key') }));
    return { status: 200, body: { rows, hasNext: keys.length > limit, ledger: this.revision } };
  }

  private runTransaction(body: Record<string, unknown>): Answer {
    const conditions = (body.if ?? []) as { k: string; stamp: number }[];
    const changes = (body.then ?? []) as Change[];
    const failed = conditions.filter((c) => (this.entries.get(c.k)?.stamp ?? 0) !== c.stamp).map((c) => c.k);
    if (failed.length > 0) return { status: 409, body: { failed, ledger: this.revision } };
    if (changes.some((c) => c.permit !== undefined && !this.leases.has(c.permit))) {
      return { status: 400, body: { error: 'no such lease' } };
    }
    if (changes.length > 0) this.applyChanges(changes);
    return { status: 200, body: { ledger: this.revision } };
  }

  private applyChanges(changes: Change[]): void {
    this.revision += 1;
    for (const change of changes) {
      if (change.set !== undefined) {
        this.entries.set(change.set, {
          data: change.data,
          stamp: this.revision,
          permit: change.permit ?? null,
        });
        this.log.push({ set: change.set, data: change.data, stamp: this.revision });
      } else if (change.drop !== undefined && this.entries.delete(change.drop)) {
        this.log.push({ drop: change.drop, stamp: this.revision });
      }
    }
    if (this.log.length > 10_000) this.log.splice(0, this.log.length - 10_000);
    for (const wake of [...this.watchCallbacks]) wake();
  }

  private grantLease(ttlMs: number): Answer {
    const id = this.nextLease++;
    this.scheduleLeaseExpiry(id, ttlMs);
    return { status: 200, body: { permit: id } };
  }

  private scheduleLeaseExpiry(id: number, ttlMs: number): void {
    clearTimeout(this.leases.get(id)?.timer);
    const timer = setTimeout(() => {
      this.endLease(id);
    }, ttlMs);
    this.leases.set(id, { ttlMs, timer });
  }

  private endLease(id: number): void {
    clearTimeout(this.leases.get(id)?.timer);
    this.leases.delete(id);
    const deletions = [...this.entries].filter(([, e]) => e.permit === id).map(([k]) => ({ drop: k }));
    if (deletions.length > 0) this.applyChanges(deletions);
  }

  private watch(query: URLSearchParams): Answer | Promise<Answer> {
    const prefix = query.get('starts') ?? '';
    const since = Number(query.get('since') ?? 0);
    const findAnswer = (): Answer | null => {
      const log = this.log.filter((e) => e.stamp > since && (e.set ?? e.drop ?? '').startsWith(prefix));
      return log.length > 0 ? { status: 200, body: { ledger: this.revision, log } } : null;
    };
    const immediateAnswer = findAnswer();
    if (immediateAnswer) return immediateAnswer;
    return new Promise((resolve) => {
      const finish = (answer: Answer): void => {
        clearTimeout(timer);
        this.watchCallbacks.delete(wake);
        resolve(answer);
      };
      const wake = (): void => {
        const answer = findAnswer();
        if (answer) finish(answer);
      };
      const timer = setTimeout(
        () => {
          finish({ status: 200, body: { ledger: this.revision, log: [] } });
        },
        Number(query.get('holdMs') ?? 0),
      );
      timer.unref();
      this.watchCallbacks.add(wake);
    });
  }
}
