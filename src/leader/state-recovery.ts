/** Failover: rebuilds the state of the cluster from what earlier leaders and submissions stored. */
import type { Archive } from '../jobs/archive.ts';
import { decodeChunk, decodeOpenRecord, decodeTerminalRecord } from '../jobs/records.ts';
import type { StartWatermarks } from '../jobs/start-watermarks.ts';
import type { Item } from '../wire/state.ts';
import type { MachineRegistry } from '../workers/machine-registry.ts';
import type { Cluster } from './cluster.ts';
import type { Completion } from './completion.ts';
import type { LeaderDeps } from './context.ts';
import { jobIdOfRecordKey, type JobRegistry } from './job-registry.ts';
import type { MachineMembership } from './machine-membership.ts';
import type { StoredRecords } from './stored-state.ts';

/** The parts of a leadership that recovery fills. */
interface RecoveryParts {
  readonly cluster: Cluster;
  readonly jobs: JobRegistry;
  readonly archive: Archive;
  readonly startWatermarks: StartWatermarks;
  readonly completion: Completion;
  readonly registry: MachineRegistry;
  readonly membership: MachineMembership;
}

/** Restores the parts of a leadership, once, from the records of the key-value store. */
export class StateRecovery {
  constructor(
    private readonly parts: RecoveryParts,
    private readonly deps: LeaderDeps,
  ) {}

  /** Afterwards the leadership knows all open jobs and all machines that may hold their tasks. */
  recover(records: StoredRecords): void {
    const { cluster, completion } = this.parts;
    for (const item of records.open) this.restoreJobRecord(item);
    this.restoreStartWatermarks(records.startWatermarks);
    for (const item of records.completions) this.restoreCompletions(item);
    this.restoreMachines(records.machineRegistry);
    cluster.recovered = true;
    cluster.dirty = true;
    this.deps.host.log.info(
      { jobs: cluster.jobs.size, machines: cluster.machines.size, term: this.deps.term },
      'state recovered',
    );
    for (const job of cluster.jobs.values()) completion.finishIfDone(job);
  }

  private readonly reportMalformed = (key: string): void => {
    this.deps.host.log.error({ key }, 'stored record malformed');
  };

  private restoreJobRecord(item: Item): void {
    if (decodeTerminalRecord(item.value)) {
      this.parts.archive.add(jobIdOfRecordKey(item.key), item.value);
      return;
    }
    const record = decodeOpenRecord(item.value);
    if (record) this.parts.jobs.add(record.job.id, item.value);
    else this.reportMalformed(item.key);
  }

  private restoreStartWatermarks(pages: readonly Item[]): void {
    const { jobs } = this.parts.cluster;
    const { watermarks, hasUnreadablePage } = this.parts.startWatermarks.restore(
      pages,
      (id) => jobs.has(id),
      this.reportMalformed,
    );
    for (const job of jobs.values()) {
      // A page that can't be read may have held a watermark for all tasks of any job.
      const inherited = hasUnreadablePage ? job.spec.tasks : watermarks.get(job.id);
      if (inherited !== undefined) job.restore(inherited, this.deps.host.clock.now());
    }
  }

  /** One chunk of a job's completion bitmap; that of a job which isn't open any more is deleted. */
  private restoreCompletions(item: Item): void {
    const [, id, chunk] = item.key.split('/');
    const job = this.parts.cluster.jobs.get(id ?? '');
    if (!job) {
      this.deps.writer.enqueue(
        { kind: 'ready', mutations: [{ delete: item.key }], onCommitted: () => undefined },
        'background',
      );
      return;
    }
    const bits = decodeChunk(item.value);
    if (bits) job.markChunkDurable(Number(chunk), bits);
  }

  private restoreMachines(pages: readonly Item[]): void {
    const { registry, membership } = this.parts;
    for (const identity of registry.restore(pages, this.reportMalformed)) membership.restore(identity);
  }
}
