import type { Host, SimNetwork } from './network.ts';
import type { EventQueue } from './queue.ts';
import type { Random } from './random.ts';

const PROBE_INTERVAL_MS = 1000;
const PROBE_TIMEOUT_MS = 1000;
const MIN_FAILURES_TO_REMOVE = 2;
const MIN_SUCCESSES_TO_RESTORE = 2;
const MIN_REMOVAL_MS = 3000;
const MAX_REMOVAL_MS = 60_000;
const REPEATED_REMOVAL_WINDOW_MS = 120_000;

interface ProbeTarget {
  host: Host;
  healthy: boolean;
  hasBeenHealthy: boolean;
  failures: number;
  successes: number;
  removedAt: number;
  removalMs: number;
}

/**
 * The users' load balancer: probes the controllers and chooses among the healthy ones. A controller that is removed
 * again soon after its last removal stays out twice as long as before.
 */
export class LoadBalancer {
  private readonly targets: ProbeTarget[];

  constructor(
    private readonly queue: EventQueue,
    private readonly random: Random,
    private readonly network: SimNetwork,
    private readonly self: Host,
    nodes: readonly Host[],
  ) {
    this.targets = nodes.map((host) => ({
      host,
      healthy: false,
      hasBeenHealthy: false,
      failures: 0,
      successes: 0,
      removedAt: -Infinity,
      removalMs: MIN_REMOVAL_MS,
    }));
  }

  start(): void {
    for (const target of this.targets) this.probe(target);
  }

  /** Returns the healthy nodes in the order in which a connection tries them. */
  orderHealthyNodes(): Host[] {
    const healthy = this.targets.filter((p) => p.healthy).map((p) => p.host);
    const first = Math.floor(this.random.next() * healthy.length);
    return [...healthy.slice(first), ...healthy.slice(0, first)];
  }

  private probe(target: ProbeTarget): void {
    const request = { method: 'GET', path: '/healthz', body: '' };
    void this.network.exchange(this.self, target.host, request, PROBE_TIMEOUT_MS).then((result) => {
      this.recordProbe(target, result.kind === 'answer' && result.status === 200);
    });
    this.queue.after(PROBE_INTERVAL_MS * this.random.between(0.95, 1.05), () => {
      this.probe(target);
    });
  }

  private recordProbe(target: ProbeTarget, success: boolean): void {
    const now = this.queue.nowMs;
    target.failures = success ? 0 : target.failures + 1;
    target.successes = success ? target.successes + 1 : 0;
    if (target.healthy && target.failures >= MIN_FAILURES_TO_REMOVE) {
      const isRepeated = now - target.removedAt < REPEATED_REMOVAL_WINDOW_MS;
      target.removalMs = isRepeated ? Math.min(MAX_REMOVAL_MS, target.removalMs * 2) : MIN_REMOVAL_MS;
      target.healthy = false;
      target.removedAt = now;
    } else if (!target.healthy && success) {
      const canRestore =
        now - target.removedAt >= target.removalMs && target.successes >= MIN_SUCCESSES_TO_RESTORE;
      if (target.hasBeenHealthy && !canRestore) return;
      target.healthy = true;
      target.hasBeenHealthy = true;
    }
  }
}
