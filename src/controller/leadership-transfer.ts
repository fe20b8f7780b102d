/** Gives up the leadership if workers reach other controllers but not this one. */
import type { Clock } from '../base/clock.ts';
import type { Election } from '../leadership/election.ts';
import type { PeerCalls } from './peer-calls.ts';

/** Minimum time between two queries to the other controllers. */
const MIN_QUERY_GAP_MS = 1000;
/** How long a controller that has lost contact with its workers doesn't campaign for leadership. */
const CANDIDACY_SUSPENSION_MS = 30_000;

/** The dependencies of a leadership transfer on its controller. */
export interface LeadershipTransferDeps {
  clock: Clock;
  peerCalls: Pick<PeerCalls, 'findWorkerContact'>;
  election: Pick<Election, 'stepDownFor'>;
}

/**
 * Steps down when the leader has lost contact with its workers only, not with the store and the other controllers. If
 * it went on leading, it would consider the workers unresponsive and terminate their machines, while the workers try
 * one controller after the other and each redirects them to this leader.
 */
export class LeadershipTransfer {
  private lastQueryAt = -Infinity;

  constructor(private readonly deps: LeadershipTransferDeps) {}

  /**
   * Asks the other controllers whether workers reach them. If so, and if `isCurrent` still returns true after the
   * reply, steps down and suspends the candidacy of this controller.
   */
  async onLostAllWorkers(isCurrent: () => boolean): Promise<void> {
    const { clock, peerCalls, election } = this.deps;
    if (clock.now() - this.lastQueryAt < MIN_QUERY_GAP_MS) return;
    this.lastQueryAt = clock.now();
    const contact = await peerCalls.findWorkerContact();
    if (contact && isCurrent())
      election.stepDownFor(CANDIDACY_SUSPENSION_MS, 'workers reach other controllers only');
  }
}
