/** Whether messages pass between the leader and a worker, in both directions. */
import type { Heartbeat } from '../wire/worker.ts';

/** What it takes to judge whether a heartbeat shows that messages pass in both directions. */
export interface ContactContext {
  /** It came as the answer to a direct request. */
  direct: boolean;
  /** The leader's own fencing token. */
  term: number;
  /** Milliseconds on the steady clock. */
  now: number;
  leaseMs: number;
  heartbeatIntervalMs: number;
}

/** What was known of a worker before a heartbeat of it arrived. */
interface KnownWorker {
  readonly incarnation: number;
  readonly fencingToken: number;
  readonly leaseRenewedBefore: number;
}

/** Heartbeat intervals for which a worker may go on with an older fencing token though it is answered. */
const MAX_INTERVALS_BEHIND = 2;

/** When messages of a worker arrived, and the signs that ours reach it. Times are in milliseconds on the steady clock. */
export class Connectivity {
  private messageAt = -Infinity;
  private heartbeatAt = -Infinity;
  private roundTripAt = -Infinity;
  private failedProbes = 0;
  private missed = 0;
  /** When it first reported a token older than ours, though it had been answered. */
  private behindSince: number | null = null;

  /** When a heartbeat, or the answer to a direct request, last arrived; -Infinity before. */
  get lastMessageAt(): number {
    return this.messageAt;
  }

  /** When a newer heartbeat of its own last arrived: only such heartbeats renew its lease. */
  get lastHeartbeatAt(): number {
    return this.heartbeatAt;
  }

  /** The last sign that messages pass in both directions. */
  get lastRoundTripAt(): number {
    return this.roundTripAt;
  }

  /** Probes in a row without an answer. */
  get probesFailed(): number {
    return this.failedProbes;
  }

  /**
   * Signs in a row that our messages don't reach it: commands without an answer, an incarnation that ended though its
   * heartbeats were answered.
   */
  get missedAcknowledgements(): number {
    return this.missed;
  }

  /** A newer message arrived; `direct`: as the answer to a direct request. */
  noteMessage(direct: boolean, now: number): void {
    this.messageAt = now;
    if (!direct) this.heartbeatAt = now;
  }

  /** It answered a direct request, so messages pass in both directions. */
  acknowledged(now: number): void {
    this.missed = 0;
    this.failedProbes = 0;
    this.roundTripAt = now;
  }

  /** A direct command had no answer. */
  noteMissedAcknowledgement(): void {
    this.missed += 1;
  }

  /** A probe had no answer. */
  noteFailedProbe(): void {
    this.failedProbes += 1;
  }

  /** It is in contact again without having been asked. */
  clearFailedProbes(): void {
    this.failedProbes = 0;
  }

  /**
   * A heartbeat shows that the worker's messages arrive, not that ours do. A heartbeat of its own counts as contact
   * only while nothing says that responses and commands don't reach it; a machine that reported and received nothing
   * once kept its tasks waiting for starts that never came.
   */
  noteContact(
    known: KnownWorker,
    heartbeat: Pick<Heartbeat, 'fencingToken' | 'incarnation'>,
    context: ContactContext,
  ): void {
    const { direct, term, now, leaseMs, heartbeatIntervalMs } = context;
    if (direct) return;
    // Incarnations end when responses stay away for a lease. Ours were sent: they didn't arrive, or it hung that long.
    const answered = now - known.leaseRenewedBefore < leaseMs;
    const restarted = known.incarnation > 0 && heartbeat.incarnation > known.incarnation;
    if (restarted && answered) this.missed += 1;
    if (heartbeat.fencingToken === term) {
      // The first heartbeat with our token shows that a response arrived.
      if (known.fencingToken !== term) this.missed = 0;
      if (this.missed === 0) this.roundTripAt = now;
      return;
    }
    this.behindSince ??= now;
    if (now - this.behindSince < MAX_INTERVALS_BEHIND * heartbeatIntervalMs) this.roundTripAt = now;
  }
}
