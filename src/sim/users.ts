import { required } from '../base/required.ts';
import type { HttpResult } from '../http/client.ts';
import type { HttpRequest } from '../http/server.ts';
import type { LoadBalancer } from './balancer.ts';
import type { EventLog, Expected, RequestKind } from './events.ts';
import type { Host, SimNetwork, FaultWindow } from './network.ts';
import { cancelPath, jobPath, parseJson, type JobBody, type JobStage } from './protocol.ts';
import type { EventQueue } from './queue.ts';
import type { Random } from './random.ts';

/** A job to be submitted, and what its user does with it. */
export interface PlannedJob {
  /** When the job is submitted, in seconds of the day. */
  atS: number;
  body: JobBody;
  /** When the job is cancelled, in seconds of the day. */
  cancelAtS?: number;
  /** The job's tasks fail on every machine. */
  alwaysFails?: boolean;
  /** Fields that an invalid submission overwrites, or omits if `undefined`. */
  fieldOverrides?: Record<string, unknown>;
  expected?: Expected;
}

const SUBMIT_TIMEOUT_MS = 5000;
const POLL_TIMEOUT_MS = 2000;
const MIN_RETRY_DELAY_MS = 1000;
const MAX_RETRY_AFTER_S = 30;
const MAX_RETRY_TIME_MS = 60_000;
const POLL_INTERVAL_MS = 5000;
const MAX_TRIED_NODES = 3;
/** A burst of requests after an answer (the fault `close_looks`): requests per node, and its length. */
const BURST_REQUESTS_PER_NODE = 12;
const BURST_LENGTH_MS = 1500;
const ODD_REQUEST_INTERVAL_MS = 700;
const FINAL_STAGES: readonly JobStage[] = ['done', 'aborted'];

interface UserJob {
  plannedJob: PlannedJob;
  accepted: boolean;
  /** Stage in the last answer; a final stage is kept. */
  lastStage: JobStage | null;
  cancelling: boolean;
  burstCount: number;
}

interface UserAnswer {
  status: number;
  stage: JobStage | null;
  retryAfterS: number | null;
}

/** All users: they submit and poll jobs, cancel some, and send odd requests such as polls of unknown jobs. */
export class Users implements Host {
  readonly name = 'users';
  readonly kind = 'users';
  readonly zone = null;
  /** Users send bursts of requests to every node after an answer that a job is accepted or has ended. */
  requestBursts: FaultWindow = { untilMs: 0, share: 1 };
  /** Users cancel a share of the jobs just after the last task of the job has ended. */
  cancelAtEnd: FaultWindow = { untilMs: 0, share: 0 };
  oddRequestsUntil = 0;
  private readonly jobs = new Map<string, UserJob>();
  private requestCount = 0;
  private oddRequestCount = 0;
  private balancer!: LoadBalancer;

  constructor(
    private readonly queue: EventQueue,
    private readonly random: Random,
    private readonly network: SimNetwork,
    private readonly log: EventLog,
    private readonly nodes: readonly Host[],
  ) {}

  isUp(): boolean {
    return true;
  }

  heldUntil(): number {
    return 0;
  }

  serve(): void {
    throw new Error('users receive no requests');
  }

  setBalancer(balancer: LoadBalancer): void {
    this.balancer = balancer;
  }

  /** Returns the description of a job, which workers fetch. */
  findJob(uid: string): JobBody | undefined {
    return this.jobs.get(uid)?.plannedJob.body;
  }

  planJob(plannedJob: PlannedJob): void {
    this.queue.after(plannedJob.atS * 1000 - this.queue.nowMs, () => {
      this.submitPlannedJob(plannedJob);
    });
    if (plannedJob.cancelAtS === undefined) return;
    this.queue.after(plannedJob.cancelAtS * 1000 - this.queue.nowMs, () => {
      this.cancel(plannedJob.body.uid);
    });
  }

  /** Ids of the jobs that run and that no user cancels. */
  runningJobIds(): string[] {
    const found = [...this.jobs].filter(([, job]) => job.lastStage === 'running' && !job.cancelling);
    return found.map(([uid]) => uid);
  }

  private submitPlannedJob(plannedJob: PlannedJob): void {
    const { uid } = plannedJob.body;
    this.jobs.set(uid, { plannedJob, accepted: false, lastStage: null, cancelling: false, burstCount: 0 });
    void this.submit(uid).then(() => {
      this.poll(uid);
    });
  }

  // ---- requests ----

  private createSubmission(job: UserJob): HttpRequest {
    const body: Record<string, unknown> = { ...job.plannedJob.body, ...job.plannedJob.fieldOverrides };
    for (const [field, value] of Object.entries(body))
      if (value === undefined) Reflect.deleteProperty(body, field);
    return { method: 'POST', path: '/work', body: JSON.stringify(body) };
  }

  /** Sends a request to a node and records it and its answer. Resolves to null if there is no answer. */
  private async sendRequest(about: RequestKind, uid: string, node: Host): Promise<UserAnswer | null> {
    const job = this.jobs.get(uid);
    const request = ++this.requestCount;
    const isSubmission = about === 'submit' && job;
    const expected = job?.plannedJob.expected ?? 'accepted';
    this.log.record({
      kind: 'asked',
      request,
      about,
      job: uid,
      node: node.name,
      ...(isSubmission ? { body: job.plannedJob.body, expected } : {}),
    });
    const message = isSubmission
      ? this.createSubmission(job)
      : {
          method: about === 'cancel' ? 'POST' : 'GET',
          path: about === 'cancel' ? cancelPath(uid) : jobPath(uid),
          body: '',
        };
    const timeoutMs = about === 'poll' ? POLL_TIMEOUT_MS : SUBMIT_TIMEOUT_MS;
    const result = await this.network.exchange(this, node, message, timeoutMs);
    return this.recordAnswer(request, uid, result);
  }

  private recordAnswer(request: number, uid: string, result: HttpResult): UserAnswer | null {
    if (result.kind === 'silent') {
      this.log.record({ kind: 'unanswered', request });
      return null;
    }
    const body =
      result.status === 200 || result.status === 201
        ? (parseJson(result.body) as { stage: JobStage } | null)
        : null;
    const stage = body?.stage ?? null;
    this.log.record({ kind: 'answered', request, status: result.status, stage });
    const job = this.jobs.get(uid);
    if (job && stage) this.recordStage(uid, job, stage);
    return { status: result.status, stage, retryAfterS: result.retryAfterS };
  }

  private recordStage(uid: string, job: UserJob, stage: JobStage): void {
    const isFirstAnswer = !job.accepted;
    const hasEnded =
      FINAL_STAGES.includes(stage) && (job.lastStage === null || !FINAL_STAGES.includes(job.lastStage));
    job.accepted = true;
    if (job.lastStage === null || !FINAL_STAGES.includes(job.lastStage)) job.lastStage = stage;
    if ((isFirstAnswer || hasEnded) && this.queue.nowMs < this.requestBursts.untilMs)
      this.sendRequestBurst(uid);
  }

  /** Sends a request through the load balancer, which tries another node if one refuses the connection. */
  private async sendBalanced(about: RequestKind, uid: string): Promise<UserAnswer | null> {
    for (const node of this.balancer.orderHealthyNodes().slice(0, MAX_TRIED_NODES)) {
      if (!node.isUp()) continue;
      return this.sendRequest(about, uid, node);
    }
    return null;
  }

  /** Repeats a submission or cancellation until a node decides on it, for up to `MAX_RETRY_TIME_MS`. */
  private async sendUntilDecided(about: 'submit' | 'cancel', uid: string): Promise<UserAnswer | null> {
    const startedAt = this.queue.nowMs;
    while (this.queue.nowMs - startedAt < MAX_RETRY_TIME_MS) {
      const answer = await this.sendBalanced(about, uid);
      if (answer && (answer.status < 429 || answer.status === 201)) return answer;
      const retryAfterS = Math.min(MAX_RETRY_AFTER_S, answer?.retryAfterS ?? 0);
      await this.queue.pause(Math.max(MIN_RETRY_DELAY_MS * this.random.between(1, 1.3), retryAfterS * 1000));
    }
    return null;
  }

  private async submit(uid: string): Promise<void> {
    await this.sendUntilDecided('submit', uid);
  }

  /** Polls a job regularly, and four times less often once it has ended. */
  private poll(uid: string): void {
    const job = required(this.jobs.get(uid), 'job of a user');
    if (!job.accepted) return;
    const hasEnded = job.lastStage !== null && FINAL_STAGES.includes(job.lastStage);
    void this.sendBalanced('poll', uid);
    const delayMs = POLL_INTERVAL_MS * this.random.between(0.9, 1.1) * (hasEnded ? 4 : 1);
    this.queue.after(delayMs, () => {
      this.poll(uid);
    });
  }

  cancel(uid: string): void {
    const job = this.jobs.get(uid);
    if (!job || job.cancelling) return;
    job.cancelling = true;
    void this.sendUntilDecided('cancel', uid).then((answer) => {
      // A job that is not known yet may still be accepted later, so the cancellation is retried.
      if (answer?.stage) return;
      job.cancelling = false;
      this.queue.after(MIN_RETRY_DELAY_MS, () => {
        this.cancel(uid);
      });
    });
  }

  // ---- faults ----

  /** Called when the last task of a job has ended. */
  onLastTaskEnded(uid: string): void {
    if (this.queue.nowMs >= this.cancelAtEnd.untilMs || !this.random.chance(this.cancelAtEnd.share)) return;
    this.queue.after(this.random.between(0, 30), () => {
      this.cancel(uid);
    });
  }

  private sendRequestBurst(uid: string): void {
    const job = required(this.jobs.get(uid), 'job of a user');
    job.burstCount += 1;
    if (job.burstCount === 1 && this.random.chance(0.1)) this.cancel(uid);
    for (const node of this.nodes) {
      for (let i = 0; i < BURST_REQUESTS_PER_NODE; i++) {
        // Half of the requests follow within milliseconds, the others while the change may still reach the other nodes.
        const spanMs = this.random.chance(0.5) ? 30 : BURST_LENGTH_MS;
        this.queue.after(this.random.between(0, spanMs), () => {
          if (!node.isUp()) return;
          void this.sendRequest(this.random.chance(0.25) ? 'submit' : 'poll', uid, node);
        });
      }
    }
  }

  /** Starts odd requests: repeated and invalid submissions, cancellations of finished jobs, polls of unknown jobs. */
  startOddRequests(ms: number): void {
    const isIdle = this.queue.nowMs >= this.oddRequestsUntil;
    this.oddRequestsUntil = Math.max(this.oddRequestsUntil, this.queue.nowMs + ms);
    if (isIdle) this.sendOddRequest();
  }

  private sendOddRequest(): void {
    if (this.queue.nowMs >= this.oddRequestsUntil) return;
    this.oddRequestCount += 1;
    const known = [...this.jobs].filter(([, job]) => job.accepted);
    const finished = known.filter(([, job]) => job.lastStage === 'done');
    const unfinished = known.filter(([, job]) => job.lastStage === 'pending' || job.lastStage === 'running');
    const kind = this.oddRequestCount % 4;
    if (kind === 0) this.repeatSubmission(unfinished.map(([uid]) => uid));
    else if (kind === 1) this.cancelFinishedJob(finished.map(([uid]) => uid));
    else if (kind === 2) this.submitInvalidJob();
    else void this.sendBalanced('poll', `req-9${String(this.oddRequestCount).padStart(5, '0')}`);
    this.queue.after(ODD_REQUEST_INTERVAL_MS, () => {
      this.sendOddRequest();
    });
  }

  private repeatSubmission(uids: readonly string[]): void {
    const uid = this.random.pick(uids);
    if (uid !== undefined) void this.sendBalanced('submit', uid);
  }

  private cancelFinishedJob(uids: readonly string[]): void {
    const uid = this.random.pick(uids);
    if (uid !== undefined) void this.sendBalanced('cancel', uid);
  }

  private submitInvalidJob(): void {
    const example = this.random.pick([...this.jobs.values()]);
    if (!example) return;
    const uid = `req-8${String(this.oddRequestCount).padStart(5, '0')}`;
    const invalid = required(
      INVALID_SUBMISSIONS[this.oddRequestCount % INVALID_SUBMISSIONS.length],
      'invalid submission',
    );
    const { expected, ...fieldOverrides } = invalid;
    this.submitPlannedJob({
      atS: this.queue.nowMs / 1000,
      body: { ...example.plannedJob.body, uid },
      fieldOverrides,
      expected,
    });
  }
}

/** Submissions that must be refused. The fields replace those of a valid one; `undefined` omits the field. */
const INVALID_SUBMISSIONS: ({ expected: 400 | 422 } & Record<string, unknown>)[] = [
  { expected: 400, cores: undefined },
  { expected: 422, cores: 100_000 },
  { expected: 400, loaves: 0 },
  { expected: 422, crew: 'nobody' },
  { expected: 400, shape: 'heap' },
  { expected: 422, ovens: ['no-such-type'] },
  { expected: 400, rank: undefined },
  { expected: 422, yard: 'nowhere' },
  { expected: 400, imageGb: -1 },
  { expected: 422, shape: 'ensemble', accelerators: 1, loaves: 50_000 },
];
