/** Relays the heartbeats of workers from a follower to the leader. */
import { BatchPacer, type PacerTimers } from '../base/batch-pacer.ts';
import { failure, type Answer } from '../http/server.ts';
import type { HeartbeatResponse } from '../peers/messages.ts';

/** Least time between two batches to the leader, in milliseconds. */
const BATCH_GAP_MS = 20;
/** A batch is sent early from this size on: a frame holds at most 128 KiB and a single heartbeat at most 64 KiB. */
const BATCH_BYTES = 48 * 1024;
/** A response of the leader that is older than this, counted from the heartbeat's arrival here, is dropped. */
export const MAX_RESPONSE_AGE_MS = 1000;
/** Least time between two questions to the leader whether this follower is to relay. */
const ASK_GAP_MS = 1000;

/** What the leader answers to a batch: whether to relay more heartbeats, and one response for each. */
export interface RelayReply {
  relay: boolean;
  responses: readonly HeartbeatResponse[];
}

/** What the relay needs of the controller it runs on. */
export interface HeartbeatRelayDeps extends PacerTimers {
  /** The controller that leads as far as is known here; null: none. */
  leader(): string | null;
  /** Sends heartbeats to a leader; null: it doesn't lead, can't be reached or didn't answer in time. */
  send(leader: string, heartbeats: string[], timeoutMs: number): Promise<RelayReply | null>;
  /** Handles an error that sending or answering throws. */
  onError(error: unknown): void;
  /** How long heartbeats are relayed on after the last leader that asked for it, in milliseconds. */
  relayForMs: number;
}

interface PendingHeartbeat {
  body: string;
  arrivedAt: number;
  reply: (answer: Answer) => void;
}

/**
 * Relays workers' heartbeats to the leader in batches, on a follower. It decides nothing: each heartbeat is answered
 * with the leader's own response to that very heartbeat, which carries the leader's fencing token, or is refused. No
 * response is kept.
 *
 * A leader asks for it only while it has more workers than it can serve alone; otherwise workers are redirected to it.
 */
export class HeartbeatRelay {
  private pending: PendingHeartbeat[] = [];
  private pendingBytes = 0;
  private readonly pacer: BatchPacer;
  private relayUntil = -Infinity;
  private lastAskedAt = -Infinity;

  constructor(private readonly deps: HeartbeatRelayDeps) {
    this.pacer = new BatchPacer(deps, BATCH_GAP_MS, () => {
      this.flush();
    });
  }

  /** Takes a heartbeat in to be relayed. False: the worker is to be redirected to the leader. */
  take(body: string, reply: (answer: Answer) => void): boolean {
    const now = this.deps.now();
    const leader = this.deps.leader();
    if (leader === null) return false;
    if (now >= this.relayUntil) {
      this.askWhetherToRelay(leader, now);
      return false;
    }
    this.pending.push({ body, arrivedAt: now, reply });
    this.pendingBytes += Buffer.byteLength(body);
    if (this.pendingBytes >= BATCH_BYTES) this.flush();
    else this.pacer.schedule();
    return true;
  }

  private askWhetherToRelay(leader: string, now: number): void {
    if (now - this.lastAskedAt < ASK_GAP_MS) return;
    this.lastAskedAt = now;
    this.deps
      .send(leader, [], MAX_RESPONSE_AGE_MS)
      .then((reply) => {
        this.noteReply(reply);
      })
      .catch(this.onError);
  }

  /** The leader has said whether to relay; without a reply things stay as they are. */
  private noteReply(reply: RelayReply | null): void {
    if (reply) this.relayUntil = reply.relay ? this.deps.now() + this.deps.relayForMs : -Infinity;
  }

  private flush(): void {
    const batch = this.pending;
    if (batch.length === 0) return;
    this.pending = [];
    this.pendingBytes = 0;
    this.pacer.noteSent();
    const leader = this.deps.leader();
    if (leader === null) {
      for (const heartbeat of batch) heartbeat.reply(leaderUnavailable());
      return;
    }
    const bodies = batch.map((heartbeat) => heartbeat.body);
    this.deps
      .send(leader, bodies, MAX_RESPONSE_AGE_MS)
      .then((reply) => {
        this.noteReply(reply);
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
  ): Answer {
    // Another controller leads by now, or this process stood still: whatever the response says is not passed on.
    const isStale =
      this.deps.now() - heartbeat.arrivedAt > MAX_RESPONSE_AGE_MS || this.deps.leader() !== leader;
    if (response === undefined || isStale) return leaderUnavailable();
    return { status: response.status, body: response.body };
  }
}

/** The worker tries the next controller a second later. */
function leaderUnavailable(): Answer {
  return failure(503, 'the leader did not answer', 1);
}
