/**
 * Client of the key-value store (the "state service" of PROTOCOL): reads, watches, compare-and-swap transactions and
 * leases. The client never retries a call; the result says whether the caller may retry it.
 */
import type { HttpResult, HttpSender } from '../http/client.ts';
import type { Logger } from '../base/log.ts';
import type { Decoded } from '../wire/amounts.ts';
import * as wire from '../wire/state.ts';
import { CallBudget, type StoreLimits, type Urgency } from './call-budget.ts';

/**
 * The call was not executed and never will be: this controller's budget withheld it, the connection was refused before
 * the call was sent, or the service answered that it did not execute the call.
 */
interface Refused {
  kind: 'refused';
  /** True if a rate limit refused the call: the service's (429) or this controller's. Unset for a withheld watch. */
  overLimit?: boolean;
}

/**
 * No usable response: the call may have been executed, or may yet be executed, even minutes later. Only a read of the
 * keys that it changes can tell.
 */
interface Unknown {
  kind: 'unknown';
}

/** Outcome of a call that can fail only in these two ways. `ok`: the call was executed. */
export type StoreResult<T> = { kind: 'ok'; value: T } | Refused | Unknown;

/** Outcome of a transaction. */
export type CompareAndSwapResult =
  /** All conditions held and all mutations are durable; they share this revision as their version. */
  | { kind: 'ok'; revision: number }
  /** Not executed, because the keys in `failed` have other versions than the conditions require. */
  | { kind: 'conflict'; failed: string[] }
  /** Not executed, because a key was to be attached to a lease that has expired. */
  | { kind: 'no_lease' }
  | Refused
  | Unknown;

/** Outcome of a watch. `gone`: the start revision is no longer retained, so the caller must list the keys again. */
export type WatchResult = StoreResult<{ revision: number; events: wire.WatchEvent[] }> | { kind: 'gone' };

interface StoreRequest {
  method: 'GET' | 'POST' | 'DELETE';
  path: string;
  /** JSON text. */
  body: string | null;
  timeoutMs: number;
  urgency: Urgency;
  /** Client to use in place of the shared one. */
  http?: HttpSender;
}

const READ_TIMEOUT_MS = 1500;
const WRITE_TIMEOUT_MS = 2000;
/** Timeout of a watch beyond the time for which the service may hold it open. */
const WATCH_GRACE_MS = 5000;
/** Maximum number of items in one page of a list. */
const PAGE_SIZE = 500;
/** Length in characters to which the response to a rejected transaction is truncated in the log. */
const MAX_LOGGED_BODY_LENGTH = 200;

const CONNECTIONS = 16;
const WATCH_CONNECTIONS = 4;
const LEASE_CONNECTIONS = 4;

/** Client of the key-value store that stays within this controller's share of the request limit. */
export class KeyValueStore {
  private readonly http: HttpSender;
  private readonly watchHttp: HttpSender;
  /** Separate connections, so that lease renewals don't queue behind other calls. */
  private readonly leaseHttp: HttpSender;
  private readonly budget: CallBudget;
  /**
   * When the service last served this controller, in milliseconds of the injected clock. A response counts unless it is
   * a 429 or a server error (5xx).
   */
  lastServedAt: number;

  constructor(
    /** Creates an HTTP client of the service with this many connections. */
    connect: (connections: number) => HttpSender,
    limits: StoreLimits,
    /** Steady milliseconds. */
    private readonly now: () => number,
    private readonly log: Logger,
  ) {
    this.lastServedAt = now();
    this.http = connect(CONNECTIONS);
    this.watchHttp = connect(WATCH_CONNECTIONS);
    this.leaseHttp = connect(LEASE_CONNECTIONS);
    this.budget = new CallBudget(limits, now);
  }

  /** Reads one key; the value null means that the key does not exist. */
  async get(key: string, urgency: Urgency): Promise<StoreResult<wire.Item | null>> {
    const result = await this.call({
      method: 'GET',
      path: wire.STATE_PATHS.key(key),
      body: null,
      timeoutMs: READ_TIMEOUT_MS,
      urgency,
    });
    if (result.kind === 'answer' && result.status === 404) {
      // A 404 means that the key is missing only if the body has the store's own format; a proxy may send others.
      return wire.decodeRevision(result.body).ok ? { kind: 'ok', value: null } : { kind: 'refused' };
    }
    return this.toStoreResult(result, wire.decodeItem);
  }

  /** Reads all keys with a prefix, page by page; `revision` is that of the first page, where a watch has to start. */
  async list(
    prefix: string,
    urgency: Urgency,
  ): Promise<StoreResult<{ items: wire.Item[]; revision: number }>> {
    const items: wire.Item[] = [];
    let after = '';
    let revision = -1;
    for (;;) {
      const result = await this.call({
        method: 'GET',
        path: wire.STATE_PATHS.list(prefix, after, PAGE_SIZE),
        body: null,
        timeoutMs: READ_TIMEOUT_MS,
        urgency,
      });
      const page = this.toStoreResult(result, wire.decodeItems);
      if (page.kind !== 'ok') return page;
      if (revision < 0) revision = page.value.revision;
      items.push(...page.value.items);
      const last = page.value.items.at(-1);
      if (!page.value.more || !last) return { kind: 'ok', value: { items, revision } };
      after = last.key;
    }
  }

  /** Executes all mutations in one transaction if every condition holds, and none of them otherwise. */
  async compareAndSwap(
    conditions: readonly wire.Condition[],
    mutations: readonly wire.Mutation[],
    urgency: Urgency,
    timeoutMs = WRITE_TIMEOUT_MS,
  ): Promise<CompareAndSwapResult> {
    const result = await this.call({
      method: 'POST',
      path: wire.STATE_PATHS.transaction,
      body: wire.encodeTransaction(conditions, mutations),
      timeoutMs,
      urgency,
    });
    if (result.kind === 'answer' && result.status === 409) {
      const failed = wire.decodeConflict(result.body);
      return failed.ok ? { kind: 'conflict', failed: failed.value } : { kind: 'unknown' };
    }
    if (result.kind === 'answer' && result.status === 400) {
      if (wire.isNoLease(result.body)) return { kind: 'no_lease' };
      const body = result.body.slice(0, MAX_LOGGED_BODY_LENGTH);
      this.log.error({ body }, 'store: transaction rejected as malformed');
    }
    const written = this.toStoreResult(result, wire.decodeRevision);
    return written.kind === 'ok' ? { kind: 'ok', revision: written.value } : written;
  }

  /** Obtains a lease with this time to live; the value is the lease's id. */
  async grantLease(ttlMs: number): Promise<StoreResult<number>> {
    const result = await this.call({
      method: 'POST',
      path: wire.STATE_PATHS.leases,
      body: wire.encodeLeaseRequest(ttlMs),
      timeoutMs: WRITE_TIMEOUT_MS,
      urgency: 'lease',
    });
    return this.toStoreResult(result, wire.decodeLeaseId);
  }

  /** Renews a lease for its full time to live; the value false means that the lease has expired. */
  async renewLease(lease: number, timeoutMs: number): Promise<StoreResult<boolean>> {
    const result = await this.call({
      method: 'POST',
      path: wire.STATE_PATHS.renew(lease),
      body: '{}',
      timeoutMs,
      urgency: 'lease',
      http: this.leaseHttp,
    });
    if (result.kind === 'answer' && result.status === 404) return { kind: 'ok', value: false };
    return this.toStoreResult(result, () => ({ ok: true, value: true }));
  }

  /** Ends a lease and deletes the keys attached to it; true if the service confirms that the lease has ended. */
  async revokeLease(lease: number): Promise<boolean> {
    const result = await this.call({
      method: 'DELETE',
      path: wire.STATE_PATHS.lease(lease),
      body: null,
      timeoutMs: WRITE_TIMEOUT_MS,
      urgency: 'lease',
    });
    return result.kind === 'answer' && (result.status < 300 || result.status === 404);
  }

  /** Waits up to `waitMs` for changes of keys with a prefix after the revision `after`. */
  async watch(prefix: string, after: number, waitMs: number): Promise<WatchResult> {
    if (!this.budget.take('lease')) return { kind: 'refused' };
    const path = wire.STATE_PATHS.watch(prefix, after, waitMs);
    // The service keeps an open watch open during an outage, so the client's timeout is longer than `waitMs`.
    const result = await this.watchHttp.send('GET', path, null, waitMs + WATCH_GRACE_MS);
    if (result.kind === 'answer' && result.status === 410) return { kind: 'gone' };
    return this.toStoreResult(result, wire.decodeEvents);
  }

  /** Closes all connections. */
  close(): void {
    this.http.close();
    this.watchHttp.close();
    this.leaseHttp.close();
  }

  /** Sends a request within the budget. A request that the budget withholds has the same result as a 429. */
  private async call(request: StoreRequest): Promise<HttpResult> {
    if (!this.budget.take(request.urgency)) {
      return { kind: 'answer', status: 429, body: '', retryAfterS: null };
    }
    const http = request.http ?? this.http;
    const result = await http.send(request.method, request.path, request.body, request.timeoutMs);
    if (result.kind !== 'answer') return result;
    if (result.status === 429) this.budget.onRateLimited();
    else if (result.status < 500) this.lastServedAt = this.now();
    return result;
  }

  private toStoreResult<T>(result: HttpResult, decode: (text: string) => Decoded<T>): StoreResult<T> {
    if (result.kind === 'silent') return result.sent ? { kind: 'unknown' } : { kind: 'refused' };
    if (result.status !== 200) return { kind: 'refused', overLimit: result.status === 429 };
    const decoded = decode(result.body);
    if (decoded.ok) return { kind: 'ok', value: decoded.value };
    this.log.error({ reason: decoded.reason }, 'store: malformed response');
    return { kind: 'unknown' };
  }
}
