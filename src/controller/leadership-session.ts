/** The session of one leadership of this controller, from the won election to the loss of the leadership. */
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
import { LEADER_WRITE_SHARE, RateBudget } from '../store/budget.ts';
import type { KeyValueStore } from '../store/key-value-store.ts';
import { KEYS } from '../store/keys.ts';
import { LeaderWriter, type WriterHost } from '../store/leader-writer.ts';
import { FencingTokens } from '../workers/fencing-tokens.ts';
import type { WorkerClient } from '../workers/worker-client.ts';
import type { ClusterCatalog } from './cluster-catalog.ts';
import type { ControllerContext } from './context.ts';
import type { LeadershipTransfer } from './leadership-transfer.ts';

/** Interval at which a new leader checks whether the catalog has been read. */
const CATALOG_POLL_MS = 50;
/** Pause before a new leader retries to read the fence record. */
const FENCE_RETRY_MS = 150;
/** Pause before a new leader retries to read the stored state. */
const STATE_RETRY_MS = 200;
/** Maximum size of one transaction. */
const MAX_TRANSACTION_BYTES = 56 * 1024;

/** The parts of the controller that a leadership session uses. */
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
  /** How long a leader still answers heartbeats after its lease has expired, in milliseconds. */
  heartbeatGraceMs: number;
  /** The lag of this process's event loop, in milliseconds. */
  lagMs: () => number;
  /** Milliseconds since this controller last received a heartbeat directly from a worker, not relayed. */
  directHeartbeatAgeMs: () => number;
}

/** Starts a leader, passes changes of job records to it, and stops it when the leadership is lost. */
export class LeadershipSession {
  private activeLeader: Leader | null = null;

  constructor(
    private readonly context: ControllerContext,
    private readonly parts: LeadershipParts,
    private readonly leadership: Leadership,
  ) {}

  /** The leader; null before it is constructed and after the leadership is lost. */
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
    this.logStoredState(stored);
    this.enqueueWhileLeading(leader, () => {
      leader.recover(stored);
    });
    await watchJobRecords(store, stored.revision, this.createJobRecordListener(leader), pause);
  }

  /** Stops the leader when the leadership is lost; queued steps and later store events no longer reach it. */
  end(): void {
    this.activeLeader?.stop();
    this.activeLeader = null;
  }

  private isCurrent(): boolean {
    return !this.context.signal.aborted && this.parts.election.currentLeadership() === this.leadership;
  }

  private hasValidLease(): boolean {
    return this.isCurrent() && this.parts.election.hasValidLease();
  }

  /**
   * Gives this leadership up if it is still the current one: a reason that arrives late must not end a newer leadership
   * of the same controller.
   */
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
      tokens: new FencingTokens(this.leadership.firstToken, this.leadership.term),
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
      compareAndSwap: terminalWrites.trackResults((conditions, mutations, timeoutMs: number) =>
        store.compareAndSwap(conditions, mutations, 'lease', timeoutMs),
      ),
      readVersion: async (key) => {
        const read = await store.get(key, 'lease');
        return read.kind === 'ok' ? { kind: 'ok', value: read.value?.version ?? 0 } : read;
      },
      onLeadershipLost: (reason) => {
        this.stepDown(reason);
      },
      pause,
    };
    return new LeaderWriter({
      host,
      leaderVersion: this.leadership.version,
      fenceVersion,
      limits: { maxMutations: state.txn_ops, maxBytes: MAX_TRANSACTION_BYTES },
      budget: new RateBudget(state.write_rps * LEADER_WRITE_SHARE, now),
      log,
      onError,
    });
  }

  private createHost(terminalWrites: TerminalWrites): LeaderHost {
    const { clock, log, pause, enqueue, onError } = this.context;
    const { workers, terminalStates, transfer, lagMs, directHeartbeatAgeMs } = this.parts;
    return {
      clock,
      log,
      pause,
      enqueue,
      lagMs,
      directHeartbeatAgeMs,
      hasValidLease: () => this.hasValidLease(),
      sendCommands: (machine, fencingToken, commands) => {
        const startsTasks = commands.some((command) => command.op === 'start');
        const mayStillSend = startsTasks ? () => this.hasValidLease() : () => true;
        return workers.sendCommands(machine, fencingToken, commands, mayStillSend);
      },
      inspect: (machine) => workers.inspect(machine),
      onTerminalState: (id, status) => {
        terminalStates.put(id, status);
        terminalWrites.markDurable(id);
      },
      outcomeMayBeWritten: (id) => terminalWrites.mayBeWritten(id),
      isTerminal: (id) => terminalStates.get(id) !== undefined,
      onSuperseded: () => {
        this.stepDown('a worker has seen a higher fencing token');
      },
      onAllWorkersLost: () => {
        transfer.onLostAllWorkers(() => this.isCurrent()).catch(onError);
      },
    };
  }

  /** Reads the stored state, with retries until it is complete. null: the leadership was lost meanwhile. */
  private async readState(): Promise<StoredState | null> {
    while (this.isCurrent()) {
      const stored = await readStoredState(this.parts.store);
      if (stored) return stored;
      await this.context.pause(STATE_RETRY_MS);
    }
    return null;
  }

  private logStoredState(stored: StoredState): void {
    const fields = {
      term: this.leadership.term,
      revision: stored.revision,
      jobRecords: stored.open.length,
      completionChunks: stored.completions.length,
      watermarkPages: stored.startWatermarks.length,
      registryPages: stored.machineRegistry.length,
    };
    this.context.log.info(fields, 'stored state read');
  }

  /** Adds a step to the controller's command queue; it is skipped if the leadership is lost before its turn. */
  private enqueueWhileLeading(leader: Leader, step: () => void): void {
    this.context.enqueue(() => {
      if (this.activeLeader === leader) step();
    });
  }

  private createJobRecordListener(leader: Leader): JobRecordListener {
    return {
      isActive: () => this.isCurrent(),
      onEvents: (events) => {
        this.enqueueWhileLeading(leader, () => {
          leader.onStoreEvents(events);
        });
      },
      onListed: (items) => {
        this.enqueueWhileLeading(leader, () => {
          leader.onStoreListed(items);
        });
      },
    };
  }
}
