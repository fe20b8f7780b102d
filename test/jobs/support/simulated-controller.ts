import type { UserRequests } from '../../../src/jobs/user-requests.ts';
import type { Leader } from '../../../src/leader/leader.ts';
import type { Sim } from '../../model/sim.ts';

/** The leader key as a controller acquired it. */
export interface HeldLeadership {
  term: number;
  /** Version of the leader key. */
  version: number;
  /** Simulated milliseconds. */
  leaseExpiresAt: number;
}

/** One controller's process in simulated time, which can hang, and can restart with an empty memory. */
export class SimulatedController {
  knownLeader: number | null = null;
  held: HeldLeadership | null = null;
  leader: Leader | null = null;
  userRequests: UserRequests;
  private restarts = 0;
  private hungUntil = 0;

  constructor(
    readonly index: number,
    private readonly sim: Sim,
    private readonly createUserRequests: (controller: SimulatedController) => UserRequests,
  ) {
    this.userRequests = createUserRequests(this);
  }

  /** Calls `run` in the process after a time: later if the process hangs then, never if it restarts before. */
  runAfter(afterMs: number, run: () => void): void {
    const isSameProcess = this.createProcessCheck();
    this.sim.after(afterMs, () => {
      if (!isSameProcess()) return;
      if (this.hungUntil > this.sim.at) this.runAfter(this.hungUntil - this.sim.at + this.sim.random(), run);
      else run();
    });
  }

  /** Returns a function that tells whether the process has not been restarted since this call. */
  createProcessCheck(): () => boolean {
    const { restarts } = this;
    return () => this.restarts === restarts;
  }

  hang(ms: number): void {
    this.hungUntil = Math.max(this.hungUntil, this.sim.at + ms);
  }

  /** Restarts the process at once with an empty memory; the leader key stays until its lease expires. */
  restart(): void {
    this.restarts += 1;
    this.hungUntil = 0;
    this.knownLeader = null;
    this.stepDown();
    this.userRequests = this.createUserRequests(this);
  }

  stepDown(): void {
    this.leader?.stop();
    this.leader = null;
    this.held = null;
  }
}
