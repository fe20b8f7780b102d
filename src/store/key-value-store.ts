import type { HttpResult, HttpSender } from '../http/client.ts';
import type { Logger } from '../base/log.ts';
import type { Decoded } from '../wire/amounts.ts';
import * as wire from '../wire/state.ts';
import { RateBudget } from './budget.ts';

/** What came of a call. `unknown`: it may have been carried out, or may be later. `refused`: it was not. */
/** `overLimit`: for its rate, by the service or by this node's own share. */
type Refused = { kind: 'refused'; overLimit?: boolean };
export type StoreResult<T> = { kind: 'ok'; value: T } | Refused | { kind: 'unknown' };
export type CompareAndSwapResult =
  | { kind: 'ok'; revision: number }
  | { kind: 'conflict'; failed: string[] }
  | { kind: 'no_lease' }
  | Refused
  | { kind: 'unknown' };

/** How urgent a call is: each less urgent kind leaves permits in the budget for the ones before it. */
export type Urgency = 'lease' | 'user' | 'background' | 'poll';
/** Shares of the budget that each kind leaves to the others. */
const RESERVE: Record<Urgency, number> = { lease: 0, user: 0.1, background: 0.35, poll: 0.4 };

export function moreUrgent(first: Urgency, second: Urgency): boolean {
  return RESERVE[first] < RESERVE[second];
}

const READ_TIMEOUT_MS = 1500;
const WRITE_TIMEOUT_MS = 2000;
const PAGE = 500;
/**
 * Part of the service's limit that the polls of all nodes together may use. Users ask at any rate, on all nodes at
 * the same time: shares that add up to more than the limit once made the service refuse submissions for their sake.
 */
const POLL_SHARE = 0.6;
/** After the service itself refused a call for its rate, polls leave it to others for so long. */
const POLL_REST_MS = 1000;
/** All nodes' shares together, in times of the limit: they are seldom busy at the same time. */
const OVERCOMMITTED = 1.5;

/** The state service by its published protocol, within this node's share of its request budget. */
export class KeyValueStore {
  private readonly http: HttpSender;
  private readonly watchHttp: HttpSender;
  /** Of its own, so that renewals of leases wait for nothing else. */
  private readonly leaseHttp: HttpSender;
  private readonly budget: RateBudget;
  private readonly pollBudget: RateBudget;
  private pollsRestUntil = -Infinity;
  private readonly rps: number;
  /** When the service last served this node: an answer that is neither a refusal nor an outage's. */
  servedAt: number;

  constructor(
    /** Makes a client of the state service with so many connections. */
    connect: (connections: number) => HttpSender,
    limits: { rps: number; nodes: number },
    private readonly now: () => number,
    private readonly log: Logger,
  ) {
    this.servedAt = now();
    this.http = connect(16);
    this.watchHttp = connect(4);
    this.leaseHttp = connect(4);
    // The limit is shared by all nodes and a burst at one must not starve the leader's lease.
    this.rps = limits.rps * Math.min(0.5, OVERCOMMITTED / limits.nodes);
    this.budget = new RateBudget(this.rps, now);
    this.pollBudget = new RateBudget(Math.max(1, (limits.rps * POLL_SHARE) / limits.nodes), now);
  }

  private async call(
    method: string,
    path: string,
    body: string | null,
    timeoutMs: number,
    urgency: Urgency,
    http = this.http,
  ): Promise<HttpResult> {
    if (!this.mayCall(urgency)) {
      return { kind: 'answer', status: 429, body: '', retryAfterS: null };
    }
    const result = await http.send(method, path, body, timeoutMs);
    if (result.kind !== 'answer') return result;
    if (result.status === 429) this.pollsRestUntil = this.now() + POLL_REST_MS;
    else if (result.status < 500) this.servedAt = this.now();
    return result;
  }

  private mayCall(urgency: Urgency): boolean {
    if (urgency === 'poll' && (this.now() < this.pollsRestUntil || !this.pollBudget.take())) return false;
    return this.budget.take(1, this.rps * RESERVE[urgency]);
  }

  private settle<T>(result: HttpResult, decode: (text: string) => Decoded<T>): StoreResult<T> {
    if (result.kind === 'silent') return result.sent ? { kind: 'unknown' } : { kind: 'refused' };
    if (result.status !== 200) return { kind: 'refused', overLimit: result.status === 429 };
    const decoded = decode(result.body);
    if (decoded.ok) return { kind: 'ok', value: decoded.value };
    this.log.error({ reason: decoded.reason }, 'store: malformed answer');
    return { kind: 'unknown' };
  }

  /** null: the key does not exist. */
  async get(key: string, urgency: Urgency): Promise<StoreResult<wire.Item | null>> {
    const result = await this.call('GET', wire.STATE_PATHS.key(key), null, READ_TIMEOUT_MS, urgency);
    if (result.kind === 'answer' && result.status === 404) {
      // Only a 404 in the store's own form says that a key is missing.
      return wire.decodeRevision(result.body).ok ? { kind: 'ok', value: null } : { kind: 'refused' };
    }
    return this.settle(result, wire.decodeItem);
  }

  /** All keys with a prefix, page by page, with the revision of the first page. */
  async list(
    prefix: string,
    urgency: Urgency,
  ): Promise<StoreResult<{ items: wire.Item[]; revision: number }>> {
    const items: wire.Item[] = [];
    let after = '';
    let revision = -1;
    for (;;) {
      const path = wire.STATE_PATHS.list(prefix, after, PAGE);
      const result = await this.call('GET', path, null, READ_TIMEOUT_MS, urgency);
      const page = this.settle(result, wire.decodeItems);
      if (page.kind !== 'ok') return page;
      if (revision < 0) revision = page.value.revision;
      items.push(...page.value.items);
      const last = page.value.items.at(-1);
      if (!page.value.more || !last) return { kind: 'ok', value: { items, revision } };
      after = last.key;
    }
  }

  async compareAndSwap(
    conditions: readonly wire.Condition[],
    changes: readonly wire.Mutation[],
    urgency: Urgency,
    timeoutMs = WRITE_TIMEOUT_MS,
  ): Promise<CompareAndSwapResult> {
    const body = wire.encodeTransaction(conditions, changes);
    const result = await this.call('POST', wire.STATE_PATHS.txn, body, timeoutMs, urgency);
    if (result.kind === 'answer' && result.status === 409) {
      const failed = wire.decodeConflict(result.body);
      return failed.ok ? { kind: 'conflict', failed: failed.value } : { kind: 'unknown' };
    }
    if (result.kind === 'answer' && result.status === 400) {
      if (wire.isNoLease(result.body)) return { kind: 'no_lease' };
      this.log.error({ body: result.body.slice(0, 200) }, 'store: transaction refused as malformed');
    }
    const settled = this.settle(result, wire.decodeRevision);
    return settled.kind === 'ok' ? { kind: 'ok', revision: settled.value } : settled;
  }

  async grantLease(ttlMs: number): Promise<StoreResult<number>> {
    const body = wire.encodeGrant(ttlMs);
    const result = await this.call('POST', wire.STATE_PATHS.leases, body, WRITE_TIMEOUT_MS, 'lease');
    return this.settle(result, wire.decodeGrant);
  }

  /** `ok` with false: the lease is over. */
  async renewLease(lease: number, timeoutMs: number): Promise<StoreResult<boolean>> {
    const path = wire.STATE_PATHS.renew(lease);
    const result = await this.call('POST', path, '{}', timeoutMs, 'lease', this.leaseHttp);
    if (result.kind === 'answer' && result.status === 404) return { kind: 'ok', value: false };
    return this.settle(result, () => ({ ok: true, value: true }));
  }

  async revokeLease(lease: number): Promise<boolean> {
    const result = await this.call('DELETE', wire.STATE_PATHS.lease(lease), null, WRITE_TIMEOUT_MS, 'lease');
    return result.kind === 'answer' && (result.status < 300 || result.status === 404);
  }

  /** Waits for changes after a revision. `gone`: the revision is too old and the keys must be read again. */
  async watch(
    prefix: string,
    after: number,
    waitMs: number,
  ): Promise<StoreResult<{ revision: number; events: wire.WatchEvent[] }> | { kind: 'gone' }> {
    if (!this.budget.take(1)) return { kind: 'refused' };
    const path = wire.STATE_PATHS.watch(prefix, after, waitMs);
    // During an outage an open watch stays open, so its own time-out is generous.
    const result = await this.watchHttp.send('GET', path, null, waitMs + 5000);
    if (result.kind === 'answer' && result.status === 410) return { kind: 'gone' };
    return this.settle(result, wire.decodeEvents);
  }

  close(): void {
    this.http.close();
    this.watchHttp.close();
    this.leaseHttp.close();
  }
}
