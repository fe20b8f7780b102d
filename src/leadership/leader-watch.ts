/** Watches the leader key: follows its holder, and starts a candidacy of this controller while the key is absent. */
import type { Logger } from '../base/log.ts';
import { KEYS } from '../store/keys.ts';
import type { KeyValueStore } from '../store/key-value-store.ts';
import type { LeaderRead, LeaderRecord, LeadershipRecords } from './leader-record.ts';
import type { LeadershipState } from './leadership-state.ts';

/** Interval at which the leader checks whether it still leads. */
const LEADING_RECHECK_MS = 200;
/** First and longest delay before the leader key is read again after a failed read; doubled with each failure. */
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 800;
/** Upper bound of the random part of the delays after a failed read or watch. */
const RETRY_JITTER_MS = 100;
/** Pause after the leader record was malformed. */
const MALFORMED_PAUSE_MS = 500;
/** Pause after a stale lease of this controller was revoked. */
const REVOKED_PAUSE_MS = 20;
/** How long the store may hold a watch open without a change. */
const MAX_WATCH_MS = 20_000;
/** Delay after a failed watch, without the random part. */
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
  /** Called when the leader key is absent; tries to acquire it. */
  campaign(): Promise<void>;
  /** Aborted once the election is stopped. */
  signal: AbortSignal;
}

/** The next action of a controller that is not the leader, derived from a read of the leader key. */
type NextAction =
  | { kind: 'retry' }
  | { kind: 'campaign' }
  | { kind: 'reportMalformed' }
  | { kind: 'revokeStaleLease'; term: number; lease: number | null }
  | { kind: 'follow'; leader: LeaderRecord; version: number };

function chooseNextAction(read: LeaderRead, node: string): NextAction {
  switch (read.kind) {
    case 'unavailable':
      return { kind: 'retry' };
    case 'absent':
      return { kind: 'campaign' };
    case 'malformed':
      return { kind: 'reportMalformed' };
    case 'held': {
      const { record, version, lease } = read;
      // The key was put by an earlier process of this controller, or by a transaction of this process that got no
      // response. In both cases no process leads by it.
      if (record.node === node) return { kind: 'revokeStaleLease', term: record.term, lease };
      return { kind: 'follow', leader: record, version };
    }
  }
}

/** The loop that watches the leader key until the election is stopped. */
export class LeaderWatch {
  constructor(private readonly deps: LeaderWatchDeps) {}

  /** Ends once the signal is aborted and the current step (a read, a watch, a pause or a candidacy) has ended. */
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
        case 'campaign':
          state.onLeaderAbsent();
          await this.deps.campaign();
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
