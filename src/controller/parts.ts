/** Factories of the parts of a controller that depend on settings, options and platform alone. */
import type { Logger } from '../base/log.ts';
import type { Options } from '../config/options.ts';
import type { Settings } from '../config/settings.ts';
import { CloudClient } from '../fleet/cloud.ts';
import { AdaptiveLimit, USER_SLACK_MS, WORKER_SLACK_MS } from '../http/limit.ts';
import type { TeamQuota } from '../jobs/admission.ts';
import { cancellationCanHold, heartbeatGraceMs } from '../leadership/heartbeat-grace.ts';
import { KeyValueStore } from '../store/key-value-store.ts';
import { WorkerClient } from '../workers/worker-client.ts';
import type { Platform } from './platform.ts';

/** Share of the controller's sockets that commands to workers may use; the rest is for those who connect to it. */
const COMMAND_CONNECTION_SHARE = 0.1;
const MIN_COMMAND_CONNECTIONS = 8;

/** Requests of users that may be in progress before their limit has adapted. */
const INITIAL_USER_REQUESTS = 64;
/** Factor over the least round trip up to which a limit grows. */
const LIMIT_TOLERANCE = 4;

/** How many connections to workers a controller with so many sockets may open at once. */
export function commandConnections(sockets: number): number {
  return Math.max(MIN_COMMAND_CONNECTIONS, Math.floor(sockets * COMMAND_CONNECTION_SHARE));
}

/** The client of the state service. */
export function createStore(settings: Settings, platform: Platform, log: Logger): KeyValueStore {
  const { state, nodes } = settings.settings;
  return new KeyValueStore(
    (connections) => platform.network.connect(settings.endpoints.state, connections),
    { rps: state.rps, nodes },
    () => platform.clock.now(),
    log,
  );
}

/** The client of the cloud. */
export function createCloudClient(settings: Settings, platform: Platform, log: Logger): CloudClient {
  return new CloudClient(
    (connections) => platform.network.connect(settings.endpoints.cloud, connections),
    settings.settings.cloud.rps,
    () => platform.clock.now(),
    log,
  );
}

/** The client that sends commands to workers. */
export function createWorkerClient(settings: Settings, platform: Platform): WorkerClient {
  const { sockets } = settings.settings.limits;
  return new WorkerClient(platform.network.shared(commandConnections(sockets)));
}

/** The quotas of the teams, in the service's own terms. */
export function teamQuotas(settings: Settings): TeamQuota[] {
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
export function heartbeatGrace(settings: Settings, options: Options, log: Logger): number {
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

/** How many requests of each kind may be in progress at once. */
export interface RequestLimits {
  /** Submissions and cancellations. */
  userLimit: AdaptiveLimit;
  /** Polls that wait for the leader or the state service. */
  pollLimit: AdaptiveLimit;
  /** Heartbeats. */
  workerLimit: AdaptiveLimit;
}

/** The limits of requests in progress. */
export function createRequestLimits(settings: Settings, options: Options, now: () => number): RequestLimits {
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
