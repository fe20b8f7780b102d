/** Batching of polls that one controller hands on to the leader. */
import { BatchPacer, type PacerTimers } from '../base/batch-pacer.ts';
import type { PollAnswer } from '../peers/messages.ts';

/** Least time in ms between two batches to the leader. */
export const MIN_BATCH_INTERVAL_MS = 10;
/** Most jobs in one batch; a frame between controllers holds several times as many. */
export const MAX_BATCH_JOBS = 1000;

/** Gets the answer to one poll; null: the leader can't be asked now. */
type PollCallback = (answer: PollAnswer | null) => void;

/** Timers, and the way to the leader. */
export interface PollBatcherDeps extends PacerTimers {
  /**
   * Asks the leader of now for the answers in the order of `jobIds`; null when there is none or it doesn't answer in
   * time. Never rejected.
   */
  send(jobIds: string[]): Promise<readonly PollAnswer[] | null>;
  /** A batch failed by a defect; its polls get no answer. */
  onError: (error: unknown) => void;
}

/**
 * Hands polls to the leader in batches, so that the leader's work depends on the number of controllers and of
 * unfinished jobs and not on how often users ask. A poll alone is sent at once; the next ones wait until the interval
 * is over. A poll only ever shares a batch that is sent after it came in: its answer is as fresh as if it had been
 * sent alone.
 */
export class PollBatcher {
  private pendingPolls = new Map<string, PollCallback[]>();
  private readonly pacer: BatchPacer;

  constructor(private readonly deps: PollBatcherDeps) {
    this.pacer = new BatchPacer(deps, MIN_BATCH_INTERVAL_MS, () => {
      this.flush();
    });
  }

  /** The leader's answer for one job; null: the leader can't be asked now. Never rejected. */
  poll(jobId: string): Promise<PollAnswer | null> {
    return new Promise((resolve) => {
      const callbacks = this.pendingPolls.get(jobId);
      if (callbacks) {
        callbacks.push(resolve);
        return;
      }
      if (this.pendingPolls.size >= MAX_BATCH_JOBS) {
        resolve(null);
        return;
      }
      this.pendingPolls.set(jobId, [resolve]);
      this.pacer.schedule();
    });
  }

  private flush(): void {
    const batch = this.pendingPolls;
    this.pendingPolls = new Map();
    this.pacer.noteSent();
    this.deps
      .send([...batch.keys()])
      .then((answers) => {
        let index = 0;
        for (const callbacks of batch.values()) {
          const answer = answers?.[index] ?? null;
          index += 1;
          for (const callback of callbacks) callback(answer);
        }
      })
      .catch(this.deps.onError);
  }
}

/**
 * Answers a batch from what is known without waiting. A job whose lookup takes a while is answered as unavailable,
 * so that one of them doesn't hold up all others; the asking controller then looks it up by itself.
 */
export function answerBatch(
  jobIds: readonly string[],
  answerOne: (jobId: string, reply: (answer: PollAnswer) => void) => void,
): PollAnswer[] {
  return jobIds.map((jobId) => {
    let answer: PollAnswer = { kind: 'unavailable' };
    answerOne(jobId, (known) => {
      answer = known;
    });
    return answer;
  });
}
