/**
 * Codec of the cloud's interface, and the only module that translates its wire names. On the wire a machine type is an
 * `oven`, a machine a `hearth`, a zone a `yard`, a spot machine `borrowed`, and the id of a provisioning request a
 * `booking`.
 */
import * as z from 'zod/mini';
import { amount, decodeText, type Decoded } from './amounts.ts';

const wireMachineNames = z.object({ hearths: z.array(z.string()) });
const wireError = z.object({ error: z.string() });
const NO_CAPACITY_ERROR = 'no capacity';

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

/** A machine type of the cloud's catalog. */
export interface MachineTypeInfo {
  name: string;
  cpus: number;
  gpus: number;
  /** GB. */
  memory: number;
  /** Local disk for images. */
  cacheGb: number;
  /** Nominal rate at which images are fetched. */
  fetchGbPerS: number;
  /** Per hour. */
  price: number;
  /** Per hour. */
  spotPrice: number;
  /** Nominal boot time. */
  bootS: number;
  /** Zones in which the type is offered. */
  zones: string[];
}

/** Decodes the catalog. The spot price of a type without one is its ordinary price. */
export function decodeCatalog(text: string): Decoded<MachineTypeInfo[]> {
  const decoded = decodeText(wireCatalog, text);
  if (!decoded.ok) return decoded;
  return {
    ok: true,
    value: decoded.value.ovens.map((type) => ({
      name: type.name,
      cpus: type.cores,
      gpus: type.accelerators,
      memory: type.memGb,
      cacheGb: type.localGb,
      fetchGbPerS: type.pullGbPerS,
      price: type.rate,
      spotPrice: type.spotPrice > 0 ? type.spotPrice : type.rate,
      bootS: type.startupS,
      zones: type.yards,
    })),
  };
}

/** A request for `count` machines of one type in one zone. */
export interface ProvisioningRequest {
  /** Idempotency key: a retry with the same key provisions no further machines. */
  request: string;
  machineType: string;
  zone: string;
  spot: boolean;
  count: number;
}

/** Encodes the request that provisions machines. */
export function encodeProvisioningRequest(request: ProvisioningRequest): string {
  return JSON.stringify({
    booking: request.request,
    oven: request.machineType,
    yard: request.zone,
    borrowed: request.spot,
    count: request.count,
  });
}

/** Decodes the names of the machines that were provisioned, which may be fewer than requested. */
export function decodeProvisionedMachines(text: string): Decoded<string[]> {
  const decoded = decodeText(wireMachineNames, text);
  return decoded.ok ? { ok: true, value: decoded.value.hearths } : decoded;
}

/** True if the cloud refused a request for lack of capacity, rather than because of an outage. */
export function isNoCapacity(text: string): boolean {
  const decoded = decodeText(wireError, text);
  return decoded.ok && decoded.value.error === NO_CAPACITY_ERROR;
}

/** Encodes the request that terminates machines by name. */
export function encodeTerminationRequest(names: readonly string[]): string {
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

/** A machine in the cloud's list, which lags behind provisioning and termination. */
export interface ListedMachine {
  name: string;
  address: string;
  machineType: string;
  zone: string;
  spot: boolean;
  state: 'booting' | 'running' | 'failed';
  /** Time from the request that provisioned the machine to the list. */
  ageS: number;
}

/** States by their wire names. A state that this version does not know counts as running. */
const MACHINE_STATES: Record<string, ListedMachine['state']> = {
  starting: 'booting',
  running: 'running',
  failed: 'failed',
};

/** Decodes a page of the machine list, in the order of names; `more`: further pages follow. */
export function decodeMachineList(text: string): Decoded<{ machines: ListedMachine[]; more: boolean }> {
  const decoded = decodeText(wireList, text);
  if (!decoded.ok) return decoded;
  const machines = decoded.value.hearths.map((machine) => ({
    name: machine.uid,
    address: machine.address,
    machineType: machine.oven,
    zone: machine.yard,
    spot: machine.borrowed,
    state: MACHINE_STATES[machine.stage] ?? 'running',
    ageS: machine.ageS,
  }));
  return { ok: true, value: { machines, more: decoded.value.hasNext } };
}

/** Paths of the cloud's HTTP interface, with their queries. */
export const CLOUD_PATHS = {
  types: '/catalog',
  provision: '/rentals',
  terminate: '/rentals/return',
  list: (after: string, limit: number) => `/rentals?since=${encodeURIComponent(after)}&most=${limit}`,
};
