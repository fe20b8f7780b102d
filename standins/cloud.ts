import type { Server } from 'node:http';
import { serveJson, type Answer } from './http.ts';
import { WorkerStandIn, type JobDescriptions, type MachineIdentity, type WorkerState } from './worker.ts';

const MACHINE_TYPES = [
  { name: 'c4', cores: 4, accelerators: 0, memGb: 16, rate: 0.2, spotPrice: 0.1, startupS: 2 },
  { name: 'g8', cores: 16, accelerators: 4, memGb: 128, rate: 8, spotPrice: 3, startupS: 3 },
].map((o) => ({ ...o, localGb: 50, pullGbPerS: 1, yards: ['a', 'b'] }));
const MAX_MACHINES = 12;

/** A stand-in for the cloud: provisions machines, whose workers run in this process. */
export class CloudStandIn {
  private readonly machines = new Map<
    string,
    { identity: MachineIdentity; worker: WorkerStandIn; running: boolean; requestedAt: number }
  >();
  private readonly machinesByRequestId = new Map<string, string[]>();
  private machineCount = 0;

  constructor(
    private readonly controllers: { name: string; address: string }[],
    private readonly jobDescriptions: JobDescriptions,
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

  /** What the running workers have seen. */
  workers(): WorkerState[] {
    return [...this.machines.values()]
      .filter((machine) => machine.running)
      .map((machine) => machine.worker.state());
  }

  private route(method: string, url: URL, body: Record<string, unknown>): Answer {
    if (url.pathname === '/catalog') return { status: 200, body: { ovens: MACHINE_TYPES } };
    if (url.pathname === '/rentals/return') {
      for (const name of body.hearths as string[]) {
        this.machines.get(name)?.worker.stop();
        this.machines.delete(name);
      }
      return { status: 200, body: {} };
    }
    if (url.pathname !== '/rentals') return { status: 404, body: {} };
    return method === 'POST' ? this.rentMachines(body) : this.listMachines(url.searchParams);
  }

  private rentMachines(body: Record<string, unknown>): Answer {
    const requestId = String(body.booking);
    const knownMachines = this.machinesByRequestId.get(requestId);
    if (knownMachines) return { status: 200, body: { hearths: knownMachines } };
    const grantedCount = Math.min(Number(body.count), MAX_MACHINES - this.machines.size);
    const machineType = MACHINE_TYPES.find((o) => o.name === body.oven);
    if (!machineType) return { status: 400, body: {} };
    if (grantedCount <= 0) return { status: 503, body: { error: 'no capacity' } };
    const machines: string[] = [];
    for (let i = 0; i < grantedCount; i++) {
      const name = `n-${String(this.machineCount++).padStart(6, '0')}`;
      const identity = {
        hearth: name,
        oven: machineType.name,
        yard: String(body.yard),
        borrowed: body.borrowed === true,
      };
      const worker = new WorkerStandIn(identity, this.controllers, this.jobDescriptions);
      const machine = { identity, worker, running: false, requestedAt: Date.now() };
      this.machines.set(name, machine);
      machines.push(name);
      setTimeout(() => {
        if (!this.machines.has(name)) return;
        machine.running = true;
        void worker.start();
      }, machineType.startupS * 1000);
    }
    this.machinesByRequestId.set(requestId, machines);
    return { status: 200, body: { hearths: machines } };
  }

  private listMachines(query: URLSearchParams): Answer {
    const since = query.get('since') ?? '';
    const hearths = [...this.machines]
      .filter(([name]) => name > since)
      .map(([uid, m]) => ({
        uid,
        address: m.worker.address,
        oven: m.identity.oven,
        yard: m.identity.yard,
        borrowed: m.identity.borrowed,
        stage: m.running ? 'running' : 'starting',
        ageS: (Date.now() - m.requestedAt) / 1000,
      }));
    return { status: 200, body: { hearths, hasNext: false } };
  }
}
