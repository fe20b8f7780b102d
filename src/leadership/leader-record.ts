/** The two records of leadership in the key-value store, the leader key and the term key: codec and reads. */
import * as z from 'zod/mini';
import type { Logger } from '../base/log.ts';
import { KEYS } from '../store/keys.ts';
import type { Urgency } from '../store/call-budget.ts';
import type { KeyValueStore, StoreResult } from '../store/key-value-store.ts';
import type { Condition, Mutation } from '../wire/state.ts';

const leaderRecordSchema = z.object({ node: z.string(), term: z.int(), nonce: z.string() });
const termRecordSchema = z.object({ n: z.int() });

/** Who leads; stored under the leader key, which is attached to the leader's lease and goes with it. */
export type LeaderRecord = z.infer<typeof leaderRecordSchema>;

type StoreFailure = Exclude<StoreResult<unknown>, { kind: 'ok' }>;

/** What a read of the leader key found. `unavailable`: the store refused the read, or gave no usable answer. */
export type LeaderRead =
  | { kind: 'absent' }
  | { kind: 'held'; record: LeaderRecord; version: number; lease: number | null }
  | { kind: 'malformed' }
  | { kind: 'unavailable'; failure: StoreFailure };

/** What a read of the term key found: the last term that was won, 0 before the first, and its record's version. */
export type TermRead =
  | { kind: 'known'; term: number; version: number }
  | { kind: 'malformed' }
  | { kind: 'unavailable'; failure: StoreFailure };

/** Is told each term as soon as it is read. */
export interface TermObserver {
  /** A term that the leader key held. */
  observeLeaderTerm(term: number): void;
  /** The last term that was won, by the term key. */
  observeTermRecord(term: number): void;
}

/** The condition that nobody holds the leader key. */
export const LEADER_ABSENT: Condition = { key: KEYS.leader, version: 0 };

/** The condition that no other term was won since the term key was read. */
export function termUnchanged(version: number): Condition {
  return { key: KEYS.term, version };
}

/** Writes the leader key, attached to a lease. */
export function putLeader({ node, term, nonce }: LeaderRecord, lease: number): Mutation {
  return { put: KEYS.leader, value: { node, term, nonce }, lease };
}

/** Writes the term key. */
export function putTerm(term: number): Mutation {
  return { put: KEYS.term, value: { n: term } };
}

/** Reads the records of leadership; an observer is told the terms that they hold. */
export class LeadershipRecords {
  constructor(
    private readonly store: Pick<KeyValueStore, 'get'>,
    private readonly observer: TermObserver,
    private readonly log: Logger,
  ) {}

  /** The leader key as the store has it now. */
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

  /** The term key as the store has it now. */
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
