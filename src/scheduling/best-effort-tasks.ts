/** A running best-effort task that can be stopped without missing an objective. */
export interface BestEffortTask {
  /** Highest hourly price at which the task is worth running, in the cloud's currency. */
  maxPrice: number;
  /** Seconds until it ends, by the user's estimate. */
  remainingS: number;
  /** Seconds of its work that are lost if it is stopped now. */
  lossS: number;
}

/** Seconds for which a machine is still paid for after its tasks have been requested to stop. */
const TERMINATION_DELAY_S = 15;

/**
 * Whether a machine that runs only these tasks is worth its price until they end. If not, it is cheaper to stop them
 * and run them elsewhere: a machine with accelerators would otherwise stay up for minutes for a task that needs none.
 *
 * @param price hourly price of the machine
 */
export function isWorthKeeping(price: number, tasks: readonly BestEffortTask[]): boolean {
  let remainingS = 0;
  let costElsewhere = 0;
  for (const task of tasks) {
    remainingS = Math.max(remainingS, task.remainingS);
    costElsewhere += task.maxPrice * (task.remainingS + task.lossS);
  }
  return price * remainingS <= costElsewhere + price * TERMINATION_DELAY_S;
}
