/**
 * Codec of the key-value store (the "state service" of PROTOCOL), and the only module that translates its wire names.
 * On the wire a revision is a `ledger`, a version a `stamp`, a lease a `permit`, a put a `set` and a delete a `drop`.
 */
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
const wireRevision = z.object({ ledger: count });
const wireConflict = z.object({ failed: z.array(z.string()) });
const wireError = z.object({ error: z.string() });
const wireLease = z.object({ permit: count });

const NO_LEASE_ERROR = 'no such lease';

/** A key with its value. */
export interface Item {
  key: string;
  /** Any JSON value. */
  value: unknown;
  /** Revision of the last mutation of the key. */
  version: number;
  /** Id of the lease that the key is attached to, or null. */
  lease: number | null;
}

/** A condition of a transaction: the key has this version (0: it does not exist). */
export interface Condition {
  key: string;
  version: number;
}

/** A change of one key; a put without `lease` detaches the key from its lease. */
export type Mutation = { put: string; value: unknown; lease?: number } | { delete: string };

/** A mutation that a watch has observed. */
export interface WatchEvent {
  key: string;
  deleted: boolean;
  /** Undefined if the key was deleted. */
  value: unknown;
  version: number;
}

const toItem = (row: z.infer<typeof wireItem>): Item => ({
  key: row.k,
  value: row.data,
  version: row.stamp,
  lease: row.permit ?? null,
});

/** Decodes the response to a read of one key. */
export function decodeItem(text: string): Decoded<Item> {
  const decoded = decodeText(wireItem, text);
  return decoded.ok ? { ok: true, value: toItem(decoded.value) } : decoded;
}

/** Decodes one page of a list, in the order of keys; `more`: there are keys after this page. */
export function decodeItems(text: string): Decoded<{ items: Item[]; more: boolean; revision: number }> {
  const decoded = decodeText(wireList, text);
  if (!decoded.ok) return decoded;
  const { rows, hasNext, ledger } = decoded.value;
  return { ok: true, value: { items: rows.map(toItem), more: hasNext, revision: ledger } };
}

/** Encodes a transaction, which applies all mutations atomically if every condition holds, and otherwise none. */
export function encodeTransaction(conditions: readonly Condition[], mutations: readonly Mutation[]): string {
  return JSON.stringify({
    if: conditions.map((condition) => ({ k: condition.key, stamp: condition.version })),
    then: mutations.map(encodeMutation),
  });
}

function encodeMutation(mutation: Mutation): object {
  if ('delete' in mutation) return { drop: mutation.delete };
  const put = { set: mutation.put, data: mutation.value };
  return mutation.lease === undefined ? put : { ...put, permit: mutation.lease };
}

/** Decodes the revision in the response to a transaction, or to a read of a key that does not exist. */
export function decodeRevision(text: string): Decoded<number> {
  const decoded = decodeText(wireRevision, text);
  return decoded.ok ? { ok: true, value: decoded.value.ledger } : decoded;
}

/** Decodes the keys whose conditions failed. */
export function decodeConflict(text: string): Decoded<string[]> {
  const decoded = decodeText(wireConflict, text);
  return decoded.ok ? { ok: true, value: decoded.value.failed } : decoded;
}

/** True if a transaction was rejected because a lease has expired, rather than as malformed. */
export function isNoLease(text: string): boolean {
  const decoded = decodeText(wireError, text);
  return decoded.ok && decoded.value.error === NO_LEASE_ERROR;
}

/** Encodes the request for a new lease; time to live in milliseconds. */
export function encodeLeaseRequest(ttlMs: number): string {
  return JSON.stringify({ ttlMs });
}

/** Decodes the id of a new lease. */
export function decodeLeaseId(text: string): Decoded<number> {
  const decoded = decodeText(wireLease, text);
  return decoded.ok ? { ok: true, value: decoded.value.permit } : decoded;
}

/** Decodes the response to a watch; `revision` is where the next watch starts. */
export function decodeEvents(text: string): Decoded<{ revision: number; events: WatchEvent[] }> {
  const decoded = decodeText(wireEvents, text);
  if (!decoded.ok) return decoded;
  const events: WatchEvent[] = [];
  for (const entry of decoded.value.log) {
    const key = entry.set ?? entry.drop;
    if (typeof key !== 'string') return { ok: false, reason: 'event without a key' };
    events.push({ key, deleted: typeof entry.set !== 'string', value: entry.data, version: entry.stamp });
  }
  return { ok: true, value: { revision: decoded.value.ledger, events } };
}

/** Paths of the service. Slashes within keys are not escaped in a path, as the protocol requires. */
export const STATE_PATHS = {
  key: (key: string) => `/store/${key}`,
  list: (prefix: string, after: string, limit: number) =>
    `/store?starts=${encodeURIComponent(prefix)}${after ? `&since=${encodeURIComponent(after)}` : ''}&most=${limit}`,
  transaction: '/multi',
  leases: '/grants',
  renew: (lease: number) => `/grants/${lease}/renew`,
  lease: (lease: number) => `/grants/${lease}`,
  watch: (prefix: string, after: number, waitMs: number) =>
    `/follow?starts=${encodeURIComponent(prefix)}&since=${after}&holdMs=${waitMs}`,
};
