/** The two records of leadership in the key-value store, the leader key and the term key: codec and reads. */
import * as z from 'zod/mini';
import type { Logger } from '../base/log.ts';
import { KEYS } from '../store/keys.ts';
import type { Urgency } from '../store/call-budget.ts';
import type { KeyValueStore, StoreResult } from '../store/key-value-store.ts';
import type { Condition, Mutation } from '../wire/state.ts';

const leaderRecordSchema = z.object({ node: z.string(), term: z.int(), nonce: z.string() });
const termRecordSchema = z.object({ n: z.int() });

/** The current leader; stored under the leader key, which is deleted when the leader's lease ends. */
export type LeaderRecord = z.infer<typeof leaderRecordSchema>;

type StoreFailure = Exclude<StoreResult<unknown>, { kind: 'ok' }>;

/** Result of a read of the leader key. `unavailable`: the store refused the read, or gave no usable response. */
export type LeaderRead =
  | { kind: 'absent' }
  | { kind: 'held'; record: LeaderRecord; version: number; lease: number | null }
  | { kind: 'malformed' }
  | { kind: 'unavailable'; failure: StoreFailure };

/**
 * Result of a read of the term key: the last term that was won (0 before the first) or, if its leader has reserved more
 * fencing tokens since, the last of them; and the record's version.
 */
export type TermRead =
  | { kind: 'known'; term: number; version: number }
  | { kind: 'malformed' }
  | { kind: 'unavailable'; failure: StoreFailure };

/** Notified of each term as soon as it is read. */
export interface TermObserver {
  /** The leader key held this term. */
  observeLeaderTerm(term: number): void;
  /** The term key held this term, the last one that was won. */
  observeTermRecord(term: number): void;
}

/** The condition that the leader key does not exist. */
export const LEADER_ABSENT: Condition = { key: KEYS.leader, version: 0 };

/** The condition that no other term has been won since the term key was read at this version. */
export function termUnchanged(version: number): Condition {
  return { key: KEYS.term, version };
}

/** The mutation that puts the leader key, attached to a lease. */
export function putLeader({ node, term, nonce }: LeaderRecord, lease: number): Mutation {
  return { put: KEYS.leader, value: { node, term, nonce }, lease };
}

/** The mutation that puts the term key: the last term, or the last fencing token that its leader has reserved. */
export function putTerm(term: number): Mutation {
  return { put: KEYS.term, value: { n: term } };
}

/** Reads the leader key and the term key, and notifies an observer of the terms that they hold. */
export class LeadershipRecords {
  constructor(
    private readonly store: Pick<KeyValueStore, 'get'>,
    private readonly observer: TermObserver,
    private readonly log: Logger,
  ) {}

  /** Reads the leader key. */
  async readLeader(urgency: Urgency): Promise<LeaderRead> {
    const found = await this.store.get(KEYS.leader, urgency);
    if (found.kind !== 'ok') return { kind: 'unavailable', failure: found };
    if (found.value === null) return { kind: 'absent' };
    const decoded = leaderRecordSchema.safeParse(found.value.value);
    if (!decoded.success) return { kind: 'malformed' };
    this.observer.observeLeaderTerm(decoded.data.term);
    const { version, lease } = found.value;
    return { kind: 'held', record: decoded.data, version, lease };
  }

  /** Reads the term key. */
  async readTerm(urgency: Urgency): Promise<TermRead> {
    const found = await this.store.get(KEYS.term, urgency);
    if (found.kind !== 'ok') return { kind: 'unavailable', failure: found };
    if (found.value === null) return this.toKnownTerm(0, 0);
    const decoded = termRecordSchema.safeParse(found.value.value);
    if (decoded.success) return this.toKnownTerm(decoded.data.n, found.value.version);
    this.log.error('term record is malformed');
    return { kind: 'malformed' };
  }

  private toKnownTerm(term: number, version: number): TermRead {
    this.observer.observeTermRecord(term);
    return { kind: 'known', term, version };
  }
}
