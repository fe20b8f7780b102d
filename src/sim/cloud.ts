import type { HttpResponse } from '../http/server.ts';
import { TokenBucket } from './bucket.ts';
import type { Exchange, Host, FaultWindow } from './network.ts';
import { parseJson, type MachineType, type RentBody } from './protocol.ts';
import type { EventQueue } from './queue.ts';
import type { Random } from './random.ts';
import type { MachineIdentity } from './worker.ts';

/** Settings of the cloud: requests per second, and the lag of its list of machines in seconds. */
export interface CloudLimits {
  rps: number;
  list_lag_s: number;
}

interface RentedMachine {
  identity: MachineIdentity;
  rentedAt: number;
  stage: 'starting' | 'running';
  /** When the machine leaves the cloud's list; Infinity while it exists. */
  delistedAt: number;
  upAt: number;
}

/** Machines that the cloud offers, and how it fails; shares are from 0 to 1. */
export interface CloudOptions {
  types: readonly MachineType[];
  /** Maximum number of machines at a time. */
  capacity: number;
  /** Share of rentals that are refused although there is capacity. */
  refusedRentals: number;
  /** Share of rentals that are carried out but whose answer is lost. */
  lostAnswers: number;
  /** Share of machines that never come up. */
  neverUp: number;
}

const MAX_MACHINES_PER_RENTAL = 50;
const MAX_MACHINES_PER_RETURN = 100;
const MAX_LISTED_MACHINES = 500;
const REQUEST_BURST_S = 2;
/** Actual boot time relative to the machine type's `startupS`. */
const BOOT_TIME_RATIO = { min: 0.6, max: 1.5 };
const QUICK_BOOT_MS = { min: 200, max: 2000 };
/** A failed machine stays listed as running for this long. */
const FAILED_LISTED_MS = 30_000;

const answer = (status: number, body: object): HttpResponse => ({ status, body: JSON.stringify(body) });

/** The cloud: provisions machines, takes them back, and lists them with a lag. */
export class SimCloud implements Host {
  readonly name = 'cloud';
  readonly kind = 'cloud';
  readonly zone = null;
  unavailableUntil = 0;
  /** New machines boot within two seconds. */
  quickBoots: FaultWindow = { untilMs: 0, share: 0 };
  private readonly machines = new Map<string, RentedMachine>();
  private readonly machinesByRequestId = new Map<string, string[]>();
  private readonly requests: TokenBucket;
  private machineCount = 0;

  constructor(
    private readonly queue: EventQueue,
    private readonly random: Random,
    private readonly limits: CloudLimits,
    private readonly options: CloudOptions,
    private readonly onBooted: (identity: MachineIdentity) => void,
    private readonly onReturned: (name: string) => void,
  ) {
    this.requests = new TokenBucket(limits.rps, REQUEST_BURST_S, () => queue.nowMs);
  }

  isUp(): boolean {
    return true;
  }

  heldUntil(): number {
    return 0;
  }

  serve({ request, reply }: Exchange): void {
    if (this.queue.nowMs < this.unavailableUntil) {
      reply(answer(503, { error: 'trouble' }));
      return;
    }
    if (!this.requests.take()) {
      reply(answer(429, { error: 'too many requests' }));
      return;
    }
    const url = new URL(request.path, 'http://cloud');
    if (url.pathname === '/catalog') reply(answer(200, { ovens: this.options.types }));
    else if (url.pathname === '/rentals/return') reply(this.returnMachines(request.body));
    else if (request.method === 'POST') this.rentMachines(request.body, reply);
    else reply(this.listMachines(url.searchParams));
  }

  /** Adds a machine that runs without having been rented, and returns its name. */
  addRunningMachine(type: MachineType, zone: string, spot: boolean): string {
    return this.addMachine(type, zone, spot, 0);
  }

  /** Marks a machine as failed or reclaimed. */
  markFailed(name: string): void {
    const machine = this.machines.get(name);
    if (machine) machine.delistedAt = this.queue.nowMs + FAILED_LISTED_MS;
  }

  private countActiveMachines(): number {
    return [...this.machines.values()].filter((m) => m.delistedAt === Infinity).length;
  }

  private addMachine(type: MachineType, zone: string, spot: boolean, bootMs: number): string {
    const name = `n-${String(this.machineCount++).padStart(6, '0')}`;
    const identity = { name, type, zone, spot };
    const { nowMs } = this.queue;
    const machine: RentedMachine = {
      identity,
      rentedAt: nowMs,
      stage: 'starting',
      delistedAt: Infinity,
      upAt: Infinity,
    };
    this.machines.set(name, machine);
    if (bootMs === Infinity) return name;
    this.queue.after(bootMs, () => {
      if (machine.delistedAt !== Infinity) return;
      machine.stage = 'running';
      machine.upAt = this.queue.nowMs;
      this.onBooted(identity);
    });
    return name;
  }

  private drawBootMs(type: MachineType): number {
    const isQuick = this.queue.nowMs < this.quickBoots.untilMs && this.random.chance(this.quickBoots.share);
    if (isQuick) return this.random.between(QUICK_BOOT_MS.min, QUICK_BOOT_MS.max);
    if (this.random.chance(this.options.neverUp)) return Infinity;
    return type.startupS * 1000 * this.random.between(BOOT_TIME_RATIO.min, BOOT_TIME_RATIO.max);
  }

  private rentMachines(text: string, reply: (answer: HttpResponse) => void): void {
    const body = parseJson(text) as RentBody | null;
    const type = this.options.types.find((t) => t.name === body?.oven);
    if (
      !body ||
      !type ||
      !type.yards.includes(body.yard) ||
      !(body.count >= 1 && body.count <= MAX_MACHINES_PER_RENTAL)
    ) {
      reply(answer(400, { error: 'malformed' }));
      return;
    }
    let machines = this.machinesByRequestId.get(body.booking);
    if (!machines) {
      const freeCapacity = this.options.capacity - this.countActiveMachines();
      if (freeCapacity <= 0 || this.random.chance(this.options.refusedRentals)) {
        reply(answer(503, { error: 'no capacity' }));
        return;
      }
      machines = [];
      for (let i = 0; i < Math.min(body.count, freeCapacity); i++) {
        machines.push(this.addMachine(type, body.yard, body.borrowed, this.drawBootMs(type)));
      }
      this.machinesByRequestId.set(body.booking, machines);
    }
    if (!this.random.chance(this.options.lostAnswers)) reply(answer(200, { hearths: machines }));
  }

  private returnMachines(text: string): HttpResponse {
    const names = (parseJson(text) as { hearths?: string[] } | null)?.hearths;
    if (!names || names.length > MAX_MACHINES_PER_RETURN) return answer(400, { error: 'malformed' });
    for (const name of names) {
      const machine = this.machines.get(name);
      if (!machine) continue;
      machine.delistedAt = Math.min(machine.delistedAt, this.queue.nowMs);
      this.onReturned(name);
    }
    return answer(200, {});
  }

  /** Lists the machines as of some seconds ago. */
  private listMachines(query: URLSearchParams): HttpResponse {
    const since = query.get('since') ?? '';
    const limit = Math.min(MAX_LISTED_MACHINES, Number(query.get('most') ?? MAX_LISTED_MACHINES));
    const lagMs = this.limits.list_lag_s * 1000 * (this.random.chance(0.1) ? 2 : 1);
    const asOf = this.queue.nowMs - lagMs;
    const listed = [...this.machines.values()].filter(
      (m) => m.identity.name > since && m.rentedAt <= asOf && m.delistedAt > asOf,
    );
    const page = listed.slice(0, limit).map((m) => ({
      uid: m.identity.name,
      address: `${m.identity.name}:1`,
      oven: m.identity.type.name,
      yard: m.identity.zone,
      borrowed: m.identity.spot,
      stage: m.upAt <= asOf ? 'running' : 'starting',
      ageS: (asOf - m.rentedAt) / 1000,
    }));
    return answer(200, { hearths: page, hasNext: listed.length > limit });
  }
}
