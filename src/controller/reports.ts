import type { Options } from '../config/options.ts';
import type { Settings } from '../config/settings.ts';
import { CountedLog, type Logger } from '../base/log.ts';
import { failure, type Answer, type Reply } from '../http/server.ts';
import type { Leader } from '../leader/leader.ts';
import type { JudgedReport, MeshReply, MeshRequest } from '../mesh/frames.ts';
import { ReportRelay, type BatchAnswer } from '../relay/report-relay.ts';
import { WorkerShares, workersCarried } from '../relay/worker-shares.ts';
import { encodeReportAnswer, encodeReportTo, ReportDecoder } from '../wire/worker.ts';

/** Report intervals after which the text of a machine's last report is dropped. */
const REPORTS_KEPT = 6;
/** Least time between two log lines about malformed reports; the lines between are counted. */
const MALFORMED_LOG_MS = 1000;
/** With one more answer of at most 64 KiB a reply still fits a frame between controllers. */
const ANSWER_BYTES = 56 * 1024;
/** Bytes of an answer in a frame beside its body, at most. */
const FRAME_OVERHEAD = 8;
/** Report intervals in which a new leader hears of its machines. */
const SETTLING_REPORTS = 3;

export interface ReportHandlerDeps {
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
  unsureForMs(): number;
  graceMs: number;
  ask(peer: string, request: MeshRequest, timeoutMs: number): Promise<MeshReply | null>;
}

/** Workers' reports on any controller: the leader judges them, a follower hands them on or sends workers to it. */
export class ReportHandler {
  private readonly decoder: ReportDecoder;
  private readonly malformed: CountedLog;
  private readonly relay: ReportRelay;
  private readonly shares: WorkerShares;
  /** Workers that a leader can serve alone. */
  private readonly carried: number;
  private warnedFor: Leader | null = null;
  private reportedAt = -Infinity;
  private settling: { leader: Leader; untilMs: number } | null = null;

  constructor(private readonly deps: ReportHandlerDeps) {
    const { settings, options, now } = deps;
    const { workers, limits } = settings;
    this.decoder = new ReportDecoder(now, workers.report_s * 1000 * REPORTS_KEPT);
    this.malformed = new CountedLog(now, MALFORMED_LOG_MS);
    this.relay = new ReportRelay({
      now,
      after: deps.after,
      leader: deps.knownLeader,
      send: (leader, reports, timeoutMs) => this.handOn(leader, reports, timeoutMs),
      keepMs: workers.lease_s * 1000,
    });
    this.carried = workersCarried({
      reportsPerCoreS: options.workers.reports_per_core_s,
      cores: limits.cores,
      reportS: workers.report_s,
    });
    this.shares = new WorkerShares(now, this.carried, workers.report_s * 1000);
  }

  /** Tells once per leadership that the fleet is larger than the limits of all controllers together carry. */
  private noteFleetSize(leader: Leader, machines: number): void {
    const most = this.carried * this.deps.settings.nodes;
    if (this.warnedFor === leader || machines <= most) return;
    this.warnedFor = leader;
    this.deps.log.warn({ machines, carried: most }, 'more machines than the processor shares carry');
  }

  /** Milliseconds since a worker last reported to this controller itself. */
  directReportAgeMs(): number {
    return this.deps.now() - this.reportedAt;
  }

  /** A report of a worker that is connected to this controller. */
  onReport(body: string, reply: Reply): void {
    this.reportedAt = this.deps.now();
    const leader = this.deps.leader();
    if (!leader) {
      this.onFollower(body, reply);
      return;
    }
    const machines = leader.machineCount ?? 0;
    this.noteFleetSize(leader, machines);
    const other = this.shares.referTo(machines);
    reply(other === null ? this.judge(leader, body) : { status: 421, body: encodeReportTo(other) });
  }

  /** Reports that a follower hands on; answered in their order. */
  onRelayed(follower: string, bodies: readonly string[], reply: (reply: MeshReply) => void): void {
    const leader = this.deps.leader();
    const machines = leader?.machineCount ?? null;
    // Until the state is read nothing is known, not even whether followers are to go on.
    if (!leader || machines === null) {
      reply({ kind: 'unable' });
      return;
    }
    this.shares.noteRelayed(follower, bodies.length);
    const judged = this.judgeAll(leader, bodies);
    const goOn = bodies.length > 0 && this.isSettling(leader);
    reply({ kind: 'judged', relay: this.shares.relay(machines) || goOn, judged });
  }

  /**
   * A new leader hears of its machines one by one. Followers that hand reports on go on with it meanwhile, or all their
   * workers would turn to the leader at once.
   */
  private isSettling(leader: Leader): boolean {
    const now = this.deps.now();
    if (this.settling?.leader !== leader) {
      const untilMs = now + this.deps.settings.workers.report_s * 1000 * SETTLING_REPORTS;
      this.settling = { leader, untilMs };
    }
    return now < this.settling.untilMs;
  }

  /** Without a look at the report: between two leaders all workers ask every controller each second. */
  private onFollower(body: string, reply: Reply): void {
    const { node } = this.deps;
    if (this.relay.take(body, reply)) return;
    const known = this.deps.knownLeader();
    reply({ status: 421, body: encodeReportTo(known === node ? null : known) });
  }

  private async handOn(leader: string, reports: string[], timeoutMs: number): Promise<BatchAnswer | null> {
    if (leader === this.deps.node) return null;
    const request: MeshRequest = { kind: 'reports', node: this.deps.node, reports };
    const answer = await this.deps.ask(leader, request, timeoutMs);
    return answer?.kind === 'judged' && answer.judged.length === reports.length ? answer : null;
  }

  /** Answers of a batch, as many as surely fit a frame; the others are refused without being judged. */
  private judgeAll(leader: Leader, bodies: readonly string[]): JudgedReport[] {
    let bytes = 0;
    return bodies.map((body) => {
      if (bytes > ANSWER_BYTES) return { status: 503, body: '{}' };
      const answer = this.judge(leader, body);
      bytes += Buffer.byteLength(answer.body) + FRAME_OVERHEAD;
      return { status: answer.status, body: answer.body };
    });
  }

  /** The leader's answer to a report, which holds for this moment only. */
  private judge(leader: Leader, body: string): Answer {
    const decoded = this.decoder.decode(body);
    if (!decoded.ok) {
      this.logMalformed(decoded.reason);
      return failure(400, decoded.reason);
    }
    // While the lease is not sure, work is kept alive for a bounded time; nothing new starts.
    if (this.deps.unsureForMs() > this.deps.graceMs) return { status: 421, body: encodeReportTo(null) };
    const commands = leader.onReport(decoded.value);
    return commands === null
      ? { status: 421, body: encodeReportTo(null) }
      : { status: 200, body: encodeReportAnswer(leader.term, commands) };
  }

  private logMalformed(reason: string): void {
    this.malformed.note((unlogged) => {
      this.deps.log.error({ reason, unlogged }, 'malformed report');
    });
  }
}
