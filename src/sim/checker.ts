import { checkAnswers } from './check-answers.ts';
import { checkPlacements } from './check-placements.ts';
import { checkService } from './check-service.ts';
import { formatEvent, type SimEvent } from './events.ts';

/** A rule of PROTOCOL, or an end-of-day check. */
export type Rule =
  | 'ran_twice'
  | 'quota'
  | 'wrong_place'
  | 'ran_cancelled'
  | 'forgotten'
  | 'invented'
  | 'not_done'
  | 'went_back'
  | 'nothing_ran'
  /** A job that lacks a field or can't run was accepted, or refused with the wrong status. */
  | 'wrongly_accepted'
  /** A good job was refused for good. */
  | 'wrongly_refused'
  /** Once the troubles are over a job waits although a machine that fits has room. */
  | 'left_waiting'
  /** Less than half of a class, a team or a class's largest jobs is served. */
  | 'unserved';

/** A rule that was broken: when, by the clock of the day, and for which job; null: none in particular. */
export interface Violation {
  rule: Rule;
  atMs: number;
  job: string | null;
  text: string;
}

interface TeamLimit {
  name: string;
  /** 0: no limit. */
  cpus_max: number;
  gpus_max: number;
}

/** What the checker knows beside the events. */
export interface RuleContext {
  teams: readonly TeamLimit[];
  cancelMs: number;
  /** From here on all troubles are over. */
  calmAtMs: number;
  endMs: number;
}

/** Judges a day by what users and workers saw, in the order of time. */
export function check(events: readonly SimEvent[], context: RuleContext): Violation[] {
  return [
    ...checkPlacements(events, context),
    ...checkAnswers(events),
    ...checkService(events, context),
  ].sort((a, b) => a.atMs - b.atMs);
}

const TRAIL_LENGTH = 60;

/** The events that led to a violation: those of its job, of troubles and of changes of leadership. */
export function trail(events: readonly SimEvent[], violation: Violation): string[] {
  const requests = new Set<number>();
  const matters = events.filter((event) => {
    if (event.at > violation.atMs) return false;
    if (event.kind === 'fault' || event.kind === 'leader') return true;
    if (event.kind === 'asked' && event.job === violation.job) requests.add(event.request);
    if ('request' in event) return requests.has(event.request);
    return 'job' in event && event.job === violation.job;
  });
  return matters.slice(-TRAIL_LENGTH).map(formatEvent);
}
