import type { LeaderlessStep } from '../../src/leadership/election.ts';
import type { StoreClient } from '../../src/store/client.ts';
import { KEYS } from '../../src/store/keys.ts';

/** A step that needs a leader's absence; the store decides whether there is one when its transaction arrives. */
export function leaderlessStep(store: Pick<StoreClient, 'txn'>): LeaderlessStep {
  return {
    term: 0,
    commit: (conditions, changes, urgency) =>
      store.txn([{ key: KEYS.leader, version: 0 }, ...conditions], changes, urgency),
    abandon: () => undefined,
  };
}
