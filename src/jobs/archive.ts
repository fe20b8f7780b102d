import { KEYS } from '../store/keys.ts';
import type { Write } from '../store/write-queues.ts';

export interface ArchiveDeps {
  /** How many final records may stay in the place of the open ones, for a new leader to read past. */
  keep: number;
  /** Changes that a transaction holds, the fence's included. */
  txnOps: number;
  /** True while the store has nothing else to do. */
  idle(): boolean;
  enqueueWrite(job: Write): void;
  /** Puts a command in the owner's queue. */
  enqueue(command: () => void): void;
}

/**
 * Final records begin in the place of the open ones. Once there are many, the oldest are moved away, each in one
 * transaction, so that a new leader has little to read besides the open jobs. A record moves only in this
 * direction, so whoever looks in the first place and then in the archive can't miss it.
 */
export class Archive {
  /** Final records that haven't been moved, the oldest first. */
  private readonly terminalRecords = new Map<string, unknown>();
  private moving = false;

  constructor(private readonly deps: ArchiveDeps) {}

  /** The job's final record is durable in the place of its open one. */
  add(id: string, value: unknown): void {
    this.terminalRecords.set(id, value);
  }

  get size(): number {
    return this.terminalRecords.size;
  }

  /** Moves a few records, if there are too many and nothing else is to be written. */
  tick(): void {
    const surplus = this.terminalRecords.size - this.deps.keep;
    if (surplus <= 0 || this.moving || !this.deps.idle()) return;
    const most = Math.max(1, Math.floor((this.deps.txnOps - 1) / 2));
    const moved = [...this.oldest(Math.min(surplus, most))];
    this.moving = true;
    this.deps.enqueueWrite({
      kind: 'ready',
      mutations: moved.flatMap(([id, value]) => [
        { delete: KEYS.open(id) },
        { put: KEYS.archived(id), value },
      ]),
      done: () => {
        this.deps.enqueue(() => {
          this.moving = false;
          for (const [id] of moved) this.terminalRecords.delete(id);
        });
      },
    });
  }

  private *oldest(count: number): Generator<[string, unknown]> {
    let left = count;
    for (const entry of this.terminalRecords) {
      if (left-- === 0) return;
      yield entry;
    }
  }
}
