/** One leadership of this controller, from the election that won it to its end. */
import type { NameIndex } from '../base/name-index.ts';
import type { Catalog } from '../fleet/catalog.ts';
import type { CloudClient } from '../fleet/cloud.ts';
import type { TeamQuota } from '../jobs/admission.ts';
import type { TerminalStateCache } from '../jobs/terminal-state-cache.ts';
import { TerminalWrites } from '../jobs/terminal-writes.ts';
import type { LeaderHost } from '../leader/context.ts';
import { Leader } from '../leader/leader.ts';
import {
  readStoredState,
  watchJobRecords,
  type JobRecordListener,
  type StoredState,
} from '../leader/stored-state.ts';
import type { Election } from '../leadership/election.ts';
import type { Leadership } from '../leadership/leadership-state.ts';
import { LEADER_WRITES, RateBudget } from '../store/budget.ts';
import type { KeyValueStore } from '../store/key-value-store.ts';
import { KEYS } from '../store/keys.ts';
import { LeaderWriter, type WriterHost } from '../store/leader-writer.ts';
import type { WorkerClient } from '../workers/worker-client.ts';
import type { ClusterCatalog } from './cluster-catalog.ts';
import type { ControllerContext } from './context.ts';
import type { LeadershipTransfer } from './leadership-transfer.ts';

/** How often a new leader looks whether the catalog has been read. */
const CATALOG_POLL_MS = 50;
/** Pause before a new leader reads the fence again. */
const FENCE_RETRY_MS = 150;
/** Pause before a new leader reads the stored state again. */
const STATE_RETRY_MS = 200;
/** Most bytes of one transaction. */
const MAX_TRANSACTION_BYTES = 56 * 1024;

/** The parts of the controller that a leadership rests on. */
export interface LeadershipParts {
  store: KeyValueStore;
  cloud: CloudClient;
  workers: WorkerClient;
  election: Election;
  transfer: LeadershipTransfer;
  terminalStates: TerminalStateCache;
  catalog: ClusterCatalog;
  teams: readonly TeamQuota[];
  zones: NameIndex;
  /** How long heartbeats are still answered after the lease has expired, in milliseconds. */
  heartbeatGraceMs: number;
  /** How late this process gets to its work, in milliseconds. */
  lagMs: () => number;
  /** Milliseconds since a worker last sent a heartbeat to this controller itself. */
  directHeartbeatAgeMs: () => number;
}

/** Brings a leader up, keeps it informed of changed job records, and ends it with the leadership. */
export class LeadershipSession {
  private activeLeader: Leader | null = null;

  constructor(
    private readonly context: ControllerContext,
    private readonly parts: LeadershipParts,
    private readonly leadership: Leadership,
  ) {}

  /** The leader; null before it is constructed and after the end of the leadership. */
  get leader(): Leader | null {
    return this.activeLeader;
  }

  /** Leads until the leadership is lost. */
  async run(): Promise<void> {
    const { pause } = this.context;
    const { catalog: clusterCatalog, store } = this.parts;
    while (!clusterCatalog.current && this.isCurrent()) await pause(CATALOG_POLL_MS);
    let fence = await store.get(KEYS.fence, 'lease');
    while (fence.kind !== 'ok' && this.isCurrent()) {
      await pause(FENCE_RETRY_MS);
      fence = await store.get(KEYS.fence, 'lease');
    }
    const catalog = clusterCatalog.current;
    if (!this.isCurrent() || fence.kind !== 'ok' || !catalog) return;
    const leader = this.startLeader(catalog, fence.value?.version ?? 0);
    const stored = await this.readState();
    if (!stored) return;
    this.whileLeading(leader, () => {
      leader.recover(stored);
    });
    await watchJobRecords(store, stored.revision, this.recordListener(leader), pause);
  }

  /** The leadership is lost: nothing that is still in progress reaches its leader any more. */
  end(): void {
    this.activeLeader?.stop();
    this.activeLeader = null;
  }

  private isCurrent(): boolean {
    return !this.context.signal.aborted && this.parts.election.current() === this.leadership;
  }

  private hasValidLease(): boolean {
    return this.isCurrent() && this.parts.election.hasValidLease();
  }

  /** Gives this leadership up; a late reason must not end a newer one of the same controller. */
  private stepDown(reason: string): void {
    if (this.isCurrent()) this.parts.election.stepDown(reason);
  }

  private startLeader(catalog: Catalog, fenceVersion: number): Leader {
    const terminalWrites = new TerminalWrites((id) => leader.isOutcomeUnconfirmed(id));
    const writer = this.createWriter(terminalWrites, fenceVersion);
    const { settings, options } = this.context;
    const { teams, zones, cloud, heartbeatGraceMs } = this.parts;
    const leader: Leader = new Leader({
      host: this.createHost(terminalWrites),
      settings,
      options,
      teams,
      zones,
      catalog,
      cloud,
      writer,
      term: this.leadership.term,
      heartbeatGraceMs,
    });
    this.activeLeader = leader;
    this.parts.catalog.save(catalog, writer);
    return leader;
  }

  private createWriter(terminalWrites: TerminalWrites, fenceVersion: number): LeaderWriter {
    const { settings, now, pause, log, onError } = this.context;
    const { store } = this.parts;
    const { state } = settings.settings;
    const host: WriterHost = {
      compareAndSwap: terminalWrites.trackResults((conditions, changes, timeoutMs: number) =>
        store.compareAndSwap(conditions, changes, 'lease', timeoutMs),
      ),
      readVersion: async (key) => {
        const read = await store.get(key, 'lease');
        return read.kind === 'ok' ? { kind: 'ok', value: read.value?.version ?? 0 } : read;
      },
      lost: (reason) => {
        this.stepDown(reason);
      },
      pause,
    };
    return new LeaderWriter({
      host,
      leaderVersion: this.leadership.version,
      fenceVersion,
      limits: { maxMutations: state.txn_ops, maxBytes: MAX_TRANSACTION_BYTES },
      budget: new RateBudget(state.write_rps * LEADER_WRITES, now),
      log,
      onError,
    });
  }

  private createHost(terminalWrites: TerminalWrites): LeaderHost {
    const { clock, log, pause, enqueue, onError } = this.context;
    const { workers, terminalStates, transfer, lagMs, directHeartbeatAgeMs } = this.parts;
    const { term } = this.leadership;
    return {
      clock,
      log,
      pause,
      enqueue,
      lagMs,
      directHeartbeatAgeMs,
      hasValidLease: () => this.hasValidLease(),
      sendCommands: (machine, commands) => {
        const startsTasks = commands.some((command) => command.op === 'start');
        const isStillWanted = startsTasks ? () => this.hasValidLease() : () => true;
        return workers.sendCommands(machine, term, commands, isStillWanted);
      },
      inspect: (machine) => workers.inspect(machine),
      onTerminalState: (id, status) => {
        terminalStates.put(id, status);
        terminalWrites.markDurable(id);
      },
      outcomeMayBeWritten: (id) => terminalWrites.mayBeWritten(id),
      isTerminal: (id) => terminalStates.get(id) !== undefined,
      superseded: () => {
        this.stepDown('a worker has seen a higher fencing token');
      },
      lostAllWorkers: () => {
        transfer.onLostAllWorkers(() => this.isCurrent()).catch(onError);
      },
    };
  }

  /** Reads the stored state until all of it is read; null: the leadership was lost meanwhile. */
  private async readState(): Promise<StoredState | null> {
    while (this.isCurrent()) {
      const stored = await readStoredState(this.parts.store);
      if (stored) return stored;
      await this.context.pause(STATE_RETRY_MS);
    }
    return null;
  }

  /** Runs a step in the controller's queue, unless the leadership is lost by then. */
  private whileLeading(leader: Leader, step: () => void): void {
    this.context.enqueue(() => {
      if (this.activeLeader === leader) step();
    });
  }

  private recordListener(leader: Leader): JobRecordListener {
    return {
      active: () => this.isCurrent(),
      changed: (events) => {
        this.whileLeading(leader, () => {
          leader.onStoreEvents(events);
        });
      },
      listed: (items) => {
        this.whileLeading(leader, () => {
          leader.onStoreListed(items);
        });
      },
    };
  }
}
