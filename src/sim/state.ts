import { required } from '../base/required.ts';
import type { HttpResponse, HttpRequest } from '../http/server.ts';
import { TokenBucket } from './bucket.ts';
import type { Exchange, Host, FaultWindow } from './network.ts';
import { parseJson, type TransactionBody } from './protocol.ts';
import type { EventQueue } from './queue.ts';
import type { Random } from './random.ts';

/** Settings of the state service: requests and writes per second, size of a value in kB, changes per transaction. */
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

interface Watch {
  from: Host;
  prefix: string;
  since: number;
  deadline: number;
  reply: (answer: HttpResponse) => void;
}

const MAX_RETAINED_CHANGES = 10_000;
const MAX_TRANSACTION_BYTES = 64 * 1024;
const MAX_LISTED_ITEMS = 1000;
const LATE_WRITE_DELAY_MS = { min: 2000, max: 12_000 };
const SLOW_ANSWER_MS = { min: 300, max: 1400 };
/** A lease ends up to this much after its expiry. */
const MAX_LEASE_SLACK_MS = 100;

const answer = (status: number, body: object): HttpResponse => ({ status, body: JSON.stringify(body) });
const UNAVAILABLE = answer(503, { error: 'unavailable' });
const MALFORMED = answer(400, { error: 'malformed' });

/** The state service: strongly consistent keys, leases, watches and rate limits, and injected faults. */
export class StateService implements Host {
  readonly name = 'state';
  readonly kind = 'state';
  readonly zone = null;
  /** Transactions that are applied at once but whose answer is lost. */
  lostAnswers: FaultWindow = { untilMs: 0, share: 0 };
  /** Transactions that are applied seconds late, after newer ones, and whose answer is lost. */
  lateWrites: FaultWindow = { untilMs: 0, share: 0 };
  slowUntil = 0;
  /** Number of requested puts and deletes, including those of transactions with an unmet condition. */
  requestedChangeCount = 0;
  private readonly data = new Map<string, Entry>();
  private readonly leases = new Map<number, Lease>();
  private history: Change[] = [];
  private watches: Watch[] = [];
  private revision = 1;
  private nextLease = 1;
  private outageUntil = 0;
  private readonly refusedUntil = new Map<string, number>();
  private readonly requests: TokenBucket;
  private readonly writes: TokenBucket;
  private leaseHolder: string | null = null;

  constructor(
    private readonly queue: EventQueue,
    private readonly random: Random,
    private readonly limits: StateLimits,
    /** Shares of transactions that are late or lose their answer at all times. */
    private readonly baselineFaultRates: { late: number; lost: number },
    /** Called when a controller attaches a key to a lease, as a new leader does. */
    private readonly onLeader: (node: string) => void,
  ) {
    const now = (): number => queue.nowMs;
    this.requests = new TokenBucket(limits.rps, 1, now);
    this.writes = new TokenBucket(limits.write_rps, 1, now);
  }

  isUp(): boolean {
    return true;
  }

  heldUntil(): number {
    return 0;
  }

  /** Name of the controller that last attached a key to a lease, or null if no key is attached to one. */
  leaderName(): string | null {
    const isHeld = [...this.data.values()].some((entry) => entry.lease !== null);
    return isHeld ? this.leaseHolder : null;
  }

  /** Answers all requests with 503 for some time. */
  startOutage(ms: number): void {
    this.outageUntil = Math.max(this.outageUntil, this.queue.nowMs + ms);
    // When the outage ends, every lease has its full time to live again.
    for (const lease of this.leases.values()) lease.endsAt = this.outageUntil + lease.ttlMs;
    for (const id of this.leases.keys()) this.scheduleLeaseExpiry(id);
    this.queue.after(ms + 1, () => {
      this.answerWatches();
    });
  }

  /** Answers the requests of one controller with 503 for some time. */
  refuseController(node: string, ms: number): void {
    this.refusedUntil.set(node, Math.max(this.refusedUntil.get(node) ?? 0, this.queue.nowMs + ms));
    this.queue.after(ms + 1, () => {
      this.answerWatches();
    });
  }

  serve({ from, request, reply }: Exchange): void {
    const replyWhenReady = (a: HttpResponse | null): void => {
      if (a === null) return;
      if (this.queue.nowMs >= this.slowUntil) reply(a);
      else
        this.queue.after(this.random.between(SLOW_ANSWER_MS.min, SLOW_ANSWER_MS.max), () => {
          reply(a);
        });
    };
    if (this.isRefused(from)) {
      reply(UNAVAILABLE);
      return;
    }
    if (!this.requests.take()) {
      reply(answer(429, { error: 'too many requests' }));
      return;
    }
    const url = new URL(request.path, 'http://state');
    if (url.pathname === '/multi') replyWhenReady(this.runTransaction(from, request.body));
    else if (url.pathname === '/follow') this.startWatch(from, url.searchParams, reply);
    else if (url.pathname === '/store') replyWhenReady(this.listItems(url.searchParams));
    else if (url.pathname.startsWith('/store/'))
      replyWhenReady(this.getItem(url.pathname.slice('/store/'.length)));
    else if (url.pathname.startsWith('/grants'))
      replyWhenReady(this.handleLeaseRequest(request, url.pathname));
    else replyWhenReady(MALFORMED);
  }

  private isRefused(from: Host): boolean {
    return this.queue.nowMs < this.outageUntil || this.queue.nowMs < (this.refusedUntil.get(from.name) ?? 0);
  }

  // ---- reads ----

  private getItem(key: string): HttpResponse {
    const entry = this.data.get(key);
    if (!entry) return answer(404, { ledger: this.revision });
    return answer(200, {
      k: key,
      data: entry.value,
      stamp: entry.version,
      ...(entry.lease === null ? {} : { permit: entry.lease }),
    });
  }

  private listItems(query: URLSearchParams): HttpResponse {
    const prefix = query.get('starts') ?? '';
    const since = query.get('since') ?? '';
    const limit = Math.min(MAX_LISTED_ITEMS, Number(query.get('most') ?? MAX_LISTED_ITEMS));
    const keys = [...this.data.keys()].filter((k) => k.startsWith(prefix) && k > since).sort();
    const rows = keys.slice(0, limit).map((k) => {
      const { value, version } = required(this.data.get(k), 'listed key');
      return { k, data: value, stamp: version };
    });
    return answer(200, { rows, hasNext: keys.length > limit, ledger: this.revision });
  }

  // ---- transactions ----

  private runTransaction(from: Host, body: string): HttpResponse | null {
    const parsed = parseJson(body) as TransactionBody | null;
    if (!parsed || !this.isWithinLimits(parsed, body)) return MALFORMED;
    if (!this.writes.take(parsed.then?.length ?? 0)) return answer(429, { error: 'too many writes' });
    this.requestedChangeCount += parsed.then?.length ?? 0;
    if (this.drawFault(this.lateWrites, this.baselineFaultRates.late)) {
      this.queue.after(this.random.between(LATE_WRITE_DELAY_MS.min, LATE_WRITE_DELAY_MS.max), () => {
        if (this.queue.nowMs >= this.outageUntil) this.applyTransaction(from, parsed);
      });
      return null;
    }
    const result = this.applyTransaction(from, parsed);
    return this.drawFault(this.lostAnswers, this.baselineFaultRates.lost) ? null : result;
  }

  private drawFault(faultWindow: FaultWindow, baselineRate: number): boolean {
    return this.random.chance(
      this.queue.nowMs < faultWindow.untilMs ? Math.max(faultWindow.share, baselineRate) : baselineRate,
    );
  }

  private isWithinLimits(body: TransactionBody, text: string): boolean {
    const changes = body.then ?? [];
    if (changes.length > this.limits.txn_ops || text.length > MAX_TRANSACTION_BYTES) return false;
    if ((body.if ?? []).length > this.limits.txn_ops * 4) return false;
    return changes.every(
      (c) => !('set' in c) || JSON.stringify(c.data).length <= this.limits.value_kb * 1000,
    );
  }

  private applyTransaction(from: Host, body: TransactionBody): HttpResponse {
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
        this.recordChange({ key: change.set, deleted: false, value: change.data, version: this.revision });
        if (lease !== null) {
          this.leaseHolder = from.name;
          this.onLeader(from.name);
        }
      } else if (this.data.delete(change.drop)) {
        this.recordChange({ key: change.drop, deleted: true, value: null, version: this.revision });
      }
    }
    this.answerWatches();
    return answer(200, { ledger: this.revision });
  }

  private recordChange(change: Change): void {
    this.history.push(change);
    if (this.history.length > MAX_RETAINED_CHANGES * 2)
      this.history = this.history.slice(-MAX_RETAINED_CHANGES);
  }

  // ---- leases ----

  private handleLeaseRequest(request: HttpRequest, path: string): HttpResponse {
    const [, , id, action] = path.split('/');
    if (id === undefined) {
      const ttlMs = (parseJson(request.body) as { ttlMs?: number } | null)?.ttlMs;
      if (ttlMs === undefined || ttlMs < 100 || ttlMs > 600_000) return MALFORMED;
      const newLeaseId = this.nextLease++;
      this.leases.set(newLeaseId, { ttlMs, endsAt: this.queue.nowMs + ttlMs });
      this.scheduleLeaseExpiry(newLeaseId);
      return answer(200, { permit: newLeaseId });
    }
    const lease = this.leases.get(Number(id));
    if (!lease) return answer(404, { error: 'no such lease' });
    if (request.method === 'DELETE') this.endLease(Number(id));
    else if (action === 'renew') lease.endsAt = this.queue.nowMs + lease.ttlMs;
    return answer(200, {});
  }

  /** Schedules the end of a lease; a renewal until then postpones it. */
  private scheduleLeaseExpiry(id: number): void {
    const lease = this.leases.get(id);
    if (!lease) return;
    const slackMs = this.random.between(0, MAX_LEASE_SLACK_MS);
    this.queue.after(lease.endsAt - this.queue.nowMs + slackMs, () => {
      if (!this.leases.has(id)) return;
      if (this.queue.nowMs >= lease.endsAt && this.queue.nowMs >= this.outageUntil) this.endLease(id);
      else if (lease.endsAt > this.queue.nowMs) this.scheduleLeaseExpiry(id);
    });
  }

  private endLease(id: number): void {
    this.leases.delete(id);
    this.revision += 1;
    for (const [key, entry] of this.data) {
      if (entry.lease !== id) continue;
      this.data.delete(key);
      this.recordChange({ key, deleted: true, value: null, version: this.revision });
    }
    this.answerWatches();
  }

  // ---- watches ----

  private startWatch(from: Host, query: URLSearchParams, reply: (answer: HttpResponse) => void): void {
    const holdMs = Math.min(60_000, Number(query.get('holdMs') ?? 0));
    const watch: Watch = {
      from,
      prefix: query.get('starts') ?? '',
      since: Number(query.get('since') ?? 0),
      deadline: this.queue.nowMs + holdMs,
      reply,
    };
    this.watches.push(watch);
    this.queue.after(holdMs, () => {
      this.answerWatches();
    });
    this.answerWatches();
  }

  /** Answers the watches that have changes or whose hold time is over. */
  private answerWatches(): void {
    const waiting: Watch[] = [];
    for (const watch of this.watches) {
      const result = this.isRefused(watch.from) ? null : this.findWatchAnswer(watch);
      if (result) watch.reply(result);
      else waiting.push(watch);
    }
    this.watches = waiting;
  }

  private findWatchAnswer({ prefix, since, deadline }: Watch): HttpResponse | null {
    const oldest = this.history[0]?.version ?? this.revision;
    if (this.history.length >= MAX_RETAINED_CHANGES && since < oldest - 1)
      return answer(410, { ledger: this.revision });
    let first = this.history.length;
    while (first > 0 && required(this.history[first - 1], 'change').version > since) first -= 1;
    const found = this.history.slice(first).filter((c) => c.key.startsWith(prefix));
    if (found.length === 0 && this.queue.nowMs < deadline) return null;
    const log = found.map((c) =>
      c.deleted ? { drop: c.key, stamp: c.version } : { set: c.key, data: c.value, stamp: c.version },
    );
    return answer(200, { ledger: this.revision, log });
  }
}
