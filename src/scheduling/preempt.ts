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

/** A task on a machine that may be stopped for others; `item` is whatever the caller knows it by. */
export interface PreemptionCandidate<T> {
  item: T;
  priority: number;
  team: number;
  /** Its job is run in excess of its own team's guarantee. */
  beyondGuarantee: boolean;
  stopping: boolean;
  need: Resources;
  /** Seconds of work that stopping it loses. */
  lossS: number;
}

/**
 * May this task be stopped for that group? By rank at once. To give a team its guarantee only after a while:
 * machines that end their tasks or that are rented mostly bring it sooner, and stopping loses work.
 */
function mayPreempt(
  group: TaskGroup,
  victim: PreemptionCandidate<unknown>,
  guaranteeAfterMs: number,
): boolean {
  if (victim.priority < group.priority) return true;
  if (group.waitedMs < guaranteeAfterMs) return false;
  return group.guaranteed && victim.beyondGuarantee && victim.team !== group.team;
}

/**
 * Picks the tasks to stop so that a group finds room, on the machines where least is lost. Room that is
 * already being made counts first, so that a round that comes while tasks save doesn't stop more; null: it is
 * enough. Empty: stopping others can't make enough.
 */
export function selectVictims<T>(
  group: TaskGroup,
  waitingTasks: number,
  machines: readonly MachineSnapshot[],
  victimsOn: (machine: number) => PreemptionCandidate<T>[],
  quotaHeadroom: readonly QuotaHeadroom[],
  guaranteeAfterMs: number,
  reserved: ReadonlyMap<number, number>,
  /** Takes the machines that the group will find its room on, those with room already included. */
  chosenMachines = new Set<number>(),
): T[] | null {
  let tasksLeft = Math.min(
    waitingTasks,
    countTasksWithinQuota(group.need, required(quotaHeadroom[group.team], 'room of the team')),
  );
  if (group.gang && tasksLeft < group.pending) return [];
  const plans: { machine: number; items: T[]; count: number; loss: number; zone: number }[] = [];
  for (const snapshot of machines) {
    if (snapshot.bootsInS > 0 || group.excludedMachines.has(snapshot.machine)) continue;
    // A machine kept free for another job would take that job's tasks, and the stopped ones would come to nothing.
    const holder = reserved.get(snapshot.machine);
    if (holder !== undefined && holder !== group.job) continue;
    if (snapshot.spot && !group.spot) continue;
    if (group.zone >= 0 && group.zone !== snapshot.zone) continue;
    if (group.types && !group.types.has(snapshot.type)) continue;
    const free = { ...snapshot.free };
    const victims = victimsOn(snapshot.machine);
    for (const v of victims) if (v.stopping) allocate(free, v.need, -1);
    const fittingTasks = countFittingTasks(group.need, free);
    if (fittingTasks > 0) {
      // Free room, or room that is being made: the next rounds will use it.
      if (tasksLeft > 0) chosenMachines.add(snapshot.machine);
      tasksLeft -= Math.min(tasksLeft, fittingTasks);
      continue;
    }
    const candidates = victims.filter((v) => !v.stopping && mayPreempt(group, v, guaranteeAfterMs));
    candidates.sort((a, b) => a.priority - b.priority || a.lossS - b.lossS);
    const items: T[] = [];
    let loss = 0;
    for (const candidate of candidates) {
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
  // A gang gains nothing from room for a part of it.
  return group.gang && tasksLeft > 0 ? [] : chosen;
}
