import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { required } from '../../src/base/required.ts';
import {
  answerBatch,
  MAX_BATCH_JOBS,
  MIN_BATCH_INTERVAL_MS,
  PollBatcher,
} from '../../src/jobs/poll-batches.ts';
import { MIN_READ_INTERVAL_MS, SharedReads } from '../../src/jobs/shared-reads.ts';
import type { PollAnswer } from '../../src/peers/messages.ts';
import { isMoreUrgent, type Urgency } from '../../src/store/call-budget.ts';
import { failTest, SEED } from '../helpers.ts';
import { Sim } from '../model/sim.ts';

/** A read that was started, at a simulated time in ms. */
interface StartedRead {
  at: number;
  key: string;
  urgency: Urgency;
}

const anyPolls = fc.array(
  fc.record({ atMs: fc.integer({ min: 0, max: 2000 }), job: fc.integer({ min: 0, max: 5 }) }),
  { minLength: 1, maxLength: 200 },
);

/** The differences between successive times. */
const intervals = (times: readonly number[]): number[] =>
  times.slice(1).map((at, index) => at - required(times[index], 'the time before'));

/** Shared reads of a value that changes with time: each read returns the simulated time of its start. */
function sharedReads(sim: Sim, reads: StartedRead[], durationMs: () => number): SharedReads<number, Urgency> {
  return new SharedReads({
    now: () => sim.at,
    after: (ms, run) => {
      sim.after(ms, run);
    },
    read: async (key, urgency) => {
      const { at } = sim;
      reads.push({ at, key, urgency });
      await sim.pause(durationMs());
      return at;
    },
    isMoreUrgent,
  });
}

test('a shared read starts after every request that shares it, and reads of one key keep the minimum interval', async () => {
  // A request that joins a read in flight could get a value from before the request came in.
  await fc.assert(
    fc.asyncProperty(anyPolls, fc.integer({ min: 1, max: 2000 }), async (polls, maxDurationMs) => {
      const sim = new Sim(SEED);
      const reads: StartedRead[] = [];
      const shared = sharedReads(sim, reads, () => 1 + sim.random() * maxDurationMs);
      let answered = 0;
      for (const { atMs, job } of polls) {
        sim.after(atMs, () => {
          const requestedAt = sim.at;
          void shared.get(`job ${job}`, 'poll').then((readAt) => {
            answered += 1;
            assert.ok(readAt >= requestedAt, 'answered from a read that had started before the request');
            assert.ok(readAt <= requestedAt + MIN_READ_INTERVAL_MS, 'waited for longer than the interval');
          });
        });
      }
      await sim.run(10_000);
      assert.equal(answered, polls.length);
      for (const key of new Set(reads.map((read) => read.key))) {
        const times = reads.filter((read) => read.key === key).map((read) => read.at);
        for (const interval of intervals(times)) assert.ok(interval >= MIN_READ_INTERVAL_MS);
      }
      assert.equal(shared.recentKeyCount, 0, 'keys that are no longer read are still stored');
    }),
    { seed: SEED, numRuns: 30 },
  );
});

test('a shared read is as urgent as the most urgent request that shares it', async () => {
  const sim = new Sim(SEED);
  const reads: StartedRead[] = [];
  const shared = sharedReads(sim, reads, () => 5);
  sim.after(0, () => void shared.get('job', 'poll'));
  sim.after(1, () => void shared.get('job', 'poll'));
  sim.after(2, () => void shared.get('job', 'user'));
  sim.after(3, () => void shared.get('job', 'poll'));
  await sim.run(1000);
  assert.deepEqual(
    reads.map((read) => read.urgency),
    ['poll', 'user'],
  );
});

/** A batch that was sent, at a simulated time in ms. */
interface SentBatch {
  at: number;
  jobIds: string[];
}

function pollBatcher(
  sim: Sim,
  batches: SentBatch[],
  answer: (batch: SentBatch) => Promise<PollAnswer[] | null>,
): PollBatcher {
  return new PollBatcher({
    onError: failTest,
    now: () => sim.at,
    after: (ms, run) => {
      sim.after(ms, run);
    },
    send: (jobIds) => {
      const batch = { at: sim.at, jobIds };
      batches.push(batch);
      return answer(batch);
    },
  });
}

/** Each answer carries the time of the batch in `done` and the job's number in `running`. */
const answersOf = (batch: SentBatch): PollAnswer[] =>
  batch.jobIds.map((id) => ({
    kind: 'status',
    created: false,
    stage: 'running',
    done: batch.at,
    running: Number(id),
  }));

test('each poll gets the answer for its own job, from a batch that was sent after the poll came in', async () => {
  await fc.assert(
    fc.asyncProperty(anyPolls, fc.integer({ min: 1, max: 600 }), async (polls, maxDurationMs) => {
      const sim = new Sim(SEED);
      const batches: SentBatch[] = [];
      const batcher = pollBatcher(sim, batches, async (batch) => {
        await sim.pause(1 + sim.random() * maxDurationMs);
        return answersOf(batch);
      });
      let answered = 0;
      for (const { atMs, job } of polls) {
        sim.after(atMs, () => {
          const requestedAt = sim.at;
          void batcher.poll(String(job)).then((answer) => {
            answered += 1;
            assert.ok(answer?.kind === 'status');
            assert.equal(answer.running, job);
            assert.ok(answer.done >= requestedAt && answer.done <= requestedAt + MIN_BATCH_INTERVAL_MS);
          });
        });
      }
      await sim.run(10_000);
      assert.equal(answered, polls.length);
      for (const interval of intervals(batches.map((batch) => batch.at))) {
        assert.ok(interval >= MIN_BATCH_INTERVAL_MS);
      }
    }),
    { seed: SEED, numRuns: 30 },
  );
});

test('every poll of a batch that the leader does not answer gets null, and the size of a batch is bounded', async () => {
  const sim = new Sim(SEED);
  const batches: SentBatch[] = [];
  const batcher = pollBatcher(sim, batches, () => Promise.resolve(null));
  const answers: (PollAnswer | null)[] = [];
  sim.after(0, () => {
    for (let job = 0; job < MAX_BATCH_JOBS + 10; job++) {
      void batcher.poll(String(job)).then((answer) => answers.push(answer));
    }
  });
  await sim.run(1000);
  assert.equal(answers.length, MAX_BATCH_JOBS + 10);
  assert.ok(answers.every((answer) => answer === null));
  assert.ok(batches.every((batch) => batch.jobIds.length <= MAX_BATCH_JOBS));
});

test('a slow lookup of one job does not delay the other answers of its batch', () => {
  const lateReplies: ((answer: PollAnswer) => void)[] = [];
  const answers = answerBatch(['a', 'slow', 'b'], (id, reply) => {
    if (id === 'slow') lateReplies.push(reply);
    else reply({ kind: 'notFound' });
  });
  const kinds = (): string[] => answers.map((answer) => answer.kind);
  assert.deepEqual(kinds(), ['notFound', 'unavailable', 'notFound']);
  assert.equal(lateReplies.length, 1);
  for (const reply of lateReplies) reply({ kind: 'notFound' });
  assert.deepEqual(
    kinds(),
    ['notFound', 'unavailable', 'notFound'],
    'a late reply changed an answer that was given',
  );
});
