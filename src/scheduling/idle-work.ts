/** What a machine runs that nobody waits for. */
export interface IdleTask {
  /** Greatest hourly price that the task is worth, in the cloud's currency. */
  worth: number;
  /** Seconds until it ends, by its owner's estimate. */
  remainS: number;
  /** Seconds of its work that are lost if it is stopped now. */
  lossS: number;
}

/** Seconds for which a machine is still paid once its tasks have been told to stop. */
const RETURN_S = 15;

/**
 * Whether a machine whose only tasks are these is worth its price until they end. If not, they had better be stopped
 * and done elsewhere: a machine with accelerators was once kept up for minutes for a task that needs none.
 *
 * `price`: of the machine, an hour.
 */
export function worthKeeping(price: number, tasks: readonly IdleTask[]): boolean {
  let remainS = 0;
  let elsewhere = 0;
  for (const task of tasks) {
    remainS = Math.max(remainS, task.remainS);
    elsewhere += task.worth * (task.remainS + task.lossS);
  }
  return price * remainS <= elsewhere + price * RETURN_S;
}
