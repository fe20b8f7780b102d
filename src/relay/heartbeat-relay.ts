/** Relays the heartbeats of workers from a follower to the leader. */
import { BatchPacer, type PacerTimers } from '../base/batch-pacer.ts';
import { errorResponse, type HttpResponse } from '../http/server.ts';
import type { HeartbeatResponse } from '../peers/messages.ts';

/** Minimum time between two batches to the leader. */
const MIN_BATCH_GAP_MS = 20;
/**
 * A batch of at least this size is sent without waiting for more heartbeats. With one more heartbeat of at most 64 KiB
 * it still fits a frame of at most 128 KiB.
 */
const FLUSH_THRESHOLD_BYTES = 48 * 1024;
/** Maximum time from the arrival of a heartbeat until its response is passed on; an older response is dropped. */
export const MAX_RESPONSE_AGE_MS = 1000;
/** Minimum time between two queries to the leader whether this follower should relay heartbeats. */
const MIN_QUERY_GAP_MS = 1000;

/** The leader's reply to a batch: whether to go on relaying, and one response to each heartbeat of the batch. */
export interface RelayReply {
  relay: boolean;
  responses: readonly HeartbeatResponse[];
}

/** The dependencies of the relay on its controller. */
export interface HeartbeatRelayDeps extends PacerTimers {
  /** The name of the leading controller, as far as this controller knows; null: unknown or none. */
  leader(): string | null;
  /** Sends heartbeats to a leader. null: it doesn't lead, can't be reached or didn't reply in time. */
  send(leader: string, heartbeats: string[], timeoutMs: number): Promise<RelayReply | null>;
  /** Handles an error thrown while a batch is sent or its heartbeats are answered. */
  onError(error: unknown): void;
  /** How long heartbeats are relayed after the last reply of a leader that asked for it, in milliseconds. */
  relayDurationMs: number;
}

interface PendingHeartbeat {
  body: string;
  arrivedAt: number;
  reply: (answer: HttpResponse) => void;
}

/**
 * Relays workers' heartbeats from a follower to the leader in batches. The follower decides nothing itself: it answers
 * each heartbeat with the leader's response to that heartbeat, which carries the leader's fencing token, or refuses it.
 * Responses aren't cached.
 *
 * A leader asks followers to relay only while it has more workers than it can serve alone; otherwise followers redirect
 * their workers to the leader.
 */
export class HeartbeatRelay {
  private pending: PendingHeartbeat[] = [];
  private pendingBytes = 0;
  private readonly pacer: BatchPacer;
  private relayUntil = -Infinity;
  private lastQueryAt = -Infinity;

  constructor(private readonly deps: HeartbeatRelayDeps) {
    this.pacer = new BatchPacer(deps, MIN_BATCH_GAP_MS, () => {
      this.flush();
    });
  }

  /** Queues a heartbeat to be relayed. False: not queued; the caller should redirect the worker to the leader. */
  tryRelay(body: string, reply: (answer: HttpResponse) => void): boolean {
    const now = this.deps.now();
    const leader = this.deps.leader();
    if (leader === null) return false;
    if (now >= this.relayUntil) {
      this.queryRelayDecision(leader, now);
      return false;
    }
    this.pending.push({ body, arrivedAt: now, reply });
    this.pendingBytes += Buffer.byteLength(body);
    if (this.pendingBytes >= FLUSH_THRESHOLD_BYTES) this.flush();
    else this.pacer.schedule();
    return true;
  }

  private queryRelayDecision(leader: string, now: number): void {
    if (now - this.lastQueryAt < MIN_QUERY_GAP_MS) return;
    this.lastQueryAt = now;
    this.deps
      .send(leader, [], MAX_RESPONSE_AGE_MS)
      .then((reply) => {
        this.applyRelayDecision(reply);
      })
      .catch(this.onError);
  }

  /** Applies the leader's decision whether to relay; without a reply the previous decision stays in effect. */
  private applyRelayDecision(reply: RelayReply | null): void {
    if (reply) this.relayUntil = reply.relay ? this.deps.now() + this.deps.relayDurationMs : -Infinity;
  }

  private flush(): void {
    const batch = this.pending;
    if (batch.length === 0) return;
    this.pending = [];
    this.pendingBytes = 0;
    this.pacer.recordBatch();
    const leader = this.deps.leader();
    if (leader === null) {
      for (const heartbeat of batch) heartbeat.reply(leaderUnavailable());
      return;
    }
    const bodies = batch.map((heartbeat) => heartbeat.body);
    this.deps
      .send(leader, bodies, MAX_RESPONSE_AGE_MS)
      .then((reply) => {
        this.applyRelayDecision(reply);
        batch.forEach((heartbeat, index) => {
          heartbeat.reply(this.answerTo(heartbeat, leader, reply?.responses[index]));
        });
      })
      .catch(this.onError);
  }

  private readonly onError = (error: unknown): void => {
    this.deps.onError(error);
  };

  private answerTo(
    heartbeat: PendingHeartbeat,
    leader: string,
    response: HeartbeatResponse | undefined,
  ): HttpResponse {
    // The response took too long, for instance because this process was paused, or the leader has changed: the response
    // may no longer be valid and isn't passed on.
    const isStale =
      this.deps.now() - heartbeat.arrivedAt > MAX_RESPONSE_AGE_MS || this.deps.leader() !== leader;
    if (response === undefined || isStale) return leaderUnavailable();
    return { status: response.status, body: response.body };
  }
}

/** The refusal of a heartbeat; the worker tries the next controller a second later. */
function leaderUnavailable(): HttpResponse {
  return errorResponse(503, 'the leader did not answer', 1);
}
