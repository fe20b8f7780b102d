/** Answers the heartbeats of workers on any controller. */
import { CountedLog, type Logger } from '../base/log.ts';
import type { Options } from '../config/options.ts';
import type { Settings } from '../config/settings.ts';
import { failure, type Answer, type Reply } from '../http/server.ts';
import type { Leader } from '../leader/leader.ts';
import type { HeartbeatResponse, PeerReply, PeerRequest } from '../peers/messages.ts';
import { HeartbeatRelay, type RelayReply } from '../relay/heartbeat-relay.ts';
import { WorkerBalancer, workerCapacity } from '../relay/worker-balancer.ts';
import { encodeHeartbeatResponse, encodeRedirect, HeartbeatDecoder } from '../wire/worker.ts';

/** Heartbeat intervals after which the text of a machine's last heartbeat is dropped. */
const DECODED_KEPT_INTERVALS = 6;
/** Least time between two log lines about malformed heartbeats; those between are counted. */
const MALFORMED_LOG_MS = 1000;
/** With one more response of at most 64 KiB a reply still fits a frame between controllers. */
const MAX_RESPONSE_BYTES = 56 * 1024;
/** Bytes of a response in a frame beside its body, at most. */
const RESPONSE_OVERHEAD_BYTES = 8;
/** Heartbeat intervals that a new leader takes to learn of its machines. */
const SETTLING_INTERVALS = 3;

/** What the handler needs of the leader on its controller. */
export type HeartbeatLeader = Pick<Leader, 'term' | 'machineCount' | 'onHeartbeat'>;

/** What the handler needs of the controller it runs on. */
export interface HeartbeatHandlerDeps {
  /** The name of this controller. */
  node: string;
  settings: Settings['settings'];
  options: Options;
  log: Logger;
  /** Steady milliseconds. */
  now: () => number;
  after: (ms: number, run: () => void) => void;
  /** The leadership of this controller, if it leads. */
  leader: () => HeartbeatLeader | null;
  /** The controller that leads, as far as is known here. */
  knownLeader: () => string | null;
  /** Milliseconds since the lease was last valid; 0 while it is. */
  msSinceLeaseExpiry: () => number;
  /** How long heartbeats are still answered after the lease has expired, in milliseconds. */
  heartbeatGraceMs: number;
  /** Calls another controller; null without a reply in time. */
  call: (peer: string, request: PeerRequest, timeoutMs: number) => Promise<PeerReply | null>;
  /** Handles an error of work that nobody waits for. */
  onError: (error: unknown) => void;
}

/** The leader decides on heartbeats; a follower relays them, or redirects the workers to the leader. */
export class HeartbeatHandler {
  private readonly decoder: HeartbeatDecoder;
  private readonly malformed: CountedLog;
  private readonly relay: HeartbeatRelay;
  private readonly balancer: WorkerBalancer;
  private readonly heartbeatIntervalMs: number;
  /** Workers that a leader can serve alone. */
  private readonly capacity: number;
  private warnedFor: HeartbeatLeader | null = null;
  private lastDirectHeartbeatAt = -Infinity;
  private settling: { leader: HeartbeatLeader; until: number } | null = null;

  constructor(private readonly deps: HeartbeatHandlerDeps) {
    const { settings, options, now } = deps;
    const { workers, limits } = settings;
    this.heartbeatIntervalMs = workers.report_s * 1000;
    this.decoder = new HeartbeatDecoder(now, this.heartbeatIntervalMs * DECODED_KEPT_INTERVALS);
    this.malformed = new CountedLog(now, MALFORMED_LOG_MS);
    this.relay = new HeartbeatRelay({
      now,
      after: deps.after,
      leader: deps.knownLeader,
      send: (leader, heartbeats, timeoutMs) => this.relayToLeader(leader, heartbeats, timeoutMs),
      onError: deps.onError,
      relayForMs: workers.lease_s * 1000,
    });
    this.capacity = workerCapacity({
      heartbeatsPerCoreS: options.workers.reports_per_core_s,
      cores: limits.cores,
      heartbeatIntervalS: workers.report_s,
    });
    this.balancer = new WorkerBalancer(now, this.capacity, this.heartbeatIntervalMs);
  }

  /** Milliseconds since a worker last sent a heartbeat to this controller itself. */
  directHeartbeatAgeMs(): number {
    return this.deps.now() - this.lastDirectHeartbeatAt;
  }

  /** True if a worker has sent a heartbeat to this controller itself within one interval. */
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
    const machines = leader.machineCount ?? 0;
    this.warnIfFleetExceedsCapacity(leader, machines);
    const target = this.balancer.redirectTarget(machines);
    reply(target === null ? this.answer(leader, body) : redirect(target));
  }

  /** Answers heartbeats that a follower relays, in their order. */
  onRelayedHeartbeats(follower: string, bodies: readonly string[], reply: (reply: PeerReply) => void): void {
    const leader = this.deps.leader();
    const machines = leader?.machineCount ?? null;
    // Until the state is recovered nothing is known, not even whether followers are to relay more.
    if (!leader || machines === null) {
      reply({ kind: 'unavailable' });
      return;
    }
    this.balancer.noteRelayed(follower, bodies.length);
    const responses = this.answerAll(leader, bodies);
    const continueWhileSettling = bodies.length > 0 && this.isSettling(leader);
    const relay = this.balancer.shouldRelay(machines) || continueWhileSettling;
    reply({ kind: 'heartbeatResponses', relay, responses });
  }

  /** Warns once per leadership if the fleet is larger than all controllers together can serve. */
  private warnIfFleetExceedsCapacity(leader: HeartbeatLeader, machines: number): void {
    const capacity = this.capacity * this.deps.settings.nodes;
    if (this.warnedFor === leader || machines <= capacity) return;
    this.warnedFor = leader;
    this.deps.log.warn({ machines, capacity }, 'more machines than the controllers have capacity for');
  }

  /**
   * A new leader learns of its machines one by one. Followers that relay heartbeats go on with it meanwhile, or all
   * their workers would turn to the leader at once.
   */
  private isSettling(leader: HeartbeatLeader): boolean {
    const now = this.deps.now();
    if (this.settling?.leader !== leader) {
      this.settling = { leader, until: now + this.heartbeatIntervalMs * SETTLING_INTERVALS };
    }
    return now < this.settling.until;
  }

  /** Doesn't decode the heartbeat: between two leaders all workers call every controller each second. */
  private relayOrRedirect(body: string, reply: Reply): void {
    if (this.relay.take(body, reply)) return;
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

  /** The responses to a batch, as many as surely fit a frame; the other heartbeats are refused undecoded. */
  private answerAll(leader: HeartbeatLeader, bodies: readonly string[]): HeartbeatResponse[] {
    let bytes = 0;
    return bodies.map((heartbeat) => {
      if (bytes > MAX_RESPONSE_BYTES) return { status: 503, body: '{}' };
      const { status, body } = this.answer(leader, heartbeat);
      bytes += Buffer.byteLength(body) + RESPONSE_OVERHEAD_BYTES;
      return { status, body };
    });
  }

  /** The leader's answer to a heartbeat, which holds for this moment only. */
  private answer(leader: HeartbeatLeader, heartbeat: string): Answer {
    const decoded = this.decoder.decode(heartbeat);
    if (!decoded.ok) {
      this.logMalformed(decoded.reason);
      return failure(400, decoded.reason);
    }
    // After the lease has expired, tasks are kept alive for a bounded time; nothing new starts.
    if (this.deps.msSinceLeaseExpiry() > this.deps.heartbeatGraceMs) return redirect(null);
    const commands = leader.onHeartbeat(decoded.value);
    if (commands === null) return redirect(null);
    return { status: 200, body: encodeHeartbeatResponse(leader.term, commands) };
  }

  private logMalformed(reason: string): void {
    this.malformed.note((unlogged) => {
      this.deps.log.error({ reason, unlogged }, 'malformed heartbeat');
    });
  }
}

/** Sends a worker to another controller, or with null to any that it knows. */
function redirect(controller: string | null): Answer {
  return { status: 421, body: encodeRedirect(controller) };
}
