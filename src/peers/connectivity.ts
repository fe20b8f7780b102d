/** Detects whether this controller is cut off from the store and from all other controllers. */
import type { Clock } from '../base/clock.ts';

/** The dependencies of the connectivity check on its controller. */
export interface ConnectivityDeps {
  clock: Clock;
  /** When the store last answered this controller, in milliseconds on the steady clock. */
  storeServedAt(): number;
  /** Sends a request to the store; an answer advances `storeServedAt`. */
  probeStore(): Promise<unknown>;
  /** Pings all other controllers; resolves to true if any of them answers. */
  probePeers(): Promise<boolean>;
}

/** Probes are sent only if the store hasn't answered for this long. */
const PROBE_AFTER_MS = 2000;
/** The controller is isolated after this long without an answer of the store or of another controller. */
const ISOLATED_AFTER_MS = 4000;

/**
 * Checks whether this controller is isolated. A controller that reaches neither the store nor any other controller can
 * only refuse users' requests. It has to fail its health check, because the load balancer otherwise leaves users'
 * connections with it, and the jobs of those users stay unreachable for them. During an outage that affects all
 * controllers they still reach each other, so their health doesn't flap.
 */
export class Connectivity {
  private peersAnsweredAt: number;
  private isProbing = false;

  constructor(private readonly deps: ConnectivityDeps) {
    this.peersAnsweredAt = deps.clock.now();
  }

  /** True if neither the store nor any other controller has answered recently. */
  isIsolated(): boolean {
    const lastAnsweredAt = Math.max(this.deps.storeServedAt(), this.peersAnsweredAt);
    return this.deps.clock.now() - lastAnsweredAt > ISOLATED_AFTER_MS;
  }

  /**
   * Probes the store and the other controllers if the store hasn't answered recently. To be called about once a second.
   */
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
