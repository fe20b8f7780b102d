import { KEYS } from '../store/keys.ts';
import type { DeferredWrite } from '../store/write-queues.ts';
import type { Item } from '../wire/state.ts';
import { startWatermarksValue, readStartWatermarks } from './records.ts';

interface Page {
  index: number;
  /** By job: tasks from this number on have never been started. */
  entries: Map<string, number>;
  bytes: number;
  /** Waits in the writer's queue; what is noted until it is sent is in it. */
  queued: boolean;
  /** Told once the next write of the page is durable. */
  waiting: (() => void)[];
}

export interface StartWatermarksDeps {
  /** Pages stay below this, so that a change rewrites little and a value is never too long. */
  pageBytes: number;
  enqueueWrite(job: DeferredWrite): void;
  /** Puts a command in the owner's queue. */
  enqueue(command: () => void): void;
}

/** What an earlier leader noted. */
export interface RestoredWatermarks {
  watermarks: Map<string, number>;
  /** A page can't be read: any task of any job may have been started. */
  unreadable: boolean;
}

const ENTRY_BYTES = 24;

/**
 * Which tasks may have been started, as the store knows it: many jobs to a page, so that one change notes all
 * jobs that begin in a round. The entry of a job that is over does no harm; it leaves its page when the page is
 * written the next time. A page that can't be read is never written again, so that it makes every later leader
 * as careful as this one.
 */
export class StartWatermarks {
  private readonly pages = new Map<number, Page>();
  private readonly pageOf = new Map<string, Page>();
  private readonly unreadable = new Set<number>();

  constructor(private readonly deps: StartWatermarksDeps) {}

  /** Takes over what an earlier leader left. `isOpen`: entries of other jobs are dropped with the next write. */
  restore(
    items: readonly Item[],
    isOpen: (id: string) => boolean,
    malformed: (key: string) => void,
  ): RestoredWatermarks {
    const found: RestoredWatermarks = { watermarks: new Map(), unreadable: false };
    for (const item of items) {
      const index = Number(item.key.slice(KEYS.startWatermarksPrefix.length));
      const entries = readStartWatermarks(item.value);
      if (!entries || !Number.isSafeInteger(index) || index < 0) {
        malformed(item.key);
        found.unreadable = true;
        this.unreadable.add(index);
        continue;
      }
      const page = this.page(index);
      for (const [id, begun] of entries) {
        if (!isOpen(id)) continue;
        this.put(page, id, begun);
        found.watermarks.set(id, Math.max(begun, found.watermarks.get(id) ?? 0));
      }
    }
    return found;
  }

  private page(index: number): Page {
    let page = this.pages.get(index);
    if (!page) {
      page = { index, entries: new Map(), bytes: 0, queued: false, waiting: [] };
      this.pages.set(index, page);
    }
    return page;
  }

  private put(page: Page, id: string, begun: number): void {
    if (!page.entries.has(id)) page.bytes += sizeOf(id);
    page.entries.set(id, begun);
    this.pageOf.set(id, page);
  }

  /** A page with room: one that is to be written anyway, if there is one. */
  private pageWithRoom(size: number): Page {
    let found: Page | null = null;
    for (const page of this.pages.values()) {
      if (page.bytes + size > this.deps.pageBytes) continue;
      if (page.queued) return page;
      found ??= page;
    }
    if (found) return found;
    let index = 0;
    while (this.pages.has(index) || this.unreadable.has(index)) index += 1;
    return this.page(index);
  }

  /** Notes that tasks of the job below `begun` may be started; calls back once the store says so. */
  raise(id: string, begun: number, durable: () => void): void {
    const page = this.pageOf.get(id) ?? this.pageWithRoom(sizeOf(id));
    this.put(page, id, Math.max(begun, page.entries.get(id) ?? 0));
    page.waiting.push(durable);
    if (!page.queued) this.write(page);
  }

  /** The job's final state is durable. */
  drop(id: string): void {
    const page = this.pageOf.get(id);
    if (!page) return;
    this.pageOf.delete(id);
    page.entries.delete(id);
    page.bytes -= sizeOf(id);
  }

  private write(page: Page): void {
    page.queued = true;
    let told: (() => void)[] = [];
    this.deps.enqueueWrite({
      kind: 'deferred',
      // Entries can still grow in number until it is sent, up to the size of a page.
      maxBytes: this.deps.pageBytes,
      build: () => {
        page.queued = false;
        told = page.waiting;
        page.waiting = [];
        return { put: KEYS.startWatermarks(page.index), value: startWatermarksValue(page.entries) };
      },
      done: () => {
        this.deps.enqueue(() => {
          for (const tell of told) tell();
        });
      },
    });
  }
}

const sizeOf = (id: string): number => id.length + ENTRY_BYTES;
