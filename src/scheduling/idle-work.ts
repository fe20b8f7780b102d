/** What a machine runs that nobody waits for. */
export interface IdleTask {
  /** Greatest hourly price that the task is worth, in the cloud's currency. */
  maxPrice: number;
  /** Seconds until it ends, by its owner's estimate. */
  remainingS: number;
  /** Seconds of its work that are lost if it is stopped now. */
  lossS: number;
}

/** Seconds for which a machine is still paid once its tasks have been told to stop. */
const TERMINATION_DELAY_S = 15;

/**
 * Whether a machine whose only tasks are these is worth its price until they end. If not, they had better be stopped
 * and done elsewhere: a machine with accelerators was once kept up for minutes for a task that needs none.
 *
 * `price`: of the machine, an hour.
 */
export function isWorthKeeping(price: number, tasks: readonly IdleTask[]): boolean {
  let remainingS = 0;
  let costElsewhere = 0;
  for (const task of tasks) {
    remainingS = Math.max(remainingS, task.remainingS);
    costElsewhere += task.maxPrice * (task.remainingS + task.lossS);
  }
  return price * remainingS <= costElsewhere + price * TERMINATION_DELAY_S;
}
