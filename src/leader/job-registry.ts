/** The open jobs of a leadership, kept in step with the job records of the key-value store. */
import { Job } from '../jobs/job.ts';
import { decodeOpenRecord, decodeTerminalRecord } from '../jobs/records.ts';
import { KEYS } from '../store/keys.ts';
import type { Item, WatchEvent } from '../wire/state.ts';
import type { Arrivals } from './arrivals.ts';
import type { Cluster } from './cluster.ts';
import type { LeaderDeps } from './context.ts';

/** The job id in the key of a job record. */
export function jobIdOfRecordKey(key: string): string {
  return key.slice(KEYS.openPrefix.length);
}

/** Adds the jobs that are found in the store, by recovery, the watch, a listing or a read on behalf of a user. */
export class JobRegistry {
  constructor(
    private readonly cluster: Cluster,
    private readonly arrivals: Arrivals,
    private readonly deps: LeaderDeps,
  ) {}

  /** Adds the job of an open record unless it is known already. Any other value is ignored. */
  add(id: string, value: unknown): void {
    if (this.cluster.jobs.has(id)) return;
    const record = decodeOpenRecord(value);
    if (!record) return;
    const { clock, log } = this.deps.host;
    const { job: spec, createdAtWallMs } = record;
    const team = this.deps.teams.findIndex((candidate) => candidate.name === spec.team);
    if (team < 0) {
      log.error({ job: id, team: spec.team }, 'stored job of unknown team');
      return;
    }
    // The job has waited since its user was answered, under earlier leaders as well.
    const ageMs = Math.max(0, clock.wall() - createdAtWallMs);
    const job = new Job(spec, team, createdAtWallMs, clock.now() - ageMs);
    this.cluster.addJob(job);
    this.arrivals.record(spec, createdAtWallMs);
    log.debug({ job: id, tasks: spec.tasks, class: spec.className }, 'job accepted');
  }

  /** Applies the changes of job records that the watch reports, in order. */
  onStoreEvents(events: readonly WatchEvent[]): void {
    for (const event of events) {
      const id = jobIdOfRecordKey(event.key);
      // Events come in order: no older event of the job follows that of its terminal record.
      if (event.deleted || decodeTerminalRecord(event.value)) this.cluster.completedJobs.delete(id);
      else if (!this.cluster.completedJobs.has(id)) this.add(id, event.value);
    }
  }

  /**
   * Applies a new listing of all job records, made because the watch has missed events; it continues after this one.
   */
  onStoreListed(items: readonly Item[]): void {
    const listed = new Set(items.map((item) => jobIdOfRecordKey(item.key)));
    // Completed jobs that are not listed have had their terminal records written and moved to the archive meanwhile.
    for (const id of this.cluster.completedJobs) if (!listed.has(id)) this.cluster.completedJobs.delete(id);
    this.onStoreEvents(items.map((item) => ({ ...item, deleted: false })));
  }

  /** Adds the job of a record that this node has read as open, before the watch reports the record. */
  observeOpenRecord(id: string, value: unknown): void {
    const { recovered, completedJobs } = this.cluster;
    if (recovered && !completedJobs.has(id) && !this.deps.host.isTerminal(id)) this.add(id, value);
  }
}
