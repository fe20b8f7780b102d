/** Tells network partitions from failures of single machines, by how many machines are missing at the same time. */
import { hasBeenInContact, isMissing, type LivenessContext } from './liveness.ts';
import type { Machine } from './machine.ts';

/** Fewer missing machines say nothing of a partition. */
export const MIN_MISSING_MACHINES = 3;
/** Share of the machines once in contact that are missing when this node itself is cut off. */
const NEARLY_ALL_RATIO = 0.75;

/** What one check found of the machines of a zone. */
export interface ZoneSurvey {
  total: number;
  missing: number;
  /** At least one of them has been in contact within a heartbeat interval. */
  inContact: boolean;
}

/** What one check found of all machines. */
export interface Survey {
  /** By zone index, in the order of the first machine of each zone. */
  readonly zones: ReadonlyMap<number, ZoneSurvey>;
  /** Machines that have been in contact since this controller listens. */
  readonly contacted: number;
  /** Those of them that are missing now. */
  readonly contactLost: number;
}

/** How the reachability of a zone changes. */
export type ZoneTransition = 'becameUnreachable' | 'becameReachable' | 'unchanged';

/** Counts the machines that are missing, by zone and in all. */
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
 * Many missing machines of one zone point to a partition. Once they are terminated nobody is left there to tell, so
 * the zone stays unreachable until one of its machines is in contact: the provisioner keeps one on trial. Machines once
 * went on being provisioned there for as long as a partition lasted, to be paid for and never to come up.
 */
export function decideZoneTransition(zone: ZoneSurvey, unreachable: boolean): ZoneTransition {
  const mostAreMissing = zone.missing * 2 > zone.total;
  if (!unreachable)
    return mostAreMissing && zone.missing >= MIN_MISSING_MACHINES ? 'becameUnreachable' : 'unchanged';
  return zone.inContact && !mostAreMissing ? 'becameReachable' : 'unchanged';
}

/** Nearly all machines are missing: perhaps only this node is cut off, and the workers reach others. */
export function hasLostNearlyAll({ contacted, contactLost }: Survey): boolean {
  return contactLost >= MIN_MISSING_MACHINES && contactLost >= contacted * NEARLY_ALL_RATIO;
}
