/** Factories of the parts of a controller. */
import { CloudClient } from '../fleet/cloud.ts';
import { AdaptiveLimit, USER_SLACK_MS, WORKER_SLACK_MS } from '../http/limit.ts';
import type { HttpResponse } from '../http/server.ts';
import type { TeamQuota } from '../jobs/admission.ts';
import { PollBatcher } from '../jobs/poll-batches.ts';
import { SharedReads } from '../jobs/shared-reads.ts';
import type { TerminalStateCache } from '../jobs/terminal-state-cache.ts';
import { UserRequests } from '../jobs/user-requests.ts';
import type { Leader } from '../leader/leader.ts';
import { Election, type ElectionEvents } from '../leadership/election.ts';
import { canMeetCancellationTime, computeHeartbeatGraceMs } from '../leadership/heartbeat-grace.ts';
import { scaleLeaseTtlMs } from '../leadership/lease.ts';
import { Connectivity } from '../peers/connectivity.ts';
import { createSubmissionBudget } from '../store/budget.ts';
import { isMoreUrgent, type Urgency } from '../store/call-budget.ts';
import { KeyValueStore, type StoreResult } from '../store/key-value-store.ts';
import { KEYS } from '../store/keys.ts';
import type { Item } from '../wire/state.ts';
import { WorkerClient } from '../workers/worker-client.ts';
import { ClusterCatalog } from './cluster-catalog.ts';
import type { ControllerContext } from './context.ts';
import { HeartbeatHandler } from './heartbeat-handler.ts';
import { PeerCalls } from './peer-calls.ts';
import { Routes, type RequestLimits } from './routes.ts';

/** Share of the controller's sockets that commands to workers may use; the rest is for inbound connections. */
const COMMAND_CONNECTION_SHARE = 0.1;
const MIN_COMMAND_CONNECTIONS = 8;

/** Bytes per kilobyte of the setting `value_kb`. */
const BYTES_PER_KB = 1000;

/** Initial limit of user requests in progress, before it adapts. */
const INITIAL_USER_REQUEST_LIMIT = 64;
/** A limit is lowered when a request takes longer than this multiple of the recently fastest one, plus the slack. */
const LIMIT_TOLERANCE_RATIO = 4;

/** The maximum number of open connections to workers for a controller with this many sockets. */
export function maxCommandConnections(sockets: number): number {
  return Math.max(MIN_COMMAND_CONNECTIONS, Math.floor(sockets * COMMAND_CONNECTION_SHARE));
}

/** Creates the client of the store, limited to this controller's share of the service's request rate. */
export function createStore({ settings, platform, now, log }: ControllerContext): KeyValueStore {
  const { state, nodes } = settings.settings;
  return new KeyValueStore(
    (connections) => platform.network.connect(settings.endpoints.state, connections),
    { rps: state.rps, nodes },
    now,
    log,
  );
}

/** Creates the client that rents and lists machines, limited to the request rate of the settings. */
export function createCloudClient({ settings, platform, now, log }: ControllerContext): CloudClient {
  return new CloudClient(
    (connections) => platform.network.connect(settings.endpoints.cloud, connections),
    settings.settings.cloud.rps,
    now,
    log,
  );
}

/** Creates the client that sends commands to workers, limited to its share of the sockets. */
export function createWorkerClient({ settings, platform }: ControllerContext): WorkerClient {
  const { sockets } = settings.settings.limits;
  return new WorkerClient(platform.network.shared(maxCommandConnections(sockets)));
}

/** Creates the catalog, which reads the machine types from the cloud or the store. */
export function createCatalog(
  { settings, pause, signal, onError }: ControllerContext,
  store: KeyValueStore,
  cloud: CloudClient,
): ClusterCatalog {
  const maxValueBytes = settings.settings.state.value_kb * BYTES_PER_KB;
  return new ClusterCatalog({ store, cloud, pause, signal, onError, maxValueBytes });
}

/** Creates the client for calls to the leader and to the other controllers. */
export function createPeerCalls(
  { settings, options, platform, clock }: ControllerContext,
  knownLeader: () => string | null,
): PeerCalls {
  return new PeerCalls({
    node: settings.host_name,
    clock,
    peers: platform.peers,
    knownLeader,
    pollTimeoutMs: options.users.forward_ms,
  });
}

/** Converts the quotas of the teams from the settings to the internal type. */
export function createTeamQuotas({ settings }: ControllerContext): TeamQuota[] {
  return settings.settings.teams.map((team) => ({
    name: team.name,
    cpus: team.cpus,
    gpus: team.gpus,
    cpusMax: team.cpus_max,
    gpusMax: team.gpus_max,
  }));
}

/**
 * How long a leader still answers heartbeats after its lease has expired, in milliseconds. Warns if the settings can't
 * guarantee that all tasks of a cancelled job end within `cancel_s`.
 */
export function resolveHeartbeatGraceMs({ settings, options, log }: ControllerContext): number {
  const { workers } = settings.settings;
  const times = { cancelS: workers.cancel_s, leaseS: workers.lease_s };
  if (!canMeetCancellationTime(times)) {
    log.warn(
      times,
      'cancel_s leaves less time than lease_s: tasks on unreachable machines outlive a cancellation',
    );
  }
  return computeHeartbeatGraceMs(options.leadership.grace_s, times);
}

/** Creates the election. Peer leases are used only if the settings name the addresses of all other controllers. */
export function createElection(
  context: ControllerContext,
  store: KeyValueStore,
  peerCalls: PeerCalls,
  events: ElectionEvents,
): Election {
  const { settings, options, platform, clock, log, pause, onError } = context;
  const { limits, nodes } = settings.settings;
  const { lease_ms, renew_ms } = options.leadership;
  const knowsAllPeers = platform.peers.names.length === nodes - 1;
  return new Election({
    node: settings.host_name,
    nonce: platform.nonce,
    store,
    clock,
    random: () => platform.random(),
    options: { ttlMs: scaleLeaseTtlMs(lease_ms, limits.cores), renewMs: renew_ms },
    events,
    log,
    pause,
    requestPeerLeases: knowsAllPeers ? (request) => peerCalls.requestPeerLeases(request) : null,
    onFault: onError,
  });
}

/** Creates the check whether this controller is isolated. */
export function createConnectivity(
  { clock }: ControllerContext,
  store: KeyValueStore,
  peerCalls: PeerCalls,
): Connectivity {
  return new Connectivity({
    clock,
    storeServedAt: () => store.lastServedAt,
    probeStore: () => store.get(KEYS.term, 'background'),
    probePeers: () => peerCalls.pingAny(),
  });
}

/** The parts that the handling of users' requests depends on. */
export interface UserRequestParts {
  store: KeyValueStore;
  election: Election;
  peerCalls: PeerCalls;
  terminalStates: TerminalStateCache;
  teams: readonly TeamQuota[];
  catalog: ClusterCatalog;
  /** The leader on this controller; null while it doesn't lead. */
  leader: () => Leader | null;
}

/**
 * Creates the handling of users' requests. Concurrent reads of the same record share one request to the store, and
 * polls are sent to the leader in batches.
 */
export function createUserRequests(context: ControllerContext, parts: UserRequestParts): UserRequests {
  const { settings, options, clock, now, after } = context;
  const { store, election, peerCalls, terminalStates, teams, catalog, leader } = parts;
  const { state, nodes } = settings.settings;
  const pollBatcher = new PollBatcher({
    now,
    after,
    send: (jobIds) => peerCalls.pollLeader(jobIds),
    onError: context.onError,
  });
  const sharedReads = new SharedReads<StoreResult<Item | null>, Urgency>({
    now,
    after,
    read: (key, urgency) => store.get(key, urgency),
    isMoreUrgent,
  });
  return new UserRequests({
    clock,
    options,
    store: {
      get: (key, urgency) => sharedReads.get(key, urgency),
      compareAndSwap: (conditions, mutations, urgency, timeoutMs) =>
        store.compareAndSwap(conditions, mutations, urgency, timeoutMs),
    },
    terminalStates,
    submissionBudget: createSubmissionBudget(state.write_rps, nodes, now),
    teams,
    catalog: () => catalog.current,
    leader,
    beginLeaderlessWrite: (urgency) => election.beginLeaderlessWrite(urgency),
    callLeader: (request, timeoutMs) =>
      request.kind === 'poll' ? pollBatcher.poll(request.jobId) : peerCalls.callLeader(request, timeoutMs),
    callOthers: (request, timeoutMs) => peerCalls.callOthers(request, timeoutMs),
    onError: context.onError,
  });
}

/** The parts that the handling of heartbeats depends on. */
export interface HeartbeatParts {
  election: Election;
  /** The leader on this controller; null while it doesn't lead. */
  leader: () => Leader | null;
  heartbeatGraceMs: number;
}

/** Creates the handling of workers' heartbeats. */
export function createHeartbeatHandler(
  { settings, options, platform, log, now, after, onError }: ControllerContext,
  { election, leader, heartbeatGraceMs }: HeartbeatParts,
): HeartbeatHandler {
  return new HeartbeatHandler({
    node: settings.host_name,
    settings: settings.settings,
    options,
    log,
    now,
    after,
    onError,
    leader,
    knownLeader: () => election.leaderName(),
    msSinceLeaseExpiry: () => election.msSinceLeaseExpiry(),
    heartbeatGraceMs,
    call: (peer, request, timeoutMs) => platform.peers.call(peer, request, timeoutMs),
  });
}

/** The parts that HTTP requests are routed to. */
export interface RouteTargets {
  userRequests: UserRequests;
  heartbeats: HeartbeatHandler;
  health: () => HttpResponse;
}

/** Creates the routes from HTTP requests to the parts that answer them. */
export function createRoutes(context: ControllerContext, targets: RouteTargets): Routes {
  const { userRequests, heartbeats, health } = targets;
  return new Routes({
    ...createRequestLimits(context),
    options: context.options,
    userRequests,
    enqueue: context.enqueue,
    onHeartbeat: (body, reply) => {
      heartbeats.onHeartbeat(body, reply);
    },
    health,
  });
}

/** Creates the limits of concurrent requests of each kind. */
function createRequestLimits({ settings, options, now }: ControllerContext): RequestLimits {
  const { users_min, users_max, polls_min, polls_max, workers_min, workers_max } = options.http;
  // Each worker has at most one heartbeat in progress, on a socket of its own.
  const maxWorkers = Math.max(workers_min, Math.min(workers_max, settings.settings.limits.sockets));
  const tolerance = LIMIT_TOLERANCE_RATIO;
  const users = { initial: INITIAL_USER_REQUEST_LIMIT, slackMs: USER_SLACK_MS, tolerance };
  const workers = { initial: maxWorkers, slackMs: WORKER_SLACK_MS, tolerance };
  return {
    userLimit: new AdaptiveLimit(now, { ...users, min: users_min, max: users_max }),
    pollLimit: new AdaptiveLimit(now, { ...users, min: polls_min, max: polls_max }),
    workerLimit: new AdaptiveLimit(now, { ...workers, min: workers_min, max: maxWorkers }),
  };
}
