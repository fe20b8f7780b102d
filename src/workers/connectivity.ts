/** Whether messages pass between the leader and a worker, in both directions. */
import type { Heartbeat } from '../wire/worker.ts';

/** What it takes to judge whether a heartbeat shows that messages pass in both directions. */
export interface ConnectivityContext {
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
interface PreviousWorkerState {
  readonly incarnation: number;
  readonly fencingToken: number;
  readonly leaseRenewedBefore: number;
}

/** Heartbeat intervals for which a worker may go on with an older fencing token though it is answered. */
const MAX_TOKEN_BEHIND_INTERVALS = 2;

/** When messages of a worker arrived, and the signs that ours reach it. Times are in milliseconds on the steady clock. */
export class Connectivity {
  private messageAt = -Infinity;
  private heartbeatAt = -Infinity;
  private roundTripAt = -Infinity;
  private failedProbeCount = 0;
  private missedAcknowledgementCount = 0;
  /** When it first reported a token older than ours, though it had been answered. */
  private tokenBehindSince: number | null = null;

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
  get failedProbes(): number {
    return this.failedProbeCount;
  }

  /**
   * Signs in a row that our messages don't reach it: commands without an answer, an incarnation that ended though its
   * heartbeats were answered.
   */
  get missedAcknowledgements(): number {
    return this.missedAcknowledgementCount;
  }

  /** A newer message arrived; `direct`: as the answer to a direct request. */
  noteMessage(direct: boolean, now: number): void {
    this.messageAt = now;
    if (!direct) this.heartbeatAt = now;
  }

  /** It answered a direct request, so messages pass in both directions. */
  noteAcknowledgement(now: number): void {
    this.missedAcknowledgementCount = 0;
    this.failedProbeCount = 0;
    this.roundTripAt = now;
  }

  /** A direct command had no answer. */
  noteMissedAcknowledgement(): void {
    this.missedAcknowledgementCount += 1;
  }

  /** A probe had no answer. */
  noteFailedProbe(): void {
    this.failedProbeCount += 1;
  }

  /** It is in contact again without having been asked. */
  clearFailedProbes(): void {
    this.failedProbeCount = 0;
  }

  /**
   * A heartbeat shows that the worker's messages arrive, not that ours do. A heartbeat of its own counts as contact
   * only while nothing says that responses and commands don't reach it; a machine that reported and received nothing
   * once kept its tasks waiting for starts that never came.
   */
  assessHeartbeat(
    previous: PreviousWorkerState,
    heartbeat: Pick<Heartbeat, 'fencingToken' | 'incarnation'>,
    context: ConnectivityContext,
  ): void {
    const { direct, term, now, leaseMs, heartbeatIntervalMs } = context;
    if (direct) return;
    // Incarnations end when responses stay away for a lease. Ours were sent: they didn't arrive, or it hung that long.
    const answered = now - previous.leaseRenewedBefore < leaseMs;
    const restarted = previous.incarnation > 0 && heartbeat.incarnation > previous.incarnation;
    if (restarted && answered) this.missedAcknowledgementCount += 1;
    if (heartbeat.fencingToken === term) {
      // The first heartbeat with our token shows that a response arrived.
      if (previous.fencingToken !== term) this.missedAcknowledgementCount = 0;
      if (this.missedAcknowledgementCount === 0) this.roundTripAt = now;
      return;
    }
    this.tokenBehindSince ??= now;
    if (now - this.tokenBehindSince < MAX_TOKEN_BEHIND_INTERVALS * heartbeatIntervalMs)
      this.roundTripAt = now;
  }
}
