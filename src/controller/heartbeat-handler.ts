/** Answers the heartbeats of workers, on the leader and on followers. */
import { RateLimitedLog, type Logger } from '../base/log.ts';
import type { Options } from '../config/options.ts';
import type { Settings } from '../config/settings.ts';
import { errorResponse, type HttpResponse, type Reply } from '../http/server.ts';
import type { Leader } from '../leader/leader.ts';
import type { HeartbeatResponse, PeerReply, PeerRequest } from '../peers/messages.ts';
import { HeartbeatRelay, type RelayReply } from '../relay/heartbeat-relay.ts';
import { WorkerBalancer, workerCapacity } from '../relay/worker-balancer.ts';
import { encodeHeartbeatResponse, encodeRedirect, HeartbeatDecoder } from '../wire/worker.ts';

/** Heartbeat intervals without a heartbeat of a machine after which the decoder's cache drops its last one. */
const DECODER_CACHE_INTERVALS = 6;
/** Minimum time between two log lines about malformed heartbeats; those in between are only counted. */
const MIN_MALFORMED_LOG_GAP_MS = 1000;
/**
 * Once the responses of a batch exceed this size, the remaining heartbeats are refused. The last response may add up to
 * 64 KiB to it, and the reply still fits a frame between controllers.
 */
const MAX_RESPONSES_BYTES = 56 * 1024;
/** Maximum bytes that a response takes in a frame in addition to its body. */
const MAX_RESPONSE_OVERHEAD_BYTES = 8;
/** Heartbeat intervals that a new leader is given to receive the first heartbeats of its machines. */
const MACHINE_DISCOVERY_INTERVALS = 3;

/** The members of the leader that the handler uses. */
export type HeartbeatLeader = Pick<Leader, 'machineCount' | 'onHeartbeat'>;

/** The dependencies of the handler on its controller. */
export interface HeartbeatHandlerDeps {
  /** The name of this controller. */
  node: string;
  settings: Settings['settings'];
  options: Options;
  log: Logger;
  /** Steady milliseconds. */
  now: () => number;
  after: (ms: number, run: () => void) => void;
  /** The leader on this controller; null while it doesn't lead. */
  leader: () => HeartbeatLeader | null;
  /** The name of the leading controller, as far as this controller knows; null: unknown or none. */
  knownLeader: () => string | null;
  /** Milliseconds since the lease expired; 0 while it is valid. */
  msSinceLeaseExpiry: () => number;
  /** How long a leader still answers heartbeats after its lease has expired, in milliseconds. */
  heartbeatGraceMs: number;
  /** Calls another controller; null: no reply within the timeout. */
  call: (peer: string, request: PeerRequest, timeoutMs: number) => Promise<PeerReply | null>;
  /** Handles an error of background work that no caller awaits. */
  onError: (error: unknown) => void;
}

/** On the leader, answers heartbeats with commands; on a follower, relays them or redirects workers to the leader. */
export class HeartbeatHandler {
  private readonly decoder: HeartbeatDecoder;
  private readonly malformedLog: RateLimitedLog;
  private readonly relay: HeartbeatRelay;
  private readonly balancer: WorkerBalancer;
  private readonly heartbeatIntervalMs: number;
  /** How many workers a leader can serve alone. */
  private readonly capacity: number;
  /** The leader that the capacity warning has been logged for. */
  private capacityWarnedLeader: HeartbeatLeader | null = null;
  private lastDirectHeartbeatAt = -Infinity;
  private machineDiscovery: { leader: HeartbeatLeader; until: number } | null = null;

  constructor(private readonly deps: HeartbeatHandlerDeps) {
    const { settings, options, now } = deps;
    const { workers, limits } = settings;
    this.heartbeatIntervalMs = workers.report_s * 1000;
    this.decoder = new HeartbeatDecoder(now, this.heartbeatIntervalMs * DECODER_CACHE_INTERVALS);
    this.malformedLog = new RateLimitedLog(now, MIN_MALFORMED_LOG_GAP_MS);
    this.relay = new HeartbeatRelay({
      now,
      after: deps.after,
      leader: deps.knownLeader,
      send: (leader, heartbeats, timeoutMs) => this.relayToLeader(leader, heartbeats, timeoutMs),
      onError: deps.onError,
      relayDurationMs: workers.lease_s * 1000,
    });
    this.capacity = workerCapacity({
      heartbeatsPerCoreS: options.workers.reports_per_core_s,
      cores: limits.cores,
      heartbeatIntervalS: workers.report_s,
    });
    this.balancer = new WorkerBalancer(now, this.capacity, this.heartbeatIntervalMs);
  }

  /** Milliseconds since this controller last received a heartbeat directly from a worker, not relayed. */
  directHeartbeatAgeMs(): number {
    return this.deps.now() - this.lastDirectHeartbeatAt;
  }

  /** True if this controller has received a heartbeat directly from a worker within one heartbeat interval. */
  hasWorkerContact(): boolean {
    return this.directHeartbeatAgeMs() < this.heartbeatIntervalMs;
  }

  /** Answers a heartbeat of a worker that is connected to this controller. */
  onHeartbeat(body: string, reply: Reply): void {
    this.lastDirectHeartbeatAt = this.deps.now();
    const leader = this.deps.leader();
    if (!leader) {
      this.relayOrRedirect(body, reply);
      return;
    }
    const machineCount = leader.machineCount ?? 0;
    this.warnIfFleetExceedsCapacity(leader, machineCount);
    const target = this.balancer.pickRedirectTarget(machineCount);
    reply(target === null ? this.answer(leader, body) : redirect(target));
  }

  /** Answers heartbeats that a follower relays; the responses have the order of the heartbeats. */
  onRelayedHeartbeats(follower: string, bodies: readonly string[], reply: (reply: PeerReply) => void): void {
    const leader = this.deps.leader();
    const machineCount = leader?.machineCount ?? null;
    // Until the leader has recovered its state it can't answer, nor decide whether followers should go on relaying.
    if (!leader || machineCount === null) {
      reply({ kind: 'unavailable' });
      return;
    }
    this.balancer.recordRelayed(follower, bodies.length);
    const responses = this.answerAll(leader, bodies);
    const continueDuringDiscovery = bodies.length > 0 && this.isDiscoveringMachines(leader);
    const relay = this.balancer.shouldRelay(machineCount) || continueDuringDiscovery;
    reply({ kind: 'heartbeatResponses', relay, responses });
  }

  /** Warns once per leadership if the fleet is larger than the capacity of all controllers together. */
  private warnIfFleetExceedsCapacity(leader: HeartbeatLeader, machines: number): void {
    const capacity = this.capacity * this.deps.settings.nodes;
    if (this.capacityWarnedLeader === leader || machines <= capacity) return;
    this.capacityWarnedLeader = leader;
    this.deps.log.warn({ machines, capacity }, 'more machines than the controllers have capacity for');
  }

  /**
   * True while a new leader still discovers its machines, one heartbeat at a time. Until then its machine count is too
   * low, so it asks followers that relay heartbeats to continue: otherwise all of their workers would be redirected to
   * the leader at once.
   */
  private isDiscoveringMachines(leader: HeartbeatLeader): boolean {
    const now = this.deps.now();
    if (this.machineDiscovery?.leader !== leader) {
      this.machineDiscovery = { leader, until: now + this.heartbeatIntervalMs * MACHINE_DISCOVERY_INTERVALS };
    }
    return now < this.machineDiscovery.until;
  }

  /** Doesn't decode the heartbeat: while there is no leader, all workers call every controller each second. */
  private relayOrRedirect(body: string, reply: Reply): void {
    if (this.relay.tryRelay(body, reply)) return;
    const leader = this.deps.knownLeader();
    reply(redirect(leader === this.deps.node ? null : leader));
  }

  private async relayToLeader(
    leader: string,
    heartbeats: string[],
    timeoutMs: number,
  ): Promise<RelayReply | null> {
    const { node } = this.deps;
    if (leader === node) return null;
    const reply = await this.deps.call(leader, { kind: 'heartbeats', node, heartbeats }, timeoutMs);
    if (reply?.kind !== 'heartbeatResponses') return null;
    return reply.responses.length === heartbeats.length ? reply : null;
  }

  /** The responses to a batch. Heartbeats whose responses might not fit the frame are refused without decoding. */
  private answerAll(leader: HeartbeatLeader, bodies: readonly string[]): HeartbeatResponse[] {
    let bytes = 0;
    return bodies.map((heartbeat) => {
      if (bytes > MAX_RESPONSES_BYTES) return { status: 503, body: '{}' };
      const { status, body } = this.answer(leader, heartbeat);
      bytes += Buffer.byteLength(body) + MAX_RESPONSE_OVERHEAD_BYTES;
      return { status, body };
    });
  }

  /** The leader's answer to a heartbeat; valid only at the time of the call, so it must not be kept. */
  private answer(leader: HeartbeatLeader, heartbeat: string): HttpResponse {
    const decoded = this.decoder.decode(heartbeat);
    if (!decoded.ok) {
      this.logMalformed(decoded.reason);
      return errorResponse(400, decoded.reason);
    }
    // During the grace after the lease has expired, answers keep running tasks alive without starting new ones.
    // After the grace, workers are redirected.
    if (this.deps.msSinceLeaseExpiry() > this.deps.heartbeatGraceMs) return redirect(null);
    const answer = leader.onHeartbeat(decoded.value);
    if (answer === null) return redirect(null);
    return { status: 200, body: encodeHeartbeatResponse(answer.fencingToken, answer.commands) };
  }

  private logMalformed(reason: string): void {
    this.malformedLog.logOrCount((unlogged) => {
      this.deps.log.error({ reason, unlogged }, 'malformed heartbeat');
    });
  }
}

/** Redirects a worker to a controller; null: to any controller that the worker knows. */
function redirect(controller: string | null): HttpResponse {
  return { status: 421, body: encodeRedirect(controller) };
}
