import assert from 'node:assert/strict';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import test from 'node:test';
import { NameIndex } from '../../src/base/name-index.ts';
import { defaultOptions } from '../../src/config/options.ts';
import { parseSettings } from '../../src/config/settings.ts';
import { Catalog } from '../../src/fleet/catalog.ts';
import { HttpClient, createNonPersistentAgent } from '../../src/http/client.ts';
import type { HttpResponse } from '../../src/http/server.ts';
import { encodeTerminalRecord, encodeOpenRecord } from '../../src/jobs/records.ts';
import { TerminalStateCache } from '../../src/jobs/terminal-state-cache.ts';
import { UserRequests } from '../../src/jobs/user-requests.ts';
import { Leader } from '../../src/leader/leader.ts';
import { computeLeaseExpiry } from '../../src/leadership/lease.ts';
import { RateBudget } from '../../src/store/budget.ts';
import { KEYS } from '../../src/store/keys.ts';
import { LeaderWriter } from '../../src/store/leader-writer.ts';
import type { ProvisioningRequest } from '../../src/wire/cloud.ts';
import type { Item } from '../../src/wire/state.ts';
import { decodeJob, type JobRequest } from '../../src/wire/user.ts';
import type { Command } from '../../src/wire/worker.ts';
import { SETTINGS } from '../config/sample.ts';
import { failTest, BIG, FakeClock, silent } from '../helpers.ts';
import { JOB } from '../wire/sample.ts';
import { createTokens, fakeCloud, fakeHost, heartbeatOf, NO_RESPONSE, settle, TERM } from './fakes.ts';

const LEASE_MS = 3000;
const JOB_ID = 'req-000412';
const PAUSE_MS = 70_000;
const HEARTBEAT_GRACE_MS = 12_000;
const TEAMS = [{ name: 'vision', cpus: 0, gpus: 8, cpusMax: 0, gpusMax: 1000 }];

const STEP_MS = 200;
const STEPS_PER_HEARTBEAT = 10;
const SETTLES_PER_STEP = 5;

/** The job of the example with eight tasks, each of which fits a machine of type BIG. */
function sampleJob(): JobRequest {
  const decoded = decodeJob(
    JSON.stringify({
      ...JOB,
      shape: 'array',
      samePlace: false,
      ovens: ['big'],
      memGb: 8,
      cores: 4,
      loaves: 8,
    }),
  );
  if (!decoded.ok) throw new Error(decoded.reason);
  return decoded.value;
}

/**
 * A leader with the user requests of its controller, one machine that sends heartbeats and one that boots, on a clock
 * that the test moves. Everything that leaves this controller is recorded.
 */
class SingleController {
  readonly clock = new FakeClock();
  /** When a task was started, in milliseconds, once for each start. */
  readonly starts: number[] = [];
  readonly rentals: ProvisioningRequest[] = [];
  readonly terminated: string[] = [];
  /** The key-value store as all controllers see it. */
  readonly store = new Map<string, unknown>();
  readonly leader: Leader;
  readonly users: UserRequests;
  private leaseValidUntil = computeLeaseExpiry(0, LEASE_MS);
  private sequence = 0;

  constructor() {
    const catalog = new Catalog([BIG]);
    this.leader = this.createLeader(catalog);
    this.users = this.createUserRequests(catalog);
    this.store.set(KEYS.open(JOB_ID), encodeOpenRecord(sampleJob(), this.clock.wall()));
    const open = [this.item(KEYS.open(JOB_ID), this.store.get(KEYS.open(JOB_ID)))];
    this.leader.recover({ open, completions: [], startWatermarks: [], machineRegistry: [] });
  }

  private createLeader(catalog: Catalog): Leader {
    return new Leader({
      host: fakeHost(this.clock, {
        hasValidLease: () => this.clock.now() < this.leaseValidUntil,
        sendCommands: (_machine, _fencingToken, commands) => {
          this.recordStarts(commands);
          return Promise.resolve(NO_RESPONSE);
        },
        // No probe is answered, as from inside a network partition.
        inspect: () => Promise.resolve({ kind: 'unanswered' }),
        pause: () => settle(),
      }),
      settings: parseSettings(JSON.stringify({ ...SETTINGS, serve_on: '127.0.0.1:0' })),
      options: defaultOptions(),
      teams: TEAMS,
      zones: new NameIndex(['a', 'b']),
      catalog,
      cloud: fakeCloud({
        catalog: () => Promise.resolve([BIG]),
        rent: (request) => {
          this.rentals.push(request);
          const names = Array.from({ length: request.count }, (_, index) => `${request.request}-${index}`);
          return Promise.resolve({ kind: 'rented', names });
        },
        terminate: (names) => {
          this.terminated.push(...names);
          return Promise.resolve(true);
        },
      }),
      writer: this.createWriter(),
      term: TERM,
      tokens: createTokens(),
      heartbeatGraceMs: HEARTBEAT_GRACE_MS,
    });
  }

  private createWriter(): LeaderWriter {
    return new LeaderWriter({
      onError: failTest,
      host: {
        compareAndSwap: () => Promise.resolve({ kind: 'ok', revision: 1 }),
        readVersion: () => Promise.resolve({ kind: 'ok', value: 1 }),
        onLeadershipLost: () => undefined,
        pause: () => settle(),
      },
      leaderVersion: 1,
      fenceVersion: 1,
      limits: { maxMutations: 12, maxBytes: 56 * 1024 },
      budget: new RateBudget(1e6, () => this.clock.now()),
      log: silent,
    });
  }

  private createUserRequests(catalog: Catalog): UserRequests {
    return new UserRequests({
      onError: failTest,
      clock: this.clock,
      options: defaultOptions(),
      store: {
        get: (key) => {
          const value = this.store.get(key);
          return Promise.resolve({ kind: 'ok', value: value === undefined ? null : this.item(key, value) });
        },
        compareAndSwap: () => Promise.resolve({ kind: 'conflict', failed: [KEYS.open(JOB_ID)] }),
      },
      terminalStates: new TerminalStateCache(10),
      submissionBudget: new RateBudget(10, () => this.clock.now()),
      teams: TEAMS,
      catalog: () => catalog,
      leader: () => this.leader,
      beginLeaderlessWrite: () => Promise.resolve(null),
      callLeader: () => Promise.resolve(null),
      callOthers: () => Promise.resolve(null),
    });
  }

  private item(key: string, value: unknown): Item {
    return { key, value, version: 1, lease: null };
  }

  private recordStarts(commands: readonly Command[]): void {
    for (const command of commands) if (command.op === 'start') this.starts.push(this.clock.now());
  }

  /** The worker's own heartbeat; the starts in the response are recorded. */
  sendHeartbeat(): void {
    this.sequence += 1;
    const position = { incarnation: 1, sequence: this.sequence, fencingToken: TERM };
    const answer = this.leader.onHeartbeat(heartbeatOf('n-1', 'a', position));
    if (answer) this.recordStarts(answer.commands);
  }

  /**
   * Time passes while the process runs: its timers fire and, if `renewing`, its lease is renewed and its one worker
   * sends heartbeats.
   */
  async run(ms: number, renewing = true): Promise<void> {
    const until = this.clock.at + ms;
    for (let step = 0; this.clock.at < until; step += 1) {
      this.clock.at += STEP_MS;
      if (renewing) this.leaseValidUntil = computeLeaseExpiry(this.clock.at, LEASE_MS);
      if (renewing && step % STEPS_PER_HEARTBEAT === 0) this.sendHeartbeat();
      this.leader.afterBatch();
      for (let settles = 0; settles < SETTLES_PER_STEP; settles++) await settle();
    }
  }

  /** Time passes while the process is paused. */
  pauseProcess(): void {
    this.clock.at += PAUSE_MS;
  }

  poll(): Promise<HttpResponse> {
    return new Promise((resolve) => {
      this.users.poll(JOB_ID, resolve);
    });
  }
}

async function busyController(): Promise<SingleController> {
  const controller = new SingleController();
  await controller.run(16_000);
  assert.ok(controller.starts.length > 0, 'it has started tasks');
  assert.ok(controller.rentals.length > 0, 'it has rented machines');
  assert.deepEqual(controller.terminated, []);
  return controller;
}

test('nothing that a leader does after a process pause longer than its lease has an effect', async () => {
  // After the pause its machines look silent, and those that it rented look as if they never joined. Until it learns
  // that its lease has expired, it would terminate machines that already work for the next leader.
  const controller = await busyController();
  const startsBefore = controller.starts.length;
  const rentalsBefore = controller.rentals.length;
  controller.pauseProcess();
  // On resuming, the process handles the requests that waited in its sockets, and then all due timers at once. It acts
  // as the leader until it learns of the next one.
  assert.deepEqual(controller.leader.lookup(JOB_ID), { kind: 'unknown' });
  assert.equal(
    controller.leader.cancel(JOB_ID, () => assert.fail('it confirmed a cancellation')),
    false,
  );
  controller.sendHeartbeat();
  await controller.run(30_000, false);
  controller.sendHeartbeat();
  assert.equal(controller.starts.length, startsBefore, 'it started tasks');
  assert.equal(controller.rentals.length, rentalsBefore, 'it rented machines');
  assert.deepEqual(controller.terminated, [], 'it terminated machines');
});

test('after a process pause a leader answers users with what other controllers have stored meanwhile', async () => {
  const controller = await busyController();
  controller.pauseProcess();
  controller.store.delete(KEYS.open(JOB_ID));
  controller.store.set(KEYS.archived(JOB_ID), encodeTerminalRecord('done', 8));
  const answer = await controller.poll();
  assert.equal((JSON.parse(answer.body) as { stage: string }).stage, 'done');
});

test('a leader that keeps its lease over a process pause terminates no machine', async () => {
  // During an outage of the key-value store leases do not expire, however long the process of their holder is paused.
  const controller = await busyController();
  controller.pauseProcess();
  await controller.run(3000);
  assert.deepEqual(controller.terminated, []);
});

test('a start waits for its connection and is not sent if the lease expires meanwhile', async () => {
  // A connection can be established while the process is paused; the start would be written once the process resumes.
  const server: Server = createServer((_req, res) => res.end('{}'));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const agent = createNonPersistentAgent(4);
  const client = new HttpClient(address, agent);
  let checks = 0;
  const expired = await client.send('POST', '/orders', '{}', 5000, () => {
    checks += 1;
    return false;
  });
  assert.deepEqual([expired.kind, expired.kind === 'silent' && expired.sent, checks], ['silent', false, 1]);
  const valid = await client.send('POST', '/orders', '{}', 5000, () => true);
  assert.equal(valid.kind, 'answer');
  agent.destroy();
  server.close();
});
