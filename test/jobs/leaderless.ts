import type { LeaderlessWrite } from '../../src/leadership/leaderless-write.ts';
import type { KeyValueStore } from '../../src/store/key-value-store.ts';
import { KEYS } from '../../src/store/keys.ts';

/** A step that needs a leader's absence; the store decides whether there is one when its transaction arrives. */
export function leaderlessWrite(store: Pick<KeyValueStore, 'compareAndSwap'>): LeaderlessWrite {
  return {
    term: 0,
    commit: (conditions, changes, urgency) =>
      store.compareAndSwap([{ key: KEYS.leader, version: 0 }, ...conditions], changes, urgency),
    abandon: () => undefined,
  };
}
