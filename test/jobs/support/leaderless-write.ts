import type { LeaderlessWrite } from '../../../src/leadership/leaderless-write.ts';
import type { KeyValueStore } from '../../../src/store/key-value-store.ts';
import { KEYS } from '../../../src/store/keys.ts';

/** A leaderless write; the store checks that there is no leader when the transaction arrives. */
export function leaderlessWrite(store: Pick<KeyValueStore, 'compareAndSwap'>): LeaderlessWrite {
  return {
    term: 0,
    commit: (conditions, mutations, urgency) =>
      store.compareAndSwap([{ key: KEYS.leader, version: 0 }, ...conditions], mutations, urgency),
    abandon: () => undefined,
  };
}
