import { required } from '../base/required.ts';
import type { TaskGroup } from './snapshot.ts';

/** The work that waits, of each job against what the jobs of its class have on average. */
export class MeanWork {
  private readonly records: { group: TaskGroup; className: string; work: number; perTask: boolean }[] = [];

  /** `work`: in seconds of tasks. `perTask`: what is expected is expected of each task, so size doesn't matter. */
  record(group: TaskGroup, className: string, work: number, perTask: boolean): void {
    this.records.push({ group, className, work, perTask });
  }

  /** Sets each group's size: its work in times of its class's mean. */
  setRelativeWork(): void {
    const classes = new Map<string, { sum: number; count: number }>();
    for (const { className, work } of this.records) {
      const total = classes.get(className) ?? { sum: 0, count: 0 };
      classes.set(className, { sum: total.sum + work, count: total.count + 1 });
    }
    for (const { group, className, work, perTask } of this.records) {
      const { sum, count } = required(classes.get(className), 'sum of the class');
      if (!perTask && sum > 0) group.relativeWork = (work * count) / sum;
    }
  }
}
