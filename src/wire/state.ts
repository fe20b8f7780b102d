import * as z from 'zod/mini';
import { count, decodeText, orNull, type Decoded } from './amounts.ts';

const wireItem = z.object({ k: z.string(), data: z.unknown(), stamp: count, permit: orNull(count) });
const wireList = z.object({ rows: z.array(wireItem), hasNext: z.boolean(), ledger: count });
const wireEvents = z.object({
  ledger: count,
  log: z.array(
    z.object({
      set: orNull(z.string()),
      drop: orNull(z.string()),
      data: z.optional(z.unknown()),
      stamp: count,
    }),
  ),
});

/** A key of the state service. `version`: revision of its last change; `lease`: the lease it ends with, or null. */
export interface Item {
  key: string;
  value: unknown;
  version: number;
  lease: number | null;
}
/** A transaction applies only if the key has this version; 0: it does not exist. */
export interface Condition {
  key: string;
  version: number;
}
/** A change of a transaction. A put without a lease detaches the key from the one it had. */
export type Mutation = { put: string; value: unknown; lease?: number } | { delete: string };
/** A change of a key that a watch reports; `value` is undefined for a deleted one. */
export interface WatchEvent {
  key: string;
  deleted: boolean;
  value: unknown;
  version: number;
}

const toItem = (i: z.infer<typeof wireItem>): Item => ({
  key: i.k,
  value: i.data,
  version: i.stamp,
  lease: i.permit ?? null,
});

/** Decodes the answer to a read of one key. */
export function decodeItem(text: string): Decoded<Item> {
  const d = decodeText(wireItem, text);
  return d.ok ? { ok: true, value: toItem(d.value) } : d;
}

/** Decodes a page of keys, in the order of their names, and the revision at which it was read. */
export function decodeItems(text: string): Decoded<{ items: Item[]; more: boolean; revision: number }> {
  const d = decodeText(wireList, text);
  if (!d.ok) return d;
  return {
    ok: true,
    value: { items: d.value.rows.map(toItem), more: d.value.hasNext, revision: d.value.ledger },
  };
}

/** Encodes a transaction: all changes at once if all conditions hold, otherwise none. */
export function encodeTransaction(conditions: readonly Condition[], changes: readonly Mutation[]): string {
  return JSON.stringify({
    if: conditions.map((c) => ({ k: c.key, stamp: c.version })),
    then: changes.map((c) =>
      'put' in c
        ? { set: c.put, data: c.value, ...(c.lease === undefined ? {} : { permit: c.lease }) }
        : { drop: c.delete },
    ),
  });
}

/** Decodes the revision at which a transaction was carried out. */
export function decodeRevision(text: string): Decoded<number> {
  const d = decodeText(z.object({ ledger: count }), text);
  return d.ok ? { ok: true, value: d.value.ledger } : d;
}

/** Decodes the keys whose conditions did not hold. */
export function decodeConflict(text: string): Decoded<string[]> {
  const d = decodeText(z.object({ failed: z.array(z.string()) }), text);
  return d.ok ? { ok: true, value: d.value.failed } : d;
}

/** True when a refused transaction names a lease that has ended. */
export function isNoLease(text: string): boolean {
  const d = decodeText(z.object({ error: z.string() }), text);
  return d.ok && d.value.error === 'no such lease';
}

/** Encodes the request for a new lease; time to live in milliseconds. */
export function encodeGrant(ttlMs: number): string {
  return JSON.stringify({ ttlMs });
}

/** Decodes the id of a new lease. */
export function decodeGrant(text: string): Decoded<number> {
  const d = decodeText(z.object({ permit: count }), text);
  return d.ok ? { ok: true, value: d.value.permit } : d;
}

/** Decodes the answer of a watch: changes in the order of revisions, and the revision to go on from. */
export function decodeEvents(text: string): Decoded<{ revision: number; events: WatchEvent[] }> {
  const d = decodeText(wireEvents, text);
  if (!d.ok) return d;
  const events: WatchEvent[] = [];
  for (const e of d.value.log) {
    const key = e.set ?? e.drop;
    if (typeof key !== 'string') return { ok: false, reason: 'event without a key' };
    events.push({ key, deleted: typeof e.set !== 'string', value: e.data, version: e.stamp });
  }
  return { ok: true, value: { revision: d.value.ledger, events } };
}

/** Paths of the state service's HTTP interface, with their queries. */
export const STATE_PATHS = {
  key: (key: string) => `/store/${key}`,
  list: (prefix: string, after: string, limit: number) =>
    `/store?starts=${encodeURIComponent(prefix)}${after ? `&since=${encodeURIComponent(after)}` : ''}&most=${limit}`,
  txn: '/multi',
  leases: '/grants',
  renew: (lease: number) => `/grants/${lease}/renew`,
  lease: (lease: number) => `/grants/${lease}`,
  watch: (prefix: string, after: number, waitMs: number) =>
    `/follow?starts=${encodeURIComponent(prefix)}&since=${after}&holdMs=${waitMs}`,
};
