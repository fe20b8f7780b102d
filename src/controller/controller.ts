import type { Options } from '../config/options.ts';
import type { Settings } from '../config/settings.ts';
import { Catalog, catalogValue, readCatalogValue } from '../fleet/catalog.ts';
import { CloudClient } from '../fleet/cloud.ts';
import { AdaptiveLimit, USER_SLACK_MS, WORKER_SLACK_MS } from '../http/limit.ts';
import { failure, type Answer, type HttpRequest, type Reply } from '../http/server.ts';
import { UserRequests } from '../jobs/user-requests.ts';
import { TerminalWrites } from '../jobs/terminal-writes.ts';
import { TerminalStateCache } from '../jobs/terminal-state-cache.ts';
import type { TeamQuota } from '../jobs/admission.ts';
import { Election } from '../leadership/election.ts';
import type { Leadership } from '../leadership/leadership-state.ts';
import { leaseMs } from '../leadership/lease.ts';
import { cancellationCanHold, heartbeatGraceMs } from '../leadership/heartbeat-grace.ts';
import { answerBatch, PollBatcher } from '../jobs/poll-batches.ts';
import { SharedReads } from '../jobs/shared-reads.ts';
import type { PeerReply, PeerRequest, PollAnswer } from '../peers/frames.ts';
import { callAny } from '../peers/peers.ts';
import { Connectivity } from '../peers/connectivity.ts';
import { LEADER_WRITES, RateBudget, submissionBudget } from '../store/budget.ts';
import { moreUrgent, type Urgency } from '../store/call-budget.ts';
import { KeyValueStore, type StoreResult } from '../store/key-value-store.ts';
import { KEYS } from '../store/keys.ts';
import { LeaderWriter } from '../store/leader-writer.ts';
import type { Item } from '../wire/state.ts';
import { WorkerClient } from '../workers/worker-client.ts';
import type { Clock } from '../base/clock.ts';
import { NameIndex } from '../base/name-index.ts';
import { Leader } from '../leader/leader.ts';
import {
  watchJobRecords,
  readStoredState,
  type JobRecordListener,
  type StoredState,
} from '../leader/stored-state.ts';
import { EventLoopLag } from '../base/event-loop-lag.ts';
import type { Logger } from '../base/log.ts';
import { CommandQueue } from '../base/command-queue.ts';
import type { Platform } from './platform.ts';
import { HeartbeatHandler } from './heartbeat-handler.ts';
import { Routes } from './routes.ts';

const TICK_MS = 200;
const PEER_LEASE_TIMEOUT_MS = 700;
const CONNECTIVITY_CHECK_MS = 1000;
/** Pause before a new leader reads the state service again. */
const STATE_RETRY_MS = 200;
/** After all others were of no help they are not asked again for so long: troubles may be everybody's. */
const OTHERS_PAUSE_MS = 1000;
/** How long a node that has lost its workers doesn't stand for leader. */
const NO_CANDIDACY_MS = 30_000;

/** Part of the node's sockets that orders to workers may use; the rest is for those who connect to us. */
const COMMAND_CONNECTION_SHARE = 0.1;

/** How many connections to workers a node with so many sockets may open at once. */
export function commandConnections(sockets: number): number {
  return Math.max(8, Math.floor(sockets * COMMAND_CONNECTION_SHARE));
}

/**
 * One controller, whatever carries its messages: wires the slices together and owns the leadership while it has
 * it. Requests of users and workers and those of other controllers are handed in; clock, timers, random numbers
 * and network come with the platform, so that a simulation runs the very same code.
 */
export class Controller {
  private readonly clock: Clock;
  private readonly lag: EventLoopLag;
  private readonly commands: CommandQueue;
  private readonly store: KeyValueStore;
  private readonly cloud: CloudClient;
  private readonly workers: WorkerClient;
  private readonly userRequests: UserRequests;
  private readonly election: Election;
  private readonly terminalStates: TerminalStateCache;
  private readonly connectivity: Connectivity;
  private readonly reads: SharedReads<StoreResult<Item | null>, Urgency>;
  private readonly polls: PollBatcher;
  private othersFailedAt = -Infinity;
  private askedOthersAt = -Infinity;
  private readonly teams: TeamQuota[];
  private readonly zones: NameIndex;
  private readonly routes: Routes;
  private readonly heartbeats: HeartbeatHandler;
  private readonly heartbeatGraceMs: number;
  private catalog: Catalog | null = null;
  private leader: Leader | null = null;
  private readonly timers: (() => void)[] = [];
  private stopped = false;

  constructor(
    private readonly settings: Settings,
    private readonly options: Options,
    private readonly log: Logger,
    private readonly platform: Platform,
  ) {
    this.clock = platform.clock;
    this.lag = new EventLoopLag(TICK_MS, () => this.clock.now());
    const now = (): number => this.clock.now();
    const { state, cloud, workers, teams, zones } = settings.settings;
    this.commands = new CommandQueue(
      () => this.leader?.afterBatch(),
      (error) => {
        log.error(
          { error: error instanceof Error ? (error.stack ?? error.message) : String(error) },
          'fault',
        );
      },
      (run) => {
        platform.timers.defer(run);
      },
    );
    this.store = new KeyValueStore(
      (connections) => platform.network.connect(settings.endpoints.state, connections),
      { rps: state.rps, nodes: settings.settings.nodes },
      now,
      log,
    );
    const { sockets } = settings.settings.limits;
    this.workers = new WorkerClient(platform.network.shared(commandConnections(sockets)));
    this.cloud = new CloudClient(
      (connections) => platform.network.connect(settings.endpoints.cloud, connections),
      cloud.rps,
      now,
      log,
    );
    this.terminalStates = new TerminalStateCache(options.users.final_cache);
    this.teams = teams.map((t) => ({
      name: t.name,
      cpus: t.cpus,
      gpus: t.gpus,
      cpusMax: t.cpus_max,
      gpusMax: t.gpus_max,
    }));
    this.zones = new NameIndex(zones);
    const times = { cancelS: workers.cancel_s, leaseS: workers.lease_s };
    this.heartbeatGraceMs = heartbeatGraceMs(options.leadership.grace_s, times);
    if (!cancellationCanHold(times)) {
      log.warn(
        times,
        'cancel_s leaves less time than lease_s: tasks on machines that are cut off outlive a cancellation',
      );
    }
    const { peers } = platform;
    const after = (ms: number, run: () => void): void => {
      void this.pause(ms).then(run);
    };
    this.reads = new SharedReads({
      now,
      after,
      read: (key, urgency) => this.store.get(key, urgency),
      moreUrgent,
    });
    this.polls = new PollBatcher({ now, after, send: (jobIds) => this.sendPolls(jobIds) });
    this.userRequests = new UserRequests({
      clock: this.clock,
      options,
      store: {
        get: (key, urgency) => this.reads.get(key, urgency),
        compareAndSwap: (conditions, changes, urgency, timeoutMs) =>
          this.store.compareAndSwap(conditions, changes, urgency, timeoutMs),
      },
      terminalStates: this.terminalStates,
      submissions: submissionBudget(state.write_rps, settings.settings.nodes, now),
      teams: this.teams,
      catalog: () => this.catalog,
      leader: () => this.leader,
      beginLeaderlessWrite: (urgency) => this.election.beginLeaderlessWrite(urgency),
      callLeader: (request, timeoutMs) =>
        request.kind === 'poll' ? this.polls.poll(request.jobId) : this.callLeader(request, timeoutMs),
      callOthers: (request, timeoutMs) => this.callOtherControllers(request, timeoutMs),
    });
    this.connectivity = new Connectivity({
      clock: this.clock,
      storeServedAt: () => this.store.servedAt,
      probeStore: () => this.store.get(KEYS.term, 'background'),
      probePeers: async () =>
        (await callAny(peers, { kind: 'ping' }, PEER_LEASE_TIMEOUT_MS, () => true)) !== null,
    });
    this.election = new Election({
      node: settings.host_name,
      nonce: platform.nonce,
      store: this.store,
      clock: this.clock,
      random: () => platform.random(),
      options: {
        ttlMs: leaseMs(options.leadership.lease_ms, settings.settings.limits.cores),
        renewMs: options.leadership.renew_ms,
      },
      events: {
        acquired: (leadership) => {
          this.commands.enqueue(() => void this.lead(leadership));
        },
        lost: () => {
          this.leader?.stop();
          this.leader = null;
        },
      },
      log,
      pause: (ms) => platform.timers.pause(ms),
      // Only the leases of all other controllers together say anything.
      requestPeerLeases:
        peers.names.length === settings.settings.nodes - 1
          ? async (request) => {
              const asked = peers.names.map((name) =>
                peers.call(name, { kind: 'promise', ...request }, PEER_LEASE_TIMEOUT_MS),
              );
              return (await Promise.all(asked)).map((reply) => reply?.kind === 'promised');
            }
          : null,
      onFault: (error) => {
        log.error(
          { error: error instanceof Error ? (error.stack ?? error.message) : String(error) },
          'background task failed',
        );
      },
    });
    this.heartbeats = new HeartbeatHandler({
      node: settings.host_name,
      settings: settings.settings,
      options,
      log,
      now,
      after,
      leader: () => this.leader,
      knownLeader: () => this.election.leader(),
      msSinceLeaseExpiry: () => this.election.msSinceLeaseExpiry(),
      heartbeatGraceMs: this.heartbeatGraceMs,
      call: (peer, request, timeoutMs) => peers.call(peer, request, timeoutMs),
    });
    const limit = (initial: number, min: number, max: number, slackMs: number): AdaptiveLimit =>
      new AdaptiveLimit(now, { initial, min, max, slackMs, tolerance: 4 });
    const { users_min, users_max, polls_min, polls_max, workers_min, workers_max } = options.http;
    // Each worker has one report in progress, over a socket of its own.
    const most = Math.max(workers_min, Math.min(workers_max, sockets));
    this.routes = new Routes({
      options,
      userRequests: this.userRequests,
      userLimit: limit(64, users_min, users_max, USER_SLACK_MS),
      pollLimit: limit(64, polls_min, polls_max, USER_SLACK_MS),
      workerLimit: limit(most, workers_min, most, WORKER_SLACK_MS),
      enqueue: (command) => {
        this.commands.enqueue(command);
      },
      onHeartbeat: (body, reply) => {
        this.heartbeats.onHeartbeat(body, reply);
      },
      health: () => this.health(),
    });
  }

  start(): void {
    this.election.start();
    void this.readCatalog();
    this.timers.push(
      this.platform.timers.every(TICK_MS, () => {
        this.lag.tick();
        this.commands.enqueue(() => undefined);
      }),
      this.platform.timers.every(CONNECTIVITY_CHECK_MS, () => void this.connectivity.check()),
    );
  }

  /** Ends all work of this node. */
  stop(): void {
    this.stopped = true;
    this.election.stop();
    this.election.stepDown('stopped');
    for (const end of this.timers) end();
    this.store.close();
    this.cloud.close();
    this.workers.close();
  }

  /** A request of a user, a worker or a health check. */
  handle(request: HttpRequest, reply: Reply): void {
    this.routes.route(request, reply);
  }

  /** A request of another controller. */
  onPeerRequest(request: PeerRequest, reply: (reply: PeerReply) => void): void {
    this.commands.enqueue(() => {
      if (request.kind === 'ping') {
        reply({ kind: 'here' });
        return;
      }
      if (request.kind === 'workers') {
        const lately =
          this.heartbeats.directHeartbeatAgeMs() < this.settings.settings.workers.report_s * 1000;
        reply({ kind: lately ? 'here' : 'unable' });
        return;
      }
      if (request.kind === 'polls') {
        reply({ kind: 'answers', answers: this.answerPolls(request.jobIds) });
        return;
      }
      if (request.kind === 'reports') {
        this.heartbeats.onRelayedHeartbeats(request.node, request.reports, reply);
        return;
      }
      if (request.kind !== 'promise') {
        this.userRequests.onPeerRequest(request, reply);
        return;
      }
      void this.election.grantPeerLease(request).then((given) => {
        reply({ kind: given ? 'promised' : 'unable' });
      });
    });
  }

  /** True while another controller is known to lead. */
  following(): boolean {
    return !this.leader && this.election.leader() !== null;
  }

  private pause(ms: number): Promise<void> {
    return this.platform.timers.pause(ms);
  }

  private async readCatalog(): Promise<void> {
    for (let pauseMs = 300; !this.catalog && !this.stopped; pauseMs = Math.min(3000, pauseMs * 2)) {
      // Both are asked at once: a node that starts while the cloud is in trouble must still be able to lead.
      void this.store.get(KEYS.catalog, 'user').then((kept) => {
        if (kept.kind === 'ok' && kept.value) this.catalog ??= readCatalogValue(kept.value.value);
      });
      const types = await this.cloud.catalog();
      if (types) this.catalog ??= new Catalog(types);
      else await this.pause(pauseMs);
    }
  }

  /** Keeps the catalog in the store, if it fits a value there. */
  private keepCatalog(writer: LeaderWriter): void {
    const value = catalogValue(this.catalog!);
    if (JSON.stringify(value).length > this.settings.settings.state.value_kb * 1000) return;
    const mutations = [{ put: KEYS.catalog, value }];
    writer.enqueue({ kind: 'ready', mutations, done: () => undefined }, 'background');
  }

  // ---- leadership ----

  /**
   * A leader that has lost its workers, and only those, must not go on leading: it would call them silent and
   * give their machines back, while they try one controller after the other and are sent to it.
   */
  private async transferLeadership(held: Leadership): Promise<void> {
    if (this.clock.now() - this.askedOthersAt < OTHERS_PAUSE_MS) return;
    this.askedOthersAt = this.clock.now();
    const heard = await callAny(
      this.platform.peers,
      { kind: 'workers' },
      PEER_LEASE_TIMEOUT_MS,
      (r) => r.kind === 'here',
    );
    if (heard && this.isCurrent(held))
      this.election.stepDownFor(NO_CANDIDACY_MS, 'workers reach others only');
  }

  private callLeader(request: PeerRequest, timeoutMs: number): Promise<PeerReply | null> {
    const leader = this.election.leader();
    if (leader === null || leader === this.settings.host_name) return Promise.resolve(null);
    return this.platform.peers.call(leader, request, timeoutMs);
  }

  private async sendPolls(jobIds: string[]): Promise<readonly PollAnswer[] | null> {
    const reply = await this.callLeader({ kind: 'polls', jobIds }, this.options.users.forward_ms);
    return reply?.kind === 'answers' ? reply.answers : null;
  }

  private answerPolls(jobIds: readonly string[]): PollAnswer[] {
    return answerBatch(jobIds, (jobId, reply) => {
      this.userRequests.onPeerRequest({ kind: 'poll', jobId }, (answer) => {
        reply(answer.kind === 'status' || answer.kind === 'unknown' ? answer : { kind: 'unable' });
      });
    });
  }

  private async callOtherControllers(request: PeerRequest, timeoutMs: number): Promise<PeerReply | null> {
    if (this.clock.now() - this.othersFailedAt < OTHERS_PAUSE_MS) return null;
    const reply = await callAny(this.platform.peers, request, timeoutMs, (r) => r.kind !== 'unable');
    if (!reply) this.othersFailedAt = this.clock.now();
    return reply;
  }

  private isCurrent(held: Leadership): boolean {
    return !this.stopped && this.election.current() === held;
  }

  /** Ends this leadership; a word that comes late must not end a newer one of the same node. */
  private endLeadership(held: Leadership, reason: string): void {
    if (this.isCurrent(held)) this.election.stepDown(reason);
  }

  private async lead(held: Leadership): Promise<void> {
    const pause = (ms: number): Promise<void> => this.pause(ms);
    while (!this.catalog && this.isCurrent(held)) await pause(50);
    let fence = await this.store.get(KEYS.fence, 'lease');
    while (fence.kind !== 'ok' && this.isCurrent(held)) {
      await pause(150);
      fence = await this.store.get(KEYS.fence, 'lease');
    }
    if (!this.isCurrent(held) || fence.kind !== 'ok') return;
    const { state } = this.settings.settings;
    const endWrites = new TerminalWrites((id) => leader.isOutcomeUnconfirmed(id));
    const writer = new LeaderWriter({
      host: {
        compareAndSwap: endWrites.tracking((conditions, changes, timeoutMs: number) =>
          this.store.compareAndSwap(conditions, changes, 'lease', timeoutMs),
        ),
        readVersion: async (key) => {
          const read = await this.store.get(key, 'lease');
          return read.kind === 'ok' ? { kind: 'ok', value: read.value?.version ?? 0 } : read;
        },
        lost: (reason) => {
          this.endLeadership(held, reason);
        },
        pause,
      },
      leaderVersion: held.version,
      fenceVersion: fence.value?.version ?? 0,
      limits: { maxMutations: state.txn_ops, maxBytes: 56 * 1024 },
      budget: new RateBudget(state.write_rps * LEADER_WRITES, () => this.clock.now()),
      log: this.log,
    });
    const hasValidLease = (): boolean => this.isCurrent(held) && this.election.hasValidLease();
    const leader: Leader = new Leader({
      host: {
        clock: this.clock,
        log: this.log,
        hasValidLease,
        sendCommands: (machine, commands) => {
          const starts = commands.some((c) => c.op === 'start');
          return this.workers.sendCommands(machine, held.term, commands, starts ? hasValidLease : () => true);
        },
        inspect: (machine) => this.workers.inspect(machine),
        onTerminalState: (id, status) => {
          this.terminalStates.put(id, status);
          endWrites.forget(id);
        },
        outcomeMayBeWritten: (id) => endWrites.mayBeWritten(id),
        isTerminal: (id) => this.terminalStates.get(id) !== undefined,
        enqueue: (command) => {
          this.commands.enqueue(command);
        },
        pause,
        superseded: () => {
          this.endLeadership(held, 'a worker has seen a higher token');
        },
        lagMs: () => this.lag.ms(),
        directHeartbeatAgeMs: () => this.heartbeats.directHeartbeatAgeMs(),
        lostAllWorkers: () => {
          void this.transferLeadership(held);
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
      heartbeatGraceMs: this.heartbeatGraceMs,
    });
    this.leader = leader;
    this.keepCatalog(writer);
    const stored = await this.readState(held);
    if (!stored) return;
    const whileLeading = (step: () => void): void => {
      this.commands.enqueue(() => {
        if (this.leader === leader) step();
      });
    };
    whileLeading(() => {
      leader.recover(stored);
    });
    const listener: JobRecordListener = {
      active: () => this.isCurrent(held),
      changed: (events) => {
        whileLeading(() => {
          leader.onStoreEvents(events);
        });
      },
      listed: (items) => {
        whileLeading(() => {
          leader.onStoreListed(items);
        });
      },
    };
    await watchJobRecords(this.store, stored.revision, listener, pause);
  }

  /** Tries until all is read; null: this leadership is over. */
  private async readState(held: Leadership): Promise<StoredState | null> {
    while (this.isCurrent(held)) {
      const stored = await readStoredState(this.store);
      if (stored) return stored;
      await this.pause(STATE_RETRY_MS);
    }
    return null;
  }

  // ---- requests ----

  /** Ready once jobs can be decided. Troubles that all nodes share don't make a node unhealthy. */
  private health(): Answer {
    if (!this.catalog) return failure(503, 'starting', 1);
    return this.connectivity.isIsolated() ? failure(503, 'cut off', 1) : { status: 200, body: '{}' };
  }
}
