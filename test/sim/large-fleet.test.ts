import assert from 'node:assert/strict';
import test from 'node:test';
import type { SimEvent } from '../../src/sim/events.ts';
import { describeViolations, simulateDay, type JobSpec } from './days.ts';

const MACHINES = 6000;
const CRASH_S = 32;
const END_S = 80;

/** The smallest settings of any known deployment. */
const SMALLEST_SETTINGS = {
  workers: { report_s: 5, lease_s: 31, gang_wait_s: 45, gang_peer_s: 5, cancel_s: 61 },
  state: { rps: 80, write_rps: 25, value_kb: 8, txn_ops: 12 },
  limits: { cores: 0.085, memory_mb: 178, sockets: 1500 },
};

/** Counts the machines on which tasks were started in a time span. */
function countMachinesUsed(events: readonly SimEvent[], fromS: number, toS: number): number {
  const used = new Set<string>();
  for (const event of events)
    if (event.kind === 'task_on' && event.at >= fromS * 1000 && event.at < toS * 1000)
      used.add(event.machine);
  return used.size;
}

/**
 * No fixed limit is below 1.5 times the largest fleet: that many machines are registered, written to the machine
 * registry and scheduled within the smallest limits of value size, transaction size and rate. The next leader reads
 * the registry, contacts the machines before their leases expire and continues scheduling.
 */
test(
  'six thousand machines are registered, scheduled and taken over by the next leader',
  { timeout: 240_000 },
  async () => {
    const jobs: JobSpec[] = Array.from({ length: 100 }, (_, i) => ({
      atS: i < 55 ? 1 + i / 10 : 46 + i / 10,
      kind: 0,
      tasks: i < 55 ? 150 : 50,
      runS: i < 55 ? 300 : 10,
      cancelS: 0,
      // Two tasks fill a machine of type big, one fills a machine of type small.
      cores: 4,
    }));
    const day = await simulateDay({
      seed: 6007,
      endS: END_S,
      faults: [{ kind: 'crash', node: 'leader', atS: CRASH_S, forS: 6 }],
      jobs,
      machinesPerZone: MACHINES / 2,
      capacity: MACHINES,
      settings: SMALLEST_SETTINGS,
    });
    assert.equal(describeViolations(day), '');
    assert.equal(day.leaderCount, 2);
    // Long tasks fill the machines before the first leader crashes, and keep running.
    const usedBeforeCrash = countMachinesUsed(day.events, 0, CRASH_S);
    assert.ok(usedBeforeCrash > MACHINES * 0.85, `${usedBeforeCrash} machines had tasks`);
    const killedTasks = day.events.filter(
      (event) => event.kind === 'task_off' && event.cause === null,
    ).length;
    assert.ok(
      killedTasks < usedBeforeCrash * 0.02,
      `${killedTasks} tasks were killed, most likely by expired worker leases`,
    );
    const usedAfterTakeover = countMachinesUsed(day.events, CRASH_S + 10, END_S);
    assert.ok(
      usedAfterTakeover > 100,
      `${usedAfterTakeover} machines were assigned tasks by the second leader`,
    );
  },
);
