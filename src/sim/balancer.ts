import type { Host, SimNetwork } from './network.ts';
import type { EventQueue } from './queue.ts';
import type { Random } from './random.ts';

const PROBE_MS = 1000;
const PROBE_WAIT_MS = 1000;
const REMOVED_AFTER = 2;
const RETURNED_AFTER = 2;
const LEAST_PAUSE_MS = 3000;
const MOST_PAUSE_MS = 60_000;
const FORGIVEN_MS = 120_000;

interface Probed {
  host: Host;
  healthy: boolean;
  everHealthy: boolean;
  failures: number;
  successes: number;
  removedAt: number;
  pauseMs: number;
}

/** The load balancer: probes the controllers and chooses among the healthy ones. */
export class LoadBalancer {
  private readonly probed: Probed[];

  constructor(
    private readonly queue: EventQueue,
    private readonly random: Random,
    private readonly network: SimNetwork,
    private readonly self: Host,
    nodes: readonly Host[],
  ) {
    this.probed = nodes.map((host) => ({
      host,
      healthy: false,
      everHealthy: false,
      failures: 0,
      successes: 0,
      removedAt: -Infinity,
      pauseMs: LEAST_PAUSE_MS,
    }));
  }

  start(): void {
    for (const probed of this.probed) this.probe(probed);
  }

  /** The healthy nodes in the order in which a connection tries them. */
  choices(): Host[] {
    const healthy = this.probed.filter((p) => p.healthy).map((p) => p.host);
    const first = Math.floor(this.random.next() * healthy.length);
    return [...healthy.slice(first), ...healthy.slice(0, first)];
  }

  private probe(probed: Probed): void {
    const request = { method: 'GET', path: '/healthz', body: '' };
    void this.network.exchange(this.self, probed.host, request, PROBE_WAIT_MS).then((result) => {
      this.judge(probed, result.kind === 'answer' && result.status === 200);
    });
    this.queue.after(PROBE_MS * this.random.between(0.95, 1.05), () => {
      this.probe(probed);
    });
  }

  private judge(probed: Probed, success: boolean): void {
    const now = this.queue.at;
    probed.failures = success ? 0 : probed.failures + 1;
    probed.successes = success ? probed.successes + 1 : 0;
    if (probed.healthy && probed.failures >= REMOVED_AFTER) {
      const again = now - probed.removedAt < FORGIVEN_MS;
      probed.pauseMs = again ? Math.min(MOST_PAUSE_MS, probed.pauseMs * 2) : LEAST_PAUSE_MS;
      probed.healthy = false;
      probed.removedAt = now;
    } else if (!probed.healthy && success) {
      const waited = now - probed.removedAt >= probed.pauseMs && probed.successes >= RETURNED_AFTER;
      if (probed.everHealthy && !waited) return;
      probed.healthy = true;
      probed.everHealthy = true;
    }
  }
}
