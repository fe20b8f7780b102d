import type { Server } from 'node:http';
import { serveJson, type Answer } from './http.ts';
import { WorkerStandIn, type Place, type Recipes } from './worker.ts';

const OVENS = [
  { name: 'c4', cores: 4, accelerators: 0, memGb: 16, rate: 0.2, spotPrice: 0.1, startupS: 2 },
  { name: 'g8', cores: 16, accelerators: 4, memGb: 128, rate: 8, spotPrice: 3, startupS: 3 },
].map((o) => ({ ...o, localGb: 50, pullGbPerS: 1, yards: ['a', 'b'] }));
const MOST_MACHINES = 12;

/** A stand-in of the cloud: rents machines, whose workers run in this process. */
export class CloudStandIn {
  private readonly machines = new Map<
    string,
    { place: Place; worker: WorkerStandIn; up: boolean; since: number }
  >();
  private readonly bookings = new Map<string, string[]>();
  private count = 0;

  constructor(
    private readonly controllers: { name: string; address: string }[],
    private readonly recipes: Recipes,
  ) {}

  private server: Server | null = null;

  async start(): Promise<string> {
    const { server, address } = await serveJson((method, url, body) => this.route(method, url, body));
    this.server = server;
    return address;
  }

  stop(): void {
    this.server?.close();
    this.server?.closeAllConnections();
    for (const m of this.machines.values()) m.worker.stop();
  }

  private route(method: string, url: URL, body: Record<string, unknown>): Answer {
    if (url.pathname === '/catalog') return { status: 200, body: { ovens: OVENS } };
    if (url.pathname === '/rentals/return') {
      for (const name of body.hearths as string[]) {
        this.machines.get(name)?.worker.stop();
        this.machines.delete(name);
      }
      return { status: 200, body: {} };
    }
    if (url.pathname !== '/rentals') return { status: 404, body: {} };
    return method === 'POST' ? this.rent(body) : this.list(url.searchParams);
  }

  private rent(body: Record<string, unknown>): Answer {
    const booking = String(body.booking);
    const known = this.bookings.get(booking);
    if (known) return { status: 200, body: { hearths: known } };
    const room = Math.min(Number(body.count), MOST_MACHINES - this.machines.size);
    const oven = OVENS.find((o) => o.name === body.oven);
    if (!oven) return { status: 400, body: {} };
    if (room <= 0) return { status: 503, body: { error: 'no capacity' } };
    const hearths: string[] = [];
    for (let i = 0; i < room; i++) {
      const hearth = `n-${String(this.count++).padStart(6, '0')}`;
      const place = {
        hearth,
        oven: oven.name,
        yard: String(body.yard),
        borrowed: body.borrowed === true,
      };
      const worker = new WorkerStandIn(place, this.controllers, this.recipes);
      const machine = { place, worker, up: false, since: Date.now() };
      this.machines.set(hearth, machine);
      hearths.push(hearth);
      setTimeout(() => {
        if (!this.machines.has(hearth)) return;
        machine.up = true;
        void worker.start();
      }, oven.startupS * 1000);
    }
    this.bookings.set(booking, hearths);
    return { status: 200, body: { hearths } };
  }

  private list(query: URLSearchParams): Answer {
    const since = query.get('since') ?? '';
    const hearths = [...this.machines]
      .filter(([name]) => name > since)
      .map(([uid, m]) => ({
        uid,
        address: m.worker.address,
        oven: m.place.oven,
        yard: m.place.yard,
        borrowed: m.place.borrowed,
        stage: m.up ? 'running' : 'starting',
        ageS: (Date.now() - m.since) / 1000,
      }));
    return { status: 200, body: { hearths, hasNext: false } };
  }
}
