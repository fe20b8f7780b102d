import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {
  computeCancellationBoundS,
  canMeetCancellationTime,
  computeHeartbeatGraceMs,
} from '../../src/leadership/heartbeat-grace.ts';
import { SEED } from '../helpers.ts';

test('grace and worker lease together stay within the cancellation time for all settings', () => {
  // Without the drift in the formula, a lease nearly as long as that time leaves no reserve for slow clocks.
  const seconds = fc.double({ min: 0.5, max: 4000, noNaN: true });
  fc.assert(
    fc.property(seconds, seconds, seconds, (configuredS, leaseS, beyondS) => {
      for (const cancelS of [leaseS + beyondS, leaseS * (1.0011 + beyondS / 1e6)]) {
        const times = { cancelS, leaseS };
        const graceMs = computeHeartbeatGraceMs(configuredS, times);
        assert.ok(graceMs >= 0 && graceMs <= configuredS * 1000, `grace of ${graceMs} ms`);
        if (!canMeetCancellationTime(times)) assert.equal(graceMs, 0);
        else assert.ok(computeCancellationBoundS(graceMs, times) <= cancelS + 1e-9, `${graceMs} ms`);
      }
    }),
    { seed: SEED, numRuns: 500 },
  );
  assert.equal(canMeetCancellationTime({ cancelS: 31, leaseS: 31 }), false);
  assert.equal(computeHeartbeatGraceMs(12, { cancelS: 30, leaseS: 31 }), 0);
  assert.equal(computeHeartbeatGraceMs(12, { cancelS: 100, leaseS: 31 }), 12_000);
});
