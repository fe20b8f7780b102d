/** The catalog of machine types that this controller has read. */
import { Catalog, encodeStoredCatalog, decodeStoredCatalog } from '../fleet/catalog.ts';
import type { CloudClient } from '../fleet/cloud.ts';
import type { KeyValueStore } from '../store/key-value-store.ts';
import { KEYS } from '../store/keys.ts';
import type { LeaderWriter } from '../store/leader-writer.ts';
import type { ErrorHandler } from './error-log.ts';

const FIRST_RETRY_MS = 300;
const MAX_RETRY_MS = 3000;

/** The dependencies for reading and saving the catalog. */
export interface ClusterCatalogDeps {
  store: Pick<KeyValueStore, 'get'>;
  cloud: Pick<CloudClient, 'catalog'>;
  pause: (ms: number) => Promise<void>;
  /** Stops the retries of `load` when aborted. */
  signal: AbortSignal;
  onError: ErrorHandler;
  /** Maximum size of a value in the store. */
  maxValueBytes: number;
}

/** Reads the catalog of machine types from the cloud or from the store, whichever answers first. */
export class ClusterCatalog {
  private known: Catalog | null = null;

  constructor(private readonly deps: ClusterCatalogDeps) {}

  /** The catalog; null until it has been read. It doesn't change afterwards. */
  get current(): Catalog | null {
    return this.known;
  }

  /** Queries the cloud and the store until one of them returns a catalog, with exponential backoff. */
  async load(): Promise<void> {
    const { cloud, pause, signal } = this.deps;
    let retryMs = FIRST_RETRY_MS;
    while (!this.known && !signal.aborted) {
      // Both are queried in parallel: a controller that starts during a cloud outage must still be able to lead.
      this.readFromStore();
      const types = await cloud.catalog();
      if (types) this.known ??= new Catalog(types);
      else await pause(retryMs);
      retryMs = Math.min(MAX_RETRY_MS, retryMs * 2);
    }
  }

  /** Stores the catalog for controllers that start later, unless it exceeds the size limit of a value. */
  save(catalog: Catalog, writer: Pick<LeaderWriter, 'enqueue'>): void {
    const value = encodeStoredCatalog(catalog);
    if (JSON.stringify(value).length > this.deps.maxValueBytes) return;
    const mutations = [{ put: KEYS.catalog, value }];
    writer.enqueue({ kind: 'ready', mutations, onCommitted: () => undefined }, 'background');
  }

  private readFromStore(): void {
    this.deps.store
      .get(KEYS.catalog, 'user')
      .then((stored) => {
        if (stored.kind === 'ok' && stored.value) this.known ??= decodeStoredCatalog(stored.value.value);
      })
      .catch(this.deps.onError);
  }
}
