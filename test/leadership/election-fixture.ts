/** Elections in simulated time for the tests of this directory. */
import type { Clock } from '../../src/base/clock.ts';
import { defaultOptions } from '../../src/config/options.ts';
import { Election, type ElectionEvents, type ElectionStore } from '../../src/leadership/election.ts';
import type { RequestPeerLeases } from '../../src/leadership/peer-leases.ts';
import { failTest, silent } from '../helpers.ts';
import type { Sim } from '../model/sim.ts';

/** The collaborators of an election that a test can replace; all but the store have defaults. */
export interface ElectionSetup {
  store: ElectionStore;
  node?: string;
  nonce?: string;
  clock?: Clock;
  acquired?: ElectionEvents['acquired'];
  pause?: (ms: number) => Promise<void>;
  requestPeerLeases?: RequestPeerLeases;
  onFault?: (error: unknown) => void;
}

/**
 * Creates an election with the default options. Without `onFault` a failed background task becomes an unhandled
 * rejection, which fails the test.
 */
export function createElection(sim: Sim, setup: ElectionSetup): Election {
  const { leadership } = defaultOptions();
  return new Election({
    node: setup.node ?? 'n0',
    nonce: setup.nonce ?? 'n0-1',
    store: setup.store,
    clock: setup.clock ?? { now: () => sim.at, wall: () => sim.at },
    random: () => sim.random(),
    options: { ttlMs: leadership.lease_ms, renewMs: leadership.renew_ms },
    events: { acquired: setup.acquired ?? (() => undefined), lost: () => undefined },
    log: silent,
    pause: setup.pause ?? ((ms) => sim.pause(ms)),
    requestPeerLeases: setup.requestPeerLeases ?? null,
    onFault: setup.onFault ?? failTest,
  });
}
