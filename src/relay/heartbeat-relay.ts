import { BatchPacer, type PacerTimers } from '../base/batch-pacer.ts';
import { failure, type Answer } from '../http/server.ts';
import type { HeartbeatResponse } from '../peers/messages.ts';

/** Least time between two batches to the leader, in milliseconds. */
const BATCH_GAP_MS = 20;
/** A frame between controllers is at most 128 KiB; a single report at most 64 KiB. */
const BATCH_BYTES = 48 * 1024;
/** An answer of the leader that is older than this, counted from the report's arrival here, is dropped. */
export const MOST_AGE_MS = 1000;
/** Between two questions whether this follower is to hand reports on. */
const ASK_GAP_MS = 1000;

/** What the leader answers to a batch: whether more reports are to be handed on, and one answer for each. */
export interface RelayReply {
  relay: boolean;
  responses: readonly HeartbeatResponse[];
}

/** What the relay needs of the node it runs on. */
export interface HeartbeatRelayDeps extends PacerTimers {
  /** The controller that leads as far as is known here; null: none. */
  leader(): string | null;
  /** Hands reports to a leader; null: it doesn't lead, can't be reached or didn't answer in time. */
  send(leader: string, reports: string[], timeoutMs: number): Promise<RelayReply | null>;
  /** How long reports are still handed on to a new leader that hasn't said whether it wants that. */
  keepMs: number;
}

interface Waiting {
  body: string;
  arrivedAt: number;
  reply: (answer: Answer) => void;
}

/**
 * Hands workers' reports to the leader in batches, on a follower. It judges nothing: each report is answered with the
 * leader's own answer to that very report, which carries the leader's token, or is refused. No answer is kept.
 *
 * A leader asks for it only while it has more workers than it can serve alone; otherwise workers are sent to it.
 */
export class HeartbeatRelay {
  private waiting: Waiting[] = [];
  private bytes = 0;
  private readonly pacer: BatchPacer;
  private relayUntil = -Infinity;
  private askedAt = -Infinity;

  constructor(private readonly deps: HeartbeatRelayDeps) {
    this.pacer = new BatchPacer(deps, BATCH_GAP_MS, () => {
      this.flush();
    });
  }

  /** Takes a report in to be handed on. False: the worker is to be sent to the leader. */
  take(body: string, reply: (answer: Answer) => void): boolean {
    const now = this.deps.now();
    const leader = this.deps.leader();
    if (leader === null) return false;
    if (now >= this.relayUntil) {
      this.askWhetherToRelay(leader, now);
      return false;
    }
    this.waiting.push({ body, arrivedAt: now, reply });
    this.bytes += Buffer.byteLength(body);
    if (this.bytes >= BATCH_BYTES) this.flush();
    else this.pacer.schedule();
    return true;
  }

  private askWhetherToRelay(leader: string, now: number): void {
    if (now - this.askedAt < ASK_GAP_MS) return;
    this.askedAt = now;
    void this.deps.send(leader, [], MOST_AGE_MS).then((answer) => {
      this.learn(answer);
    });
  }

  private learn(answer: RelayReply | null): void {
    if (answer) this.relayUntil = answer.relay ? this.deps.now() + this.deps.keepMs : -Infinity;
  }

  private flush(): void {
    const batch = this.waiting;
    if (batch.length === 0) return;
    this.waiting = [];
    this.bytes = 0;
    this.pacer.noteSent();
    const leader = this.deps.leader();
    if (leader === null) {
      for (const report of batch) report.reply(noLeader());
      return;
    }
    const bodies = batch.map((report) => report.body);
    void this.deps.send(leader, bodies, MOST_AGE_MS).then((answer) => {
      this.learn(answer);
      batch.forEach((report, index) => {
        report.reply(this.answerFor(report, leader, answer?.responses[index]));
      });
    });
  }

  private answerFor(report: Waiting, leader: string, judged: HeartbeatResponse | undefined): Answer {
    // Another leads by now, or this process stood still: whatever was said is not passed on.
    const stale = this.deps.now() - report.arrivedAt > MOST_AGE_MS || this.deps.leader() !== leader;
    return judged === undefined || stale ? noLeader() : { status: judged.status, body: judged.body };
  }
}

/** The worker tries the next controller a second later. */
function noLeader(): Answer {
  return failure(503, 'the leader did not answer', 1);
}
