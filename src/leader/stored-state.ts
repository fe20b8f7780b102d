import type { KeyValueStore } from '../store/key-value-store.ts';
import { KEYS } from '../store/keys.ts';
import type { Item, WatchEvent } from '../wire/state.ts';

/** The records that earlier leaders and submissions left in the key-value store. */
export interface StoredRecords {
  /** Open jobs, and the terminal records that have not been archived yet. */
  open: readonly Item[];
  /** Chunks of the completion bitmaps of jobs. */
  completions: readonly Item[];
  /** Pages that say which tasks may have been started. */
  startWatermarks: readonly Item[];
  /** Pages of the machines that may hold tasks. */
  machineRegistry: readonly Item[];
}

/** The stored records as of one moment. */
export interface StoredState extends StoredRecords {
  /** Revision of the store from which the watch of job records continues. */
  revision: number;
}

/** Who is told of changes of job records. */
export interface JobRecordListener {
  /** False once nobody wants to know any more. */
  active(): boolean;
  changed(events: readonly WatchEvent[]): void;
  /** All records, read anew because the watch has missed changes. */
  listed(items: readonly Item[]): void;
}

type Reader = Pick<KeyValueStore, 'list' | 'watch'>;
type Pause = (ms: number) => Promise<void>;

const WATCH_MS = 20_000;
const RETRY_MS = 200;

/**
 * Reads everything that a new leader has to know; null: not all of it could be read. All at once: until it is read,
 * the leases of workers with tasks are not renewed.
 */
export async function readStoredState(store: Reader): Promise<StoredState | null> {
  const [open, finished, begun, roster] = await Promise.all([
    store.list(KEYS.openPrefix, 'lease'),
    store.list(KEYS.completionsPrefix, 'lease'),
    store.list(KEYS.startWatermarksPrefix, 'lease'),
    store.list(KEYS.machineRegistryPrefix, 'lease'),
  ]);
  if (open.kind !== 'ok' || finished.kind !== 'ok' || begun.kind !== 'ok' || roster.kind !== 'ok')
    return null;
  return {
    open: open.value.items,
    completions: finished.value.items,
    startWatermarks: begun.value.items,
    machineRegistry: roster.value.items,
    revision: open.value.revision,
  };
}

/** Tells of all changes of job records after a revision, for as long as the listener wants to know. */
export async function watchJobRecords(
  store: Reader,
  from: number,
  listener: JobRecordListener,
  pause: Pause,
): Promise<void> {
  let revision = from;
  while (listener.active()) {
    const watched = await store.watch(KEYS.openPrefix, revision, WATCH_MS);
    if (!listener.active()) return;
    if (watched.kind === 'ok') {
      revision = watched.value.revision;
      const { events } = watched.value;
      if (events.length > 0) listener.changed(events);
      continue;
    }
    await pause(RETRY_MS);
    if (watched.kind !== 'gone') continue;
    const listed = await store.list(KEYS.openPrefix, 'lease');
    if (listed.kind !== 'ok') continue;
    revision = listed.value.revision;
    listener.listed(listed.value.items);
  }
}
