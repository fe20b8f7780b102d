import type { HttpResponse } from '../http/server.ts';
import { TokenBucket } from './bucket.ts';
import type { Exchange, Host, Spell } from './network.ts';
import { parse, type MachineType, type RentBody } from './protocol.ts';
import type { EventQueue } from './queue.ts';
import type { Random } from './random.ts';
import type { MachineIdentity } from './worker.ts';

/** Settings of the cloud: requests a second, and seconds by which its machine list lags. */
export interface CloudLimits {
  rps: number;
  list_lag_s: number;
}

interface Rented {
  identity: MachineIdentity;
  rentedAt: number;
  stage: 'starting' | 'running';
  goneAt: number;
  upAt: number;
}

/** What the cloud has to rent, and how it fails; shares are parts of 1. */
export interface CloudOptions {
  types: readonly MachineType[];
  /** Machines there can be at once. */
  capacity: number;
  /** Share of rentals refused although there is room. */
  refused: number;
  /** Share of rentals carried out whose answer is lost. */
  lostAnswers: number;
  /** Share of machines that never come up. */
  neverUp: number;
}

const MOST_RENTED = 50;
const MOST_RETURNED = 100;
const MOST_LISTED = 500;
const BURST_S = 2;
const BOOT = { least: 0.6, most: 1.5 };
const QUICK_BOOT_MS = { least: 200, most: 2000 };
/** A machine that has died goes on being listed as running for this long. */
const DEAD_LISTED_MS = 30_000;

const answer = (status: number, body: object): HttpResponse => ({ status, body: JSON.stringify(body) });

/** The cloud: rents machines, takes them back, lists them with a lag. */
export class SimCloud implements Host {
  readonly name = 'cloud';
  readonly kind = 'cloud';
  readonly zone = null;
  troubleUntil = 0;
  /** New machines are up within two seconds. */
  quickBoots: Spell = { untilMs: 0, share: 0 };
  private readonly machines = new Map<string, Rented>();
  private readonly bookings = new Map<string, string[]>();
  private readonly requests: TokenBucket;
  private count = 0;

  constructor(
    private readonly queue: EventQueue,
    private readonly random: Random,
    private readonly limits: CloudLimits,
    private readonly options: CloudOptions,
    private readonly boot: (identity: MachineIdentity) => void,
    private readonly remove: (name: string) => void,
  ) {
    this.requests = new TokenBucket(limits.rps, BURST_S, () => queue.at);
  }

  up(): boolean {
    return true;
  }

  heldUntil(): number {
    return 0;
  }

  serve({ request, reply }: Exchange): void {
    if (this.queue.at < this.troubleUntil) {
      reply(answer(503, { error: 'trouble' }));
      return;
    }
    if (!this.requests.take()) {
      reply(answer(429, { error: 'too many requests' }));
      return;
    }
    const url = new URL(request.path, 'http://cloud');
    if (url.pathname === '/catalog') reply(answer(200, { ovens: this.options.types }));
    else if (url.pathname === '/rentals/return') reply(this.giveBack(request.body));
    else if (request.method === 'POST') this.rent(request.body, reply);
    else reply(this.list(url.searchParams));
  }

  /** A machine that is up from the start; no controller has rented it. */
  addRunning(type: MachineType, zone: string, spot: boolean): string {
    return this.add(type, zone, spot, 0);
  }

  /** The machine has ended by itself or was taken. */
  died(name: string): void {
    const machine = this.machines.get(name);
    if (machine) machine.goneAt = this.queue.at + DEAD_LISTED_MS;
  }

  private running(): number {
    return [...this.machines.values()].filter((m) => m.goneAt === Infinity).length;
  }

  private add(type: MachineType, zone: string, spot: boolean, bootMs: number): string {
    const name = `n-${String(this.count++).padStart(6, '0')}`;
    const identity = { name, type, zone, spot };
    const { at } = this.queue;
    const machine: Rented = { identity, rentedAt: at, stage: 'starting', goneAt: Infinity, upAt: Infinity };
    this.machines.set(name, machine);
    if (bootMs === Infinity) return name;
    this.queue.after(bootMs, () => {
      if (machine.goneAt !== Infinity) return;
      machine.stage = 'running';
      machine.upAt = this.queue.at;
      this.boot(identity);
    });
    return name;
  }

  private bootMs(type: MachineType): number {
    const quick = this.queue.at < this.quickBoots.untilMs && this.random.chance(this.quickBoots.share);
    if (quick) return this.random.between(QUICK_BOOT_MS.least, QUICK_BOOT_MS.most);
    if (this.random.chance(this.options.neverUp)) return Infinity;
    return type.startupS * 1000 * this.random.between(BOOT.least, BOOT.most);
  }

  private rent(text: string, reply: (answer: HttpResponse) => void): void {
    const body = parse(text) as RentBody | null;
    const type = this.options.types.find((t) => t.name === body?.oven);
    if (
      !body ||
      !type ||
      !type.yards.includes(body.yard) ||
      !(body.count >= 1 && body.count <= MOST_RENTED)
    ) {
      reply(answer(400, { error: 'malformed' }));
      return;
    }
    let names = this.bookings.get(body.booking);
    if (!names) {
      const room = this.options.capacity - this.running();
      if (room <= 0 || this.random.chance(this.options.refused)) {
        reply(answer(503, { error: 'no capacity' }));
        return;
      }
      names = [];
      for (let i = 0; i < Math.min(body.count, room); i++) {
        names.push(this.add(type, body.yard, body.borrowed, this.bootMs(type)));
      }
      this.bookings.set(body.booking, names);
    }
    if (!this.random.chance(this.options.lostAnswers)) reply(answer(200, { hearths: names }));
  }

  private giveBack(text: string): HttpResponse {
    const names = (parse(text) as { hearths?: string[] } | null)?.hearths;
    if (!names || names.length > MOST_RETURNED) return answer(400, { error: 'malformed' });
    for (const name of names) {
      const machine = this.machines.get(name);
      if (!machine) continue;
      machine.goneAt = Math.min(machine.goneAt, this.queue.at);
      this.remove(name);
    }
    return answer(200, {});
  }

  /** The list as it was some seconds ago. */
  private list(query: URLSearchParams): HttpResponse {
    const since = query.get('since') ?? '';
    const most = Math.min(MOST_LISTED, Number(query.get('most') ?? MOST_LISTED));
    const lag = this.limits.list_lag_s * 1000 * (this.random.chance(0.1) ? 2 : 1);
    const asOf = this.queue.at - lag;
    const listed = [...this.machines.values()].filter(
      (m) => m.identity.name > since && m.rentedAt <= asOf && m.goneAt > asOf,
    );
    const hearths = listed.slice(0, most).map((m) => ({
      uid: m.identity.name,
      address: `${m.identity.name}:1`,
      oven: m.identity.type.name,
      yard: m.identity.zone,
      borrowed: m.identity.spot,
      stage: m.upAt <= asOf ? 'running' : 'starting',
      ageS: (asOf - m.rentedAt) / 1000,
    }));
    return answer(200, { hearths, hasNext: listed.length > most });
  }
}
