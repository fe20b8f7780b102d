import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { answerBatch, BATCH_GAP_MS, MOST_IN_BATCH, PollBatcher } from '../../src/jobs/poll-batches.ts';
import { READ_GAP_MS, SharedReads } from '../../src/jobs/shared-reads.ts';
import type { PollAnswer } from '../../src/peers/messages.ts';
import { moreUrgent, type Urgency } from '../../src/store/key-value-store.ts';
import { SEED } from '../helpers.ts';
import { Sim } from '../model/sim.ts';

/** A value that changes with time, read over a slow link: the read returns what held when it was carried out. */
interface Read {
  at: number;
  key: string;
  urgency: Urgency;
}

const polls = fc.array(
  fc.record({ atMs: fc.integer({ min: 0, max: 2000 }), job: fc.integer({ min: 0, max: 5 }) }),
  { minLength: 1, maxLength: 200 },
);

function sharedReads(sim: Sim, reads: Read[], tookMs: () => number): SharedReads<number, Urgency> {
  return new SharedReads({
    now: () => sim.at,
    after: (ms, run) => {
      sim.after(ms, run);
    },
    read: async (key, urgency) => {
      const at = sim.at;
      reads.push({ at, key, urgency });
      await sim.pause(tookMs());
      return at;
    },
    moreUrgent,
  });
}

test('a shared read begins after every request that shares it, and reads of one key keep their gap', async () => {
  // A request that joined a read under way could be told what was true before it came in.
  await fc.assert(
    fc.asyncProperty(polls, fc.integer({ min: 1, max: 2000 }), async (requests, slowMs) => {
      const sim = new Sim(SEED);
      const reads: Read[] = [];
      const shared = sharedReads(sim, reads, () => 1 + sim.random() * slowMs);
      let answered = 0;
      for (const { atMs, job } of requests) {
        sim.after(atMs, () => {
          const cameIn = sim.at;
          void shared.get(`job ${job}`, 'poll').then((readAt) => {
            answered += 1;
            assert.ok(readAt >= cameIn, 'told from a read that had begun before');
            assert.ok(readAt <= cameIn + READ_GAP_MS, 'kept waiting for longer than the gap');
          });
        });
      }
      await sim.run(10_000);
      assert.equal(answered, requests.length);
      for (const key of new Set(reads.map((r) => r.key))) {
        const at = reads.filter((r) => r.key === key).map((r) => r.at);
        for (let i = 1; i < at.length; i++) assert.ok(at[i]! - at[i - 1]! >= READ_GAP_MS);
      }
      assert.equal(shared.size, 0, 'nothing is remembered of keys that nobody asks about');
    }),
    { seed: SEED, numRuns: 30 },
  );
});

test('a shared read is as urgent as the most urgent request that shares it', async () => {
  const sim = new Sim(SEED);
  const reads: Read[] = [];
  const shared = sharedReads(sim, reads, () => 5);
  sim.after(0, () => void shared.get('job', 'poll'));
  sim.after(1, () => void shared.get('job', 'poll'));
  sim.after(2, () => void shared.get('job', 'user'));
  sim.after(3, () => void shared.get('job', 'poll'));
  await sim.run(1000);
  assert.deepEqual(
    reads.map((r) => r.urgency),
    ['poll', 'user'],
  );
});

interface Batch {
  at: number;
  jobIds: string[];
}

function batcher(sim: Sim, batches: Batch[], answer: (batch: Batch) => Promise<PollAnswer[] | null>) {
  return new PollBatcher({
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

/** `done` carries when the leader was asked, `running` which job was meant. */
const answersOf = (batch: Batch): PollAnswer[] =>
  batch.jobIds.map((id) => ({
    kind: 'status',
    created: false,
    stage: 'running',
    done: batch.at,
    running: Number(id),
  }));

test('each poll of a batch gets the answer for its own job, asked after it came in', async () => {
  await fc.assert(
    fc.asyncProperty(polls, fc.integer({ min: 1, max: 600 }), async (requests, slowMs) => {
      const sim = new Sim(SEED);
      const batches: Batch[] = [];
      const batched = batcher(sim, batches, async (batch) => {
        await sim.pause(1 + sim.random() * slowMs);
        return answersOf(batch);
      });
      let answered = 0;
      for (const { atMs, job } of requests) {
        sim.after(atMs, () => {
          const cameIn = sim.at;
          void batched.poll(String(job)).then((answer) => {
            answered += 1;
            assert.ok(answer?.kind === 'status');
            assert.equal(answer.running, job);
            assert.ok(answer.done >= cameIn && answer.done <= cameIn + BATCH_GAP_MS);
          });
        });
      }
      await sim.run(10_000);
      assert.equal(answered, requests.length);
      for (let i = 1; i < batches.length; i++) assert.ok(batches[i]!.at - batches[i - 1]!.at >= BATCH_GAP_MS);
    }),
    { seed: SEED, numRuns: 30 },
  );
});

test('without an answer every poll of a batch is told so, and no batch grows without bound', async () => {
  const sim = new Sim(SEED);
  const batches: Batch[] = [];
  const batched = batcher(sim, batches, () => Promise.resolve(null));
  const answers: (PollAnswer | null)[] = [];
  sim.after(0, () => {
    for (let i = 0; i < MOST_IN_BATCH + 10; i++) void batched.poll(String(i)).then((a) => answers.push(a));
  });
  await sim.run(1000);
  assert.equal(answers.length, MOST_IN_BATCH + 10);
  assert.ok(answers.every((a) => a === null));
  assert.ok(batches.every((b) => b.jobIds.length <= MOST_IN_BATCH));
});

test('a job whose state takes a while to find out does not hold up the other answers of its batch', () => {
  const later: ((answer: PollAnswer) => void)[] = [];
  const answers = answerBatch(['a', 'slow', 'b'], (id, reply) => {
    if (id === 'slow') later.push(reply);
    else reply({ kind: 'notFound' });
  });
  assert.deepEqual(
    answers.map((a) => a.kind),
    ['notFound', 'unavailable', 'notFound'],
  );
  later[0]!({ kind: 'notFound' });
  assert.equal(answers[1]!.kind, 'unavailable');
});
