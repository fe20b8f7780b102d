/** Watches the leader key: follows whoever holds it, and lets this controller contend while nobody does. */
import type { Logger } from '../base/log.ts';
import { KEYS } from '../store/keys.ts';
import type { KeyValueStore } from '../store/key-value-store.ts';
import type { LeaderRead, LeaderRecord, LeadershipRecords } from './leader-record.ts';
import type { LeadershipState } from './leadership-state.ts';

/** A leader looks this often whether it still leads. */
const LEADING_RECHECK_MS = 200;
/** First and longest delay before the leader key is read again after the store failed to answer. */
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 800;
/** Bound of the random part of delays after the store failed. */
const RETRY_JITTER_MS = 100;
const MALFORMED_PAUSE_MS = 500;
/** Pause after the lease of an earlier process was revoked. */
const REVOKED_PAUSE_MS = 20;
/** How long the store holds a watch open. */
const MAX_WATCH_MS = 20_000;
const WATCH_RETRY_MS = 150;

/** What the watch of the leader key needs from the rest of the election. */
export interface LeaderWatchDeps {
  node: string;
  store: Pick<KeyValueStore, 'revokeLease' | 'watch'>;
  random: () => number;
  log: Logger;
  state: LeadershipState;
  records: LeadershipRecords;
  pause: (ms: number) => Promise<void>;
  /** The leader key is absent. */
  contend(): Promise<void>;
  /** Aborted once the election is stopped. */
  signal: AbortSignal;
}

/** What a controller that doesn't lead does next, by what it read in the leader key. */
type NextAction =
  | { kind: 'retry' }
  | { kind: 'contend' }
  | { kind: 'reportMalformed' }
  | { kind: 'revokeStaleLease'; term: number; lease: number | null }
  | { kind: 'follow'; leader: LeaderRecord; version: number };

function chooseNextAction(read: LeaderRead, node: string): NextAction {
  switch (read.kind) {
    case 'unavailable':
      return { kind: 'retry' };
    case 'absent':
      return { kind: 'contend' };
    case 'malformed':
      return { kind: 'reportMalformed' };
    case 'held': {
      const { record, version, lease } = read;
      // An earlier process of this controller: it is gone, or this is the answer to a transaction we gave up on.
      if (record.node === node) return { kind: 'revokeStaleLease', term: record.term, lease };
      return { kind: 'follow', leader: record, version };
    }
  }
}

/** The loop that watches the leader key, as long as the election runs. */
export class LeaderWatch {
  constructor(private readonly deps: LeaderWatchDeps) {}

  /** Ends once the signal is aborted and the step under way (a read, a watch, a pause or a candidacy) is over. */
  async run(): Promise<void> {
    const { node, store, state, records, log, pause, signal } = this.deps;
    let retryMs = MIN_RETRY_MS;
    while (!signal.aborted) {
      if (state.isLeading()) {
        await pause(LEADING_RECHECK_MS);
        continue;
      }
      const action = chooseNextAction(await records.readLeader('lease'), node);
      if (action.kind === 'retry') {
        await pause(this.withJitter(retryMs));
        retryMs = Math.min(MAX_RETRY_MS, retryMs * 2);
        continue;
      }
      retryMs = MIN_RETRY_MS;
      switch (action.kind) {
        case 'contend':
          state.onLeaderAbsent();
          await this.deps.contend();
          break;
        case 'reportMalformed':
          log.error('leader record is malformed');
          await pause(MALFORMED_PAUSE_MS);
          break;
        case 'revokeStaleLease':
          log.info({ term: action.term }, 'revoking the lease of an earlier process of this controller');
          if (action.lease !== null) await store.revokeLease(action.lease);
          await pause(REVOKED_PAUSE_MS);
          break;
        case 'follow':
          this.recordLeader(action.leader);
          await this.awaitChange(action.version);
          break;
      }
    }
  }

  private recordLeader({ node, term }: LeaderRecord): void {
    if (this.deps.state.onLeaderObserved(node))
      this.deps.log.info({ leader: node, term }, 'following leader');
  }

  private async awaitChange(version: number): Promise<void> {
    const watched = await this.deps.store.watch(KEYS.leader, version, MAX_WATCH_MS);
    if (watched.kind !== 'ok') await this.deps.pause(this.withJitter(WATCH_RETRY_MS));
  }

  private withJitter(ms: number): number {
    return ms + this.deps.random() * RETRY_JITTER_MS;
  }
}
