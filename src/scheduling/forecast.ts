import { required } from '../base/required.ts';
import type { JobRequest } from '../wire/user.ts';

interface ClassHistory {
  arrivals: number[];
  tasks: number[];
  latest: JobRequest;
}

/** Tasks that are likely to arrive, with the latest job of their class as a pattern. */
export interface ExpectedTasks {
  template: JobRequest;
  /** Tasks for which room should be at hand. */
  tasks: number;
}

const WINDOW_MS = 300_000;
/** Before this much has been watched, a rate would be a guess from too little. */
const MIN_OBSERVATION_MS = 60_000;
const MAX_QUIET_GAPS = 6;

/**
 * What is likely to arrive while a machine boots, for classes whose tasks are expected to start within a
 * bound. Jobs leave about as fast as they come, so what must be kept at hand is the swing of arrivals, which
 * for independent users grows with the root of their number.
 */
export class ArrivalForecast {
  private readonly classes = new Map<string, ClassHistory>();
  private firstAt = Infinity;

  constructor(private readonly watchedClasses: ReadonlySet<string>) {}

  isWatched(className: string): boolean {
    return this.watchedClasses.has(className);
  }

  /** Takes in an arrival by the time of day, so that jobs of an earlier leader count as well. */
  record(job: JobRequest, atMs: number): void {
    if (!this.watchedClasses.has(job.className)) return;
    this.firstAt = Math.min(this.firstAt, atMs);
    const history = this.classes.get(job.className);
    if (!history) {
      this.classes.set(job.className, { arrivals: [atMs], tasks: [job.tasks], latest: job });
      return;
    }
    history.arrivals.push(atMs);
    history.tasks.push(job.tasks);
    if (history.tasks.length > 20) history.tasks.shift();
    history.latest = job;
  }

  expectedTasks(
    nowMs: number,
    bootS: (job: JobRequest) => number,
    fluctuationFactor: number,
  ): ExpectedTasks[] {
    const expected: ExpectedTasks[] = [];
    for (const history of this.classes.values()) {
      const last = required(history.arrivals.at(-1), 'arrival of a noted class');
      while (last - (history.arrivals[0] ?? last) > WINDOW_MS) history.arrivals.shift();
      const spanMs = Math.min(WINDOW_MS, Math.max(MIN_OBSERVATION_MS, last - this.firstAt));
      const perMs = history.arrivals.length / spanMs;
      // When the class has gone quiet for much longer than its usual gap, room kept for it is paid for nothing.
      if (nowMs - last > MAX_QUIET_GAPS / perMs) continue;
      const jobs = fluctuationFactor * Math.sqrt(perMs * bootS(history.latest) * 1000);
      const meanTasks = history.tasks.reduce((a, b) => a + b, 0) / history.tasks.length;
      const tasks = Math.round(jobs * meanTasks);
      if (tasks > 0) expected.push({ template: history.latest, tasks });
    }
    return expected;
  }
}
