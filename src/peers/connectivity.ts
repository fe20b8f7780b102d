import type { Clock } from '../base/clock.ts';

/** What a node needs to judge whether it is cut off. */
export interface ConnectivityDeps {
  clock: Clock;
  /** When the state service last served this node. */
  storeServedAt(): number;
  /** Asks the state service anything; what comes of it shows in `storeServedAt`. */
  probeStore(): Promise<unknown>;
  /** Asks all other controllers; true if any is there. */
  probePeers(): Promise<boolean>;
}

/** Within this time of an answer nothing needs to be asked. */
const FRESH_MS = 2000;
/** Without any answer for so long the node is cut off. */
const CUT_OFF_MS = 4000;

/**
 * Whether this node can do anything for users. One that reaches neither the state service nor any other
 * controller can only refuse them, while the load balancer would go on leaving their connections with it: a job
 * whose user had such a connection was as good as forgotten. Troubles that all nodes share leave the others in
 * reach, so health doesn't flap with them.
 */
export class Connectivity {
  private peersAt: number;
  private asking = false;

  constructor(private readonly deps: ConnectivityDeps) {
    this.peersAt = deps.clock.now();
  }

  private servedAt(): number {
    return Math.max(this.deps.storeServedAt(), this.peersAt);
  }

  isIsolated(): boolean {
    return this.deps.clock.now() - this.servedAt() > CUT_OFF_MS;
  }

  /** To be called about once a second. */
  async check(): Promise<void> {
    if (this.asking || this.deps.clock.now() - this.deps.storeServedAt() <= FRESH_MS) return;
    this.asking = true;
    const peers = this.deps.probePeers().then((there) => {
      if (there) this.peersAt = this.deps.clock.now();
    });
    await Promise.all([this.deps.probeStore(), peers]);
    this.asking = false;
  }
}
