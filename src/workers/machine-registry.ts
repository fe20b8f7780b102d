import * as z from 'zod/mini';
import type { Mutation, Item } from '../wire/state.ts';
import { KEYS } from '../store/keys.ts';
import type { Write } from '../store/write-queues.ts';
import type { MachineIdentity } from './machine.ts';

const pageRecord = z.object({
  m: z.array(z.tuple([z.string(), z.string(), z.string(), z.string(), z.boolean()])),
});

interface Page {
  index: number;
  entries: Map<string, MachineIdentity>;
  bytes: number;
  /** Changed since the last write began: for new machines, or only for machines that are gone. */
  dirty: 'no' | 'gone' | 'new';
  writing: boolean;
  /** Who waits for its machine to be durable, once the next write is. */
  waiting: (() => void)[];
}

export interface MachineRegistryDeps {
  /** Pages stay below this, so that a change rewrites little and a value is never too long. */
  pageBytes: number;
  enqueueWrite(job: Write, urgent: boolean): void;
  enqueue(command: () => void): void;
}

/**
 * The machines that may hold tasks, as the store knows them: many to a value. One value a machine used up the
 * budget of changes of the state service for a minute whenever some hundred machines reported for the first
 * time. A machine is in a durable page before its first task, and until it surely holds none.
 */
export class MachineRegistry {
  private readonly pages: Page[] = [];
  private readonly pageOf = new Map<string, Page>();

  constructor(private readonly deps: MachineRegistryDeps) {}

  /** Takes over what an earlier leader left. */
  restore(items: readonly Item[], malformed: (key: string) => void): MachineIdentity[] {
    const found: MachineIdentity[] = [];
    for (const item of items) {
      const index = Number(item.key.slice(KEYS.machineRegistryPrefix.length));
      const record = pageRecord.safeParse(item.value);
      if (!record.success || !Number.isSafeInteger(index) || index < 0) {
        malformed(item.key);
        continue;
      }
      const page = this.page(index);
      for (const [name, address, machineType, zone, spot] of record.data.m) {
        const id = { name, address, machineType, zone, spot };
        this.put(page, id);
        found.push(id);
      }
    }
    return found;
  }

  private page(index: number): Page {
    for (let at = this.pages.length; at <= index; at++) {
      this.pages.push({ index: at, entries: new Map(), bytes: 0, dirty: 'no', writing: false, waiting: [] });
    }
    return this.pages[index]!;
  }

  private put(page: Page, id: MachineIdentity): void {
    page.entries.set(id.name, id);
    page.bytes += sizeOf(id);
    this.pageOf.set(id.name, page);
  }

  /** Calls back once the machine is in the store. */
  register(id: MachineIdentity, done: () => void): void {
    let page = this.pageOf.get(id.name);
    if (!page) {
      const size = sizeOf(id);
      page = this.pages.find((p) => p.bytes + size <= this.deps.pageBytes) ?? this.page(this.pages.length);
      this.put(page, id);
    }
    page.dirty = 'new';
    page.waiting.push(done);
  }

  /** The machine surely holds nothing any more. */
  remove(name: string): void {
    const page = this.pageOf.get(name);
    if (!page) return;
    this.pageOf.delete(name);
    page.bytes -= sizeOf(page.entries.get(name)!);
    page.entries.delete(name);
    if (page.dirty === 'no') page.dirty = 'gone';
  }

  /** Writes what changed. What is only gone can wait for calmer moments: `calm`. */
  flush(calm: boolean): void {
    for (const page of this.pages) {
      if (page.writing || page.dirty === 'no' || (page.dirty === 'gone' && !calm)) continue;
      const urgent = page.dirty === 'new';
      const { waiting } = page;
      page.waiting = [];
      page.dirty = 'no';
      page.writing = true;
      const done = (): void => {
        this.deps.enqueue(() => {
          page.writing = false;
          for (const tell of waiting) tell();
        });
      };
      this.deps.enqueueWrite({ kind: 'ready', mutations: [change(page)], done }, urgent);
    }
  }
}

function change(page: Page): Mutation {
  const key = KEYS.machineRegistry(page.index);
  if (page.entries.size === 0) return { delete: key };
  const m = [...page.entries.values()].map((e) => [e.name, e.address, e.machineType, e.zone, e.spot]);
  return { put: key, value: { m } };
}

function sizeOf(id: MachineIdentity): number {
  return id.name.length + id.address.length + id.machineType.length + id.zone.length + 20;
}
