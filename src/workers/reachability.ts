/** Distinguishes network partitions from failures of single machines by the number of machines missing at a time. */
import { hasBeenInContact, isMissing, type LivenessContext } from './liveness.ts';
import type { Machine } from './machine.ts';

/** Fewer missing machines are no sign of a partition. */
export const MIN_MISSING_MACHINES = 3;
/** If this ratio of the machines that were in contact is missing, this controller itself may be cut off. */
const NEARLY_ALL_RATIO = 0.75;

/** The machines of a zone, as one check found them. */
export interface ZoneSurvey {
  total: number;
  missing: number;
  /** At least one machine of the zone has been in contact within the last heartbeat interval. */
  inContact: boolean;
}

/** All machines, as one check found them. */
export interface Survey {
  /** By zone index, in the order of the first machine of each zone. */
  readonly zones: ReadonlyMap<number, ZoneSurvey>;
  /** The number of machines that have been in contact since `listeningSince`. */
  readonly contacted: number;
  /** The number of contacted machines that are missing now. */
  readonly contactLost: number;
}

/** How the reachability of a zone changes. */
export type ZoneTransition = 'becameUnreachable' | 'becameReachable' | 'unchanged';

/** Counts the missing machines, by zone and in all. */
export function surveyMachines(machines: Iterable<Machine>, context: LivenessContext): Survey {
  const zones = new Map<number, ZoneSurvey>();
  let contacted = 0;
  let contactLost = 0;
  for (const machine of machines) {
    let zone = zones.get(machine.zone);
    if (!zone) {
      zone = { total: 0, missing: 0, inContact: false };
      zones.set(machine.zone, zone);
    }
    zone.total += 1;
    const missing = isMissing(machine, context);
    if (missing) zone.missing += 1;
    else if (context.now - machine.connectivity.lastRoundTripAt < context.heartbeatIntervalMs)
      zone.inContact = true;
    if (!hasBeenInContact(machine, context)) continue;
    contacted += 1;
    if (missing) contactLost += 1;
  }
  return { zones, contacted, contactLost };
}

/**
 * Decides how the reachability of a zone changes. Many missing machines of one zone point to a partition. Once they are
 * terminated, no machine is left there to show whether the partition lasts, so the zone stays unreachable until one of
 * its machines is in contact: the provisioner rents one machine at a time there to find out. Otherwise machines that
 * cost money and never come up would be provisioned there as long as the partition lasts.
 */
export function decideZoneTransition(zone: ZoneSurvey, unreachable: boolean): ZoneTransition {
  const mostAreMissing = zone.missing * 2 > zone.total;
  if (!unreachable)
    return mostAreMissing && zone.missing >= MIN_MISSING_MACHINES ? 'becameUnreachable' : 'unchanged';
  return zone.inContact && !mostAreMissing ? 'becameReachable' : 'unchanged';
}

/** Whether nearly all machines are missing: perhaps only this controller is cut off, and workers reach the others. */
export function hasLostNearlyAll({ contacted, contactLost }: Survey): boolean {
  return contactLost >= MIN_MISSING_MACHINES && contactLost >= contacted * NEARLY_ALL_RATIO;
}
