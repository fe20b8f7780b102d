/** A deployment on this machine: three controllers as real processes, with stand-ins for all other parties. */
import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { required } from '../src/base/required.ts';
import { CloudStandIn } from './cloud.ts';
import { StateStandIn } from './state.ts';
import type { JobDescriptions } from './worker.ts';

/** Resolves after a time in milliseconds. */
export const pause = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

function findFreeAddress(): Promise<string> {
  return new Promise((resolve) => {
    const server = createServer().listen(0, '127.0.0.1', () => {
      const socketAddress = server.address();
      const port = typeof socketAddress === 'object' && socketAddress ? socketAddress.port : 0;
      server.close(() => {
        resolve(`127.0.0.1:${port}`);
      });
    });
  });
}

interface ControllerNode {
  name: string;
  location: string;
  serveAddress: string;
  peerAddress: string;
}

function createSettings(
  node: ControllerNode,
  nodes: readonly ControllerNode[],
  endpoints: { cloud: string; state: string },
): object {
  return {
    host_name: node.name,
    location: node.location,
    serve_on: node.serveAddress,
    mesh_addr: node.peerAddress,
    seeds: nodes
      .filter((n) => n !== node)
      .map((n) => ({ host_name: n.name, location: n.location, peer_addr: n.peerAddress })),
    endpoints,
    settings: {
      nodes: nodes.length,
      zones: ['a', 'b'],
      teams: [{ name: 'vision', cpus: 0, cpus_max: 0, gpus: 4, gpus_max: 16 }],
      objectives: [],
      workers: { report_s: 1.5, lease_s: 20, gang_wait_s: 30, gang_peer_s: 4, cancel_s: 40 },
      state: { rps: 100, write_rps: 30, value_kb: 8, txn_ops: 12 },
      cloud: { rps: 4, list_lag_s: 2 },
      limits: { cores: 1, memory_mb: 256, sockets: 1000 },
      clock_off_ms: 50,
    },
  };
}

/** The body of a submission. */
export type JobSubmission = Record<string, unknown> & {
  uid: string;
  loaves: number;
  shape: string;
  bakeS: number;
};

const NODE_COUNT = 3;
const SUBMIT_RETRY_MS = 300;

/** Three controllers and the parties that they talk to. */
export class Deployment {
  readonly jobDescriptions: JobDescriptions = new Map();
  private readonly processes = new Map<string, ChildProcess>();
  private readonly settingsFiles = new Map<string, string>();

  private constructor(
    readonly nodes: readonly ControllerNode[],
    readonly cloud: CloudStandIn,
    readonly stateAddress: string,
    readonly cloudAddress: string,
    jobDescriptions: JobDescriptions,
  ) {
    this.jobDescriptions = jobDescriptions;
    const folder = mkdtempSync(join(tmpdir(), 'pondwick-'));
    const endpoints = { cloud: cloudAddress, state: stateAddress };
    for (const node of nodes) {
      const file = join(folder, `${node.name}.json`);
      writeFileSync(file, JSON.stringify(createSettings(node, nodes, endpoints)));
      this.settingsFiles.set(node.name, file);
    }
  }

  /** Starts the stand-ins; no controller runs yet. */
  static async create(): Promise<Deployment> {
    const nodes: ControllerNode[] = [];
    for (let i = 0; i < NODE_COUNT; i++) {
      nodes.push({
        name: `node-${i}`,
        location: i < 2 ? 'a' : 'b',
        serveAddress: await findFreeAddress(),
        peerAddress: await findFreeAddress(),
      });
    }
    const jobDescriptions: JobDescriptions = new Map();
    const controllers = nodes.map((n) => ({ name: n.name, address: n.serveAddress }));
    const stateAddress = await new StateStandIn().start();
    const cloud = new CloudStandIn(controllers, jobDescriptions);
    return new Deployment(nodes, cloud, stateAddress, await cloud.start(), jobDescriptions);
  }

  /** Starts the process of a controller from a bundle. */
  start(name: string, bundle: string): void {
    const file = required(this.settingsFiles.get(name), 'settings of a controller');
    const args = [bundle, 'serve', '--config', file];
    this.processes.set(name, spawn(process.execPath, args, { stdio: ['ignore', 'ignore', 'inherit'] }));
  }

  /** Ends the process of a controller at once. */
  kill(name: string): void {
    this.processes.get(name)?.kill('SIGKILL');
    this.processes.delete(name);
  }

  /** Ends all processes. */
  killAll(): void {
    for (const name of [...this.processes.keys()]) this.kill(name);
  }

  /** Submits a job through one controller after the other until it is accepted. */
  async submit(job: JobSubmission): Promise<void> {
    this.jobDescriptions.set(job.uid, job);
    for (let tries = 0; ; tries++) {
      const node = required(this.nodes[tries % this.nodes.length], 'node');
      const status = await fetch(`http://${node.serveAddress}/work`, {
        method: 'POST',
        body: JSON.stringify(job),
      }).then(
        (response) => response.status,
        () => 0,
      );
      if (status === 200 || status === 201) return;
      await pause(SUBMIT_RETRY_MS);
    }
  }

  /** The value of a key of the state service; null: there is none. */
  async readKey(key: string): Promise<unknown> {
    const response = await fetch(`http://${this.stateAddress}/store/${key}`);
    if (response.status !== 200) return null;
    return ((await response.json()) as { data: unknown }).data;
  }
}

/** The body of a small job of three tasks; every other job is a gang. */
export function createJob(index: number, runS: number): JobSubmission {
  return {
    uid: `req-${String(index).padStart(6, '0')}`,
    batch: 'demo',
    crew: 'vision',
    shape: index % 2 === 0 ? 'array' : 'ensemble',
    rank: 'standard',
    loaves: 3,
    cores: 1,
    accelerators: 0,
    memGb: 2,
    recipe: 'img-01',
    imageGb: 0.5,
    ovens: null,
    yard: null,
    samePlace: false,
    apart: false,
    borrowed: false,
    bakeS: runS,
    proofS: 0,
    coolS: 0,
    dueS: null,
  };
}
