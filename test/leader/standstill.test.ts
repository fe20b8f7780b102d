import assert from 'node:assert/strict';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import test from 'node:test';
import { defaultOptions } from '../../src/config/options.ts';
import { parseSettings } from '../../src/config/settings.ts';
import { NameIndex } from '../../src/base/name-index.ts';
import { Leader } from '../../src/leader/leader.ts';
import { Catalog } from '../../src/fleet/catalog.ts';
import type { Cloud } from '../../src/fleet/cloud.ts';
import type { Answer } from '../../src/http/server.ts';
import { HttpClient, passingAgent } from '../../src/http/client.ts';
import { UserRequests } from '../../src/jobs/user-requests.ts';
import { TerminalStateCache } from '../../src/jobs/terminal-state-cache.ts';
import { terminalValue, openValue } from '../../src/jobs/records.ts';
import { renewalValidUntil } from '../../src/leadership/lease.ts';
import { RateBudget } from '../../src/store/budget.ts';
import { KEYS } from '../../src/store/keys.ts';
import { LeaderWriter } from '../../src/store/leader-writer.ts';
import type { RentRequest } from '../../src/wire/cloud.ts';
import { decodeJob } from '../../src/wire/user.ts';
import type { Command, Heartbeat } from '../../src/wire/worker.ts';
import { SETTINGS } from '../config/sample.ts';
import { BIG, FakeClock, silent } from '../helpers.ts';
import { JOB } from '../wire/sample.ts';

const TTL_MS = 3000;
const TERM = 7;
const ID = 'req-000412';
const STANDSTILL_MS = 70_000;

const settle = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

/**
 * A real leader with its users' side, one machine that reports and one that boots, on a clock that the test moves.
 * Everything that leaves this controller is noted with the time.
 */
class Site {
  readonly clock = new FakeClock();
  readonly starts: number[] = [];
  readonly rentals: RentRequest[] = [];
  readonly returned: string[] = [];
  /** The state service as all controllers see it. */
  readonly store = new Map<string, unknown>();
  sureUntil = renewalValidUntil(0, TTL_MS);
  readonly leader: Leader;
  readonly users: UserRequests;
  private seq = 0;

  constructor() {
    const settings = parseSettings(JSON.stringify({ ...SETTINGS, serve_on: '127.0.0.1:0' }));
    const options = defaultOptions();
    const catalog = new Catalog([BIG]);
    const cloud: Cloud = {
      ready: () => true,
      catalog: () => Promise.resolve([BIG]),
      rent: (request) => {
        this.rentals.push(request);
        const names = Array.from({ length: request.count }, (_, i) => `${request.request}-${i}`);
        return Promise.resolve({ kind: 'rented', names });
      },
      terminate: (names) => {
        this.returned.push(...names);
        return Promise.resolve(true);
      },
      list: () => Promise.resolve([]),
    };
    const surelyLeading = (): boolean => this.clock.now() < this.sureUntil;
    const writer = new LeaderWriter(
      {
        compareAndSwap: () => Promise.resolve({ kind: 'ok', revision: 1 }),
        readFence: () => Promise.resolve(1),
        readLeader: () => Promise.resolve(1),
        lost: () => undefined,
        pause: () => settle(),
      },
      1,
      1,
      { txnOps: 12, bytes: 56 * 1024 },
      new RateBudget(1e6, () => this.clock.now()),
      silent,
    );
    const teams = [{ name: 'vision', cpus: 0, gpus: 8, cpusMax: 0, gpusMax: 1000 }];
    this.leader = new Leader({
      host: {
        clock: this.clock,
        log: silent,
        hasValidLease: surelyLeading,
        sendCommands: (_machine, commands) => {
          this.note(commands);
          return Promise.resolve('silent');
        },
        // Questions stay without an answer: as they do from inside a cut.
        inspect: () => Promise.resolve(null),
        onTerminalState: () => undefined,
        isTerminal: () => false,
        outcomeMayBeWritten: () => false,
        enqueue: (command) => {
          command();
        },
        pause: () => settle(),
        superseded: () => undefined,
        lagMs: () => 0,
        lostAllWorkers: () => undefined,
        directHeartbeatAgeMs: () => 0,
      },
      settings,
      options,
      teams,
      zones: new NameIndex(['a', 'b']),
      catalog,
      cloud,
      writer,
      term: TERM,
      heartbeatGraceMs: 12_000,
    });
    this.users = new UserRequests({
      clock: this.clock,
      options,
      store: {
        get: (key) => {
          const value = this.store.get(key);
          return Promise.resolve({
            kind: 'ok',
            value: value === undefined ? null : { key, value, version: 1, lease: null },
          });
        },
        compareAndSwap: () => Promise.resolve({ kind: 'conflict', failed: [KEYS.open(ID)] }),
      },
      terminalStates: new TerminalStateCache(10),
      submissions: new RateBudget(10, () => this.clock.now()),
      teams,
      catalog: () => catalog,
      leader: () => this.leader,
      beginLeaderlessWrite: () => Promise.resolve(null),
      callLeader: () => Promise.resolve(null),
      callOthers: () => Promise.resolve(null),
    });
    const job = decodeJob(
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
    assert.ok(job.ok);
    this.store.set(KEYS.open(ID), openValue(job.value, this.clock.wall()));
    const open = [{ key: KEYS.open(ID), value: this.store.get(KEYS.open(ID)), version: 1, lease: null }];
    this.leader.recover({ open, completions: [], startWatermarks: [], machineRegistry: [] });
  }

  private note(commands: readonly Command[]): void {
    for (const c of commands) if (c.op === 'start') this.starts.push(this.clock.now());
  }

  /** A worker's own report, with what it was told to start before. */
  report(machine = 'n-1', tasks: Heartbeat['tasks'] = [], session = 1): void {
    this.seq += 1;
    const commands = this.leader.onHeartbeat({
      machine,
      address: '10.0.0.1:9000',
      machineType: 'big',
      zone: 'a',
      spot: false,
      incarnation: session,
      sequence: this.seq,
      fencingToken: TERM,
      interruptionNoticeS: null,
      tasks,
    });
    if (commands) this.note(commands);
  }

  /** Time passes while the controller works: its timers run, its lease is renewed, its one worker reports. */
  async work(ms: number, renewing = true): Promise<void> {
    const until = this.clock.at + ms;
    for (let next = 0; this.clock.at < until; next += 1) {
      this.clock.at += 200;
      if (renewing) this.sureUntil = renewalValidUntil(this.clock.at, TTL_MS);
      if (renewing && next % 10 === 0) this.report();
      this.leader.afterBatch();
      for (let i = 0; i < 5; i++) await settle();
    }
  }

  poll(): Promise<Answer> {
    return new Promise((resolve) => {
      this.users.poll(ID, resolve);
    });
  }
}

async function busySite(): Promise<Site> {
  const site = new Site();
  await site.work(16_000);
  assert.ok(site.starts.length > 0, 'it has placed');
  assert.ok(site.rentals.length > 0, 'it has rented');
  assert.deepEqual(site.returned, []);
  return site;
}

test('nothing that a leader does after standing still for longer than its lease counts', async () => {
  // Its machines looked silent and what it had rented looked as if it had never come up: it asked the cloud to take
  // back what had long been working for the next leader, before it heard that its lease was over.
  const site = await busySite();
  const { starts, rentals } = { starts: site.starts.length, rentals: site.rentals.length };
  site.clock.at += STANDSTILL_MS;
  // What waited in its sockets comes first, then all timers at once; it goes on while nobody tells it better.
  assert.deepEqual(site.leader.lookup(ID), { kind: 'unknown' });
  assert.equal(
    site.leader.cancel(ID, () => assert.fail('it confirmed a cancellation')),
    false,
  );
  site.report();
  await site.work(30_000, false);
  site.report();
  assert.equal(site.starts.length, starts, 'it started tasks');
  assert.equal(site.rentals.length, rentals, 'it rented machines');
  assert.deepEqual(site.returned, [], 'it returned machines');
});

test('users of a leader that stood still are told what the others have done meanwhile', async () => {
  const site = await busySite();
  site.clock.at += STANDSTILL_MS;
  site.store.delete(KEYS.open(ID));
  site.store.set(KEYS.archived(ID), terminalValue('done', 8));
  assert.equal((JSON.parse((await site.poll()).body) as { stage: string }).stage, 'done');
});

test('a leader that keeps its lease over a standstill takes no machine for lost that could not report', async () => {
  // In an outage of the state service leases last, however long their holder stands still.
  const site = await busySite();
  site.clock.at += STANDSTILL_MS;
  await site.work(3000);
  assert.deepEqual(site.returned, []);
});

test('an order to start waits for its connection and is not sent if the lease ends before', async () => {
  // A connection can come about while the process stands still; the order was written when it went on.
  const server: Server = createServer((_req, res) => res.end('{}'));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const agent = passingAgent(4);
  const client = new HttpClient(address, agent);
  let asked = 0;
  const stale = await client.send('POST', '/orders', '{}', 5000, () => {
    asked += 1;
    return false;
  });
  assert.deepEqual([stale.kind, stale.kind === 'silent' && stale.sent, asked], ['silent', false, 1]);
  const wanted = await client.send('POST', '/orders', '{}', 5000, () => true);
  assert.equal(wanted.kind, 'answer');
  agent.destroy();
  server.close();
});
