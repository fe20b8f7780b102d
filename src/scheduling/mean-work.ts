import { required } from '../base/required.ts';
import type { TaskGroup } from './snapshot.ts';

/** Relates the waiting work of each job to the mean of the jobs of its class. */
export class MeanWork {
  private readonly records: { group: TaskGroup; className: string; work: number; perTask: boolean }[] = [];

  /**
   * Records the waiting work of a group's job.
   *
   * @param work run time of all its waiting tasks, in seconds
   * @param perTask the objective is on each task rather than the job, so the amount of work doesn't matter
   */
  record(group: TaskGroup, className: string, work: number, perTask: boolean): void {
    this.records.push({ group, className, work, perTask });
  }

  /** Sets `relativeWork` of each recorded group, as a multiple of the mean of its class. */
  setRelativeWork(): void {
    const classes = new Map<string, { sum: number; count: number }>();
    for (const { className, work } of this.records) {
      const total = classes.get(className) ?? { sum: 0, count: 0 };
      classes.set(className, { sum: total.sum + work, count: total.count + 1 });
    }
    for (const { group, className, work, perTask } of this.records) {
      const { sum, count } = required(classes.get(className), 'total work of the class');
      if (!perTask && sum > 0) group.relativeWork = (work * count) / sum;
    }
  }
}
