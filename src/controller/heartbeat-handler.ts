import type { Options } from '../config/options.ts';
import type { Settings } from '../config/settings.ts';
import { CountedLog, type Logger } from '../base/log.ts';
import { failure, type Answer, type Reply } from '../http/server.ts';
import type { Leader } from '../leader/leader.ts';
import type { HeartbeatResponse, PeerReply, PeerRequest } from '../peers/messages.ts';
import { HeartbeatRelay, type RelayReply } from '../relay/heartbeat-relay.ts';
import { WorkerBalancer, workerCapacity } from '../relay/worker-balancer.ts';
import { encodeHeartbeatResponse, encodeRedirect, HeartbeatDecoder } from '../wire/worker.ts';

/** Report intervals after which the text of a machine's last report is dropped. */
const HEARTBEATS_KEPT = 6;
/** Least time between two log lines about malformed reports; the lines between are counted. */
const MALFORMED_LOG_MS = 1000;
/** With one more answer of at most 64 KiB a reply still fits a frame between controllers. */
const ANSWER_BYTES = 56 * 1024;
/** Bytes of an answer in a frame beside its body, at most. */
const FRAME_OVERHEAD = 8;
/** Report intervals in which a new leader hears of its machines. */
const SETTLING_HEARTBEATS = 3;

export interface HeartbeatHandlerDeps {
  node: string;
  settings: Settings['settings'];
  options: Options;
  log: Logger;
  now(): number;
  after(ms: number, run: () => void): void;
  /** The leadership of this controller, if it leads. */
  leader(): Leader | null;
  /** Who leads, as far as is known here. */
  knownLeader(): string | null;
  /** Milliseconds since the lease was last sure. */
  msSinceLeaseExpiry(): number;
  heartbeatGraceMs: number;
  call(peer: string, request: PeerRequest, timeoutMs: number): Promise<PeerReply | null>;
}

/** Workers' reports on any controller: the leader judges them, a follower hands them on or sends workers to it. */
export class HeartbeatHandler {
  private readonly decoder: HeartbeatDecoder;
  private readonly malformed: CountedLog;
  private readonly relay: HeartbeatRelay;
  private readonly balancer: WorkerBalancer;
  /** Workers that a leader can serve alone. */
  private readonly capacity: number;
  private warnedFor: Leader | null = null;
  private lastDirectHeartbeatAt = -Infinity;
  private settling: { leader: Leader; untilMs: number } | null = null;

  constructor(private readonly deps: HeartbeatHandlerDeps) {
    const { settings, options, now } = deps;
    const { workers, limits } = settings;
    this.decoder = new HeartbeatDecoder(now, workers.report_s * 1000 * HEARTBEATS_KEPT);
    this.malformed = new CountedLog(now, MALFORMED_LOG_MS);
    this.relay = new HeartbeatRelay({
      now,
      after: deps.after,
      leader: deps.knownLeader,
      send: (leader, reports, timeoutMs) => this.relayToLeader(leader, reports, timeoutMs),
      keepMs: workers.lease_s * 1000,
    });
    this.capacity = workerCapacity({
      reportsPerCoreS: options.workers.reports_per_core_s,
      cores: limits.cores,
      reportS: workers.report_s,
    });
    this.balancer = new WorkerBalancer(now, this.capacity, workers.report_s * 1000);
  }

  /** Tells once per leadership that the fleet is larger than the limits of all controllers together carry. */
  private noteFleetSize(leader: Leader, machines: number): void {
    const most = this.capacity * this.deps.settings.nodes;
    if (this.warnedFor === leader || machines <= most) return;
    this.warnedFor = leader;
    this.deps.log.warn({ machines, carried: most }, 'more machines than the processor shares carry');
  }

  /** Milliseconds since a worker last reported to this controller itself. */
  directHeartbeatAgeMs(): number {
    return this.deps.now() - this.lastDirectHeartbeatAt;
  }

  /** A report of a worker that is connected to this controller. */
  onHeartbeat(body: string, reply: Reply): void {
    this.lastDirectHeartbeatAt = this.deps.now();
    const leader = this.deps.leader();
    if (!leader) {
      this.onFollower(body, reply);
      return;
    }
    const machines = leader.machineCount ?? 0;
    this.noteFleetSize(leader, machines);
    const other = this.balancer.referTo(machines);
    reply(other === null ? this.answer(leader, body) : { status: 421, body: encodeRedirect(other) });
  }

  /** Reports that a follower hands on; answered in their order. */
  onRelayedHeartbeats(follower: string, bodies: readonly string[], reply: (reply: PeerReply) => void): void {
    const leader = this.deps.leader();
    const machines = leader?.machineCount ?? null;
    // Until the state is read nothing is known, not even whether followers are to go on.
    if (!leader || machines === null) {
      reply({ kind: 'unavailable' });
      return;
    }
    this.balancer.noteRelayed(follower, bodies.length);
    const judged = this.answerAll(leader, bodies);
    const goOn = bodies.length > 0 && this.isSettling(leader);
    reply({ kind: 'heartbeatResponses', relay: this.balancer.relay(machines) || goOn, responses: judged });
  }

  /**
   * A new leader hears of its machines one by one. Followers that hand reports on go on with it meanwhile, or all their
   * workers would turn to the leader at once.
   */
  private isSettling(leader: Leader): boolean {
    const now = this.deps.now();
    if (this.settling?.leader !== leader) {
      const untilMs = now + this.deps.settings.workers.report_s * 1000 * SETTLING_HEARTBEATS;
      this.settling = { leader, untilMs };
    }
    return now < this.settling.untilMs;
  }

  /** Without a look at the report: between two leaders all workers ask every controller each second. */
  private onFollower(body: string, reply: Reply): void {
    const { node } = this.deps;
    if (this.relay.take(body, reply)) return;
    const known = this.deps.knownLeader();
    reply({ status: 421, body: encodeRedirect(known === node ? null : known) });
  }

  private async relayToLeader(
    leader: string,
    reports: string[],
    timeoutMs: number,
  ): Promise<RelayReply | null> {
    if (leader === this.deps.node) return null;
    const request: PeerRequest = { kind: 'heartbeats', node: this.deps.node, heartbeats: reports };
    const answer = await this.deps.call(leader, request, timeoutMs);
    return answer?.kind === 'heartbeatResponses' && answer.responses.length === reports.length
      ? answer
      : null;
  }

  /** Answers of a batch, as many as surely fit a frame; the others are refused without being judged. */
  private answerAll(leader: Leader, bodies: readonly string[]): HeartbeatResponse[] {
    let bytes = 0;
    return bodies.map((body) => {
      if (bytes > ANSWER_BYTES) return { status: 503, body: '{}' };
      const answer = this.answer(leader, body);
      bytes += Buffer.byteLength(answer.body) + FRAME_OVERHEAD;
      return { status: answer.status, body: answer.body };
    });
  }

  /** The leader's answer to a report, which holds for this moment only. */
  private answer(leader: Leader, body: string): Answer {
    const decoded = this.decoder.decode(body);
    if (!decoded.ok) {
      this.logMalformed(decoded.reason);
      return failure(400, decoded.reason);
    }
    // While the lease is not sure, work is kept alive for a bounded time; nothing new starts.
    if (this.deps.msSinceLeaseExpiry() > this.deps.heartbeatGraceMs)
      return { status: 421, body: encodeRedirect(null) };
    const commands = leader.onHeartbeat(decoded.value);
    return commands === null
      ? { status: 421, body: encodeRedirect(null) }
      : { status: 200, body: encodeHeartbeatResponse(leader.term, commands) };
  }

  private logMalformed(reason: string): void {
    this.malformed.note((unlogged) => {
      this.deps.log.error({ reason, unlogged }, 'malformed report');
    });
  }
}
