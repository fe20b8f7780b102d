import assert from 'node:assert/strict';
import test from 'node:test';
import { ClusterCatalog } from '../../src/controller/cluster-catalog.ts';
import { Catalog, encodeStoredCatalog } from '../../src/fleet/catalog.ts';
import type { CloudClient } from '../../src/fleet/cloud.ts';
import type { KeyValueStore } from '../../src/store/key-value-store.ts';
import { KEYS } from '../../src/store/keys.ts';
import type { LeaderWriter } from '../../src/store/leader-writer.ts';
import { BIG } from '../helpers.ts';

const STORED = encodeStoredCatalog(new Catalog([{ ...BIG, name: 'stored' }]));

/** A catalog with fake cloud and store. Pauses end at once and are recorded; the sixth one stops the catalog. */
class CatalogHarness {
  cloud: CloudClient['catalog'] = () => Promise.resolve(null);
  store: KeyValueStore['get'] = () => Promise.resolve({ kind: 'refused' });
  readonly pauses: number[] = [];
  readonly errors: unknown[] = [];
  readonly stopping = new AbortController();
  readonly catalog: ClusterCatalog;

  constructor(maxValueBytes = 8000) {
    this.catalog = new ClusterCatalog({
      store: { get: (key, urgency) => this.store(key, urgency) },
      cloud: { catalog: () => this.cloud() },
      pause: (ms) => {
        this.pauses.push(ms);
        if (this.pauses.length >= 6) this.stopping.abort();
        return Promise.resolve();
      },
      signal: this.stopping.signal,
      onError: (error) => this.errors.push(error),
      maxValueBytes,
    });
  }

  typeNames(): string[] | undefined {
    return this.catalog.current?.types.map((type) => type.name);
  }
}

test('the catalog is read from the cloud, or from the store during a cloud outage', async () => {
  const fromCloud = new CatalogHarness();
  fromCloud.cloud = () => Promise.resolve([BIG]);
  await fromCloud.catalog.load();
  assert.deepEqual(fromCloud.typeNames(), ['big']);
  const fromStore = new CatalogHarness();
  fromStore.store = () =>
    Promise.resolve({ kind: 'ok', value: { key: KEYS.catalog, value: STORED, version: 1, lease: null } });
  await fromStore.catalog.load();
  assert.deepEqual(fromStore.typeNames(), ['stored']);
});

test('reading the catalog is retried with exponential backoff until the controller stops', async () => {
  const harness = new CatalogHarness();
  await harness.catalog.load();
  assert.equal(harness.catalog.current, null);
  assert.deepEqual(harness.pauses, [300, 600, 1200, 2400, 3000, 3000]);
});

test('an error of the store is passed to onError and does not end the loading', async () => {
  const harness = new CatalogHarness();
  const error = new Error('store');
  harness.store = () => Promise.reject(error);
  harness.cloud = () => Promise.resolve([BIG]);
  await harness.catalog.load();
  await new Promise((resolve) => setImmediate(resolve));
  assert.deepEqual(harness.errors, [error]);
  assert.deepEqual(harness.typeNames(), ['big']);
});

test('a catalog is saved only if it fits the size limit of a value in the store', () => {
  const catalog = new Catalog([BIG]);
  const value = encodeStoredCatalog(catalog);
  const bytes = JSON.stringify(value).length;
  for (const [maxValueBytes, written] of [
    [bytes, 1],
    [bytes - 1, 0],
  ] as const) {
    const writes: Parameters<LeaderWriter['enqueue']>[] = [];
    const writer = { enqueue: (...write: Parameters<LeaderWriter['enqueue']>) => void writes.push(write) };
    new CatalogHarness(maxValueBytes).catalog.save(catalog, writer);
    assert.equal(writes.length, written);
    assert.ok(writes.every(([, priority]) => priority === 'background'));
  }
});
