/** Tracks whether messages pass between the leader and a worker in both directions. */
import type { Heartbeat } from '../wire/worker.ts';

/** What the assessment of a heartbeat depends on. */
export interface ConnectivityContext {
  /** The heartbeat is the answer to a direct request. */
  direct: boolean;
  /** The first of the leader's own fencing tokens. */
  firstToken: number;
  /** In milliseconds on the steady clock. */
  now: number;
  leaseMs: number;
  heartbeatIntervalMs: number;
}

/** What was known of a worker before its heartbeat is applied. */
interface PreviousWorkerState {
  readonly incarnation: number;
  readonly fencingToken: number;
  readonly leaseRenewedBefore: number;
}

/**
 * Heartbeat intervals for which a worker's heartbeats count as contact though they carry an older fencing token than
 * this leader's. Within this time, a response should have carried this leader's token to the worker.
 */
const MAX_TOKEN_BEHIND_INTERVALS = 2;

/**
 * When messages of a worker arrived, and whether there are signs that this leader's messages reach the worker. Times
 * are in milliseconds on the steady clock.
 */
export class Connectivity {
  private messageAt = -Infinity;
  private heartbeatAt = -Infinity;
  private roundTripAt = -Infinity;
  private failedProbeCount = 0;
  private missedAcknowledgementCount = 0;
  /** When the worker first reported a fencing token older than this leader's, or null. */
  private tokenBehindSince: number | null = null;

  /** When a heartbeat, or the answer to a direct request, last arrived; -Infinity before. */
  get lastMessageAt(): number {
    return this.messageAt;
  }

  /** When a newer heartbeat that wasn't requested last arrived; only the answers to such heartbeats renew the lease. */
  get lastHeartbeatAt(): number {
    return this.heartbeatAt;
  }

  /** When there was last a sign that messages pass in both directions. */
  get lastRoundTripAt(): number {
    return this.roundTripAt;
  }

  /** The number of unanswered probes since the last contact. */
  get failedProbes(): number {
    return this.failedProbeCount;
  }

  /**
   * The number of signs, since the last acknowledgement, that this leader's messages don't reach the worker: commands
   * without an answer, and incarnations that ended though their heartbeats were answered.
   */
  get missedAcknowledgements(): number {
    return this.missedAcknowledgementCount;
  }

  /** A newer message of the worker arrived; `direct`: as the answer to a direct request. */
  noteMessage(direct: boolean, now: number): void {
    this.messageAt = now;
    if (!direct) this.heartbeatAt = now;
  }

  /** The worker answered a direct request, or a start has reached it: messages pass in both directions. */
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

  /** The worker is in contact, so it need not be probed. */
  clearFailedProbes(): void {
    this.failedProbeCount = 0;
  }

  /**
   * Assesses whether a newer heartbeat shows that messages pass in both directions; to be called before the heartbeat
   * is applied. A heartbeat shows only that the worker's messages arrive here, so it counts as contact only while there
   * is no sign that responses and commands don't reach the worker. Otherwise the tasks of a machine that sends
   * heartbeats and receives nothing would wait for starts that never arrive.
   */
  assessHeartbeat(
    previous: PreviousWorkerState,
    heartbeat: Pick<Heartbeat, 'fencingToken' | 'incarnation'>,
    context: ConnectivityContext,
  ): void {
    const { direct, firstToken, now, leaseMs, heartbeatIntervalMs } = context;
    if (direct) return;
    // A worker ends its incarnation when it receives no response for the duration of the lease. If a response was sent
    // within that time, it was lost, or the worker hung that long.
    const answered = now - previous.leaseRenewedBefore < leaseMs;
    const restarted = previous.incarnation > 0 && heartbeat.incarnation > previous.incarnation;
    if (restarted && answered) this.missedAcknowledgementCount += 1;
    if (heartbeat.fencingToken >= firstToken) {
      // The first heartbeat with a token of this leader shows that a message of this leader has reached the worker.
      if (previous.fencingToken < firstToken) this.missedAcknowledgementCount = 0;
      if (this.missedAcknowledgementCount === 0) this.roundTripAt = now;
      return;
    }
    this.tokenBehindSince ??= now;
    if (now - this.tokenBehindSince < MAX_TOKEN_BEHIND_INTERVALS * heartbeatIntervalMs)
      this.roundTripAt = now;
  }
}
