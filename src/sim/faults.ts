import type { RepeatedRequestKind } from './repeats.ts';

/** The controller that a fault affects: the current leader, a follower, or a controller by its index. */
export type NodeChoice = 'leader' | 'follower' | number;

/** The machines that a fault affects: `count` machines from index `from` of the list of machines, or a whole zone. */
export type MachineChoice = { from: number; count: number } | { zone: string };

/** A fault: it begins `atS` seconds into the day and lasts `forS` seconds. `share` is from 0 to 1. */
export type Fault = { atS: number; forS: number } & FaultKind;

type FaultKind =
  /** The process ends and starts again after `forS` seconds. */
  | { kind: 'crash'; node: NodeChoice }
  | { kind: 'crash_all' }
  /** The process stalls while its clock runs on. */
  | { kind: 'stall'; node: NodeChoice }
  /** The state service answers only this controller with 503. */
  | { kind: 'state_refuses'; node: NodeChoice }
  | { kind: 'state_outage' }
  | { kind: 'state_slow' }
  /** Transactions whose answer is lost; they are applied at once, or seconds later and so after newer transactions. */
  | { kind: 'late_writes'; share: number; atOnce: boolean }
  /** Copies of heartbeats reach every controller seconds later, or right after the next leader is elected. */
  | { kind: 'late_reports'; share: number; untilNextLeader: boolean }
  /** Direct commands arrive seconds late, are executed once, and their answers are lost. */
  | { kind: 'late_commands'; share: number }
  /**
   * Requests that were answered arrive once more, or several times, each time from `minDelayS` to `maxDelayS` seconds
   * after the answer or the copy before. `share` also is the probability that a copy is followed by another one.
   */
  | {
      kind: 'repeated_requests';
      of: RepeatedRequestKind;
      share: number;
      minDelayS: number;
      maxDelayS: number;
    }
  /** A controller and the listed parties don't reach each other; messages are held. */
  | { kind: 'node_cut'; node: NodeChoice; from: ('state' | 'peers' | 'workers' | 'users' | 'cloud')[] }
  /** A zone and the hosts outside of it don't reach each other; messages are held. */
  | { kind: 'zone_cut'; zone: string }
  /** The machines and all other hosts don't reach each other; messages are held. */
  | { kind: 'machine_cut'; machines: MachineChoice }
  | { kind: 'machine_hang'; machines: MachineChoice }
  | { kind: 'machine_die'; machines: MachineChoice }
  /** The cloud reclaims the machines after a notice of `forS` seconds. */
  | { kind: 'machine_notice'; machines: MachineChoice }
  /** The machines' heartbeats arrive, while answers and direct commands to the machines are lost. */
  | { kind: 'machine_deaf'; machines: MachineChoice }
  /** The machines' connections to controllers are refused, while direct commands reach the machines. */
  | { kind: 'machine_mute'; machines: MachineChoice }
  /**
   * The machines are away for `forS` seconds and refuse connections. Their workers come back as they were, or `emptied`:
   * without tasks, and with incarnation, sequence number and token from the beginning.
   */
  | { kind: 'machine_restart'; machines: MachineChoice; emptied: boolean }
  /** New machines are up within two seconds. */
  | { kind: 'quick_boots' }
  | { kind: 'cloud_trouble' }
  /** Users send bursts of polls and repeated submissions to every controller after a job was accepted or has ended. */
  | { kind: 'close_looks' }
  /** Users cancel a share of the jobs just after the last task of the job has ended. */
  | { kind: 'cancel_at_end'; share: number }
  /** Users cancel `count` running jobs at once; up to eight machines of these jobs then hang for `hangS` seconds. */
  | { kind: 'cancel_now'; count: number; hangS: number }
  /** Users send repeated and invalid submissions, cancel jobs that have ended, and poll jobs that don't exist. */
  | { kind: 'odd_requests' };

/** How long after its beginning a fault may still have effects, in seconds. */
export function faultEffectS(fault: Fault, leaseS: number): number {
  switch (fault.kind) {
    case 'late_writes':
      return fault.forS + 12;
    case 'late_reports':
      return fault.forS + leaseS * 2.5;
    case 'late_commands':
      return fault.forS + 16;
    case 'repeated_requests':
      return fault.forS + fault.maxDelayS;
    case 'cancel_now':
      return Math.max(fault.forS, fault.hangS);
    case 'close_looks':
    case 'odd_requests':
    case 'quick_boots':
    case 'cancel_at_end':
      return 0;
    default:
      return fault.forS;
  }
}
