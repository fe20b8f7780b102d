/** The durable registry of machines that may hold tasks, kept in pages of the key-value store. */
import * as z from 'zod/mini';
import { required } from '../base/required.ts';
import { KEYS } from '../store/keys.ts';
import type { ReadyWrite } from '../store/write-queues.ts';
import type { Item, Mutation } from '../wire/state.ts';
import type { MachineIdentity } from './machine.ts';

/** Name, address, machine type, zone, and whether it is a spot instance, for each machine of a page. */
const pageRecord = z.object({
  m: z.array(z.tuple([z.string(), z.string(), z.string(), z.string(), z.boolean()])),
});

/** Upper bound of the bytes of an entry beside its strings. */
const ENTRY_OVERHEAD_BYTES = 20;

interface Page {
  readonly index: number;
  readonly entries: Map<string, MachineIdentity>;
  bytes: number;
  /** Whether it changed since the last write began, and whether by removals alone, which can wait. */
  changed: 'no' | 'removalsOnly' | 'added';
  writing: boolean;
  /** Called once the next write of the page is durable. */
  onDurable: (() => void)[];
}

/** What the registry needs of the leader. */
export interface MachineRegistryDeps {
  /** Pages stay below this, so that a change rewrites little and a value is never too long. */
  pageBytes: number;
  /** Queues a write; an urgent one is the condition of starts, another can wait. */
  enqueueWrite(write: ReadyWrite, urgent: boolean): void;
  /** Queues a command of the single writer. */
  enqueue(command: () => void): void;
}

/**
 * The machines that may hold tasks, as the store knows them: many to a value. One value a machine used up the
 * store's budget of writes for a minute whenever some hundred machines sent their first heartbeat. A machine is in a
 * durable page before its first task, and until it surely holds none.
 */
export class MachineRegistry {
  private readonly pages: Page[] = [];
  private readonly pageByName = new Map<string, Page>();

  constructor(private readonly deps: MachineRegistryDeps) {}

  /** Restores what an earlier leader wrote, and returns its machines. `onMalformed` is told the keys of bad pages. */
  restore(items: readonly Item[], onMalformed: (key: string) => void): MachineIdentity[] {
    const restored: MachineIdentity[] = [];
    for (const item of items) {
      const index = Number(item.key.slice(KEYS.machineRegistryPrefix.length));
      const record = pageRecord.safeParse(item.value);
      if (!record.success || !Number.isSafeInteger(index) || index < 0) {
        onMalformed(item.key);
        continue;
      }
      const page = this.ensurePage(index);
      for (const [name, address, machineType, zone, spot] of record.data.m) {
        const identity = { name, address, machineType, zone, spot };
        this.putEntry(page, identity);
        restored.push(identity);
      }
    }
    return restored;
  }

  /** The page of this index; it and all before it are created if need be. */
  private ensurePage(index: number): Page {
    for (let next = this.pages.length; next <= index; next++) {
      this.pages.push({
        index: next,
        entries: new Map(),
        bytes: 0,
        changed: 'no',
        writing: false,
        onDurable: [],
      });
    }
    return required(this.pages[index], 'page');
  }

  private ensurePageWithRoom(bytes: number): Page {
    const pageWithRoom = this.pages.find((page) => page.bytes + bytes <= this.deps.pageBytes);
    return pageWithRoom ?? this.ensurePage(this.pages.length);
  }

  private putEntry(page: Page, identity: MachineIdentity): void {
    page.entries.set(identity.name, identity);
    page.bytes += computeEntryBytes(identity);
    this.pageByName.set(identity.name, page);
  }

  /** Adds a machine with the next flush; calls back once the store holds it. */
  register(identity: MachineIdentity, onDurable: () => void): void {
    let page = this.pageByName.get(identity.name);
    if (!page) {
      page = this.ensurePageWithRoom(computeEntryBytes(identity));
      this.putEntry(page, identity);
    }
    page.changed = 'added';
    page.onDurable.push(onDurable);
  }

  /** Removes a machine that surely holds nothing any more. */
  remove(name: string): void {
    const page = this.pageByName.get(name);
    if (!page) return;
    this.pageByName.delete(name);
    page.bytes -= computeEntryBytes(required(page.entries.get(name), 'entry of a registered machine'));
    page.entries.delete(name);
    if (page.changed === 'no') page.changed = 'removalsOnly';
  }

  /** Writes the pages that changed; those with removals alone only while the writer has nothing else to do: `idle`. */
  flush(idle: boolean): void {
    for (const page of this.pages) {
      if (page.writing || page.changed === 'no') continue;
      if (page.changed === 'removalsOnly' && !idle) continue;
      this.write(page);
    }
  }

  private write(page: Page): void {
    const urgent = page.changed === 'added';
    const callbacks = page.onDurable;
    page.onDurable = [];
    page.changed = 'no';
    page.writing = true;
    const onCommitted = (): void => {
      this.deps.enqueue(() => {
        page.writing = false;
        for (const callback of callbacks) callback();
      });
    };
    this.deps.enqueueWrite({ kind: 'ready', mutations: [buildMutation(page)], onCommitted }, urgent);
  }
}

function buildMutation(page: Page): Mutation {
  const key = KEYS.machineRegistry(page.index);
  if (page.entries.size === 0) return { delete: key };
  const entries = [...page.entries.values()].map((identity) => [
    identity.name,
    identity.address,
    identity.machineType,
    identity.zone,
    identity.spot,
  ]);
  return { put: key, value: { m: entries } };
}

function computeEntryBytes(id: MachineIdentity): number {
  return id.name.length + id.address.length + id.machineType.length + id.zone.length + ENTRY_OVERHEAD_BYTES;
}
