/** Checks every answer to users against those that any controller gave before its request. */
import type { Answer } from '../../../src/http/server.ts';

export type RequestKind = 'submit' | 'poll' | 'cancel';

/** How far a job is, as an answer tells it; no answer may be behind an earlier one. */
export type Stage = 'unknown' | 'open' | 'done' | 'aborted';

const RANK: Record<Stage, number> = { unknown: 0, open: 1, done: 2, aborted: 2 };
const TERMINAL_RANK = 2;

/** A user's request and, once it is there, the answer. */
export interface UserRequest {
  /** When it was sent, in simulated milliseconds. */
  at: number;
  node: number;
  kind: RequestKind;
  job: number;
  answer: Answer | null;
}

/** The stage that an answer tells, or null if it tells none. */
function stageOf(answer: Answer): Stage | null {
  if (answer.status === 404) return 'unknown';
  if (answer.status !== 200 && answer.status !== 201) return null;
  const { stage } = JSON.parse(answer.body) as { stage: string };
  return stage === 'done' || stage === 'aborted' ? stage : 'open';
}

/** The history of all answers, and what was wrong with them. */
export class AnswerHistory {
  readonly violations: string[] = [];
  /** How often each stage was told. */
  readonly counts: Record<Stage, number> = { unknown: 0, open: 0, done: 0, aborted: 0 };
  private readonly newest = new Map<number, Stage>();
  private readonly cancelRequested = new Set<number>();

  /** The furthest stage that was told of a job. */
  newestStage(job: number): Stage {
    return this.newest.get(job) ?? 'unknown';
  }

  recordRequest({ kind, job }: UserRequest): void {
    if (kind === 'cancel') this.cancelRequested.add(job);
  }

  /**
   * Records an answer at a time in simulated milliseconds. `before` is the newest stage as its request was sent.
   * Returns whether the answer told something new.
   */
  recordAnswer(request: UserRequest, answer: Answer, before: Stage, at: number): boolean {
    const stage = stageOf(answer);
    if (!stage) return false;
    this.counts[stage] += 1;
    for (const violation of this.violationsOf(request, stage, before, at)) {
      this.violations.push(
        `job ${request.job} at ${Math.round(request.at)} (${request.kind}) of ${request.node}: ${violation}`,
      );
    }
    if (RANK[stage] <= RANK[this.newestStage(request.job)]) return false;
    this.newest.set(request.job, stage);
    return true;
  }

  private violationsOf({ kind, job }: UserRequest, stage: Stage, before: Stage, at: number): string[] {
    const violations: string[] = [];
    const otherOutcome = RANK[stage] === TERMINAL_RANK && RANK[before] === TERMINAL_RANK && stage !== before;
    if (RANK[stage] < RANK[before] || otherOutcome) {
      violations.push(`was ${before}, then ${stage} at ${Math.round(at)}`);
    }
    if (kind === 'cancel' && stage === 'open') violations.push('cancelled, and told it is open');
    if (stage === 'aborted' && !this.cancelRequested.has(job)) violations.push('cancelled without a request');
    return violations;
  }
}
