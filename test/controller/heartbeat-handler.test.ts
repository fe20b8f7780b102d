import assert from 'node:assert/strict';
import test from 'node:test';
import { pino, type Logger } from 'pino';
import { defaultOptions } from '../../src/config/options.ts';
import { parseSettings } from '../../src/config/settings.ts';
import { HeartbeatHandler, type HeartbeatLeader } from '../../src/controller/heartbeat-handler.ts';
import type { HttpResponse } from '../../src/http/server.ts';
import type { PeerReply } from '../../src/peers/messages.ts';
import { SETTINGS } from '../config/sample.ts';
import { FakeClock } from '../helpers.ts';

const GRACE_MS = 2000;
const HEARTBEAT = JSON.stringify({
  ...{ hearth: 'n-000231', address: '10.1.0.232:9000', oven: 'g8', yard: 'a', borrowed: true, shift: 1 },
  ...{ tick: 88, baton: 41, warningS: null, loaves: [] },
});

interface LogLine {
  msg: string;
  unlogged?: number;
  machines?: number;
  capacity?: number;
}

/** A heartbeat handler on a fake controller; tests set the controller's state. */
class HandlerHarness {
  readonly clock = new FakeClock();
  leader: HeartbeatLeader | null = null;
  knownLeader: string | null = null;
  msSinceLeaseExpiry = 0;
  readonly lines: LogLine[] = [];
  readonly handler: HeartbeatHandler;

  constructor() {
    this.handler = new HeartbeatHandler({
      node: 'hearth-0',
      settings: parseSettings(JSON.stringify(SETTINGS)).settings,
      options: defaultOptions(),
      log: this.logger(),
      now: () => this.clock.now(),
      after: () => undefined,
      leader: () => this.leader,
      knownLeader: () => this.knownLeader,
      msSinceLeaseExpiry: () => this.msSinceLeaseExpiry,
      heartbeatGraceMs: GRACE_MS,
      call: () => Promise.resolve(null),
      onError: (error) => {
        throw error;
      },
    });
  }

  private logger(): Logger {
    return pino({ level: 'info' }, { write: (line) => this.lines.push(JSON.parse(line) as LogLine) });
  }

  /** The answer to a heartbeat, if it is given synchronously. */
  answerTo(body: string): HttpResponse | null {
    let answer: HttpResponse | null = null;
    this.handler.onHeartbeat(body, (given) => {
      answer = given;
    });
    return answer;
  }

  replyTo(bodies: readonly string[]): PeerReply | null {
    let reply: PeerReply | null = null;
    this.handler.onRelayedHeartbeats('hearth-1', bodies, (given) => {
      reply = given;
    });
    return reply;
  }
}

function createLeader(fields: Partial<HeartbeatLeader> = {}): HeartbeatLeader {
  return { machineCount: 1, onHeartbeat: () => ({ fencingToken: 41, commands: [] }), ...fields };
}

const redirectTo = (leader: string | null): HttpResponse => ({
  status: 421,
  body: JSON.stringify(leader === null ? {} : { foreman: leader }),
});
const RESPONSE: HttpResponse = { status: 200, body: '{"baton":41,"orders":[]}' };

test('a follower redirects workers to the leader it knows, and never to itself', () => {
  const harness = new HandlerHarness();
  assert.deepEqual(harness.answerTo(HEARTBEAT), redirectTo(null));
  harness.knownLeader = 'hearth-2';
  assert.deepEqual(harness.answerTo(HEARTBEAT), redirectTo('hearth-2'));
  harness.knownLeader = 'hearth-0';
  assert.deepEqual(harness.answerTo(HEARTBEAT), redirectTo(null));
});

test('a leader answers with its fencing token until the grace after its lease expiry has passed', () => {
  const harness = new HandlerHarness();
  harness.leader = createLeader();
  assert.deepEqual(harness.answerTo(HEARTBEAT), RESPONSE);
  harness.msSinceLeaseExpiry = GRACE_MS;
  assert.deepEqual(harness.answerTo(HEARTBEAT), RESPONSE);
  harness.msSinceLeaseExpiry = GRACE_MS + 1;
  assert.deepEqual(harness.answerTo(HEARTBEAT), redirectTo(null));
  harness.msSinceLeaseExpiry = 0;
  harness.leader = createLeader({ onHeartbeat: () => null });
  assert.deepEqual(harness.answerTo(HEARTBEAT), redirectTo(null));
});

test('malformed heartbeats are refused, and logged at most once a second with the count of unlogged ones', () => {
  const harness = new HandlerHarness();
  harness.leader = createLeader();
  for (let i = 0; i < 3; i++) assert.equal(harness.answerTo('{}')?.status, 400);
  harness.clock.at += 1000;
  harness.answerTo('{}');
  assert.deepEqual(
    harness.lines.map(({ msg, unlogged }) => [msg, unlogged]),
    [
      ['malformed heartbeat', 0],
      ['malformed heartbeat', 2],
    ],
  );
});

test('relayed heartbeats are answered in order once the state is recovered', () => {
  const harness = new HandlerHarness();
  assert.deepEqual(harness.replyTo([HEARTBEAT]), { kind: 'unavailable' });
  harness.leader = createLeader({ machineCount: null });
  assert.deepEqual(harness.replyTo([HEARTBEAT]), { kind: 'unavailable' });
  harness.leader = createLeader();
  const reply = harness.replyTo([HEARTBEAT, '{}', HEARTBEAT]);
  assert.ok(reply?.kind === 'heartbeatResponses');
  assert.deepEqual(
    reply.responses.map((response) => response.status),
    [200, 400, 200],
  );
  // A new leader asks followers to go on relaying while it discovers its machines.
  assert.equal(reply.relay, true);
  harness.clock.at += SETTINGS.settings.workers.report_s * 1000 * 3;
  const later = harness.replyTo([HEARTBEAT]);
  assert.ok(later?.kind === 'heartbeatResponses');
  assert.equal(later.relay, false);
});

test('relayed heartbeats whose responses might not fit a frame are refused without being processed', () => {
  const harness = new HandlerHarness();
  let decided = 0;
  const commands = Array.from({ length: 500 }, (_, task) => ({
    op: 'forget' as const,
    jobId: 'req-000001',
    task,
    attempt: 1,
  }));
  harness.leader = createLeader({
    onHeartbeat: () => {
      decided += 1;
      return { fencingToken: 41, commands };
    },
  });
  const reply = harness.replyTo(Array.from({ length: 6 }, () => HEARTBEAT));
  assert.ok(reply?.kind === 'heartbeatResponses');
  const statuses = reply.responses.map((response) => response.status);
  assert.ok(decided > 0 && decided < statuses.length, `${decided} of ${statuses.length}`);
  assert.deepEqual(
    statuses,
    statuses.map((_, index) => (index < decided ? 200 : 503)),
  );
});

test('a fleet larger than the capacity of all controllers is logged once per leadership', () => {
  const harness = new HandlerHarness();
  const machines = 1_000_000;
  harness.leader = createLeader({ machineCount: machines });
  harness.answerTo(HEARTBEAT);
  harness.answerTo(HEARTBEAT);
  harness.leader = createLeader({ machineCount: machines });
  harness.answerTo(HEARTBEAT);
  const capacity = 0.1 * 2500 * SETTINGS.settings.workers.report_s;
  const warning = { msg: 'more machines than the controllers have capacity for', machines, capacity };
  assert.deepEqual(
    harness.lines.map((line) => ({ msg: line.msg, machines: line.machines, capacity: line.capacity })),
    [warning, warning],
  );
});

test('a controller has worker contact if it received a heartbeat directly from a worker within one interval', () => {
  const harness = new HandlerHarness();
  assert.equal(harness.handler.hasWorkerContact(), false);
  harness.answerTo(HEARTBEAT);
  harness.clock.at += SETTINGS.settings.workers.report_s * 1000 - 1;
  assert.equal(harness.handler.hasWorkerContact(), true);
  harness.clock.at += 1;
  assert.equal(harness.handler.hasWorkerContact(), false);
  harness.leader = createLeader();
  harness.replyTo([HEARTBEAT]);
  assert.equal(harness.handler.hasWorkerContact(), false);
});
