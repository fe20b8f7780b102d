import { required } from '../base/required.ts';
import type { JobRequest } from '../wire/user.ts';

interface ClassHistory {
  /** Wall-clock times of the arrivals within the window, in milliseconds, oldest first. */
  arrivals: number[];
  /** Numbers of tasks of the latest jobs. */
  tasks: number[];
  latest: JobRequest;
}

/** Tasks that are expected to arrive, with the latest job of their class as the template. */
export interface ExpectedTasks {
  template: JobRequest;
  /** Number of tasks for which free capacity should be held. */
  tasks: number;
}

/** Arrivals that are older than the latest one by more than this are dropped. */
const WINDOW_MS = 300_000;
/** An arrival rate is taken over at least this time: over less it would rest on too few arrivals. */
const MIN_OBSERVATION_MS = 60_000;
/** Mean gaps between arrivals after which a class counts as quiet. */
const MAX_QUIET_GAPS = 6;

/**
 * Forecasts the tasks that arrive while a machine boots, for classes with an objective on when their tasks start. Jobs
 * end about as fast as they arrive, so the free capacity to be held is for the fluctuation of arrivals, which for
 * independent users grows with the square root of their number.
 */
export class ArrivalForecast {
  private readonly classes = new Map<string, ClassHistory>();
  private firstAt = Infinity;

  constructor(private readonly watchedClasses: ReadonlySet<string>) {}

  isWatched(className: string): boolean {
    return this.watchedClasses.has(className);
  }

  /** Records an arrival by its wall-clock time, so that jobs accepted by an earlier leader count as well. */
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

  /**
   * Returns the expected tasks of each class that is not quiet.
   *
   * @param nowMs wall-clock time
   * @param bootS boot time of the machine for a job, in seconds
   * @param fluctuationFactor multiplies the square root of the number of jobs that arrive during a boot
   */
  expectedTasks(
    nowMs: number,
    bootS: (job: JobRequest) => number,
    fluctuationFactor: number,
  ): ExpectedTasks[] {
    const expected: ExpectedTasks[] = [];
    for (const history of this.classes.values()) {
      const last = required(history.arrivals.at(-1), 'latest arrival of the class');
      while (last - (history.arrivals[0] ?? last) > WINDOW_MS) history.arrivals.shift();
      const spanMs = Math.min(WINDOW_MS, Math.max(MIN_OBSERVATION_MS, last - this.firstAt));
      const perMs = history.arrivals.length / spanMs;
      // Capacity held for a class that has been quiet for much longer than its usual gap would be paid for without use.
      if (nowMs - last > MAX_QUIET_GAPS / perMs) continue;
      const jobs = fluctuationFactor * Math.sqrt(perMs * bootS(history.latest) * 1000);
      const meanTasks = history.tasks.reduce((a, b) => a + b, 0) / history.tasks.length;
      const tasks = Math.round(jobs * meanTasks);
      if (tasks > 0) expected.push({ template: history.latest, tasks });
    }
    return expected;
  }
}
