import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { required } from '../../src/base/required.ts';
import type { Answer } from '../../src/http/server.ts';
import { encodeFrame, FrameReader, MAX_FRAME, type HeartbeatResponse } from '../../src/peers/frames.ts';
import { MOST_AGE_MS, HeartbeatRelay, type RelayReply } from '../../src/relay/heartbeat-relay.ts';
import { WorkerBalancer, workerCapacity } from '../../src/relay/worker-balancer.ts';
import { SEED } from '../helpers.ts';

interface Batch {
  leader: string;
  reports: string[];
  answer(answer: RelayReply | null): void;
}

/** A relay on a clock of its own, whose batches the test answers. */
class Bench {
  at = 0;
  leader: string | null = 'one';
  readonly batches: Batch[] = [];
  private timers: { at: number; run: () => void }[] = [];
  readonly relay = new HeartbeatRelay({
    now: () => this.at,
    after: (ms, run) => this.timers.push({ at: this.at + ms, run }),
    leader: () => this.leader,
    send: (leader, reports) =>
      new Promise((resolve) => this.batches.push({ leader, reports, answer: resolve })),
    keepMs: 30_000,
  });

  async pass(ms: number): Promise<void> {
    this.at += ms;
    const due = this.timers.filter((t) => t.at <= this.at);
    this.timers = this.timers.filter((t) => t.at > this.at);
    for (const timer of due) timer.run();
    await new Promise((resolve) => setImmediate(resolve));
  }

  /** The leader wants reports to be handed on. */
  async wanted(): Promise<void> {
    this.relay.take('first', () => undefined);
    required(this.batches.pop(), 'batch').answer({ relay: true, judged: [] });
    await this.pass(1000);
  }
}

const judgedLike = (reports: readonly string[]): HeartbeatResponse[] =>
  reports.map((body) => ({ status: 200, body: `for ${body}` }));

test('every report gets the answer to itself, in batches that fit a frame', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(fc.tuple(fc.integer({ min: 1, max: 64 * 1024 }), fc.nat(30)), { minLength: 1, maxLength: 40 }),
      async (sizes) => {
        const bench = new Bench();
        await bench.wanted();
        const answers = new Map<string, Answer>();
        let frames = 0;
        for (const [i, [size, gapMs]] of sizes.entries()) {
          const body = `${i}:`.padEnd(size, 'x').slice(0, 64 * 1024);
          const key = body.slice(0, 20);
          assert.ok(bench.relay.take(body, (answer) => answers.set(`${i} ${key}`, answer)));
          await bench.pass(gapMs);
          for (const batch of bench.batches.splice(0)) {
            frames += 1;
            const request = { kind: 'reports' as const, node: 'n', reports: batch.reports };
            assert.ok(encodeFrame({ id: 1, request, reply: null }).length <= MAX_FRAME);
            batch.answer({ relay: true, judged: judgedLike(batch.reports) });
          }
        }
        await bench.pass(100);
        for (const batch of bench.batches.splice(0))
          batch.answer({ relay: true, judged: judgedLike(batch.reports) });
        await bench.pass(0);
        assert.equal(answers.size, sizes.length);
        for (const [key, answer] of answers) {
          const sent = key.slice(key.indexOf(' ') + 1);
          assert.ok(answer.body.startsWith(`for ${sent}`), key);
        }
        assert.ok(frames <= sizes.length);
      },
    ),
    { seed: SEED, numRuns: 40 },
  );
});

test('an answer that is older than a second, of a deposed leader or missing is never passed on', async () => {
  const cases: ((bench: Bench, batch: Batch) => Promise<void>)[] = [
    async (bench, batch) => {
      // The process stood still while the answer waited.
      bench.at += MOST_AGE_MS + 1;
      batch.answer({ relay: true, judged: judgedLike(batch.reports) });
      await bench.pass(0);
    },
    async (bench, batch) => {
      bench.leader = 'two';
      batch.answer({ relay: true, judged: judgedLike(batch.reports) });
      await bench.pass(0);
    },
    async (bench, batch) => {
      batch.answer(null);
      await bench.pass(0);
    },
    async (bench, batch) => {
      batch.answer({ relay: true, judged: [] });
      await bench.pass(0);
    },
  ];
  for (const [i, settle] of cases.entries()) {
    const bench = new Bench();
    await bench.wanted();
    const answers: Answer[] = [];
    bench.relay.take('report', (answer) => answers.push(answer));
    await bench.pass(50);
    await settle(bench, required(bench.batches.pop(), 'batch'));
    assert.deepEqual(
      answers.map((a) => a.status),
      [503],
      `case ${i}`,
    );
  }
});

test('reports are handed on only while the leader wants them, and to nobody without a leader', async () => {
  const bench = new Bench();
  const take = (): boolean => bench.relay.take('report', () => undefined);
  assert.equal(take(), false);
  required(bench.batches.pop(), 'batch').answer({ relay: false, judged: [] });
  await bench.pass(1000);
  assert.equal(take(), false);
  required(bench.batches.pop(), 'batch').answer({ relay: true, judged: [] });
  await bench.pass(0);
  assert.equal(take(), true);
  bench.leader = null;
  assert.equal(take(), false);
  // A new leader gets them at once, until it says otherwise.
  bench.leader = 'two';
  assert.equal(take(), true);
  await bench.pass(50);
  const batch = required(bench.batches.pop(), 'batch');
  assert.equal(batch.leader, 'two');
  batch.answer({ relay: false, judged: judgedLike(batch.reports) });
  await bench.pass(0);
  assert.equal(take(), false);
  // At most one question a second.
  const asked = bench.batches.length;
  for (let i = 0; i < 100; i++) take();
  assert.ok(bench.batches.length - asked <= 1);
});

test('frames carry reports and their answers unchanged', () => {
  fc.assert(
    fc.property(
      fc.array(fc.string({ unit: 'grapheme' })),
      fc.boolean(),
      fc.integer({ min: 200, max: 599 }),
      (texts, relay, status) => {
        const request = { kind: 'reports' as const, node: 'hearth-1', reports: texts };
        const reply = {
          kind: 'judged' as const,
          relay,
          judged: texts.map((body) => ({ status, body })),
        };
        const bytes = Buffer.concat([
          encodeFrame({ id: 1, request, reply: null }),
          encodeFrame({ id: 2, request: null, reply }),
        ]);
        assert.deepEqual(new FrameReader().push(bytes), [
          { id: 1, request, reply: null },
          { id: 2, request: null, reply },
        ]);
      },
    ),
    { seed: SEED, numRuns: 100 },
  );
});

test('workers are shared out only with more of them than a leader carries, and no follower gets most', () => {
  let now = 0;
  const carried = workerCapacity({ reportsPerCoreS: 2500, cores: 0.085, reportS: 5 });
  assert.equal(carried, 1062);
  const few = new WorkerBalancer(() => now, carried, 5000);
  for (let i = 0; i < 1062; i++) assert.equal(few.referTo(1062), null);
  assert.equal(few.relay(1062), false);
  // 4,000 workers that all begin at the leader, each with a report in five seconds.
  const shares = new WorkerBalancer(() => now, carried, 5000);
  const at = new Map<number, string>();
  for (let turn = 0; turn < 12; turn++) {
    for (let worker = 0; worker < 4000; worker++) {
      now += 5000 / 4000;
      const follower = at.get(worker);
      if (follower) {
        shares.noteRelayed(follower, 1);
        continue;
      }
      for (const name of ['a', 'b']) shares.noteRelayed(name, 0);
      const other = shares.referTo(4000);
      if (other) at.set(worker, other);
    }
  }
  const served = (name: string): number => [...at.values()].filter((n) => n === name).length;
  const own = 4000 - at.size;
  assert.ok(own <= carried, `${own} at the leader`);
  assert.ok(Math.abs(served('a') - served('b')) < 600, `${served('a')} and ${served('b')}`);
  // A follower that hands nothing on any more gets nobody.
  now += 10_000;
  for (let i = 0; i < 2000; i++) assert.equal(shares.referTo(4000), null);
});
