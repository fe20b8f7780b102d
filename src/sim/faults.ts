/** Which controller a trouble strikes: the one that leads at that moment, another, or one by number. */
export type NodeChoice = 'leader' | 'follower' | number;

/** Which machines a trouble strikes: so many from a place in the list of those that are there, or a whole zone. */
export type MachineChoice = { from: number; count: number } | { zone: string };

/** A trouble. `atS` and `forS` are seconds of the day; `share` is a part of 1. */
export type Fault = { atS: number; forS: number } & FaultKind;

type FaultKind =
  /** The process ends and starts again after `forS`. */
  | { kind: 'crash'; node: NodeChoice }
  | { kind: 'crash_all' }
  /** The process stands still while its clock runs on. */
  | { kind: 'stall'; node: NodeChoice }
  /** The state service answers one controller alone with 503. */
  | { kind: 'state_refuses'; node: NodeChoice }
  | { kind: 'state_outage' }
  | { kind: 'state_slow' }
  /** Transactions without an answer, carried out at once or seconds later and after newer ones. */
  | { kind: 'late_writes'; share: number; atOnce: boolean }
  /** Copies of reports reach every controller later, or as a new leader begins. */
  | { kind: 'late_reports'; share: number; forNext: boolean }
  /** Direct commands are held up for seconds, carried out once and not answered. */
  | { kind: 'late_commands'; share: number }
  /** A controller loses the state service and the other controllers, or its workers, or its users. */
  | { kind: 'node_cut'; node: NodeChoice; from: ('state' | 'peers' | 'workers' | 'users' | 'cloud')[] }
  /** A zone and the rest of the world don't reach each other. */
  | { kind: 'zone_cut'; zone: string }
  /** Machines and controllers don't reach each other; packets are held. */
  | { kind: 'machine_cut'; machines: MachineChoice }
  | { kind: 'machine_hang'; machines: MachineChoice }
  | { kind: 'machine_die'; machines: MachineChoice }
  /** The cloud takes machines away after a notice of `forS`. */
  | { kind: 'machine_notice'; machines: MachineChoice }
  /** Their reports arrive; answers and direct commands to them are lost. */
  | { kind: 'machine_deaf'; machines: MachineChoice }
  /** They can't open connections to any controller, while direct commands reach them. */
  | { kind: 'machine_mute'; machines: MachineChoice }
  /** New machines are up within two seconds. */
  | { kind: 'quick_boots' }
  | { kind: 'cloud_trouble' }
  /** Users ask every controller within milliseconds after a job was accepted or ended, and repeat submissions. */
  | { kind: 'close_looks' }
  | { kind: 'cancel_at_end'; share: number }
  /** Users call off so many running jobs at once; up to eight of their machines then hang for `hangS`. */
  | { kind: 'cancel_now'; count: number; hangS: number }
  /** Repeated and bad submissions, cancellations of jobs that are over, questions about jobs that don't exist. */
  | { kind: 'odd_requests' };

/** How long after its beginning a trouble may still have effects, in seconds. */
export function aftermathS(fault: Fault, leaseS: number): number {
  switch (fault.kind) {
    case 'late_writes':
      return fault.forS + 12;
    case 'late_reports':
      return fault.forS + leaseS * 2.5;
    case 'late_commands':
      return fault.forS + 16;
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
