/** Start watermarks: a write-ahead record of which tasks may have been started. */
import { KEYS } from '../store/keys.ts';
import type { DeferredWrite } from '../store/write-queues.ts';
import type { Item } from '../wire/state.ts';
import { decodeStartWatermarks, encodeStartWatermarks } from './records.ts';

interface Page {
  index: number;
  /** By job: tasks from this number on have never been started. */
  entries: Map<string, number>;
  /** Estimated size of the page's value. */
  bytes: number;
  /** Waits in the writer's queue; whatever is raised until it is sent is in it. */
  queued: boolean;
  /** Called once the next write of the page is durable. */
  onDurable: (() => void)[];
}

/** Limits, and the way to the store. */
export interface StartWatermarksDeps {
  /** Pages stay below this, so that a change rewrites little and a value is never too long. */
  pageBytes: number;
  enqueueWrite(write: DeferredWrite): void;
  /** Puts a command in the queue of the single writer of the state. */
  enqueue(command: () => void): void;
}

/** What an earlier leader has written. */
export interface RestoredWatermarks {
  /** By job. */
  watermarks: Map<string, number>;
  /** A page can't be read: any task of any job may have been started. */
  hasUnreadablePage: boolean;
}

/** Upper bound of an entry's size without its job id: number, quotes, brackets and commas. */
const MAX_ENTRY_OVERHEAD_BYTES = 24;

/**
 * Which tasks may have been started, as the store knows it: tasks of a job below its start watermark. Watermarks are
 * written ahead, before the starts, many jobs to a page, so that one change covers all jobs that start in a round.
 * The entry of a job that is completed does no harm; it leaves its page when the page is written the next time. A
 * page that can't be read is never written again, so that it makes every later leader as careful as this one.
 */
export class StartWatermarks {
  private readonly pages = new Map<number, Page>();
  private readonly pageOfJob = new Map<string, Page>();
  private readonly unreadablePages = new Set<number>();

  constructor(private readonly deps: StartWatermarksDeps) {}

  /**
   * Takes over what an earlier leader left. `isOpen`: entries of other jobs are dropped with the next write.
   * `onMalformed` is told the key of every page that can't be read.
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

  /** Raises a job's watermark: tasks below it may be started once `onDurable` is called. */
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

  /** A page with space left: one that is to be written anyway, if there is one. */
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
      // Entries can still grow in number until it is sent, up to the size of a page.
      maxBytes: this.deps.pageBytes,
      build: () => {
        page.queued = false;
        callbacks = page.onDurable;
        page.onDurable = [];
        return { put: KEYS.startWatermarks(page.index), value: encodeStartWatermarks(page.entries) };
      },
      done: () => {
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
