import { required } from '../base/required.ts';
import type { Violation } from './checker.ts';
import type { Expected, SimEvent } from './events.ts';
import type { JobBody, Stage } from './protocol.ts';

type Event<K extends SimEvent['kind']> = Extract<SimEvent, { kind: K }>;

/** How old an answer is: a job is unknown, then accepted, then over. */
type Age = 0 | 1 | 2;

const ageOf = (stage: Stage | null): Age =>
  stage === null ? 0 : stage === 'done' || stage === 'aborted' ? 2 : 1;
const AGE_NAMES = ['unknown', 'accepted', 'over'] as const;

interface JobHistory {
  body: JobBody | null;
  expected: Expected;
  submittedAt: number | null;
  cancelAsked: boolean;
  tasksDone: Set<number>;
  /** When an answer of this age or a newer one was first received. */
  toldAt: [number, number, number];
  final: Stage | null;
}

/** What users are told: `forgotten` by its status, `invented`, `not_done`, `went_back`, and bad submissions. */
class AnswerCheck {
  readonly violations: Violation[] = [];
  private readonly jobs = new Map<string, JobHistory>();
  private readonly asked = new Map<number, Event<'asked'>>();

  see(event: SimEvent): void {
    if (event.kind === 'asked') this.seeRequest(event);
    else if (event.kind === 'answered') this.seeAnswer(event);
    else if (event.kind === 'task_off' && event.cause === 'done') this.seeTaskDone(event);
  }

  private job(uid: string): JobHistory {
    let job = this.jobs.get(uid);
    if (!job) {
      job = {
        body: null,
        expected: 'accepted',
        submittedAt: null,
        cancelAsked: false,
        tasksDone: new Set(),
        toldAt: [-Infinity, Infinity, Infinity],
        final: null,
      };
      this.jobs.set(uid, job);
    }
    return job;
  }

  private seeRequest(event: Event<'asked'>): void {
    this.asked.set(event.request, event);
    const job = this.job(event.job);
    if (event.about === 'cancel') job.cancelAsked = true;
    if (event.about !== 'submit') return;
    job.submittedAt ??= event.at;
    job.body ??= event.body ?? null;
    job.expected = event.expected ?? 'accepted';
  }

  private seeTaskDone(event: Event<'task_off'>): void {
    const job = this.job(event.job);
    if (job.body?.shape === 'ensemble') for (let t = 0; t < job.body.loaves; t++) job.tasksDone.add(t);
    job.tasksDone.add(event.task);
  }

  private seeAnswer(event: Event<'answered'>): void {
    const request = required(this.asked.get(event.request), 'request of the answer');
    const job = this.job(request.job);
    const report = (rule: Violation['rule'], text: string): void => {
      const where = `${request.job}: ${request.about} of ${request.node}`;
      this.violations.push({ rule, atMs: event.at, job: request.job, text: `${where}: ${text}` });
    };
    if (event.stage !== null) this.seeStage(job, request, event, report);
    else this.seeRefusal(job, request, event, report);
  }

  private seeStage(
    job: JobHistory,
    request: Event<'asked'>,
    event: Event<'answered'>,
    report: (rule: Violation['rule'], text: string) => void,
  ): void {
    const stage = required(event.stage, 'stage of the answer');
    if (job.submittedAt === null) report('invented', `nobody submitted it, answered ${stage}`);
    else if (job.expected !== 'accepted') report('wrongly_accepted', `${job.expected} expected`);
    if (stage === 'aborted' && !job.cancelAsked) report('went_back', 'cancelled though nobody asked for it');
    if (stage === 'done' && job.body && job.tasksDone.size < job.body.loaves) {
      report('not_done', `${job.tasksDone.size} of ${job.body.loaves} tasks are done`);
    }
    const age = ageOf(stage);
    if (age === 2 && job.final !== null && job.final !== stage)
      report('went_back', `${job.final}, then ${stage}`);
    this.checkAge(job, age, request, stage, report);
    if (age === 2) job.final ??= stage;
    for (let older = 0; older <= age; older++) {
      job.toldAt[older] = Math.min(required(job.toldAt[older], 'time of the age'), event.at);
    }
  }

  /** A request that begins after an answer must not get an older one. */
  private checkAge(
    job: JobHistory,
    age: Age,
    request: Event<'asked'>,
    told: string,
    report: (rule: Violation['rule'], text: string) => void,
  ): void {
    for (let newer = age + 1; newer <= 2; newer++) {
      const at = required(job.toldAt[newer], 'time of the age');
      if (request.at <= at) continue;
      const sinceMs = (request.at - at).toFixed(0);
      const rule = age === 0 ? 'forgotten' : 'went_back';
      report(
        rule,
        `${required(AGE_NAMES[newer], 'name of the age')} (${job.final ?? 'accepted'}), then ${told}, asked ${sinceMs} ms later`,
      );
      return;
    }
  }

  private seeRefusal(
    job: JobHistory,
    request: Event<'asked'>,
    event: Event<'answered'>,
    report: (rule: Violation['rule'], text: string) => void,
  ): void {
    const { status } = event;
    if (status === 404) {
      this.checkAge(job, 0, request, '404', report);
      return;
    }
    if (request.about !== 'submit' || (status !== 400 && status !== 422)) return;
    if (job.expected === 'accepted') report('wrongly_refused', `answered ${status}`);
    else if (job.expected !== status) report('wrongly_refused', `answered ${status}, not ${job.expected}`);
  }
}

/** Judges the answers that users got; the events are in the order of time. */
export function checkAnswers(events: readonly SimEvent[]): Violation[] {
  const checking = new AnswerCheck();
  for (const event of events) checking.see(event);
  return checking.violations;
}
