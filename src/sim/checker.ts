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
  /** A job that lacks a field or can't run was accepted. */
  | 'wrongly_accepted'
  /** A valid job was finally refused, or an invalid one was refused with the wrong status. */
  | 'wrongly_refused'
  /** A job waits after the end of all faults although machines have capacity for it. */
  | 'left_waiting'
  /** Less than half of the jobs of a class, of a team, or of the largest jobs of a class is served. */
  | 'unserved';

/** A broken rule, its simulated time, and the job that it concerns; null: no particular job. */
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

/** Settings and times of the day that the rules depend on. */
export interface RuleContext {
  teams: readonly TeamLimit[];
  /** Tasks of a cancelled job must end within this time after the confirmation. */
  cancelMs: number;
  /** When the effects of all injected faults are over. */
  faultsEndMs: number;
  endMs: number;
}

/** Checks all rules on the events of a day, which are in the order of time. Returns the violations in that order. */
export function checkRules(events: readonly SimEvent[], context: RuleContext): Violation[] {
  return [
    ...checkPlacements(events, context),
    ...checkAnswers(events),
    ...checkService(events, context),
  ].sort((a, b) => a.atMs - b.atMs);
}

const MAX_LISTED_EVENTS = 60;

/** Formats the last events up to a violation: those of its job, faults and changes of leadership. */
export function formatEventsBefore(events: readonly SimEvent[], violation: Violation): string[] {
  const requests = new Set<number>();
  const related = events.filter((event) => {
    if (event.at > violation.atMs) return false;
    if (event.kind === 'fault' || event.kind === 'leader') return true;
    if (event.kind === 'asked' && event.job === violation.job) requests.add(event.request);
    if ('request' in event) return requests.has(event.request);
    return 'job' in event && event.job === violation.job;
  });
  return related.slice(-MAX_LISTED_EVENTS).map(formatEvent);
}
