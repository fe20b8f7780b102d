import { randomUUID } from 'node:crypto';
import type { Options } from '../config/options.ts';
import type { Settings } from '../config/settings.ts';
import { Catalog, catalogValue, readCatalogValue } from '../fleet/catalog.ts';
import { CloudClient } from '../fleet/cloud.ts';
import { AdaptiveLimit, USER_SLACK_MS, WORKER_SLACK_MS } from '../http/limit.ts';
import { socketShares } from '../http/connections.ts';
import { Door, failure, type Answer, type Reply } from '../http/server.ts';
import { UserDoor, type LocalLeader } from '../jobs/door.ts';
import { FinalCache } from '../jobs/finals.ts';
import type { TeamLimits } from '../jobs/admission.ts';
import { Election, leaseMs, type Leadership } from '../leadership/election.ts';
import type { MeshReply, MeshRequest } from '../mesh/frames.ts';
import { Mesh } from '../mesh/mesh.ts';
import { Reach } from '../mesh/reach.ts';
import { LEADER_WRITES, RateBudget, submissionsPerSecond } from '../store/budget.ts';
import { StoreClient } from '../store/client.ts';
import { KEYS } from '../store/keys.ts';
import { LeaderWriter } from '../store/writer.ts';
import { decodeReport, encodeReportAnswer, encodeReportTo } from '../wire/worker.ts';
import { WorkerClient } from '../workers/client.ts';
import { systemClock } from './clock.ts';
import { Intern } from './intern.ts';
import { Leader } from './leader.ts';
import { Lag } from './lag.ts';
import type { Logger } from './log.ts';
import { Owner } from './owner.ts';
import { peerOf, Routes } from './routes.ts';
import { WarmUp } from './warmup.ts';

const TICK_MS = 200;
const PROMISE_WAIT_MS = 700;
const REACH_CHECK_MS = 1000;
/** Practice while following: short pieces with long pauses, so that users and health checks don't notice. */
const WARM_UP_TURNS = 60;
const WARM_UP_REST = 4;
/** Part of the node's sockets that orders to workers may use; the rest is for those who connect to us. */
const ORDER_SOCKETS = 0.1;
/** After all others were of no help they are not asked again for so long: troubles may be everybody's. */
const OTHERS_PAUSE_MS = 1000;
/** How long a node that has lost its workers doesn't stand for leader. */
const YIELD_MS = 30_000;
/** Reports that a worker leaves out before its connection is taken for dead. */
const WORKER_IDLE = 4;
const USER_IDLE_MS = 90_000;
/** A connection without any request. */
const UNKNOWN_IDLE_MS = 10_000;

/** One controller: wires the slices together and owns the leadership while it has it. */
export class Service {
  private readonly clock = systemClock;
  private readonly lag = new Lag(TICK_MS, () => systemClock.now());
  private readonly owner: Owner;
  private readonly store: StoreClient;
  private readonly cloud: CloudClient;
  private readonly workers: WorkerClient;
  private readonly mesh: Mesh;
  private readonly server: Door;
  private readonly door: UserDoor;
  private readonly election: Election;
  private readonly finals: FinalCache;
  private readonly reach: Reach;
  private readonly peers: string[];
  private othersFailedAt = -Infinity;
  private askedOthersAt = -Infinity;
  /** When a worker last tried to report here. */
  private reportedAt = -Infinity;
  private readonly teams: TeamLimits[];
  private readonly zones: Intern;
  private readonly routes: Routes;
  private readonly graceMs: number;
  private catalog: Catalog | null = null;
  private leader: Leader | null = null;
  private ticker: NodeJS.Timeout | undefined;
  private reachTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly settings: Settings,
    private readonly options: Options,
    private readonly log: Logger,
  ) {
    const now = (): number => this.clock.now();
    const { state, cloud, workers, teams, zones } = settings.settings;
    this.owner = new Owner(
      () => this.leader?.afterBatch(),
      (error) => {
        log.error(
          { error: error instanceof Error ? (error.stack ?? error.message) : String(error) },
          'fault',
        );
      },
    );
    this.store = new StoreClient(
      settings.endpoints.state,
      { rps: state.rps, nodes: settings.settings.nodes },
      now,
      log,
    );
    const { sockets } = settings.settings.limits;
    const orderSockets = Math.max(8, Math.floor(sockets * ORDER_SOCKETS));
    this.workers = new WorkerClient(orderSockets);
    this.server = new Door(
      (request, reply) => {
        this.routes.route(request, reply);
      },
      {
        sockets: socketShares(sockets, orderSockets),
        idleMs: {
          unknown: UNKNOWN_IDLE_MS,
          user: USER_IDLE_MS,
          worker: workers.report_s * 1000 * WORKER_IDLE,
        },
        peerOf,
        now,
      },
    );
    this.cloud = new CloudClient(settings.endpoints.cloud, cloud.rps, now, log);
    this.finals = new FinalCache(options.users.final_cache);
    this.teams = teams.map((t) => ({
      name: t.name,
      cpus: t.cpus,
      gpus: t.gpus,
      cpusMax: t.cpus_max,
      gpusMax: t.gpus_max,
    }));
    this.zones = new Intern(zones);
    // With the workers' lease it must stay within the time of a cancellation.
    this.graceMs =
      Math.min(options.leadership.grace_s, Math.max(0, (workers.cancel_s - workers.lease_s) * 0.6)) * 1000;
    const peers = settings.seeds.map((s) => ({ name: s.host_name, address: s.peer_addr }));
    this.peers = peers.map((p) => p.name);
    this.mesh = new Mesh(
      peers,
      (request, reply) => {
        this.owner.post(() => {
          if (request.kind === 'ping') {
            reply({ kind: 'here' });
            return;
          }
          if (request.kind === 'workers') {
            const lately = this.clock.now() - this.reportedAt < workers.report_s * 1000;
            reply({ kind: lately ? 'here' : 'unable' });
            return;
          }
          if (request.kind !== 'promise') {
            this.door.onMesh(request, reply);
            return;
          }
          void this.election.promise(request.ms).then((given) => {
            reply({ kind: given ? 'promised' : 'unable' });
          });
        });
      },
      log,
    );
    this.door = new UserDoor({
      clock: this.clock,
      options,
      store: this.store,
      finals: this.finals,
      submissions: new RateBudget(submissionsPerSecond(state.write_rps, settings.settings.nodes), now),
      teams: this.teams,
      catalog: () => this.catalog,
      leader: () => this.localLeader(),
      actAlone: () => this.election.actAlone(),
      askLeader: (request, timeoutMs) => {
        const leader = this.election.leader();
        if (leader === null || leader === settings.host_name) return Promise.resolve(null);
        return this.mesh.ask(leader, request, timeoutMs);
      },
      askOthers: (request, timeoutMs) => this.askOthers(request, timeoutMs),
    });
    this.reach = new Reach({
      clock: this.clock,
      storeServedAt: () => this.store.servedAt,
      askStore: () => this.store.get(KEYS.term, 'background'),
      askPeers: async () =>
        (await this.mesh.askAny(this.peers, { kind: 'ping' }, PROMISE_WAIT_MS, () => true)) !== null,
    });
    this.election = new Election(
      settings.host_name,
      randomUUID(),
      this.store,
      this.clock,
      Math.random,
      {
        ttlMs: leaseMs(options.leadership.lease_ms, settings.settings.limits.cores),
        renewMs: options.leadership.renew_ms,
      },
      {
        won: (leadership) => {
          this.owner.post(() => void this.lead(leadership));
        },
        lost: () => {
          this.leader?.stop();
          this.leader = null;
        },
      },
      log,
      undefined,
      // Only the promises of all other controllers together say anything.
      peers.length === settings.settings.nodes - 1
        ? async (term, ms) => {
            const asked = peers.map((p) =>
              this.mesh.ask(p.name, { kind: 'promise', term, ms }, PROMISE_WAIT_MS),
            );
            return (await Promise.all(asked)).every((reply) => reply?.kind === 'promised');
          }
        : null,
    );
    const limit = (initial: number, min: number, max: number, slackMs: number): AdaptiveLimit =>
      new AdaptiveLimit(now, { initial, min, max, slackMs, tolerance: 4 });
    const { users_min, users_max, workers_min, workers_max } = options.http;
    // Each worker has one report in progress, over a socket of its own.
    const most = Math.max(workers_min, Math.min(workers_max, settings.settings.limits.sockets));
    this.routes = new Routes({
      options,
      door: this.door,
      userLimit: limit(64, users_min, users_max, USER_SLACK_MS),
      workerLimit: limit(most, workers_min, most, WORKER_SLACK_MS),
      post: (command) => {
        this.owner.post(command);
      },
      onReport: (body, reply) => {
        this.onReport(body, reply);
      },
      health: () => this.health(),
    });
  }

  async start(): Promise<void> {
    await this.mesh.listen(this.settings.mesh_addr);
    await this.server.listen(this.settings.serve_on);
    this.log.info({ on: this.settings.serve_on }, 'serving');
    this.election.start();
    void this.readCatalog();
    this.ticker = setInterval(() => {
      this.lag.tick();
      this.owner.post(() => undefined);
    }, TICK_MS);
    void this.warmUp();
    this.reachTimer = setInterval(() => void this.reach.check(), REACH_CHECK_MS);
  }

  /** Where users and workers reach this node; tests let the system choose the port. */
  address(): string {
    return this.server.address;
  }

  /** Ends all work of this node, for use inside another program; a controller just runs until killed. */
  stop(): void {
    this.election.stop();
    this.election.stepDown('stopped');
    clearInterval(this.ticker);
    this.ticker = undefined;
    clearInterval(this.reachTimer);
    this.server.close();
    this.mesh.close();
    this.store.close();
    this.cloud.close();
    this.workers.close();
  }

  private async readCatalog(): Promise<void> {
    for (let pauseMs = 300; !this.catalog; pauseMs = Math.min(3000, pauseMs * 2)) {
      // Both are asked at once: a node that starts while the cloud is in trouble must still be able to lead.
      void this.store.get(KEYS.catalog, 'user').then((kept) => {
        if (kept.kind === 'ok' && kept.value) this.catalog ??= readCatalogValue(kept.value.value);
      });
      const types = await this.cloud.catalog();
      if (types) this.catalog ??= new Catalog(types);
      else await new Promise((resolve) => setTimeout(resolve, pauseMs));
    }
  }

  /** Keeps the catalog in the store, if it fits a value there. */
  private keepCatalog(writer: LeaderWriter): void {
    const value = catalogValue(this.catalog!);
    if (JSON.stringify(value).length > this.settings.settings.state.value_kb * 1000) return;
    writer.push({ changes: [{ put: KEYS.catalog, value }], done: () => undefined }, 'background');
  }

  // ---- leadership ----

  private localLeader(): LocalLeader | null {
    const leader = this.leader;
    if (!leader) return null;
    return {
      status: (id) => leader.status(id),
      cancel: (id, settled) => leader.cancel(id, settled),
      created: (id, value) => {
        leader.created(id, value);
      },
    };
  }

  private async warmUp(): Promise<void> {
    const warmUp = new WarmUp(WARM_UP_TURNS);
    while (!warmUp.over && this.ticker) {
      const from = this.clock.now();
      // Whoever leads learns by doing.
      if (!this.leader && this.election.leader() !== null) warmUp.step();
      const tookMs = this.clock.now() - from;
      await new Promise((resolve) => setTimeout(resolve, 100 + tookMs * WARM_UP_REST));
    }
  }

  /**
   * A leader that has lost its workers, and only those, must not go on leading: it would call them silent and
   * give their machines back, while they try one controller after the other and are sent to it.
   */
  private async leaveToOthers(held: Leadership): Promise<void> {
    if (this.clock.now() - this.askedOthersAt < OTHERS_PAUSE_MS) return;
    this.askedOthersAt = this.clock.now();
    const heard = await this.mesh.askAny(
      this.peers,
      { kind: 'workers' },
      PROMISE_WAIT_MS,
      (r) => r.kind === 'here',
    );
    if (heard && this.isCurrent(held)) this.election.yieldFor(YIELD_MS, 'workers reach others only');
  }

  private async askOthers(request: MeshRequest, timeoutMs: number): Promise<MeshReply | null> {
    if (this.clock.now() - this.othersFailedAt < OTHERS_PAUSE_MS) return null;
    const reply = await this.mesh.askAny(this.peers, request, timeoutMs, (r) => r.kind !== 'unable');
    if (!reply) this.othersFailedAt = this.clock.now();
    return reply;
  }

  private isCurrent(held: Leadership): boolean {
    return this.election.current() === held;
  }

  private async lead(held: Leadership): Promise<void> {
    const pause = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));
    while (!this.catalog && this.isCurrent(held)) await pause(50);
    let fence = await this.store.get(KEYS.fence, 'lease');
    while (fence.kind !== 'ok' && this.isCurrent(held)) {
      await pause(150);
      fence = await this.store.get(KEYS.fence, 'lease');
    }
    if (!this.isCurrent(held) || fence.kind !== 'ok') return;
    const { state } = this.settings.settings;
    const writer = new LeaderWriter(
      {
        txn: (conditions, changes, timeoutMs) => this.store.txn(conditions, changes, 'lease', timeoutMs),
        readFence: async () => {
          const read = await this.store.get(KEYS.fence, 'lease');
          return read.kind === 'ok' ? (read.value?.version ?? 0) : null;
        },
        readLeader: async () => {
          const read = await this.store.get(KEYS.leader, 'lease');
          return read.kind === 'ok' ? (read.value?.version ?? 0) : null;
        },
        lost: (reason) => {
          this.election.stepDown(reason);
        },
        pause,
      },
      held.version,
      fence.value?.version ?? 0,
      { txnOps: state.txn_ops, bytes: 56 * 1024 },
      new RateBudget(state.write_rps * LEADER_WRITES, () => this.clock.now()),
      this.log,
    );
    const leader = new Leader({
      host: {
        clock: this.clock,
        log: this.log,
        surelyLeading: () => this.isCurrent(held) && this.election.surelyLeading(),
        order: (machine, commands) => this.workers.order(machine, held.term, commands),
        inspect: (machine) => this.workers.inspect(machine),
        final: (id, status) => {
          this.finals.put(id, status);
        },
        isFinal: (id) => this.finals.get(id) !== undefined,
        post: (command) => {
          this.owner.post(command);
        },
        pause,
        superseded: () => {
          this.election.stepDown('a worker has seen a higher token');
        },
        lagMs: () => this.lag.ms(),
        hearsNobody: () => {
          void this.leaveToOthers(held);
        },
      },
      settings: this.settings,
      options: this.options,
      teams: this.teams,
      zones: this.zones,
      catalog: this.catalog!,
      cloud: this.cloud,
      writer,
      term: held.term,
      graceMs: this.graceMs,
    });
    this.leader = leader;
    this.keepCatalog(writer);
    let revision = -1;
    while (this.isCurrent(held) && revision < 0) {
      const open = await this.store.list(KEYS.openPrefix, 'lease');
      const finished = await this.store.list(KEYS.finishedPrefix, 'lease');
      const begun = await this.store.list(KEYS.begunPrefix, 'lease');
      const roster = await this.store.list(KEYS.machinePrefix, 'lease');
      if (open.kind === 'ok' && finished.kind === 'ok' && begun.kind === 'ok' && roster.kind === 'ok') {
        revision = open.value.revision;
        this.owner.post(() => {
          if (this.leader === leader) {
            leader.load({
              open: open.value.items,
              finished: finished.value.items,
              begun: begun.value.items,
              roster: roster.value.items,
            });
          }
        });
      } else {
        await pause(200);
      }
    }
    await this.watchJobs(held, leader, revision);
  }

  private async watchJobs(held: Leadership, leader: Leader, from: number): Promise<void> {
    let revision = from;
    while (this.isCurrent(held)) {
      const watched = await this.store.watch(KEYS.openPrefix, revision, 20_000);
      if (!this.isCurrent(held)) return;
      if (watched.kind === 'ok') {
        revision = watched.value.revision;
        const { events } = watched.value;
        if (events.length > 0) {
          this.owner.post(() => {
            if (this.leader === leader) leader.onStoreEvents(events);
          });
        }
        continue;
      }
      await new Promise((resolve) => setTimeout(resolve, 200));
      if (watched.kind !== 'gone') continue;
      const listed = await this.store.list(KEYS.openPrefix, 'lease');
      if (listed.kind !== 'ok') continue;
      revision = listed.value.revision;
      const { items } = listed.value;
      this.owner.post(() => {
        if (this.leader === leader) leader.onStoreListed(items);
      });
    }
  }

  // ---- the doors ----

  /** Ready once jobs can be decided. Troubles that all nodes share don't make a node unhealthy. */
  private health(): Answer {
    if (!this.catalog) return failure(503, 'starting', 1);
    return this.reach.cutOff() ? failure(503, 'cut off', 1) : { status: 200, body: '{}' };
  }

  private onReport(body: string, reply: Reply): void {
    this.reportedAt = this.clock.now();
    const leader = this.leader;
    // Without a look at the report: between two leaders all workers ask every node each second.
    if (!leader) {
      const known = this.election.leader();
      reply({ status: 421, body: encodeReportTo(known === this.settings.host_name ? null : known) });
      return;
    }
    const decoded = decodeReport(body);
    if (!decoded.ok) {
      this.log.error({ reason: decoded.reason }, 'malformed report');
      reply(failure(400, decoded.reason));
      return;
    }
    // While the lease is not sure, work is kept alive for a bounded time; nothing new starts.
    if (this.election.unsureForMs() > this.graceMs) {
      reply({ status: 421, body: encodeReportTo(null) });
      return;
    }
    const commands = leader.onReport(decoded.value);
    if (commands === null) reply({ status: 421, body: encodeReportTo(null) });
    else reply({ status: 200, body: encodeReportAnswer(leader.term, commands) });
  }
}
