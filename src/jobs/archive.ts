/** Moves old terminal records from the keys of open records to the archive keys. */
import { KEYS } from '../store/keys.ts';
import type { ReadyWrite } from '../store/write-queues.ts';

/** Limits of the archive, and its access to the writer. */
export interface ArchiveDeps {
  /** Maximum number of terminal records left under the keys of open ones, which every new leader reads. */
  maxUnarchived: number;
  /** Maximum number of mutations in one transaction, including that of the fence key. */
  maxMutations: number;
  /** Whether no other write is queued or in flight. */
  isWriterIdle(): boolean;
  enqueueWrite(write: ReadyWrite): void;
  /** Adds a command to the command queue, which runs every change of the leader's state. */
  enqueue(command: () => void): void;
}

/**
 * A terminal record replaces the open record of its job under the same key. Once there are many of them, the oldest are
 * moved to archive keys, each within one transaction, so that a new leader reads little besides the open jobs. Records
 * move only in this direction, so a reader that reads a job's open key first and its archive key second can't miss it.
 */
export class Archive {
  /** Terminal records that haven't been archived, by job id, the oldest first. */
  private readonly unarchivedRecords = new Map<string, unknown>();
  private moving = false;

  constructor(private readonly deps: ArchiveDeps) {}

  /** Adds a job whose terminal record is durable under the key of its open record. */
  add(id: string, value: unknown): void {
    this.unarchivedRecords.set(id, value);
  }

  /** Number of terminal records that haven't been archived. */
  get unarchivedCount(): number {
    return this.unarchivedRecords.size;
  }

  /** Archives as many surplus records as fit into one transaction, if no other write is queued or in flight. */
  tick(): void {
    const surplus = this.unarchivedRecords.size - this.deps.maxUnarchived;
    if (surplus <= 0 || this.moving || !this.deps.isWriterIdle()) return;
    const records = this.selectOldest(Math.min(surplus, this.maxMovesPerTransaction()));
    this.moving = true;
    this.deps.enqueueWrite({
      kind: 'ready',
      mutations: records.flatMap(([id, value]) => [
        { delete: KEYS.open(id) },
        { put: KEYS.archived(id), value },
      ]),
      onCommitted: () => {
        this.deps.enqueue(() => {
          this.moving = false;
          for (const [id] of records) this.unarchivedRecords.delete(id);
        });
      },
    });
  }

  /** Each move takes two mutations, and the fence key takes one more in each transaction. */
  private maxMovesPerTransaction(): number {
    return Math.max(1, Math.floor((this.deps.maxMutations - 1) / 2));
  }

  private selectOldest(count: number): [string, unknown][] {
    const records: [string, unknown][] = [];
    for (const record of this.unarchivedRecords) {
      if (records.length >= count) break;
      records.push(record);
    }
    return records;
  }
}
