import assert from 'node:assert/strict';
import test from 'node:test';
import { WorkerBalancer, workerCapacity } from '../../src/relay/worker-balancer.ts';

const HEARTBEAT_INTERVAL_MS = 5000;

test('only workers beyond the capacity of the leader are redirected, balanced between the followers', () => {
  let now = 0;
  const capacity = workerCapacity({ heartbeatsPerCoreS: 2500, cores: 0.085, heartbeatIntervalS: 5 });
  assert.equal(capacity, 1062);
  const withinCapacity = new WorkerBalancer(() => now, capacity, HEARTBEAT_INTERVAL_MS);
  for (let i = 0; i < 1062; i++) assert.equal(withinCapacity.pickRedirectTarget(1062), null);
  assert.equal(withinCapacity.shouldRelay(1062), false);
  // 4,000 workers that are all connected to the leader first and send a heartbeat every five seconds.
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
  // Workers aren't redirected to followers that no longer relay.
  now += 10_000;
  for (let i = 0; i < 2000; i++) assert.equal(balancer.pickRedirectTarget(4000), null);
});
