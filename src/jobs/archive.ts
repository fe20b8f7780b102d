/** The move of old terminal records out of the place of the open ones. */
import { KEYS } from '../store/keys.ts';
import type { ReadyWrite } from '../store/write-queues.ts';

/** Limits, and the way to the store. */
export interface ArchiveDeps {
  /** How many terminal records may stay in the place of the open ones, for a new leader to read past. */
  keep: number;
  /** Changes that one transaction holds, that of the fence key included. */
  txnOps: number;
  /** True while the store has nothing else to do. */
  idle(): boolean;
  enqueueWrite(write: ReadyWrite): void;
  /** Puts a command in the queue of the single writer of the state. */
  enqueue(command: () => void): void;
}

/**
 * Terminal records start in the place of the open ones. Once there are many, the oldest are moved away, each in one
 * transaction, so that a new leader has little to read besides the open jobs. A record moves only in this direction,
 * so whoever reads the first place and then the archive can't miss it.
 */
export class Archive {
  /** Terminal records that haven't been moved, the oldest first. */
  private readonly terminalRecords = new Map<string, unknown>();
  private moving = false;

  constructor(private readonly deps: ArchiveDeps) {}

  /** The job's terminal record is durable in the place of its open one. */
  add(id: string, value: unknown): void {
    this.terminalRecords.set(id, value);
  }

  /** Number of terminal records that haven't been moved. */
  get size(): number {
    return this.terminalRecords.size;
  }

  /** Moves a few records, if there are too many and nothing else is to be written. */
  tick(): void {
    const surplus = this.terminalRecords.size - this.deps.keep;
    if (surplus <= 0 || this.moving || !this.deps.idle()) return;
    const records = this.oldest(Math.min(surplus, this.maxMovesPerTransaction()));
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
          for (const [id] of records) this.terminalRecords.delete(id);
        });
      },
    });
  }

  /** A move takes two changes, and the fence key another one. */
  private maxMovesPerTransaction(): number {
    return Math.max(1, Math.floor((this.deps.txnOps - 1) / 2));
  }

  private oldest(count: number): [string, unknown][] {
    const records: [string, unknown][] = [];
    for (const record of this.terminalRecords) {
      if (records.length >= count) break;
      records.push(record);
    }
    return records;
  }
}
