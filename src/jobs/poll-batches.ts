import { BatchPacer, type PacerTimers } from '../base/batch-pacer.ts';
import type { PollAnswer } from '../peers/messages.ts';

/** Least time between two batches to the leader. */
export const BATCH_GAP_MS = 10;
/** Jobs in one batch; a frame between controllers holds several times as many. */
export const MOST_IN_BATCH = 1000;

type Waiter = (answer: PollAnswer | null) => void;

export interface PollBatcherDeps extends PacerTimers {
  /** Asks the leader of now; null when there is none or it doesn't answer in time. */
  send(jobIds: string[]): Promise<readonly PollAnswer[] | null>;
}

/**
 * Hands polls to the leader in batches, so that the leader's work hangs on the number of controllers and unfinished
 * jobs and not on how often users ask. A poll alone is sent at once; the next ones wait until the gap is over. A
 * poll only ever shares a batch that is sent after it came in: its answer is as fresh as if it had been sent alone.
 */
export class PollBatcher {
  private waiting = new Map<string, Waiter[]>();
  private readonly pacer: BatchPacer;

  constructor(private readonly deps: PollBatcherDeps) {
    this.pacer = new BatchPacer(deps, BATCH_GAP_MS, () => {
      this.flush();
    });
  }

  /** null: the leader can't be asked now. */
  poll(jobId: string): Promise<PollAnswer | null> {
    return new Promise((resolve) => {
      const sharing = this.waiting.get(jobId);
      if (sharing) {
        sharing.push(resolve);
        return;
      }
      if (this.waiting.size >= MOST_IN_BATCH) {
        resolve(null);
        return;
      }
      this.waiting.set(jobId, [resolve]);
      this.pacer.schedule();
    });
  }

  private flush(): void {
    const batch = this.waiting;
    this.waiting = new Map();
    this.pacer.noteSent();
    void this.deps.send([...batch.keys()]).then((answers) => {
      let index = 0;
      for (const waiters of batch.values()) {
        const answer = answers?.[index] ?? null;
        index += 1;
        for (const waiter of waiters) waiter(answer);
      }
    });
  }
}

/**
 * Answers a batch from what is known without waiting. A job whose state takes a while to find out is answered
 * `unavailable`, so that one of them doesn't hold up all others; the asking controller then finds it out by itself.
 */
export function answerBatch(
  jobIds: readonly string[],
  answerOne: (jobId: string, reply: (answer: PollAnswer) => void) => void,
): PollAnswer[] {
  return jobIds.map((jobId) => {
    let answer: PollAnswer = { kind: 'unavailable' };
    answerOne(jobId, (found) => {
      answer = found;
    });
    return answer;
  });
}
