/** Leaves the leadership to the others where workers reach them and not this controller. */
import type { Clock } from '../base/clock.ts';
import type { Election } from '../leadership/election.ts';
import type { PeerCalls } from './peer-calls.ts';

/** Least time between two questions to the other controllers. */
const ASK_GAP_MS = 1000;
/** How long a controller that has lost its workers doesn't stand for leader. */
const NO_CANDIDACY_MS = 30_000;

/** What a transfer of the leadership needs of the controller. */
export interface LeadershipTransferDeps {
  clock: Clock;
  peerCalls: Pick<PeerCalls, 'findWorkerContact'>;
  election: Pick<Election, 'stepDownFor'>;
}

/**
 * A leader that has lost its workers, and only those, must not go on leading: it would take them for unresponsive and
 * terminate their machines, while they try one controller after the other and are redirected to it.
 */
export class LeadershipTransfer {
  private lastAskedAt = -Infinity;

  constructor(private readonly deps: LeadershipTransferDeps) {}

  /** Steps down for a while if workers reach another controller and `isCurrent` still holds then. */
  async onLostAllWorkers(isCurrent: () => boolean): Promise<void> {
    const { clock, peerCalls, election } = this.deps;
    if (clock.now() - this.lastAskedAt < ASK_GAP_MS) return;
    this.lastAskedAt = clock.now();
    const contact = await peerCalls.findWorkerContact();
    if (contact && isCurrent()) election.stepDownFor(NO_CANDIDACY_MS, 'workers reach other controllers only');
  }
}
