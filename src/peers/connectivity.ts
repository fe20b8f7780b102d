/** Tells whether this controller is cut off from everything that it needs to serve users. */
import type { Clock } from '../base/clock.ts';

/** What the connectivity check needs of the controller it runs on. */
export interface ConnectivityDeps {
  clock: Clock;
  /** When the state service last answered this controller, on the steady clock in milliseconds. */
  storeServedAt(): number;
  /** Sends the state service any request; an answer shows in `storeServedAt`. */
  probeStore(): Promise<unknown>;
  /** Pings all other controllers; true if any of them answers. */
  probePeers(): Promise<boolean>;
}

/** After an answer of the state service, no probe is sent for so long. */
const PROBE_AFTER_MS = 2000;
/** Without any answer for so long the controller counts as isolated. */
const ISOLATED_AFTER_MS = 4000;

/**
 * Whether this controller can do anything for users. One that reaches neither the state service nor any other
 * controller can only refuse them, while the load balancer would leave their connections with it: a job whose user
 * had such a connection was as good as forgotten. Troubles that all controllers share leave the others reachable, so
 * health doesn't flap with them.
 */
export class Connectivity {
  private peersAnsweredAt: number;
  private isProbing = false;

  constructor(private readonly deps: ConnectivityDeps) {
    this.peersAnsweredAt = deps.clock.now();
  }

  /** True if neither the state service nor any other controller has answered of late. */
  isIsolated(): boolean {
    const lastAnsweredAt = Math.max(this.deps.storeServedAt(), this.peersAnsweredAt);
    return this.deps.clock.now() - lastAnsweredAt > ISOLATED_AFTER_MS;
  }

  /** Probes the state service and the other controllers if necessary. To be called about once a second. */
  async check(): Promise<void> {
    if (this.isProbing || this.deps.clock.now() - this.deps.storeServedAt() <= PROBE_AFTER_MS) return;
    this.isProbing = true;
    const peersProbed = this.deps.probePeers().then((answered) => {
      if (answered) this.peersAnsweredAt = this.deps.clock.now();
    });
    await Promise.all([this.deps.probeStore(), peersProbed]);
    this.isProbing = false;
  }
}
