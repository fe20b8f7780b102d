// Stand-in of the cloud, after PROTOCOL "Controller nodes -> cloud". Its machines' workers run in this process.
import { serve } from './http.mjs';
import { Worker } from './worker.mjs';

export class Cloud {
  /** `types`: as in /catalog, with `capacity` machines of each kind in each zone. */
  constructor(types, workerSettings, world) {
    Object.assign(this, { types, workerSettings, world });
    this.machines = new Map();
    this.bookings = new Map();
    this.count = 0;
    this.down = false;
  }

  async start() {
    const { server, address } = await serve((m, u, t) => this.route(m, u, t));
    this.server = server;
    return address;
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
    for (const m of this.machines.values()) m.worker?.stop();
    this.machines.clear();
  }

  /** A machine that is up from the start. */
  async addRunning(oven, yard, borrowed = false) {
    const name = this.add(oven, yard, borrowed);
    await this.boot(name);
    return name;
  }

  add(oven, yard, borrowed) {
    const name = `n-${String(++this.count).padStart(6, '0')}`;
    this.machines.set(name, { uid: name, oven, yard, borrowed, rentedAt: Date.now(), worker: null });
    return name;
  }

  async boot(name) {
    const m = this.machines.get(name);
    if (!m) return;
    const type = this.types.find((t) => t.name === m.oven);
    const worker = new Worker({ hearth: name, oven: m.oven, yard: m.yard, borrowed: m.borrowed }, type, this.workerSettings, this.world);
    await worker.start();
    if (!this.machines.has(name)) return worker.stop();
    m.worker = worker;
    this.world.record({ what: 'machine up', machine: name, oven: m.oven, yard: m.yard, borrowed: m.borrowed });
  }

  route(method, url, buffer) {
    if (this.down) return { status: 503, body: { error: 'trouble' } };
    const body = buffer.length ? JSON.parse(buffer.toString('utf8')) : {};
    if (url.pathname === '/catalog')
      return { status: 200, body: { ovens: this.types.map(({ capacity, ...t }) => t) } };
    if (url.pathname === '/rentals/return') {
      for (const name of body.hearths) {
        const m = this.machines.get(name);
        if (!m) continue;
        this.world.record({ what: 'machine returned', machine: name });
        this.machines.delete(name);
        m.worker?.stop();
      }
      return { status: 200, body: {} };
    }
    if (url.pathname !== '/rentals') return { status: 404, body: {} };
    return method === 'POST' ? this.rent(body) : this.list(url.searchParams);
  }

  rent({ booking, oven, yard, borrowed, count }) {
    if (this.bookings.has(booking)) return { status: 200, body: { hearths: this.bookings.get(booking) } };
    const type = this.types.find((t) => t.name === oven);
    if (!type || !type.yards.includes(yard) || !(count >= 1 && count <= 50)) return { status: 400, body: {} };
    const used = [...this.machines.values()].filter((m) => m.oven === oven && m.yard === yard && m.borrowed === borrowed).length;
    const free = Math.min(count, (type.capacity ?? 0) - used);
    if (free <= 0) return { status: 503, body: { error: 'no capacity' } };
    const hearths = Array.from({ length: free }, () => this.add(oven, yard, borrowed));
    this.bookings.set(booking, hearths);
    this.world.record({ what: 'rented', booking, oven, yard, borrowed, hearths });
    for (const name of hearths) setTimeout(() => void this.boot(name), type.startupS * 1000);
    return { status: 200, body: { hearths } };
  }

  list(q) {
    const since = q.get('since') ?? '';
    const most = Math.min(500, Number(q.get('most') ?? 500));
    const all = [...this.machines.values()].filter((m) => m.uid > since).sort((a, b) => (a.uid < b.uid ? -1 : 1));
    const hearths = all.slice(0, most).map((m) => ({
      uid: m.uid,
      address: m.worker?.address ?? '127.0.0.1:1',
      oven: m.oven,
      yard: m.yard,
      borrowed: m.borrowed,
      stage: m.worker ? 'running' : 'starting',
      ageS: (Date.now() - m.rentedAt) / 1000,
    }));
    return { status: 200, body: { hearths, hasNext: all.length > most } };
  }
}
