/** Reads the state that a new leader recovers from, and watches the job records afterwards. */
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

/** Receives the changes of job records. */
export interface JobRecordListener {
  /** False once the changes are of no use any more; the watch then ends. */
  isActive(): boolean;
  /** Receives changes, in order. */
  onEvents(events: readonly WatchEvent[]): void;
  /** Receives all records from a new listing, needed because the watch has missed changes. */
  onListed(items: readonly Item[]): void;
}

type StateReader = Pick<KeyValueStore, 'list' | 'watch'>;
type Pause = (ms: number) => Promise<void>;

/** Longest time that one call of the watch stays open. */
const MAX_WATCH_MS = 20_000;
/** Pause after a call of the watch that failed. */
const WATCH_RETRY_PAUSE_MS = 200;

/**
 * Reads everything that a new leader has to know; null if any part of it could not be read. All parts are read at the
 * same time, since no worker's lease is renewed until the state is recovered.
 */
export async function readStoredState(store: StateReader): Promise<StoredState | null> {
  const [open, completions, startWatermarks, machineRegistry] = await Promise.all([
    store.list(KEYS.openPrefix, 'lease'),
    store.list(KEYS.completionsPrefix, 'lease'),
    store.list(KEYS.startWatermarksPrefix, 'lease'),
    store.list(KEYS.machineRegistryPrefix, 'lease'),
  ]);
  if (open.kind !== 'ok' || completions.kind !== 'ok') return null;
  if (startWatermarks.kind !== 'ok' || machineRegistry.kind !== 'ok') return null;
  return {
    open: open.value.items,
    completions: completions.value.items,
    startWatermarks: startWatermarks.value.items,
    machineRegistry: machineRegistry.value.items,
    revision: open.value.revision,
  };
}

/** Reports all changes of job records after a revision, for as long as the listener is active. */
export async function watchJobRecords(
  store: StateReader,
  afterRevision: number,
  listener: JobRecordListener,
  pause: Pause,
): Promise<void> {
  let revision = afterRevision;
  while (listener.isActive()) {
    const watched = await store.watch(KEYS.openPrefix, revision, MAX_WATCH_MS);
    if (!listener.isActive()) return;
    if (watched.kind === 'ok') {
      revision = watched.value.revision;
      const { events } = watched.value;
      if (events.length > 0) listener.onEvents(events);
      continue;
    }
    await pause(WATCH_RETRY_PAUSE_MS);
    // `gone`: the store has dropped events after our revision, so only a new listing shows what has changed.
    if (watched.kind !== 'gone') continue;
    const listed = await store.list(KEYS.openPrefix, 'lease');
    if (listed.kind !== 'ok') continue;
    revision = listed.value.revision;
    listener.onListed(listed.value.items);
  }
}
