import { required } from '../base/required.ts';
import type { Violation } from './checker.ts';
import type { Expected, SimEvent } from './events.ts';
import type { JobBody, JobStage } from './protocol.ts';

type EventOfKind<K extends SimEvent['kind']> = Extract<SimEvent, { kind: K }>;

/** Progress of a job that an answer implies: 0 unknown, 1 accepted, 2 ended. Correct answers never decrease it. */
type JobProgress = 0 | 1 | 2;

const progressOf = (stage: JobStage | null): JobProgress =>
  stage === null ? 0 : stage === 'done' || stage === 'aborted' ? 2 : 1;
const PROGRESS_NAMES = ['unknown', 'accepted', 'ended'] as const;

interface JobHistory {
  body: JobBody | null;
  expected: Expected;
  submittedAt: number | null;
  cancelRequested: boolean;
  doneTasks: Set<number>;
  /** When an answer with this progress or a later one was first received, by progress. */
  firstAnsweredAt: [number, number, number];
  finalStage: JobStage | null;
}

/**
 * Checks the answers to users: `forgotten` (404 for an accepted job), `invented`, `not_done`, `went_back`,
 * `wrongly_accepted` and `wrongly_refused`.
 */
class AnswerCheck {
  readonly violations: Violation[] = [];
  private readonly jobs = new Map<string, JobHistory>();
  private readonly requests = new Map<number, EventOfKind<'asked'>>();

  processEvent(event: SimEvent): void {
    if (event.kind === 'asked') this.processRequest(event);
    else if (event.kind === 'answered') this.processAnswer(event);
    else if (event.kind === 'task_off' && event.cause === 'done') this.processTaskDone(event);
  }

  private historyOf(uid: string): JobHistory {
    let job = this.jobs.get(uid);
    if (!job) {
      job = {
        body: null,
        expected: 'accepted',
        submittedAt: null,
        cancelRequested: false,
        doneTasks: new Set(),
        firstAnsweredAt: [-Infinity, Infinity, Infinity],
        finalStage: null,
      };
      this.jobs.set(uid, job);
    }
    return job;
  }

  private processRequest(event: EventOfKind<'asked'>): void {
    this.requests.set(event.request, event);
    const job = this.historyOf(event.job);
    if (event.about === 'cancel') job.cancelRequested = true;
    if (event.about !== 'submit') return;
    job.submittedAt ??= event.at;
    job.body ??= event.body ?? null;
    job.expected = event.expected ?? 'accepted';
  }

  private processTaskDone(event: EventOfKind<'task_off'>): void {
    const job = this.historyOf(event.job);
    if (job.body?.shape === 'ensemble')
      for (let task = 0; task < job.body.loaves; task++) job.doneTasks.add(task);
    job.doneTasks.add(event.task);
  }

  private processAnswer(event: EventOfKind<'answered'>): void {
    const request = required(this.requests.get(event.request), 'request of the answer');
    const job = this.historyOf(request.job);
    const report = (rule: Violation['rule'], text: string): void => {
      const prefix = `${request.job}: ${request.about} of ${request.node}`;
      this.violations.push({ rule, atMs: event.at, job: request.job, text: `${prefix}: ${text}` });
    };
    if (event.stage !== null) this.checkStage(job, request, event, report);
    else this.checkRefusal(job, request, event, report);
  }

  private checkStage(
    job: JobHistory,
    request: EventOfKind<'asked'>,
    event: EventOfKind<'answered'>,
    report: (rule: Violation['rule'], text: string) => void,
  ): void {
    const stage = required(event.stage, 'stage of the answer');
    if (job.submittedAt === null) report('invented', `never submitted, answered ${stage}`);
    else if (job.expected !== 'accepted') report('wrongly_accepted', `${job.expected} expected`);
    if (stage === 'aborted' && !job.cancelRequested)
      report('went_back', 'cancelled without a request to cancel');
    if (stage === 'done' && job.body && job.doneTasks.size < job.body.loaves) {
      report('not_done', `${job.doneTasks.size} of ${job.body.loaves} tasks are done`);
    }
    const progress = progressOf(stage);
    if (progress === 2 && job.finalStage !== null && job.finalStage !== stage)
      report('went_back', `${job.finalStage}, then ${stage}`);
    this.checkProgress(job, progress, request, stage, report);
    if (progress === 2) job.finalStage ??= stage;
    for (let earlier = 0; earlier <= progress; earlier++) {
      job.firstAnsweredAt[earlier] = Math.min(
        required(job.firstAnsweredAt[earlier], 'time of the progress'),
        event.at,
      );
    }
  }

  /** Checks that a request sent after an answer doesn't get an answer with less progress. */
  private checkProgress(
    job: JobHistory,
    progress: JobProgress,
    request: EventOfKind<'asked'>,
    answered: string,
    report: (rule: Violation['rule'], text: string) => void,
  ): void {
    for (let later = progress + 1; later <= 2; later++) {
      const answeredAt = required(job.firstAnsweredAt[later], 'time of the progress');
      if (request.at <= answeredAt) continue;
      const sinceMs = (request.at - answeredAt).toFixed(0);
      const rule = progress === 0 ? 'forgotten' : 'went_back';
      report(
        rule,
        `${required(PROGRESS_NAMES[later], 'name of the progress')} (${job.finalStage ?? 'accepted'}), then ${answered}, asked ${sinceMs} ms later`,
      );
      return;
    }
  }

  private checkRefusal(
    job: JobHistory,
    request: EventOfKind<'asked'>,
    event: EventOfKind<'answered'>,
    report: (rule: Violation['rule'], text: string) => void,
  ): void {
    const { status } = event;
    if (status === 404) {
      this.checkProgress(job, 0, request, '404', report);
      return;
    }
    if (request.about !== 'submit' || (status !== 400 && status !== 422)) return;
    if (job.expected === 'accepted') report('wrongly_refused', `answered ${status}`);
    else if (job.expected !== status) report('wrongly_refused', `answered ${status}, not ${job.expected}`);
  }
}

/** Checks the answers that users got; the events are in the order of time. */
export function checkAnswers(events: readonly SimEvent[]): Violation[] {
  const answerCheck = new AnswerCheck();
  for (const event of events) answerCheck.processEvent(event);
  return answerCheck.violations;
}
