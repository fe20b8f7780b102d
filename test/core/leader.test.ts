import assert from 'node:assert/strict';
import test from 'node:test';
import { defaultOptions } from '../../src/config/options.ts';
import type { Settings } from '../../src/config/settings.ts';
import { Intern } from '../../src/core/intern.ts';
import { Leader } from '../../src/core/leader.ts';
import { Catalog } from '../../src/fleet/catalog.ts';
import type { Cloud } from '../../src/fleet/cloud.ts';
import type { LeaderWriter } from '../../src/store/writer.ts';
import type { Report } from '../../src/wire/worker.ts';
import { SETTINGS } from '../config/sample.ts';
import { BIG, FakeClock, silent } from '../helpers.ts';

const TERM = 4;

function leaderOfTerm(term: number): Leader {
  const nothing = (): void => undefined;
  const never = (): Promise<never> => new Promise(nothing);
  return new Leader({
    host: {
      clock: new FakeClock(),
      log: silent,
      surelyLeading: () => true,
      order: never,
      inspect: never,
      final: nothing,
      isFinal: () => false,
      post: nothing,
      pause: never,
      superseded: nothing,
      lagMs: () => 0,
      hearsNobody: nothing,
    },
    settings: SETTINGS as Settings,
    options: defaultOptions(),
    teams: [],
    zones: new Intern(['a', 'b']),
    catalog: new Catalog([BIG]),
    cloud: { ready: () => false } as unknown as Cloud,
    writer: { push: nothing, stop: nothing, backlog: 0 } as unknown as LeaderWriter,
    term,
    graceMs: 6000,
  });
}

test('a leader that has not read the state answers no report', () => {
  // Kept sure by promises through an outage it answered them all, without a stop for what had been cancelled before.
  const leader = leaderOfTerm(TERM);
  const report: Report = {
    machine: 'n-000001',
    address: 'n-000001:1',
    machineType: 'big',
    zone: 'a',
    spot: false,
    session: 1,
    seq: 7,
    token: TERM - 1,
    noticeS: null,
    tasks: [],
  };
  assert.equal(leader.onReport(report), null);
  leader.load({ open: [], finished: [], begun: [], roster: [] });
  assert.deepEqual(leader.onReport(report), []);
});
