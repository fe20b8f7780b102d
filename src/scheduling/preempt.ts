/** The choice of running tasks to be stopped to free capacity for a waiting group. */
import { required } from '../base/required.ts';
import {
  countFittingTasks,
  allocate,
  countTasksWithinQuota,
  type TaskGroup,
  type MachineSnapshot,
  type Resources,
  type QuotaHeadroom,
} from './snapshot.ts';

/** A task on a machine that may be stopped to free capacity. */
export interface PreemptionCandidate<T> {
  /** The caller's object for the task. */
  item: T;
  priority: number;
  team: number;
  /** Its job runs in excess of its own team's guarantee. */
  beyondGuarantee: boolean;
  /** It has already been requested to stop. */
  stopping: boolean;
  need: Resources;
  /** Seconds of work that stopping it loses. */
  lossS: number;
}

/**
 * Whether the task may be stopped for the group: at once for a group of higher priority, and to give a team its
 * guarantee once the group has waited for `guaranteeAfterMs`. Before that, tasks that end and machines that are rented
 * mostly provide the capacity anyway, and stopping tasks loses work.
 */
function mayPreempt(
  group: TaskGroup,
  candidate: PreemptionCandidate<unknown>,
  guaranteeAfterMs: number,
): boolean {
  if (candidate.priority < group.priority) return true;
  if (group.waitedMs < guaranteeAfterMs) return false;
  return group.guaranteed && candidate.beyondGuarantee && candidate.team !== group.team;
}

/**
 * Selects the tasks to stop so that a group finds free capacity, on the machines where the least work is lost. Capacity
 * that is free or being freed counts first, so that a round doesn't stop further tasks while those that are already
 * being stopped save their checkpoints.
 *
 * Returns null if that capacity is enough, and an empty list if stopping tasks frees none or, for a gang, not enough.
 */
export function selectVictims<T>(
  group: TaskGroup,
  waitingTasks: number,
  machines: readonly MachineSnapshot[],
  candidatesOn: (machine: number) => PreemptionCandidate<T>[],
  quotaHeadroom: readonly QuotaHeadroom[],
  guaranteeAfterMs: number,
  reserved: ReadonlyMap<number, number>,
  /** Receives the machines whose capacity the group will use, including those where it is free already. */
  chosenMachines = new Set<number>(),
): T[] | null {
  let tasksLeft = Math.min(
    waitingTasks,
    countTasksWithinQuota(group.need, required(quotaHeadroom[group.team], 'quota headroom of the team')),
  );
  if (group.gang && tasksLeft < group.pending) return [];
  const plans: { machine: number; items: T[]; count: number; loss: number; zone: number }[] = [];
  for (const snapshot of machines) {
    if (snapshot.bootsInS > 0 || group.excludedMachines.has(snapshot.machine)) continue;
    // A machine reserved for another job takes that job's tasks: stopping tasks there frees nothing for this group.
    const reservedFor = reserved.get(snapshot.machine);
    if (reservedFor !== undefined && reservedFor !== group.job) continue;
    if (snapshot.spot && !group.spot) continue;
    if (group.zone >= 0 && group.zone !== snapshot.zone) continue;
    if (group.types && !group.types.has(snapshot.type)) continue;
    const free = { ...snapshot.free };
    const candidates = candidatesOn(snapshot.machine);
    for (const candidate of candidates) if (candidate.stopping) allocate(free, candidate.need, -1);
    const fittingTasks = countFittingTasks(group.need, free);
    if (fittingTasks > 0) {
      // Capacity that is free or being freed: the next rounds use it.
      if (tasksLeft > 0) chosenMachines.add(snapshot.machine);
      tasksLeft -= Math.min(tasksLeft, fittingTasks);
      continue;
    }
    const preemptible = candidates.filter((v) => !v.stopping && mayPreempt(group, v, guaranteeAfterMs));
    preemptible.sort((a, b) => a.priority - b.priority || a.lossS - b.lossS);
    const items: T[] = [];
    let loss = 0;
    for (const candidate of preemptible) {
      if (countFittingTasks(group.need, free) > 0) break;
      allocate(free, candidate.need, -1);
      items.push(candidate.item);
      loss += candidate.lossS + 2;
    }
    const count = countFittingTasks(group.need, free);
    if (count > 0 && items.length > 0)
      plans.push({ machine: snapshot.machine, items, count, loss, zone: snapshot.zone });
  }
  if (tasksLeft <= 0) return null;
  plans.sort((a, b) => a.loss / a.count - b.loss / b.count);
  const chosen: T[] = [];
  const zone = group.oneZone ? plans[0]?.zone : undefined;
  for (const plan of plans) {
    if (tasksLeft <= 0) break;
    if (zone !== undefined && plan.zone !== zone) continue;
    chosen.push(...plan.items);
    chosenMachines.add(plan.machine);
    tasksLeft -= plan.count;
  }
  // Capacity for only a part of a gang is useless.
  return group.gang && tasksLeft > 0 ? [] : chosen;
}
