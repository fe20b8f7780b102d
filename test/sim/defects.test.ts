import assert from 'node:assert/strict';
import test from 'node:test';
import type { HeartbeatHandler } from '../../src/controller/heartbeat-handler.ts';
import { simulateDay } from './days.ts';

test('simulating a day fails if a controller logs a defect of its own', async () => {
  const day = { seed: 6151, endS: 30, faults: [], jobs: [] };
  await simulateDay(day);
  const withDefect = {
    patchController: (controller: object): void => {
      const { heartbeats } = controller as { heartbeats: HeartbeatHandler };
      heartbeats.onHeartbeat = () => {
        throw new Error('defect of the test');
      };
    },
  };
  await assert.rejects(simulateDay(day, withDefect), /defect of the test/);
});
