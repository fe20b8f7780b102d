/**
 * A deployment on this machine: three controllers as real processes with stand-ins for the state service, the
 * cloud and its workers. `npm run demo` submits a few jobs and watches them; `npm run demo -- --stay`
 * keeps everything up until interrupted.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { required } from '../src/base/required.ts';
import { CloudStandIn } from './cloud.ts';
import { StateStandIn } from './state.ts';
import type { JobDescriptions } from './worker.ts';

const pause = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

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

function createJob(
  index: number,
): Record<string, unknown> & { uid: string; loaves: number; shape: string; bakeS: number } {
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
    bakeS: 4,
    proofS: 0,
    coolS: 0,
    dueS: null,
  };
}

async function main(): Promise<void> {
  const jobDescriptions: JobDescriptions = new Map();
  const nodes: ControllerNode[] = [];
  for (let i = 0; i < 3; i++) {
    nodes.push({
      name: `node-${i}`,
      location: i < 2 ? 'a' : 'b',
      serveAddress: await findFreeAddress(),
      peerAddress: await findFreeAddress(),
    });
  }
  const state = await new StateStandIn().start();
  const cloud = await new CloudStandIn(
    nodes.map((n) => ({ name: n.name, address: n.serveAddress })),
    jobDescriptions,
  ).start();
  const folder = mkdtempSync(join(tmpdir(), 'pondwick-'));
  const processes: ChildProcess[] = nodes.map((node) => {
    const file = join(folder, `${node.name}.json`);
    writeFileSync(file, JSON.stringify(createSettings(node, nodes, { cloud, state })));
    const args = ['target/main.cjs', 'serve', '--config', file];
    return spawn(process.execPath, args, { stdio: ['ignore', 'ignore', 'inherit'] });
  });
  const stop = (): void => {
    for (const p of processes) p.kill('SIGKILL');
    process.exit();
  };
  process.on('SIGINT', stop);
  process.stdout.write(`state service ${state}, cloud ${cloud}\n`);
  for (const n of nodes) process.stdout.write(`${n.name}: users and workers at http://${n.serveAddress}\n`);
  for (let i = 0; i < 4; i++) {
    const submittedJob = createJob(i);
    jobDescriptions.set(submittedJob.uid, submittedJob);
    let status = 0;
    while (status !== 200 && status !== 201) {
      const url = `http://${required(nodes[i % 3], 'node').serveAddress}/work`;
      status = await fetch(url, { method: 'POST', body: JSON.stringify(submittedJob) }).then(
        (r) => r.status,
        () => 0,
      );
      await pause(300);
    }
    process.stdout.write(`${submittedJob.uid} accepted\n`);
  }
  const openJobIds = new Set([...jobDescriptions.keys()]);
  while (openJobIds.size > 0) {
    await pause(2000);
    for (const id of [...openJobIds]) {
      const answer = await fetch(`http://${required(nodes[2], 'node').serveAddress}/work/${id}`).then((r) =>
        r.text(),
      );
      process.stdout.write(`${answer}\n`);
      if (answer.includes('"done",')) openJobIds.delete(id);
    }
  }
  process.stdout.write('all jobs are done\n');
  if (!process.argv.includes('--stay')) stop();
}

void main();
