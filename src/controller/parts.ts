/** Factories of the parts of a controller. */
import { CloudClient } from '../fleet/cloud.ts';
import { AdaptiveLimit, USER_SLACK_MS, WORKER_SLACK_MS } from '../http/limit.ts';
import type { Answer } from '../http/server.ts';
import type { TeamQuota } from '../jobs/admission.ts';
import { PollBatcher } from '../jobs/poll-batches.ts';
import { SharedReads } from '../jobs/shared-reads.ts';
import type { TerminalStateCache } from '../jobs/terminal-state-cache.ts';
import { UserRequests } from '../jobs/user-requests.ts';
import type { Leader } from '../leader/leader.ts';
import { Election, type ElectionEvents } from '../leadership/election.ts';
import { cancellationCanHold, heartbeatGraceMs } from '../leadership/heartbeat-grace.ts';
import { leaseMs } from '../leadership/lease.ts';
import { Connectivity } from '../peers/connectivity.ts';
import { submissionBudget } from '../store/budget.ts';
import { moreUrgent, type Urgency } from '../store/call-budget.ts';
import { KeyValueStore, type StoreResult } from '../store/key-value-store.ts';
import { KEYS } from '../store/keys.ts';
import type { Item } from '../wire/state.ts';
import { WorkerClient } from '../workers/worker-client.ts';
import { ClusterCatalog } from './cluster-catalog.ts';
import type { ControllerContext } from './context.ts';
import { HeartbeatHandler } from './heartbeat-handler.ts';
import { PeerCalls } from './peer-calls.ts';
import { Routes, type RequestLimits } from './routes.ts';

/** Share of the controller's sockets that commands to workers may use; the rest is for those who connect to it. */
const COMMAND_CONNECTION_SHARE = 0.1;
const MIN_COMMAND_CONNECTIONS = 8;

/** Bytes of a value in the store for each kilobyte of its setting. */
const BYTES_PER_KB = 1000;

/** Requests of users that may be in progress before their limit has adapted. */
const INITIAL_USER_REQUESTS = 64;
/** Factor over the least round trip up to which a limit grows. */
const LIMIT_TOLERANCE = 4;

/** How many connections to workers a controller with so many sockets may open at once. */
export function commandConnections(sockets: number): number {
  return Math.max(MIN_COMMAND_CONNECTIONS, Math.floor(sockets * COMMAND_CONNECTION_SHARE));
}

/** Reads and writes the state service, within this controller's share of its request rate. */
export function createStore({ settings, platform, now, log }: ControllerContext): KeyValueStore {
  const { state, nodes } = settings.settings;
  return new KeyValueStore(
    (connections) => platform.network.connect(settings.endpoints.state, connections),
    { rps: state.rps, nodes },
    now,
    log,
  );
}

/** Rents machines and lists them, within the request rate of the settings. */
export function createCloudClient({ settings, platform, now, log }: ControllerContext): CloudClient {
  return new CloudClient(
    (connections) => platform.network.connect(settings.endpoints.cloud, connections),
    settings.settings.cloud.rps,
    now,
    log,
  );
}

/** Sends commands to workers, over its share of the sockets. */
export function createWorkerClient({ settings, platform }: ControllerContext): WorkerClient {
  const { sockets } = settings.settings.limits;
  return new WorkerClient(platform.network.shared(commandConnections(sockets)));
}

/** Reads the machine types from the cloud or the store. */
export function createCatalog(
  { settings, pause, signal, onError }: ControllerContext,
  store: KeyValueStore,
  cloud: CloudClient,
): ClusterCatalog {
  const maxValueBytes = settings.settings.state.value_kb * BYTES_PER_KB;
  return new ClusterCatalog({ store, cloud, pause, signal, onError, maxValueBytes });
}

/** Calls the leader and all other controllers. */
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

/** The quotas of the teams, in the service's own terms. */
export function teamQuotas({ settings }: ControllerContext): TeamQuota[] {
  return settings.settings.teams.map((team) => ({
    name: team.name,
    cpus: team.cpus,
    gpus: team.gpus,
    cpusMax: team.cpus_max,
    gpusMax: team.gpus_max,
  }));
}

/**
 * How long heartbeats are still answered after the lease has expired, in milliseconds. Warns if a cancellation can't
 * hold with these settings.
 */
export function heartbeatGrace({ settings, options, log }: ControllerContext): number {
  const { workers } = settings.settings;
  const times = { cancelS: workers.cancel_s, leaseS: workers.lease_s };
  if (!cancellationCanHold(times)) {
    log.warn(
      times,
      'cancel_s leaves less time than lease_s: tasks on unreachable machines outlive a cancellation',
    );
  }
  return heartbeatGraceMs(options.leadership.grace_s, times);
}

/** The election of this controller. Peer leases are used only where they cover all other controllers. */
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
    options: { ttlMs: leaseMs(lease_ms, limits.cores), renewMs: renew_ms },
    events,
    log,
    pause,
    requestPeerLeases: knowsAllPeers ? (request) => peerCalls.requestPeerLeases(request) : null,
    onFault: onError,
  });
}

/** Tells whether this controller is isolated. */
export function createConnectivity(
  { clock }: ControllerContext,
  store: KeyValueStore,
  peerCalls: PeerCalls,
): Connectivity {
  return new Connectivity({
    clock,
    storeServedAt: () => store.servedAt,
    probeStore: () => store.get(KEYS.term, 'background'),
    probePeers: () => peerCalls.pingAny(),
  });
}

/** The parts that users' requests rest on. */
export interface UserRequestParts {
  store: KeyValueStore;
  election: Election;
  peerCalls: PeerCalls;
  terminalStates: TerminalStateCache;
  teams: readonly TeamQuota[];
  catalog: ClusterCatalog;
  /** The leader on this controller, if it leads. */
  leader: () => Leader | null;
}

/** The users' side of the controller. Reads of one record are shared, and polls go to the leader in batches. */
export function createUserRequests(context: ControllerContext, parts: UserRequestParts): UserRequests {
  const { settings, options, clock, now, after } = context;
  const { store, election, peerCalls, terminalStates, teams, catalog, leader } = parts;
  const { state, nodes } = settings.settings;
  const polls = new PollBatcher({
    now,
    after,
    send: (jobIds) => peerCalls.pollLeader(jobIds),
    onError: context.onError,
  });
  const reads = new SharedReads<StoreResult<Item | null>, Urgency>({
    now,
    after,
    read: (key, urgency) => store.get(key, urgency),
    isMoreUrgent: moreUrgent,
  });
  return new UserRequests({
    clock,
    options,
    store: {
      get: (key, urgency) => reads.get(key, urgency),
      compareAndSwap: (conditions, mutations, urgency, timeoutMs) =>
        store.compareAndSwap(conditions, mutations, urgency, timeoutMs),
    },
    terminalStates,
    submissionBudget: submissionBudget(state.write_rps, nodes, now),
    teams,
    catalog: () => catalog.current,
    leader,
    beginLeaderlessWrite: (urgency) => election.beginLeaderlessWrite(urgency),
    callLeader: (request, timeoutMs) =>
      request.kind === 'poll' ? polls.poll(request.jobId) : peerCalls.callLeader(request, timeoutMs),
    callOthers: (request, timeoutMs) => peerCalls.callOthers(request, timeoutMs),
    onError: context.onError,
  });
}

/** The parts that the handling of heartbeats rests on. */
export interface HeartbeatParts {
  election: Election;
  /** The leader on this controller, if it leads. */
  leader: () => Leader | null;
  heartbeatGraceMs: number;
}

/** The workers' side of the controller. */
export function createHeartbeatHandler(
  { settings, options, platform, log, now, after, onError }: ControllerContext,
  { election, leader, heartbeatGraceMs: graceMs }: HeartbeatParts,
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
    knownLeader: () => election.leader(),
    msSinceLeaseExpiry: () => election.msSinceLeaseExpiry(),
    heartbeatGraceMs: graceMs,
    call: (peer, request, timeoutMs) => platform.peers.call(peer, request, timeoutMs),
  });
}

/** The parts that the routes lead to. */
export interface RouteTargets {
  userRequests: UserRequests;
  heartbeats: HeartbeatHandler;
  health: () => Answer;
}

/** The routes of HTTP requests to the parts that answer them. */
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

/** How many requests of each kind may be in progress at once. */
function createRequestLimits({ settings, options, now }: ControllerContext): RequestLimits {
  const { users_min, users_max, polls_min, polls_max, workers_min, workers_max } = options.http;
  // Each worker has one heartbeat in progress, over a socket of its own.
  const maxWorkers = Math.max(workers_min, Math.min(workers_max, settings.settings.limits.sockets));
  const tolerance = LIMIT_TOLERANCE;
  const users = { initial: INITIAL_USER_REQUESTS, slackMs: USER_SLACK_MS, tolerance };
  const workers = { initial: maxWorkers, slackMs: WORKER_SLACK_MS, tolerance };
  return {
    userLimit: new AdaptiveLimit(now, { ...users, min: users_min, max: users_max }),
    pollLimit: new AdaptiveLimit(now, { ...users, min: polls_min, max: polls_max }),
    workerLimit: new AdaptiveLimit(now, { ...workers, min: workers_min, max: maxWorkers }),
  };
}
