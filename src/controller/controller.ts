/** One controller of the cluster, whatever carries its messages. */
import type { Clock } from '../base/clock.ts';
import { CommandQueue } from '../base/command-queue.ts';
import { EventLoopLag } from '../base/event-loop-lag.ts';
import type { Logger } from '../base/log.ts';
import { NameIndex } from '../base/name-index.ts';
import type { Options } from '../config/options.ts';
import type { Settings } from '../config/settings.ts';
import type { CloudClient } from '../fleet/cloud.ts';
import { failure, type Answer, type HttpRequest, type Reply } from '../http/server.ts';
import type { TeamQuota } from '../jobs/admission.ts';
import { PollBatcher } from '../jobs/poll-batches.ts';
import { SharedReads } from '../jobs/shared-reads.ts';
import { TerminalStateCache } from '../jobs/terminal-state-cache.ts';
import { UserRequests } from '../jobs/user-requests.ts';
import type { Leader } from '../leader/leader.ts';
import { Election, leaseMs, type Leadership } from '../leadership/election.ts';
import { Connectivity } from '../peers/connectivity.ts';
import type { PeerReply, PeerRequest } from '../peers/messages.ts';
import { submissionBudget } from '../store/budget.ts';
import { KeyValueStore, moreUrgent, type StoreResult, type Urgency } from '../store/key-value-store.ts';
import { KEYS } from '../store/keys.ts';
import type { Item } from '../wire/state.ts';
import type { WorkerClient } from '../workers/worker-client.ts';
import { ClusterCatalog } from './cluster-catalog.ts';
import { errorLogger, type ErrorHandler } from './error-log.ts';
import { HeartbeatHandler } from './heartbeat-handler.ts';
import { LeadershipSession } from './leadership-session.ts';
import { LeadershipTransfer } from './leadership-transfer.ts';
import {
  createCloudClient,
  createRequestLimits,
  createStore,
  createWorkerClient,
  heartbeatGrace,
  teamQuotas,
} from './parts.ts';
import { PeerCalls } from './peer-calls.ts';
import { PeerRequestDispatcher } from './peer-request-dispatcher.ts';
import type { Platform } from './platform.ts';
import { Routes } from './routes.ts';

/** How often the event loop's lag is measured and a batch of commands runs, even an empty one. */
const TICK_MS = 200;
const CONNECTIVITY_CHECK_MS = 1000;
/** Most bytes of a value in the store, for each kilobyte of the setting. */
const BYTES_PER_KB = 1000;

/**
 * Wires the parts of a controller together and owns the leadership while it has it. Requests of users, workers and
 * other controllers are handed in; clock, timers, random numbers and network come with the platform, so that a
 * simulation runs the very same code.
 */
export class Controller {
  private readonly clock: Clock;
  private readonly onError: ErrorHandler;
  /** Ends timers' work, loops and leaderships once the controller is stopped. */
  private readonly stopping = new AbortController();
  private readonly lag: EventLoopLag;
  private readonly commands: CommandQueue;
  private readonly store: KeyValueStore;
  private readonly workers: WorkerClient;
  private readonly cloud: CloudClient;
  private readonly catalog: ClusterCatalog;
  private readonly terminalStates: TerminalStateCache;
  private readonly teams: readonly TeamQuota[];
  private readonly zones: NameIndex;
  private readonly heartbeatGraceMs: number;
  private readonly peerCalls: PeerCalls;
  private readonly userRequests: UserRequests;
  private readonly connectivity: Connectivity;
  private readonly election: Election;
  private readonly transfer: LeadershipTransfer;
  private readonly heartbeats: HeartbeatHandler;
  private readonly peerRequests: PeerRequestDispatcher;
  private readonly routes: Routes;
  /** The leadership of this controller, while it has one. */
  private session: LeadershipSession | null = null;
  private readonly stopTimers: (() => void)[] = [];

  constructor(
    private readonly settings: Settings,
    private readonly options: Options,
    private readonly log: Logger,
    private readonly platform: Platform,
  ) {
    this.clock = platform.clock;
    this.onError = errorLogger(log);
    this.lag = new EventLoopLag(TICK_MS, this.now);
    this.commands = new CommandQueue(
      () => this.leader?.afterBatch(),
      this.onError,
      (run) => {
        platform.timers.defer(run);
      },
    );
    this.store = createStore(settings, platform, log);
    this.workers = createWorkerClient(settings, platform);
    this.cloud = createCloudClient(settings, platform, log);
    this.catalog = this.createCatalog();
    this.terminalStates = new TerminalStateCache(options.users.final_cache);
    this.teams = teamQuotas(settings);
    this.zones = new NameIndex(settings.settings.zones);
    this.heartbeatGraceMs = heartbeatGrace(settings, options, log);
    this.peerCalls = this.createPeerCalls();
    this.userRequests = this.createUserRequests();
    this.connectivity = this.createConnectivity();
    this.election = this.createElection();
    this.transfer = new LeadershipTransfer({
      clock: this.clock,
      peerCalls: this.peerCalls,
      election: this.election,
    });
    this.heartbeats = this.createHeartbeatHandler();
    this.peerRequests = new PeerRequestDispatcher({
      heartbeats: this.heartbeats,
      userRequests: this.userRequests,
      grantPeerLease: (request) => this.election.grantPeerLease(request),
      onError: this.onError,
    });
    this.routes = this.createRoutes();
  }

  /** Begins to stand for leader. */
  start(): void {
    const { timers } = this.platform;
    this.election.start();
    this.catalog.load().catch(this.onError);
    this.stopTimers.push(
      timers.every(TICK_MS, () => {
        this.lag.tick();
        this.commands.enqueue(() => undefined);
      }),
      timers.every(CONNECTIVITY_CHECK_MS, () => {
        this.connectivity.check().catch(this.onError);
      }),
    );
  }

  /** Ends all work of this controller and closes its connections. */
  stop(): void {
    this.stopping.abort();
    this.election.stop();
    this.election.stepDown('stopped');
    for (const stopTimer of this.stopTimers) stopTimer();
    this.store.close();
    this.cloud.close();
    this.workers.close();
  }

  /** Answers a request of a user, a worker or a health check. */
  handle(request: HttpRequest, reply: Reply): void {
    this.routes.route(request, reply);
  }

  /** Answers a request of another controller; `reply` may be called later. */
  onPeerRequest(request: PeerRequest, reply: (reply: PeerReply) => void): void {
    this.commands.enqueue(() => {
      this.peerRequests.dispatch(request, reply);
    });
  }

  /** True while another controller is known to lead. */
  following(): boolean {
    return !this.leader && this.election.leader() !== null;
  }

  private get leader(): Leader | null {
    return this.session?.leader ?? null;
  }

  private readonly now = (): number => this.clock.now();

  private readonly pause = (ms: number): Promise<void> => this.platform.timers.pause(ms);

  private readonly after = (ms: number, run: () => void): void => {
    this.pause(ms).then(run).catch(this.onError);
  };

  private readonly enqueue = (command: () => void): void => {
    this.commands.enqueue(command);
  };

  /** Ready once jobs can be decided on. Troubles that all controllers share don't make one of them unhealthy. */
  private health(): Answer {
    if (!this.catalog.current) return failure(503, 'starting', 1);
    return this.connectivity.isIsolated() ? failure(503, 'cut off', 1) : { status: 200, body: '{}' };
  }

  // ---- leadership ----

  private lead(leadership: Leadership): void {
    this.session = this.createSession(leadership);
    this.session.run().catch(this.onError);
  }

  private onLeadershipLost(): void {
    this.session?.end();
    this.session = null;
  }

  private createSession(leadership: Leadership): LeadershipSession {
    const deps = {
      settings: this.settings,
      options: this.options,
      log: this.log,
      clock: this.clock,
      pause: this.pause,
      store: this.store,
      cloud: this.cloud,
      workers: this.workers,
      election: this.election,
      transfer: this.transfer,
      terminalStates: this.terminalStates,
      catalog: this.catalog,
      teams: this.teams,
      zones: this.zones,
      heartbeatGraceMs: this.heartbeatGraceMs,
      enqueue: this.enqueue,
      lagMs: () => this.lag.ms(),
      directHeartbeatAgeMs: () => this.heartbeats.directHeartbeatAgeMs(),
      onError: this.onError,
      signal: this.stopping.signal,
    };
    return new LeadershipSession(deps, leadership);
  }

  private createElection(): Election {
    const { settings, options, platform, peerCalls } = this;
    const { limits, nodes } = settings.settings;
    // Only peer leases of all other controllers together say anything.
    const knowsAllPeers = platform.peers.names.length === nodes - 1;
    return new Election(
      settings.host_name,
      platform.nonce,
      this.store,
      this.clock,
      () => platform.random(),
      { ttlMs: leaseMs(options.leadership.lease_ms, limits.cores), renewMs: options.leadership.renew_ms },
      {
        acquired: (leadership) => {
          this.enqueue(() => {
            this.lead(leadership);
          });
        },
        lost: () => {
          this.onLeadershipLost();
        },
      },
      this.log,
      this.pause,
      knowsAllPeers ? (request) => peerCalls.requestPeerLeases(request) : null,
    );
  }

  // ---- parts ----

  private createCatalog(): ClusterCatalog {
    return new ClusterCatalog({
      store: this.store,
      cloud: this.cloud,
      pause: this.pause,
      signal: this.stopping.signal,
      onError: this.onError,
      maxValueBytes: this.settings.settings.state.value_kb * BYTES_PER_KB,
    });
  }

  private createPeerCalls(): PeerCalls {
    return new PeerCalls({
      node: this.settings.host_name,
      clock: this.clock,
      peers: this.platform.peers,
      knownLeader: () => this.election.leader(),
      pollTimeoutMs: this.options.users.forward_ms,
    });
  }

  private createUserRequests(): UserRequests {
    const { now, after, store, peerCalls } = this;
    const { state, nodes } = this.settings.settings;
    const polls = new PollBatcher({ now, after, send: (jobIds) => peerCalls.pollLeader(jobIds) });
    const reads = new SharedReads<StoreResult<Item | null>, Urgency>({
      now,
      after,
      read: (key, urgency) => store.get(key, urgency),
      moreUrgent,
    });
    return new UserRequests({
      clock: this.clock,
      options: this.options,
      store: {
        get: (key, urgency) => reads.get(key, urgency),
        compareAndSwap: (conditions, mutations, urgency, timeoutMs) =>
          store.compareAndSwap(conditions, mutations, urgency, timeoutMs),
      },
      terminalStates: this.terminalStates,
      submissions: submissionBudget(state.write_rps, nodes, now),
      teams: this.teams,
      catalog: () => this.catalog.current,
      leader: () => this.leader,
      beginLeaderlessWrite: (urgency) => this.election.beginLeaderlessWrite(urgency),
      callLeader: (request, timeoutMs) =>
        request.kind === 'poll' ? polls.poll(request.jobId) : peerCalls.callLeader(request, timeoutMs),
      callOthers: (request, timeoutMs) => peerCalls.callOthers(request, timeoutMs),
    });
  }

  private createConnectivity(): Connectivity {
    return new Connectivity({
      clock: this.clock,
      storeServedAt: () => this.store.servedAt,
      probeStore: () => this.store.get(KEYS.term, 'background'),
      probePeers: () => this.peerCalls.pingAny(),
    });
  }

  private createHeartbeatHandler(): HeartbeatHandler {
    const { peers } = this.platform;
    return new HeartbeatHandler({
      node: this.settings.host_name,
      settings: this.settings.settings,
      options: this.options,
      log: this.log,
      now: this.now,
      after: this.after,
      leader: () => this.leader,
      knownLeader: () => this.election.leader(),
      msSinceLeaseExpiry: () => this.election.msSinceLeaseExpiry(),
      heartbeatGraceMs: this.heartbeatGraceMs,
      call: (peer, request, timeoutMs) => peers.call(peer, request, timeoutMs),
      onError: this.onError,
    });
  }

  private createRoutes(): Routes {
    return new Routes({
      ...createRequestLimits(this.settings, this.options, this.now),
      options: this.options,
      userRequests: this.userRequests,
      enqueue: this.enqueue,
      onHeartbeat: (body, reply) => {
        this.heartbeats.onHeartbeat(body, reply);
      },
      health: () => this.health(),
    });
  }
}
