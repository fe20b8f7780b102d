import * as z from 'zod/mini';
import { amount, decodeText, type Decoded } from './amounts.ts';

const wireCatalog = z.object({
  ovens: z.array(
    z.object({
      name: z.string(),
      cores: amount,
      accelerators: z._default(amount, 0),
      memGb: amount,
      localGb: z._default(amount, 0),
      pullGbPerS: z._default(amount, 0),
      rate: amount,
      spotPrice: z._default(amount, 0),
      startupS: z._default(amount, 0),
      yards: z.array(z.string()),
    }),
  ),
});

/** A machine type of the cloud's catalog: memory and cache in GB, prices an hour, boot time in seconds. */
export interface MachineTypeInfo {
  name: string;
  cpus: number;
  gpus: number;
  memory: number;
  cacheGb: number;
  fetchGbPerS: number;
  price: number;
  spotPrice: number;
  bootS: number;
  zones: string[];
}

/** Decodes the catalog. A type without a spot price is rented as a spot machine at its ordinary price. */
export function decodeCatalog(text: string): Decoded<MachineTypeInfo[]> {
  const decoded = decodeText(wireCatalog, text);
  if (!decoded.ok) return decoded;
  return {
    ok: true,
    value: decoded.value.ovens.map((o) => ({
      name: o.name,
      cpus: o.cores,
      gpus: o.accelerators,
      memory: o.memGb,
      cacheGb: o.localGb,
      fetchGbPerS: o.pullGbPerS,
      price: o.rate,
      spotPrice: o.spotPrice > 0 ? o.spotPrice : o.rate,
      bootS: o.startupS,
      zones: o.yards,
    })),
  };
}

/** A rental of `count` equal machines. Repeated under the same `request` name it rents nothing twice. */
export interface RentRequest {
  request: string;
  machineType: string;
  zone: string;
  spot: boolean;
  count: number;
}

/** Encodes the body of a rental. */
export function encodeRent(r: RentRequest): string {
  return JSON.stringify({
    booking: r.request,
    oven: r.machineType,
    yard: r.zone,
    borrowed: r.spot,
    count: r.count,
  });
}

/** Decodes the answer to a rental: the names of the machines, which may be fewer than were asked for. */
export function decodeRented(text: string): Decoded<string[]> {
  const decoded = decodeText(z.object({ hearths: z.array(z.string()) }), text);
  return decoded.ok ? { ok: true, value: decoded.value.hearths } : decoded;
}

/** True when a refused rental says that there is no capacity, rather than that the cloud is in trouble. */
export function isNoCapacity(text: string): boolean {
  const decoded = decodeText(z.object({ error: z.string() }), text);
  return decoded.ok && decoded.value.error === 'no capacity';
}

/** Encodes the body that returns machines by name. */
export function encodeTermination(names: readonly string[]): string {
  return JSON.stringify({ hearths: names });
}

const wireList = z.object({
  hearths: z.array(
    z.object({
      uid: z.string(),
      address: z._default(z.string(), ''),
      oven: z.string(),
      yard: z.string(),
      borrowed: z.boolean(),
      stage: z.string(),
      ageS: z._default(amount, 0),
    }),
  ),
  hasNext: z.boolean(),
});

/** A machine in the cloud's list, which lags behind rentals and returns. `ageS`: seconds since it was rented. */
export interface ListedMachine {
  name: string;
  address: string;
  machineType: string;
  zone: string;
  spot: boolean;
  state: 'booting' | 'running' | 'failed';
  ageS: number;
}

const LIST_STATES: Record<string, ListedMachine['state']> = {
  starting: 'booting',
  running: 'running',
  failed: 'failed',
};

/** Decodes a page of the machine list, in the order of names; `more`: further pages follow. */
export function decodeMachineList(text: string): Decoded<{ machines: ListedMachine[]; more: boolean }> {
  const decoded = decodeText(wireList, text);
  if (!decoded.ok) return decoded;
  const machines = decoded.value.hearths.map((h) => ({
    name: h.uid,
    address: h.address,
    machineType: h.oven,
    zone: h.yard,
    spot: h.borrowed,
    state: LIST_STATES[h.stage] ?? 'running',
    ageS: h.ageS,
  }));
  return { ok: true, value: { machines, more: decoded.value.hasNext } };
}

/** Paths of the cloud's HTTP interface, with their queries. */
export const CLOUD_PATHS = {
  types: '/catalog',
  rent: '/rentals',
  returned: '/rentals/return',
  list: (after: string, limit: number) => `/rentals?since=${encodeURIComponent(after)}&most=${limit}`,
};
