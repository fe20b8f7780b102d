import assert from 'node:assert/strict';
import test from 'node:test';
import { WorkerBalancer, workerCapacity } from '../../src/relay/worker-balancer.ts';

const HEARTBEAT_INTERVAL_MS = 5000;

test('workers are balanced only with more of them than a leader can serve, and no follower gets most', () => {
  let now = 0;
  const capacity = workerCapacity({ heartbeatsPerCoreS: 2500, cores: 0.085, heartbeatIntervalS: 5 });
  assert.equal(capacity, 1062);
  const few = new WorkerBalancer(() => now, capacity, HEARTBEAT_INTERVAL_MS);
  for (let i = 0; i < 1062; i++) assert.equal(few.pickRedirectTarget(1062), null);
  assert.equal(few.shouldRelay(1062), false);
  // 4,000 workers that all begin at the leader, each with a heartbeat in five seconds.
  const balancer = new WorkerBalancer(() => now, capacity, HEARTBEAT_INTERVAL_MS);
  const followerOf = new Map<number, string>();
  for (let round = 0; round < 12; round++) {
    for (let worker = 0; worker < 4000; worker++) {
      now += HEARTBEAT_INTERVAL_MS / 4000;
      const follower = followerOf.get(worker);
      if (follower) {
        balancer.recordRelayed(follower, 1);
        continue;
      }
      for (const name of ['a', 'b']) balancer.recordRelayed(name, 0);
      const target = balancer.pickRedirectTarget(4000);
      if (target) followerOf.set(worker, target);
    }
  }
  const servedBy = (name: string): number => [...followerOf.values()].filter((n) => n === name).length;
  const servedByLeader = 4000 - followerOf.size;
  assert.ok(servedByLeader <= capacity, `${servedByLeader} at the leader`);
  assert.ok(Math.abs(servedBy('a') - servedBy('b')) < 600, `${servedBy('a')} and ${servedBy('b')}`);
  // A follower that relays nothing any more gets nobody.
  now += 10_000;
  for (let i = 0; i < 2000; i++) assert.equal(balancer.pickRedirectTarget(4000), null);
});
