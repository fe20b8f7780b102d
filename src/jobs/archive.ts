/** The move of old terminal records out of the place of the open ones. */
import { KEYS } from '../store/keys.ts';
import type { Write } from '../store/write-queues.ts';

/** Limits, and the way to the store. */
export interface ArchiveDeps {
  /** How many terminal records may stay in the place of the open ones, for a new leader to read past. */
  maxUnarchived: number;
  /** Changes that one transaction holds, that of the fence key included. */
  maxMutations: number;
  /** True while the store has nothing else to do. */
  isStoreIdle(): boolean;
  enqueueWrite(write: Write): void;
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
  private readonly unarchivedRecords = new Map<string, unknown>();
  private moving = false;

  constructor(private readonly deps: ArchiveDeps) {}

  /** The job's terminal record is durable in the place of its open one. */
  add(id: string, value: unknown): void {
    this.unarchivedRecords.set(id, value);
  }

  /** Number of terminal records that haven't been moved. */
  get unarchivedCount(): number {
    return this.unarchivedRecords.size;
  }

  /** Moves a few records, if there are too many and nothing else is to be written. */
  tick(): void {
    const surplus = this.unarchivedRecords.size - this.deps.maxUnarchived;
    if (surplus <= 0 || this.moving || !this.deps.isStoreIdle()) return;
    const records = this.selectOldest(Math.min(surplus, this.maxMovesPerTransaction()));
    this.moving = true;
    this.deps.enqueueWrite({
      kind: 'ready',
      mutations: records.flatMap(([id, value]) => [
        { delete: KEYS.open(id) },
        { put: KEYS.archived(id), value },
      ]),
      done: () => {
        this.deps.enqueue(() => {
          this.moving = false;
          for (const [id] of records) this.unarchivedRecords.delete(id);
        });
      },
    });
  }

  /** A move takes two changes, and the fence key another one. */
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
