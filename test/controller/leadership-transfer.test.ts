import assert from 'node:assert/strict';
import test from 'node:test';
import { LeadershipTransfer } from '../../src/controller/leadership-transfer.ts';
import type { PeerReply } from '../../src/peers/messages.ts';
import { FakeClock } from '../helpers.ts';

/** A leadership transfer whose queries to the other controllers get a fixed reply. */
class TransferHarness {
  readonly clock = new FakeClock();
  queryCount = 0;
  readonly stepDowns: { ms: number; reason: string }[] = [];
  readonly transfer: LeadershipTransfer;

  constructor(reply: PeerReply | null) {
    this.transfer = new LeadershipTransfer({
      clock: this.clock,
      peerCalls: {
        findWorkerContact: () => {
          this.queryCount += 1;
          return Promise.resolve(reply);
        },
      },
      election: {
        stepDownFor: (ms, reason) => {
          this.stepDowns.push({ ms, reason });
        },
      },
    });
  }
}

test('a leader without worker contact suspends its candidacy if another controller has contact', async () => {
  const reached = new TransferHarness({ kind: 'ack' });
  await reached.transfer.onLostAllWorkers(() => true);
  assert.deepEqual(reached.stepDowns, [{ ms: 30_000, reason: 'workers reach other controllers only' }]);
  const lost = new TransferHarness(null);
  await lost.transfer.onLostAllWorkers(() => true);
  assert.deepEqual(lost.stepDowns, []);
});

test('a reply that arrives after the leadership has ended does not end a newer one', async () => {
  const { transfer, stepDowns } = new TransferHarness({ kind: 'ack' });
  await transfer.onLostAllWorkers(() => false);
  assert.deepEqual(stepDowns, []);
});

test('the other controllers are queried at most once a second', async () => {
  const harness = new TransferHarness(null);
  harness.clock.at = 5000;
  await harness.transfer.onLostAllWorkers(() => true);
  harness.clock.at += 999;
  await harness.transfer.onLostAllWorkers(() => true);
  assert.equal(harness.queryCount, 1);
  harness.clock.at += 1;
  await harness.transfer.onLostAllWorkers(() => true);
  assert.equal(harness.queryCount, 2);
});
