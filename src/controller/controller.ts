/** One controller of the cluster, independent of the transport of its messages. */
import { CommandQueue } from '../base/command-queue.ts';
import { EventLoopLag } from '../base/event-loop-lag.ts';
import type { Logger } from '../base/log.ts';
import { NameIndex } from '../base/name-index.ts';
import type { Options } from '../config/options.ts';
import type { Settings } from '../config/settings.ts';
import { errorResponse, type HttpResponse, type HttpRequest, type Reply } from '../http/server.ts';
import { TerminalStateCache } from '../jobs/terminal-state-cache.ts';
import type { Leader } from '../leader/leader.ts';
import type { Election } from '../leadership/election.ts';
import type { Leadership } from '../leadership/leadership-state.ts';
import type { Connectivity } from '../peers/connectivity.ts';
import type { PeerReply, PeerRequest } from '../peers/messages.ts';
import type { ClusterCatalog } from './cluster-catalog.ts';
import type { ControllerContext } from './context.ts';
import { createErrorLogger } from './error-log.ts';
import type { HeartbeatHandler } from './heartbeat-handler.ts';
import { LeadershipSession, type LeadershipParts } from './leadership-session.ts';
import { LeadershipTransfer } from './leadership-transfer.ts';
import {
  createCatalog,
  createCloudClient,
  createConnectivity,
  createElection,
  createHeartbeatHandler,
  createPeerCalls,
  createRoutes,
  createStore,
  createUserRequests,
  createWorkerClient,
  resolveHeartbeatGraceMs,
  createTeamQuotas,
} from './parts.ts';
import { PeerRequestDispatcher } from './peer-request-dispatcher.ts';
import type { Platform } from './platform.ts';
import type { Routes } from './routes.ts';

/** Interval at which the event loop's lag is measured and a batch of commands runs, even if the queue is empty. */
const TICK_INTERVAL_MS = 200;
const CONNECTIVITY_CHECK_INTERVAL_MS = 1000;

/**
 * Wires the parts of a controller together and owns its leadership session. The caller passes in the requests of users,
 * workers and other controllers; the platform provides clock, timers, random numbers and network, so that a simulation
 * runs the same code.
 */
export class Controller {
  private readonly context: ControllerContext;
  /** Aborted by `stop`; ends background loops and the leadership session. */
  private readonly stopping = new AbortController();
  private readonly lag: EventLoopLag;
  private readonly commands: CommandQueue;
  private readonly catalog: ClusterCatalog;
  private readonly connectivity: Connectivity;
  private readonly election: Election;
  private readonly heartbeats: HeartbeatHandler;
  private readonly peerRequests: PeerRequestDispatcher;
  private readonly routes: Routes;
  /** The parts that every leadership session of this controller uses. */
  private readonly leadershipParts: LeadershipParts;
  /** The current leadership session; null while this controller doesn't lead. */
  private session: LeadershipSession | null = null;
  /** Clients of the store, the cloud and the workers; closed with the controller. */
  private readonly clients: { close(): void }[];
  private readonly stopTimers: (() => void)[] = [];

  constructor(settings: Settings, options: Options, log: Logger, platform: Platform) {
    const context = this.createContext(settings, options, log, platform);
    this.context = context;
    this.lag = new EventLoopLag(TICK_INTERVAL_MS, context.now);
    this.commands = new CommandQueue(
      () => this.leader?.afterBatch(),
      context.onError,
      (run) => {
        platform.timers.defer(run);
      },
    );
    const store = createStore(context);
    const workers = createWorkerClient(context);
    const cloud = createCloudClient(context);
    this.clients = [store, cloud, workers];
    this.catalog = createCatalog(context, store, cloud);
    const terminalStates = new TerminalStateCache(options.users.final_cache);
    const teams = createTeamQuotas(context);
    const zones = new NameIndex(settings.settings.zones);
    const heartbeatGraceMs = resolveHeartbeatGraceMs(context);
    const peerCalls = createPeerCalls(context, () => this.election.leaderName());
    const leader = (): Leader | null => this.leader;
    this.connectivity = createConnectivity(context, store, peerCalls);
    this.election = createElection(context, store, peerCalls, {
      acquired: (leadership) => {
        context.enqueue(() => {
          this.startSession(leadership);
        });
      },
      lost: () => {
        this.onLeadershipLost();
      },
    });
    const { election, catalog } = this;
    const userRequests = createUserRequests(context, {
      store,
      election,
      peerCalls,
      terminalStates,
      teams,
      catalog,
      leader,
    });
    this.heartbeats = createHeartbeatHandler(context, { election, leader, heartbeatGraceMs });
    this.peerRequests = new PeerRequestDispatcher({
      heartbeats: this.heartbeats,
      userRequests,
      grantPeerLease: (request) => election.grantPeerLease(request),
      onError: context.onError,
    });
    this.routes = createRoutes(context, {
      userRequests,
      heartbeats: this.heartbeats,
      health: () => this.checkHealth(),
    });
    this.leadershipParts = {
      store,
      cloud,
      workers,
      election,
      transfer: new LeadershipTransfer({ clock: context.clock, peerCalls, election }),
      terminalStates,
      catalog,
      teams,
      zones,
      heartbeatGraceMs,
      lagMs: () => this.lag.currentMs(),
      directHeartbeatAgeMs: () => this.heartbeats.directHeartbeatAgeMs(),
    };
  }

  /** Starts to take part in leader elections, to load the catalog and to check connectivity. */
  start(): void {
    const { platform, onError } = this.context;
    this.election.start();
    this.catalog.load().catch(onError);
    this.stopTimers.push(
      platform.timers.every(TICK_INTERVAL_MS, () => {
        this.lag.recordTick();
        this.commands.enqueue(() => undefined);
      }),
      platform.timers.every(CONNECTIVITY_CHECK_INTERVAL_MS, () => {
        this.connectivity.check().catch(onError);
      }),
    );
  }

  /** Ends all work of this controller and closes its connections. */
  stop(): void {
    this.stopping.abort();
    this.election.stop();
    this.election.stepDown('stopped');
    for (const stopTimer of this.stopTimers) stopTimer();
    for (const client of this.clients) client.close();
  }

  /** Answers an HTTP request of a user, a worker or a health check. */
  handle(request: HttpRequest, reply: Reply): void {
    this.routes.route(request, reply);
  }

  /** Answers a request of another controller; `reply` may be called asynchronously. */
  onPeerRequest(request: PeerRequest, reply: (reply: PeerReply) => void): void {
    this.commands.enqueue(() => {
      this.peerRequests.dispatch(request, reply);
    });
  }

  /** True while this controller doesn't lead and knows another one that does. */
  isFollowing(): boolean {
    return !this.leader && this.election.leaderName() !== null;
  }

  private get leader(): Leader | null {
    return this.session?.leader ?? null;
  }

  private createContext(
    settings: Settings,
    options: Options,
    log: Logger,
    platform: Platform,
  ): ControllerContext {
    const { clock, timers } = platform;
    const onError = createErrorLogger(log);
    const pause = (ms: number): Promise<void> => timers.pause(ms);
    return {
      settings,
      options,
      log,
      platform,
      clock,
      now: () => clock.now(),
      pause,
      after: (ms, run) => {
        pause(ms).then(run).catch(onError);
      },
      enqueue: (command) => {
        this.commands.enqueue(command);
      },
      onError,
      signal: this.stopping.signal,
    };
  }

  private startSession(leadership: Leadership): void {
    this.session = new LeadershipSession(this.context, this.leadershipParts, leadership);
    this.session.run().catch(this.context.onError);
  }

  private onLeadershipLost(): void {
    this.session?.end();
    this.session = null;
  }

  /**
   * Healthy while this controller isn't isolated and the catalog is loaded, without which jobs can't be admitted. An
   * outage that affects all controllers doesn't make this one unhealthy.
   */
  private checkHealth(): HttpResponse {
    if (!this.catalog.current) return errorResponse(503, 'starting', 1);
    return this.connectivity.isIsolated() ? errorResponse(503, 'cut off', 1) : { status: 200, body: '{}' };
  }
}
