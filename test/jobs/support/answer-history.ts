/** Checks every answer to users against those that any controller gave before its request. */
import type { HttpResponse } from '../../../src/http/server.ts';

export type RequestKind = 'submit' | 'poll' | 'cancel';

/** Progress of a job according to an answer; no answer may be behind an earlier one. */
export type Stage = 'unknown' | 'open' | 'done' | 'aborted';

const STAGE_RANK: Record<Stage, number> = { unknown: 0, open: 1, done: 2, aborted: 2 };
const TERMINAL_RANK = 2;

/** A user's request and, once it is there, the answer. */
export interface UserRequest {
  /** When it was sent, in simulated milliseconds. */
  at: number;
  node: number;
  kind: RequestKind;
  job: number;
  answer: HttpResponse | null;
}

/** The stage in an answer, or null if it has none. */
function stageOf(answer: HttpResponse): Stage | null {
  if (answer.status === 404) return 'unknown';
  if (answer.status !== 200 && answer.status !== 201) return null;
  const { stage } = JSON.parse(answer.body) as { stage: string };
  return stage === 'done' || stage === 'aborted' ? stage : 'open';
}

/** The answers so far, and the violations found in them. */
export class AnswerHistory {
  readonly violations: string[] = [];
  /** How many answers had each stage. */
  readonly counts: Record<Stage, number> = { unknown: 0, open: 0, done: 0, aborted: 0 };
  private readonly newest = new Map<number, Stage>();
  private readonly cancelRequested = new Set<number>();

  /** The most advanced stage in all answers about a job. */
  newestStage(job: number): Stage {
    return this.newest.get(job) ?? 'unknown';
  }

  recordRequest({ kind, job }: UserRequest): void {
    if (kind === 'cancel') this.cancelRequested.add(job);
  }

  /**
   * Records an answer. `before`: the newest stage when its request was sent. `at`: time of the answer in simulated ms.
   * Returns whether the answer advanced the newest stage.
   */
  recordAnswer(request: UserRequest, answer: HttpResponse, before: Stage, at: number): boolean {
    const stage = stageOf(answer);
    if (!stage) return false;
    this.counts[stage] += 1;
    for (const violation of this.violationsOf(request, stage, before, at)) {
      this.violations.push(
        `job ${request.job} at ${Math.round(request.at)} (${request.kind}) of ${request.node}: ${violation}`,
      );
    }
    if (STAGE_RANK[stage] <= STAGE_RANK[this.newestStage(request.job)]) return false;
    this.newest.set(request.job, stage);
    return true;
  }

  private violationsOf({ kind, job }: UserRequest, stage: Stage, before: Stage, at: number): string[] {
    const violations: string[] = [];
    const otherOutcome =
      STAGE_RANK[stage] === TERMINAL_RANK && STAGE_RANK[before] === TERMINAL_RANK && stage !== before;
    if (STAGE_RANK[stage] < STAGE_RANK[before] || otherOutcome) {
      violations.push(`was ${before}, then ${stage} at ${Math.round(at)}`);
    }
    if (kind === 'cancel' && stage === 'open') violations.push('cancelled, but answered as open');
    if (stage === 'aborted' && !this.cancelRequested.has(job)) violations.push('cancelled without a request');
    return violations;
  }
}
