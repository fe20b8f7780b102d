/** What a leadership needs from the controller that it runs in. */
import type { Clock } from '../base/clock.ts';
import type { Logger } from '../base/log.ts';
import type { NameIndex } from '../base/name-index.ts';
import type { Options } from '../config/options.ts';
import type { Settings } from '../config/settings.ts';
import type { Catalog } from '../fleet/catalog.ts';
import type { Cloud } from '../fleet/cloud.ts';
import type { TeamQuota } from '../jobs/admission.ts';
import type { LeaderWriter } from '../store/leader-writer.ts';
import type { JobStatus } from '../wire/user.ts';
import type { Command } from '../wire/worker.ts';
import type { FencingTokens } from '../workers/fencing-tokens.ts';
import type { Machine } from '../workers/machine.ts';
import type { CommandResult, InspectResult } from '../workers/worker-client.ts';

/** The effects of the leader on the outside, other than its writes and its requests to the cloud. */
export interface LeaderHost {
  clock: Clock;
  log: Logger;
  /** True while no other node can hold the leader key. */
  hasValidLease(): boolean;
  /** Sends commands directly to a worker, under a fencing token of this leadership. */
  sendCommands(machine: Machine, fencingToken: number, commands: Command[]): Promise<CommandResult>;
  /** Asks a worker for its state. */
  inspect(machine: Machine): Promise<InspectResult>;
  /** Called when the terminal record of a job is durable. */
  onTerminalState(id: string, status: JobStatus): void;
  /** Whether this controller knows a terminal state of the job. */
  isTerminal(id: string): boolean;
  /** Whether the terminal record of a job may be in the store, though its write isn't confirmed yet. */
  outcomeMayBeWritten(id: string): boolean;
  /** Puts a command into the command queue of the single writer; a batch follows. */
  enqueue(command: () => void): void;
  /** Resolves after a time in milliseconds. */
  pause(ms: number): Promise<void>;
  /** Called when a worker has seen a higher fencing token: another controller leads by now. */
  onSuperseded(): void;
  /** Called when this node hears from hardly any worker; a controller that still receives heartbeats should lead. */
  onAllWorkersLost(): void;
  /** Milliseconds since this controller last received a heartbeat that no follower relayed. */
  directHeartbeatAgeMs(): number;
  /** How far the event loop of this process lags, in milliseconds. */
  lagMs(): number;
}

/** The queue of a leadership's writes to the key-value store, which `LeaderWriter` implements. */
export type WriteQueue = Pick<LeaderWriter, 'enqueue' | 'stop' | 'backlog' | 'idle'>;

/** Everything that a leadership is constructed with. */
export interface LeaderDeps {
  host: LeaderHost;
  settings: Settings;
  options: Options;
  teams: readonly TeamQuota[];
  zones: NameIndex;
  catalog: Catalog;
  cloud: Cloud;
  writer: WriteQueue;
  /** The election term, which no other leadership has. */
  term: number;
  /** The fencing tokens on the messages of this leadership to workers. */
  tokens: FencingTokens;
  /** Milliseconds for which a leader without a valid lease still answers heartbeats. */
  heartbeatGraceMs: number;
}
