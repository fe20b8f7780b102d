/** Start watermarks: a write-ahead record of which tasks may have been started. */
import { KEYS } from '../store/keys.ts';
import type { DeferredWrite } from '../store/write-queues.ts';
import type { Item } from '../wire/state.ts';
import { decodeStartWatermarks, encodeStartWatermarks } from './records.ts';

interface Page {
  index: number;
  /** Start watermark by job id: tasks from this number on have never been started. */
  entries: Map<string, number>;
  /** Estimated size of the page's value. */
  bytes: number;
  /** Whether a write of the page is queued; it includes all watermarks that are raised before it is sent. */
  queued: boolean;
  /** Called once the next write of the page is durable. */
  onDurable: (() => void)[];
}

/** Limits of the pages, and access to the writer. */
export interface StartWatermarksDeps {
  /** Maximum size of a page, so that a mutation rewrites little and a value is never too long for the store. */
  pageBytes: number;
  enqueueWrite(write: DeferredWrite): void;
  /** Adds a command to the command queue, which runs every change of the leader's state. */
  enqueue(command: () => void): void;
}

/** The start watermarks that earlier leaders have written. */
export interface RestoredWatermarks {
  /** Start watermark by job id. */
  watermarks: Map<string, number>;
  /** True if a page can't be read: any task of any job may have been started. */
  hasUnreadablePage: boolean;
}

/** Upper bound of an entry's size without its job id: number, quotes, brackets and commas. */
const MAX_ENTRY_OVERHEAD_BYTES = 24;

/**
 * Keeps in the store which tasks may have been started: those below the start watermark of their job. A watermark is
 * written before the tasks start. A page holds many jobs, so that one mutation covers all jobs that start in a round.
 * The entry of a completed job does no harm and is removed by the next write of its page. A page that can't be read is
 * never overwritten, so that every later leader, too, assumes that any task of any job may have been started.
 */
export class StartWatermarks {
  private readonly pages = new Map<number, Page>();
  private readonly pageOfJob = new Map<string, Page>();
  private readonly unreadablePages = new Set<number>();

  constructor(private readonly deps: StartWatermarksDeps) {}

  /**
   * Restores the pages that earlier leaders wrote. `isOpen`: whether a job is open; entries of other jobs are dropped
   * with the next write. `onMalformed`: called with the key of every page that can't be read.
   */
  restore(
    items: readonly Item[],
    isOpen: (id: string) => boolean,
    onMalformed: (key: string) => void,
  ): RestoredWatermarks {
    const restored: RestoredWatermarks = { watermarks: new Map(), hasUnreadablePage: false };
    for (const item of items) {
      const index = Number(item.key.slice(KEYS.startWatermarksPrefix.length));
      const entries = decodeStartWatermarks(item.value);
      if (!entries || !Number.isSafeInteger(index) || index < 0) {
        onMalformed(item.key);
        restored.hasUnreadablePage = true;
        this.unreadablePages.add(index);
        continue;
      }
      const page = this.getOrCreatePage(index);
      for (const [id, watermark] of entries) {
        if (!isOpen(id)) continue;
        this.setEntry(page, id, watermark);
        restored.watermarks.set(id, Math.max(watermark, restored.watermarks.get(id) ?? 0));
      }
    }
    return restored;
  }

  /** Raises a job's watermark; the tasks below it may be started once `onDurable` has been called. */
  raise(id: string, watermark: number, onDurable: () => void): void {
    const page = this.pageOfJob.get(id) ?? this.findPageWithSpace(entryBytes(id));
    this.setEntry(page, id, Math.max(watermark, page.entries.get(id) ?? 0));
    page.onDurable.push(onDurable);
    if (!page.queued) this.enqueueWrite(page);
  }

  /** Removes a job whose terminal state is durable. */
  drop(id: string): void {
    const page = this.pageOfJob.get(id);
    if (!page) return;
    this.pageOfJob.delete(id);
    page.entries.delete(id);
    page.bytes -= entryBytes(id);
  }

  private getOrCreatePage(index: number): Page {
    let page = this.pages.get(index);
    if (!page) {
      page = { index, entries: new Map(), bytes: 0, queued: false, onDurable: [] };
      this.pages.set(index, page);
    }
    return page;
  }

  private setEntry(page: Page, id: string, watermark: number): void {
    if (!page.entries.has(id)) page.bytes += entryBytes(id);
    page.entries.set(id, watermark);
    this.pageOfJob.set(id, page);
  }

  /** A page with space for `bytes` more, preferably one whose write is queued already; a new one if all are full. */
  private findPageWithSpace(bytes: number): Page {
    let firstWithSpace: Page | null = null;
    for (const page of this.pages.values()) {
      if (page.bytes + bytes > this.deps.pageBytes) continue;
      if (page.queued) return page;
      firstWithSpace ??= page;
    }
    if (firstWithSpace) return firstWithSpace;
    let index = 0;
    while (this.pages.has(index) || this.unreadablePages.has(index)) index += 1;
    return this.getOrCreatePage(index);
  }

  private enqueueWrite(page: Page): void {
    page.queued = true;
    let callbacks: (() => void)[] = [];
    this.deps.enqueueWrite({
      kind: 'deferred',
      // Entries can still be added until the write is sent, up to the size of a page.
      maxBytes: this.deps.pageBytes,
      build: () => {
        page.queued = false;
        callbacks = page.onDurable;
        page.onDurable = [];
        return { put: KEYS.startWatermarks(page.index), value: encodeStartWatermarks(page.entries) };
      },
      onCommitted: () => {
        this.deps.enqueue(() => {
          for (const callback of callbacks) callback();
        });
      },
    });
  }
}

function entryBytes(id: string): number {
  return id.length + MAX_ENTRY_OVERHEAD_BYTES;
}
