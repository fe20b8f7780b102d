import type { Logger } from '../base/log.ts';
import type { HttpSender } from '../http/client.ts';
import { RateBudget } from '../store/budget.ts';
import * as wire from '../wire/cloud.ts';

/** Outcome of a rental, with the names of the machines if it was carried out. */
export type RentResult =
  | { kind: 'rented'; names: string[] }
  | { kind: 'no_capacity' }
  | { kind: 'refused' }
  /** The rental may have been carried out. Repeating it under the same name returns the outcome. */
  | { kind: 'unknown' };

/** What controllers need of a cloud. */
export interface Cloud {
  /** Whether the rate limit allows a request now, with `reserve` more requests left after it. */
  canRequest(reserve?: number): boolean;
  catalog(): Promise<wire.MachineTypeInfo[] | null>;
  rent(request: wire.ProvisioningRequest): Promise<RentResult>;
  /** Resolves to true once the machines and everything on them are gone. */
  terminate(names: readonly string[]): Promise<boolean>;
  /** All machines listed, or null if any page could not be read. */
  list(): Promise<wire.ListedMachine[] | null>;
}

const TIMEOUT_MS = 4000;
const LIST_PAGE_SIZE = 500;

/** Client of the cloud's HTTP protocol that stays within the cloud's rate limit. */
export class CloudClient implements Cloud {
  private readonly http: HttpSender;
  private readonly budget: RateBudget;

  constructor(
    connect: (connections: number) => HttpSender,
    rps: number,
    now: () => number,
    private readonly log: Logger,
  ) {
    this.http = connect(6);
    // A fifth of the rate is left to the other controllers, which read the catalog when they start.
    this.budget = new RateBudget(rps * 0.8, now);
  }

  canRequest(reserve = 0): boolean {
    return this.budget.waitMs(1 + reserve) === 0;
  }

  async catalog(): Promise<wire.MachineTypeInfo[] | null> {
    this.budget.take();
    const result = await this.http.send('GET', wire.CLOUD_PATHS.types, null, TIMEOUT_MS);
    if (result.kind !== 'answer' || result.status !== 200) return null;
    const decoded = wire.decodeCatalog(result.body);
    if (decoded.ok && decoded.value.length > 0) return decoded.value;
    this.log.error({ reason: decoded.ok ? 'empty' : decoded.reason }, 'cloud: malformed catalog');
    return null;
  }

  async rent(request: wire.ProvisioningRequest): Promise<RentResult> {
    this.budget.take();
    const body = wire.encodeProvisioningRequest(request);
    const result = await this.http.send('POST', wire.CLOUD_PATHS.provision, body, TIMEOUT_MS);
    if (result.kind === 'silent') return result.sent ? { kind: 'unknown' } : { kind: 'refused' };
    if (result.status === 503 && wire.isNoCapacity(result.body)) return { kind: 'no_capacity' };
    if (result.status !== 200) return { kind: 'refused' };
    const decoded = wire.decodeProvisionedMachines(result.body);
    if (decoded.ok) return { kind: 'rented', names: decoded.value };
    this.log.error({ reason: decoded.reason }, 'cloud: malformed answer to a rental');
    return { kind: 'unknown' };
  }

  async terminate(names: readonly string[]): Promise<boolean> {
    this.budget.take();
    const result = await this.http.send(
      'POST',
      wire.CLOUD_PATHS.terminate,
      wire.encodeTerminationRequest(names),
      TIMEOUT_MS,
    );
    return result.kind === 'answer' && result.status === 200;
  }

  async list(): Promise<wire.ListedMachine[] | null> {
    const machines: wire.ListedMachine[] = [];
    let after = '';
    for (;;) {
      this.budget.take();
      const path = wire.CLOUD_PATHS.list(after, LIST_PAGE_SIZE);
      const result = await this.http.send('GET', path, null, TIMEOUT_MS);
      if (result.kind !== 'answer' || result.status !== 200) return null;
      const decoded = wire.decodeMachineList(result.body);
      if (!decoded.ok) {
        this.log.error({ reason: decoded.reason }, 'cloud: malformed machine list');
        return null;
      }
      machines.push(...decoded.value.machines);
      const last = decoded.value.machines.at(-1);
      if (!decoded.value.more || !last) return machines;
      after = last.name;
    }
  }

  close(): void {
    this.http.close();
  }
}
