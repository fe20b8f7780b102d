import { required } from '../base/required.ts';
import type { HttpResponse, HttpRequest } from '../http/server.ts';
import { TokenBucket } from './bucket.ts';
import type { Exchange, Host, Spell } from './network.ts';
import { parse, type TransactionBody } from './protocol.ts';
import type { EventQueue } from './queue.ts';
import type { Random } from './random.ts';

/** Settings of the state service: requests and writes a second, KiB of a value, changes of a transaction. */
export interface StateLimits {
  rps: number;
  write_rps: number;
  value_kb: number;
  txn_ops: number;
}

interface Entry {
  value: unknown;
  version: number;
  lease: number | null;
}

interface Lease {
  ttlMs: number;
  endsAt: number;
}

interface Change {
  key: string;
  deleted: boolean;
  value: unknown;
  version: number;
}

interface MachineMonitor {
  from: Host;
  prefix: string;
  since: number;
  deadline: number;
  reply: (answer: HttpResponse) => void;
}

const RETAINED = 10_000;
const MOST_BYTES = 64 * 1024;
const MOST_ITEMS = 1000;
const LATE_WRITE_MS = { least: 2000, most: 12_000 };
const SLOW_MS = { least: 300, most: 1400 };
/** A lease may end as much later as this. */
const LEASE_SLACK_MS = 100;

const answer = (status: number, body: object): HttpResponse => ({ status, body: JSON.stringify(body) });
const UNAVAILABLE = answer(503, { error: 'unavailable' });
const MALFORMED = answer(400, { error: 'malformed' });

/** The state service: strong consistency, leases, watches and rate limits, and its troubles. */
export class StateService implements Host {
  readonly name = 'state';
  readonly kind = 'state';
  readonly zone = null;
  /** Transactions carried out at once whose answer is lost. */
  lostAnswers: Spell = { untilMs: 0, share: 0 };
  /** Transactions carried out seconds late, after newer ones, without an answer. */
  lateWrites: Spell = { untilMs: 0, share: 0 };
  slowUntil = 0;
  /** Puts and deletes asked for, also by transactions that found a condition unmet. */
  changesAsked = 0;
  private readonly data = new Map<string, Entry>();
  private readonly leases = new Map<number, Lease>();
  private history: Change[] = [];
  private watches: MachineMonitor[] = [];
  private revision = 1;
  private nextLease = 1;
  private outageUntil = 0;
  private readonly refusedUntil = new Map<string, number>();
  private readonly requests: TokenBucket;
  private readonly writes: TokenBucket;
  private holder: string | null = null;

  constructor(
    private readonly queue: EventQueue,
    private readonly random: Random,
    private readonly limits: StateLimits,
    /** Shares of transactions with each trouble at all times. */
    private readonly always: { late: number; lost: number },
    /** A controller attached a key to a lease, as a new leader does. */
    private readonly onLeader: (node: string) => void,
  ) {
    const now = (): number => queue.at;
    this.requests = new TokenBucket(limits.rps, 1, now);
    this.writes = new TokenBucket(limits.write_rps, 1, now);
  }

  up(): boolean {
    return true;
  }

  heldUntil(): number {
    return 0;
  }

  /** The controller that attached a key to a lease last, while that key is there. */
  leader(): string | null {
    const held = [...this.data.values()].some((entry) => entry.lease !== null);
    return held ? this.holder : null;
  }

  outage(ms: number): void {
    this.outageUntil = Math.max(this.outageUntil, this.queue.at + ms);
    // Once it ends, every lease has its full time again.
    for (const lease of this.leases.values()) lease.endsAt = this.outageUntil + lease.ttlMs;
    for (const id of this.leases.keys()) this.expectEnd(id);
    this.queue.after(ms + 1, () => {
      this.notify();
    });
  }

  /** One controller alone is answered 503. */
  refuse(node: string, ms: number): void {
    this.refusedUntil.set(node, Math.max(this.refusedUntil.get(node) ?? 0, this.queue.at + ms));
    this.queue.after(ms + 1, () => {
      this.notify();
    });
  }

  serve({ from, request, reply }: Exchange): void {
    const answered = (a: HttpResponse | null): void => {
      if (a === null) return;
      if (this.queue.at >= this.slowUntil) reply(a);
      else
        this.queue.after(this.random.between(SLOW_MS.least, SLOW_MS.most), () => {
          reply(a);
        });
    };
    if (this.refuses(from)) {
      reply(UNAVAILABLE);
      return;
    }
    if (!this.requests.take()) {
      reply(answer(429, { error: 'too many requests' }));
      return;
    }
    const url = new URL(request.path, 'http://state');
    if (url.pathname === '/multi') answered(this.transaction(from, request.body));
    else if (url.pathname === '/follow') this.follow(from, url.searchParams, reply);
    else if (url.pathname === '/store') answered(this.list(url.searchParams));
    else if (url.pathname.startsWith('/store/')) answered(this.get(url.pathname.slice('/store/'.length)));
    else if (url.pathname.startsWith('/grants')) answered(this.lease(request, url.pathname));
    else answered(MALFORMED);
  }

  private refuses(from: Host): boolean {
    return this.queue.at < this.outageUntil || this.queue.at < (this.refusedUntil.get(from.name) ?? 0);
  }

  // ---- reads ----

  private get(key: string): HttpResponse {
    const entry = this.data.get(key);
    if (!entry) return answer(404, { ledger: this.revision });
    return answer(200, {
      k: key,
      data: entry.value,
      stamp: entry.version,
      ...(entry.lease === null ? {} : { permit: entry.lease }),
    });
  }

  private list(query: URLSearchParams): HttpResponse {
    const prefix = query.get('starts') ?? '';
    const since = query.get('since') ?? '';
    const most = Math.min(MOST_ITEMS, Number(query.get('most') ?? MOST_ITEMS));
    const keys = [...this.data.keys()].filter((k) => k.startsWith(prefix) && k > since).sort();
    const rows = keys.slice(0, most).map((k) => {
      const { value, version } = required(this.data.get(k), 'listed key');
      return { k, data: value, stamp: version };
    });
    return answer(200, { rows, hasNext: keys.length > most, ledger: this.revision });
  }

  // ---- transactions ----

  private transaction(from: Host, body: string): HttpResponse | null {
    const parsed = parse(body) as TransactionBody | null;
    if (!parsed || !this.withinLimits(parsed, body)) return MALFORMED;
    if (!this.writes.take(parsed.then?.length ?? 0)) return answer(429, { error: 'too many writes' });
    this.changesAsked += parsed.then?.length ?? 0;
    if (this.strikes(this.lateWrites, this.always.late)) {
      this.queue.after(this.random.between(LATE_WRITE_MS.least, LATE_WRITE_MS.most), () => {
        if (this.queue.at >= this.outageUntil) this.apply(from, parsed);
      });
      return null;
    }
    const result = this.apply(from, parsed);
    return this.strikes(this.lostAnswers, this.always.lost) ? null : result;
  }

  private strikes(spell: Spell, always: number): boolean {
    return this.random.chance(this.queue.at < spell.untilMs ? Math.max(spell.share, always) : always);
  }

  private withinLimits(body: TransactionBody, text: string): boolean {
    const changes = body.then ?? [];
    if (changes.length > this.limits.txn_ops || text.length > MOST_BYTES) return false;
    if ((body.if ?? []).length > this.limits.txn_ops * 4) return false;
    return changes.every(
      (c) => !('set' in c) || JSON.stringify(c.data).length <= this.limits.value_kb * 1000,
    );
  }

  private apply(from: Host, body: TransactionBody): HttpResponse {
    const failed = (body.if ?? []).filter((c) => (this.data.get(c.k)?.version ?? 0) !== c.stamp);
    const changes = body.then ?? [];
    if (changes.some((c) => 'set' in c && c.permit !== undefined && !this.leases.has(c.permit))) {
      return answer(400, { error: 'no such lease' });
    }
    if (failed.length > 0) return answer(409, { failed: failed.map((c) => c.k), ledger: this.revision });
    if (changes.length === 0) return answer(200, { ledger: this.revision });
    this.revision += 1;
    for (const change of changes) {
      if ('set' in change) {
        const lease = change.permit ?? null;
        this.data.set(change.set, { value: change.data, version: this.revision, lease });
        this.note({ key: change.set, deleted: false, value: change.data, version: this.revision });
        if (lease !== null) {
          this.holder = from.name;
          this.onLeader(from.name);
        }
      } else if (this.data.delete(change.drop)) {
        this.note({ key: change.drop, deleted: true, value: null, version: this.revision });
      }
    }
    this.notify();
    return answer(200, { ledger: this.revision });
  }

  private note(change: Change): void {
    this.history.push(change);
    if (this.history.length > RETAINED * 2) this.history = this.history.slice(-RETAINED);
  }

  // ---- leases ----

  private lease(request: HttpRequest, path: string): HttpResponse {
    const [, , id, verb] = path.split('/');
    if (id === undefined) {
      const ttlMs = (parse(request.body) as { ttlMs?: number } | null)?.ttlMs;
      if (ttlMs === undefined || ttlMs < 100 || ttlMs > 600_000) return MALFORMED;
      const granted = this.nextLease++;
      this.leases.set(granted, { ttlMs, endsAt: this.queue.at + ttlMs });
      this.expectEnd(granted);
      return answer(200, { permit: granted });
    }
    const lease = this.leases.get(Number(id));
    if (!lease) return answer(404, { error: 'no such lease' });
    if (request.method === 'DELETE') this.end(Number(id));
    else if (verb === 'renew') lease.endsAt = this.queue.at + lease.ttlMs;
    return answer(200, {});
  }

  /** Ends a lease once its time is over and it wasn't renewed. */
  private expectEnd(id: number): void {
    const lease = this.leases.get(id);
    if (!lease) return;
    const slack = this.random.between(0, LEASE_SLACK_MS);
    this.queue.after(lease.endsAt - this.queue.at + slack, () => {
      if (!this.leases.has(id)) return;
      if (this.queue.at >= lease.endsAt && this.queue.at >= this.outageUntil) this.end(id);
      else if (lease.endsAt > this.queue.at) this.expectEnd(id);
    });
  }

  private end(id: number): void {
    this.leases.delete(id);
    this.revision += 1;
    for (const [key, entry] of this.data) {
      if (entry.lease !== id) continue;
      this.data.delete(key);
      this.note({ key, deleted: true, value: null, version: this.revision });
    }
    this.notify();
  }

  // ---- watches ----

  private follow(from: Host, query: URLSearchParams, reply: (answer: HttpResponse) => void): void {
    const holdMs = Math.min(60_000, Number(query.get('holdMs') ?? 0));
    const watch: MachineMonitor = {
      from,
      prefix: query.get('starts') ?? '',
      since: Number(query.get('since') ?? 0),
      deadline: this.queue.at + holdMs,
      reply,
    };
    this.watches.push(watch);
    this.queue.after(holdMs, () => {
      this.notify();
    });
    this.notify();
  }

  /** Answers the watches that have something to tell or whose time is over. */
  private notify(): void {
    const waiting: MachineMonitor[] = [];
    for (const watch of this.watches) {
      const result = this.refuses(watch.from) ? null : this.changes(watch);
      if (result) watch.reply(result);
      else waiting.push(watch);
    }
    this.watches = waiting;
  }

  private changes({ prefix, since, deadline }: MachineMonitor): HttpResponse | null {
    const oldest = this.history[0]?.version ?? this.revision;
    if (this.history.length >= RETAINED && since < oldest - 1) return answer(410, { ledger: this.revision });
    let first = this.history.length;
    while (first > 0 && required(this.history[first - 1], 'change').version > since) first -= 1;
    const found = this.history.slice(first).filter((c) => c.key.startsWith(prefix));
    if (found.length === 0 && this.queue.at < deadline) return null;
    const log = found.map((c) =>
      c.deleted ? { drop: c.key, stamp: c.version } : { set: c.key, data: c.value, stamp: c.version },
    );
    return answer(200, { ledger: this.revision, log });
  }
}
