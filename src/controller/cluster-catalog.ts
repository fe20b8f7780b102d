/** The machine types of the cluster, as a controller knows them. */
import { Catalog, encodeStoredCatalog, decodeStoredCatalog } from '../fleet/catalog.ts';
import type { CloudClient } from '../fleet/cloud.ts';
import type { KeyValueStore } from '../store/key-value-store.ts';
import { KEYS } from '../store/keys.ts';
import type { LeaderWriter } from '../store/leader-writer.ts';
import type { ErrorHandler } from './error-log.ts';

const FIRST_RETRY_MS = 300;
const MAX_RETRY_MS = 3000;

/** What reading and saving the catalog needs of the controller. */
export interface ClusterCatalogDeps {
  store: Pick<KeyValueStore, 'get'>;
  cloud: Pick<CloudClient, 'catalog'>;
  pause: (ms: number) => Promise<void>;
  /** Ends the reading. */
  signal: AbortSignal;
  onError: ErrorHandler;
  /** Most bytes of a value in the store. */
  maxValueBytes: number;
}

/** Reads the catalog of machine types from whoever answers first, the cloud or the store. */
export class ClusterCatalog {
  private known: Catalog | null = null;

  constructor(private readonly deps: ClusterCatalogDeps) {}

  /** null until it has been read; it doesn't change afterwards. */
  get current(): Catalog | null {
    return this.known;
  }

  /** Asks until one of them has answered. */
  async load(): Promise<void> {
    const { cloud, pause, signal } = this.deps;
    let retryMs = FIRST_RETRY_MS;
    while (!this.known && !signal.aborted) {
      // Both are asked at once: a controller that starts while the cloud is in trouble must still be able to lead.
      this.readFromStore();
      const types = await cloud.catalog();
      if (types) this.known ??= new Catalog(types);
      else await pause(retryMs);
      retryMs = Math.min(MAX_RETRY_MS, retryMs * 2);
    }
  }

  /** Stores a catalog for controllers that start later, if it fits a value of the store. */
  save(catalog: Catalog, writer: Pick<LeaderWriter, 'enqueue'>): void {
    const value = encodeStoredCatalog(catalog);
    if (JSON.stringify(value).length > this.deps.maxValueBytes) return;
    const mutations = [{ put: KEYS.catalog, value }];
    writer.enqueue({ kind: 'ready', mutations, done: () => undefined }, 'background');
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
