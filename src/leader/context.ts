import type { Clock } from '../base/clock.ts';
import type { NameIndex } from '../base/name-index.ts';
import type { Logger } from '../base/log.ts';
import type { Settings } from '../config/settings.ts';
import type { Options } from '../config/options.ts';
import type { Catalog } from '../fleet/catalog.ts';
import type { Cloud } from '../fleet/cloud.ts';
import type { TeamQuota } from '../jobs/admission.ts';
import type { LeaderWriter } from '../store/leader-writer.ts';
import type { JobStatus } from '../wire/user.ts';
import type { Command } from '../wire/worker.ts';
import type { Machine } from '../workers/machine.ts';
import type { CommandResult, InspectResult } from '../workers/worker-client.ts';

/** What the leader does to the world; all of it goes through here, so tests can watch. */
export interface LeaderHost {
  clock: Clock;
  log: Logger;
  /** True while no other node can hold the leader key. */
  hasValidLease(): boolean;
  /** Sends commands straight to a worker. */
  sendCommands(machine: Machine, commands: Command[]): Promise<CommandResult>;
  inspect(machine: Machine): Promise<InspectResult>;
  onTerminalState(id: string, status: JobStatus): void;
  isTerminal(id: string): boolean;
  /** The final record of a job may be in the store, though its write isn't confirmed yet. */
  outcomeMayBeWritten(id: string): boolean;
  /** Something changed: schedule a batch. */
  enqueue(command: () => void): void;
  pause(ms: number): Promise<void>;
  superseded(): void;
  /** This node hears next to no worker; if others do, one of them should lead. */
  lostAllWorkers(): void;
  /** Milliseconds since a worker last reported to this controller itself, not by way of a follower. */
  directHeartbeatAgeMs(): number;
  /** How late this process gets to its work. */
  lagMs(): number;
}

export interface LeaderDeps {
  host: LeaderHost;
  settings: Settings;
  options: Options;
  teams: readonly TeamQuota[];
  zones: NameIndex;
  catalog: Catalog;
  cloud: Cloud;
  writer: LeaderWriter;
  term: number;
  heartbeatGraceMs: number;
}
