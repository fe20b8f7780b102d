import { required } from '../base/required.ts';
import type { HttpResult } from '../http/client.ts';
import type { HttpRequest } from '../http/server.ts';
import type { LoadBalancer } from './balancer.ts';
import type { EventLog, Expected, RequestKind } from './events.ts';
import type { Host, SimNetwork, Spell } from './network.ts';
import { cancelPath, jobPath, parse, type JobBody, type Stage } from './protocol.ts';
import type { EventQueue } from './queue.ts';
import type { Random } from './random.ts';

/** A job as its user means it. */
export interface PlannedJob {
  atS: number;
  body: JobBody;
  /** When its user cancels it. */
  cancelAtS?: number;
  /** Submitted with a mistake: its tasks fail on every machine. */
  mistaken?: boolean;
  /** Fields that are left out or overwritten on the way, for bad submissions. */
  broken?: Record<string, unknown>;
  expected?: Expected;
}

const SUBMIT_WAIT_MS = 5000;
const POLL_WAIT_MS = 2000;
const RETRY_MS = 1000;
const MOST_RETRY_AFTER_S = 30;
const GIVE_UP_MS = 60_000;
const POLL_MS = 5000;
const TRIED_NODES = 3;
/** Users that look closely ask every node so often within so long. */
const CLOSE_LOOKS = 12;
const CLOSE_LOOK_MS = 1500;
const ODD_REQUEST_MS = 700;
const FINAL: readonly Stage[] = ['done', 'aborted'];

interface UserJob {
  plan: PlannedJob;
  accepted: boolean;
  told: Stage | null;
  cancelling: boolean;
  looks: number;
}

interface Answered {
  status: number;
  stage: Stage | null;
  retryAfterS: number | null;
}

/** All users: they submit jobs, poll them, cancel some, and ask for things that don't exist. */
export class Users implements Host {
  readonly name = 'users';
  readonly kind = 'users';
  readonly zone = null;
  /** Users ask every node within milliseconds after an answer that a job is accepted or over. */
  closeLooks: Spell = { untilMs: 0, share: 1 };
  /** A share of jobs is called off at the moment of the end of its last task. */
  cancelAtEnd: Spell = { untilMs: 0, share: 0 };
  oddRequestsUntil = 0;
  private readonly jobs = new Map<string, UserJob>();
  private requests = 0;
  private odd = 0;
  private balancer!: LoadBalancer;

  constructor(
    private readonly queue: EventQueue,
    private readonly random: Random,
    private readonly network: SimNetwork,
    private readonly log: EventLog,
    private readonly nodes: readonly Host[],
  ) {}

  up(): boolean {
    return true;
  }

  heldUntil(): number {
    return 0;
  }

  serve(): void {
    throw new Error('nobody sends requests to users');
  }

  useBalancer(balancer: LoadBalancer): void {
    this.balancer = balancer;
  }

  /** The description that a worker fetches. */
  jobOf(uid: string): JobBody | undefined {
    return this.jobs.get(uid)?.plan.body;
  }

  plan(plan: PlannedJob): void {
    this.queue.after(plan.atS * 1000 - this.queue.at, () => {
      this.begin(plan);
    });
    if (plan.cancelAtS === undefined) return;
    this.queue.after(plan.cancelAtS * 1000 - this.queue.at, () => {
      this.cancel(plan.body.uid);
    });
  }

  /** Jobs that run and whose users have not called them off. */
  running(): string[] {
    const found = [...this.jobs].filter(([, job]) => job.told === 'running' && !job.cancelling);
    return found.map(([uid]) => uid);
  }

  private begin(plan: PlannedJob): void {
    const { uid } = plan.body;
    this.jobs.set(uid, { plan, accepted: false, told: null, cancelling: false, looks: 0 });
    void this.submit(uid).then(() => {
      this.poll(uid);
    });
  }

  // ---- requests ----

  private submission(job: UserJob): HttpRequest {
    const body: Record<string, unknown> = { ...job.plan.body, ...job.plan.broken };
    for (const [field, value] of Object.entries(body))
      if (value === undefined) Reflect.deleteProperty(body, field);
    return { method: 'POST', path: '/work', body: JSON.stringify(body) };
  }

  /** Sends a request to a node, records it and its answer. null: no answer. */
  private async ask(about: RequestKind, uid: string, node: Host): Promise<Answered | null> {
    const job = this.jobs.get(uid);
    const request = ++this.requests;
    const submitted = about === 'submit' && job;
    const expected = job?.plan.expected ?? 'accepted';
    this.log.record({
      kind: 'asked',
      request,
      about,
      job: uid,
      node: node.name,
      ...(submitted ? { body: job.plan.body, expected } : {}),
    });
    const message = submitted
      ? this.submission(job)
      : {
          method: about === 'cancel' ? 'POST' : 'GET',
          path: about === 'cancel' ? cancelPath(uid) : jobPath(uid),
          body: '',
        };
    const waitMs = about === 'poll' ? POLL_WAIT_MS : SUBMIT_WAIT_MS;
    const result = await this.network.exchange(this, node, message, waitMs);
    return this.answered(request, uid, result);
  }

  private answered(request: number, uid: string, result: HttpResult): Answered | null {
    if (result.kind === 'silent') {
      this.log.record({ kind: 'unanswered', request });
      return null;
    }
    const body =
      result.status === 200 || result.status === 201 ? (parse(result.body) as { stage: Stage } | null) : null;
    const stage = body?.stage ?? null;
    this.log.record({ kind: 'answered', request, status: result.status, stage });
    const job = this.jobs.get(uid);
    if (job && stage) this.hear(uid, job, stage);
    return { status: result.status, stage, retryAfterS: result.retryAfterS };
  }

  private hear(uid: string, job: UserJob, stage: Stage): void {
    const first = !job.accepted;
    const over = FINAL.includes(stage) && (job.told === null || !FINAL.includes(job.told));
    job.accepted = true;
    if (job.told === null || !FINAL.includes(job.told)) job.told = stage;
    if ((first || over) && this.queue.at < this.closeLooks.untilMs) this.lookClosely(uid);
  }

  /** Through the load balancer: a node that refuses the connection is followed by another. */
  private async askBalanced(about: RequestKind, uid: string): Promise<Answered | null> {
    for (const node of this.balancer.choices().slice(0, TRIED_NODES)) {
      if (!node.up()) continue;
      return this.ask(about, uid, node);
    }
    return null;
  }

  /** Repeats a submission or cancellation until it is decided, for up to a minute. */
  private async insist(about: 'submit' | 'cancel', uid: string): Promise<Answered | null> {
    const since = this.queue.at;
    while (this.queue.at - since < GIVE_UP_MS) {
      const answer = await this.askBalanced(about, uid);
      if (answer && (answer.status < 429 || answer.status === 201)) return answer;
      const retryAfterS = Math.min(MOST_RETRY_AFTER_S, answer?.retryAfterS ?? 0);
      await this.queue.pause(Math.max(RETRY_MS * this.random.between(1, 1.3), retryAfterS * 1000));
    }
    return null;
  }

  private async submit(uid: string): Promise<void> {
    await this.insist('submit', uid);
  }

  /** Polls until the job is over, and now and then afterwards. */
  private poll(uid: string): void {
    const job = required(this.jobs.get(uid), 'job of a user');
    if (!job.accepted) return;
    const over = job.told !== null && FINAL.includes(job.told);
    void this.askBalanced('poll', uid);
    const waitMs = POLL_MS * this.random.between(0.9, 1.1) * (over ? 4 : 1);
    this.queue.after(waitMs, () => {
      this.poll(uid);
    });
  }

  cancel(uid: string): void {
    const job = this.jobs.get(uid);
    if (!job || job.cancelling) return;
    job.cancelling = true;
    void this.insist('cancel', uid).then((answer) => {
      // A job not known yet may be accepted later; its user tries again as long as it matters.
      if (answer?.stage) return;
      job.cancelling = false;
      this.queue.after(RETRY_MS, () => {
        this.cancel(uid);
      });
    });
  }

  // ---- troubles ----

  /** The last task of a job has just ended. */
  ended(uid: string): void {
    if (this.queue.at >= this.cancelAtEnd.untilMs || !this.random.chance(this.cancelAtEnd.share)) return;
    this.queue.after(this.random.between(0, 30), () => {
      this.cancel(uid);
    });
  }

  private lookClosely(uid: string): void {
    const job = required(this.jobs.get(uid), 'job of a user');
    job.looks += 1;
    if (job.looks === 1 && this.random.chance(0.1)) this.cancel(uid);
    for (const node of this.nodes) {
      for (let i = 0; i < CLOSE_LOOKS; i++) {
        // Most within milliseconds, the others while what was told may still be on its way.
        const span = this.random.chance(0.5) ? 30 : CLOSE_LOOK_MS;
        this.queue.after(this.random.between(0, span), () => {
          if (!node.up()) return;
          void this.ask(this.random.chance(0.25) ? 'submit' : 'poll', uid, node);
        });
      }
    }
  }

  /** Repeats submissions, cancels what is over, sends what can't run, asks for what nobody submitted. */
  oddRequests(ms: number): void {
    const idle = this.queue.at >= this.oddRequestsUntil;
    this.oddRequestsUntil = Math.max(this.oddRequestsUntil, this.queue.at + ms);
    if (idle) this.oddRequest();
  }

  private oddRequest(): void {
    if (this.queue.at >= this.oddRequestsUntil) return;
    this.odd += 1;
    const known = [...this.jobs].filter(([, job]) => job.accepted);
    const finished = known.filter(([, job]) => job.told === 'done');
    const unfinished = known.filter(([, job]) => job.told === 'pending' || job.told === 'running');
    const kind = this.odd % 4;
    if (kind === 0) this.repeat(unfinished.map(([uid]) => uid));
    else if (kind === 1) this.cancelFinished(finished.map(([uid]) => uid));
    else if (kind === 2) this.submitBad();
    else void this.askBalanced('poll', `req-9${String(this.odd).padStart(5, '0')}`);
    this.queue.after(ODD_REQUEST_MS, () => {
      this.oddRequest();
    });
  }

  private repeat(uids: readonly string[]): void {
    const uid = this.random.pick(uids);
    if (uid !== undefined) void this.askBalanced('submit', uid);
  }

  private cancelFinished(uids: readonly string[]): void {
    const uid = this.random.pick(uids);
    if (uid !== undefined) void this.askBalanced('cancel', uid);
  }

  private submitBad(): void {
    const example = this.random.pick([...this.jobs.values()]);
    if (!example) return;
    const uid = `req-8${String(this.odd).padStart(5, '0')}`;
    const bad = required(BAD_SUBMISSIONS[this.odd % BAD_SUBMISSIONS.length], 'bad submission');
    const { expected, ...broken } = bad;
    this.begin({
      atS: this.queue.at / 1000,
      body: { ...example.plan.body, uid },
      broken,
      expected,
    });
  }
}

/** Submissions that must be refused; the fields replace those of a good one, `undefined` leaves one out. */
const BAD_SUBMISSIONS: ({ expected: 400 | 422 } & Record<string, unknown>)[] = [
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
