/** Batching of the polls that a controller forwards to the leader. */
import { BatchPacer, type PacerTimers } from '../base/batch-pacer.ts';
import type { PollAnswer } from '../peers/messages.ts';

/** Minimum time in ms between two batches to the leader. */
export const MIN_BATCH_INTERVAL_MS = 10;
/** Maximum number of jobs in one batch; a frame between controllers holds several times as many. */
export const MAX_BATCH_JOBS = 1000;

/** Receives the answer to one poll; null: the leader can't be asked now. */
type PollCallback = (answer: PollAnswer | null) => void;

/** Timers, and the call to the leader. */
export interface PollBatcherDeps extends PacerTimers {
  /**
   * Asks the current leader; the answers are in the order of `jobIds`. null: there is no leader, or it doesn't answer
   * in time. Never rejected.
   */
  send(jobIds: string[]): Promise<readonly PollAnswer[] | null>;
  /** Called when a defect makes a batch fail; its polls get no answer. */
  onError: (error: unknown) => void;
}

/**
 * Forwards polls to the leader in batches, so that the leader's load depends on the number of controllers and of
 * unfinished jobs and not on how often users poll. A poll is sent at once if at least `MIN_BATCH_INTERVAL_MS` have
 * passed since the last batch; otherwise it waits for the next one. A poll only joins a batch that is sent after the
 * poll came in, so its answer is as fresh as if it had been sent alone.
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
    this.pacer.recordBatch();
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
 * Answers a batch with what is known immediately. A job whose lookup takes longer is answered as unavailable, so that
 * it doesn't delay the other answers of the batch; the controller that sent the batch then looks the job up itself.
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
