import { required } from '../base/required.ts';
import type { JobRequest } from '../wire/user.ts';

interface ClassHistory {
  arrivals: number[];
  tasks: number[];
  latest: JobRequest;
}

/** Tasks that are likely to arrive, with the latest job of their class as a pattern. */
export interface Expected {
  like: JobRequest;
  /** Tasks for which room should be at hand. */
  tasks: number;
}

const WINDOW_MS = 300_000;
/** Before this much has been watched, a rate would be a guess from too little. */
const SETTLE_MS = 60_000;
const QUIET_GAPS = 6;

/**
 * What is likely to arrive while a machine boots, for classes whose tasks are expected to start within a
 * bound. Jobs leave about as fast as they come, so what must be kept at hand is the swing of arrivals, which
 * for independent users grows with the root of their number.
 */
export class ArrivalForecast {
  private readonly classes = new Map<string, ClassHistory>();
  private firstAt = Infinity;

  constructor(private readonly watched: ReadonlySet<string>) {}

  watches(className: string): boolean {
    return this.watched.has(className);
  }

  /** Takes in an arrival by the time of day, so that jobs of an earlier leader count as well. */
  note(job: JobRequest, atMs: number): void {
    if (!this.watched.has(job.className)) return;
    this.firstAt = Math.min(this.firstAt, atMs);
    const known = this.classes.get(job.className);
    if (!known) {
      this.classes.set(job.className, { arrivals: [atMs], tasks: [job.tasks], latest: job });
      return;
    }
    known.arrivals.push(atMs);
    known.tasks.push(job.tasks);
    if (known.tasks.length > 20) known.tasks.shift();
    known.latest = job;
  }

  expected(nowMs: number, bootS: (job: JobRequest) => number, swing: number): Expected[] {
    const found: Expected[] = [];
    for (const history of this.classes.values()) {
      const last = required(history.arrivals.at(-1), 'arrival of a noted class');
      while (last - (history.arrivals[0] ?? last) > WINDOW_MS) history.arrivals.shift();
      const spanMs = Math.min(WINDOW_MS, Math.max(SETTLE_MS, last - this.firstAt));
      const perMs = history.arrivals.length / spanMs;
      // When the class has gone quiet for much longer than its usual gap, room kept for it is paid for nothing.
      if (nowMs - last > QUIET_GAPS / perMs) continue;
      const jobs = swing * Math.sqrt(perMs * bootS(history.latest) * 1000);
      const mean = history.tasks.reduce((a, b) => a + b, 0) / history.tasks.length;
      const tasks = Math.round(jobs * mean);
      if (tasks > 0) found.push({ like: history.latest, tasks });
    }
    return found;
  }
}
