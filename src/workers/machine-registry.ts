/** The durable registry of machines that may hold tasks, kept in pages of the key-value store. */
import * as z from 'zod/mini';
import { required } from '../base/required.ts';
import { KEYS } from '../store/keys.ts';
import type { ReadyWrite } from '../store/write-queues.ts';
import type { Item, Mutation } from '../wire/state.ts';
import type { MachineIdentity } from './machine.ts';

/** Name, address, machine type, zone, and whether it is a spot instance, for each machine of a page. */
const pageRecordSchema = z.object({
  m: z.array(z.tuple([z.string(), z.string(), z.string(), z.string(), z.boolean()])),
});

/** Upper bound of the size of an entry without its strings. */
const ENTRY_OVERHEAD_BYTES = 20;

/** One page: a value of the store with the entries of many machines. */
interface Page {
  readonly index: number;
  /** By machine name. */
  readonly entries: Map<string, MachineIdentity>;
  /** Approximate size of the stored value. */
  bytes: number;
  /** How the page has changed since its last write began. Removals alone are no reason for an urgent write. */
  changed: 'no' | 'removalsOnly' | 'added';
  writing: boolean;
  /** Callbacks for when the next write of the page is durable. */
  onDurable: (() => void)[];
}

/** What the registry needs of the leader. */
export interface MachineRegistryDeps {
  /** Maximum size of a page, so that a mutation rewrites little and a value is never too long for the store. */
  pageBytes: number;
  /** Queues a write. Tasks can't start before an urgent write is durable; others can wait. */
  enqueueWrite(write: ReadyWrite, urgent: boolean): void;
  /** Adds a command to the command queue, which runs every change of the leader's state. */
  enqueue(command: () => void): void;
}

/**
 * The machines that may hold tasks, in pages of many machines each. With one value per machine, the first heartbeats of
 * some hundred machines would use up the store's write budget for a minute. A machine is in a durable page before its
 * first task starts, and until it surely holds no task.
 */
export class MachineRegistry {
  private readonly pages: Page[] = [];
  private readonly pageOfMachine = new Map<string, Page>();

  constructor(private readonly deps: MachineRegistryDeps) {}

  /**
   * Restores the pages that an earlier leader wrote, and returns their machines. `onMalformed` is called with the key
   * of each page that can't be decoded.
   */
  restore(items: readonly Item[], onMalformed: (key: string) => void): MachineIdentity[] {
    const restored: MachineIdentity[] = [];
    for (const item of items) {
      const index = Number(item.key.slice(KEYS.machineRegistryPrefix.length));
      const record = pageRecordSchema.safeParse(item.value);
      if (!record.success || !Number.isSafeInteger(index) || index < 0) {
        onMalformed(item.key);
        continue;
      }
      const page = this.getOrCreatePage(index);
      for (const [name, address, machineType, zone, spot] of record.data.m) {
        const identity = { name, address, machineType, zone, spot };
        this.setEntry(page, identity);
        restored.push(identity);
      }
    }
    return restored;
  }

  /** The page of this index. Creates that page, and those before it, if they don't exist. */
  private getOrCreatePage(index: number): Page {
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

  /** The first page with space for `bytes` more, or a new one if all are full. */
  private findPageWithSpace(bytes: number): Page {
    const pageWithSpace = this.pages.find((page) => page.bytes + bytes <= this.deps.pageBytes);
    return pageWithSpace ?? this.getOrCreatePage(this.pages.length);
  }

  private setEntry(page: Page, identity: MachineIdentity): void {
    page.entries.set(identity.name, identity);
    page.bytes += entryBytes(identity);
    this.pageOfMachine.set(identity.name, page);
  }

  /** Adds a machine, to be written with the next flush. Calls `onDurable` once that write is durable. */
  register(identity: MachineIdentity, onDurable: () => void): void {
    let page = this.pageOfMachine.get(identity.name);
    if (!page) {
      page = this.findPageWithSpace(entryBytes(identity));
      this.setEntry(page, identity);
    }
    page.changed = 'added';
    page.onDurable.push(onDurable);
  }

  /** Removes a machine that surely holds no tasks any more. */
  remove(name: string): void {
    const page = this.pageOfMachine.get(name);
    if (!page) return;
    this.pageOfMachine.delete(name);
    page.bytes -= entryBytes(required(page.entries.get(name), 'entry of a registered machine'));
    page.entries.delete(name);
    if (page.changed === 'no') page.changed = 'removalsOnly';
  }

  /** Queues the writes of changed pages; if removals alone changed a page, only while the writer is `idle`. */
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

/** Approximate size of a machine's entry in the stored value of its page. */
function entryBytes(id: MachineIdentity): number {
  return id.name.length + id.address.length + id.machineType.length + id.zone.length + ENTRY_OVERHEAD_BYTES;
}
