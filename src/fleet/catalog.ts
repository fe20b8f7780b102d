import * as z from 'zod/mini';
import type { MachineTypeInfo } from '../wire/cloud.ts';
import { NameIndex } from '../base/name-index.ts';

/** The machine types that can be rented, by dense index. */
export class Catalog {
  readonly names: NameIndex;

  constructor(readonly types: readonly MachineTypeInfo[]) {
    this.names = new NameIndex(types.map((t) => t.name));
  }

  /** Index of a machine type, or -1 if it is unknown. */
  typeIndex(name: string): number {
    return this.names.findIndex(name);
  }
}

const storedCatalogSchema = z.object({
  types: z.array(
    z.object({
      name: z.string(),
      cpus: z.number(),
      gpus: z.number(),
      memory: z.number(),
      cacheGb: z.number(),
      fetchGbPerS: z.number(),
      price: z.number(),
      spotPrice: z.number(),
      bootS: z.number(),
      zones: z.array(z.string()),
    }),
  ),
});

/** The stored form of the catalog. */
export function encodeStoredCatalog(catalog: Catalog): { types: readonly MachineTypeInfo[] } {
  return { types: catalog.types };
}

/** Reads the stored form of the catalog; null if it is malformed or empty. */
export function decodeStoredCatalog(value: unknown): Catalog | null {
  const parsed = storedCatalogSchema.safeParse(value);
  return parsed.success && parsed.data.types.length > 0 ? new Catalog(parsed.data.types) : null;
}
