/**
 * A deployment on this machine: three controllers as real processes with stand-ins for the state service, the
 * cloud and its workers. `npm run demo` submits a few jobs and watches them; `npm run demo -- --stay`
 * keeps everything up until interrupted.
 */
import { required } from '../src/base/required.ts';
import { createJob, Deployment, pause } from './deployment.ts';

const BUNDLE = 'target/main.cjs';
const JOB_COUNT = 4;
const JOB_RUN_S = 4;
const POLL_INTERVAL_MS = 2000;

async function main(): Promise<void> {
  const deployment = await Deployment.create();
  const { nodes, stateAddress, cloudAddress } = deployment;
  for (const node of nodes) deployment.start(node.name, BUNDLE);
  const stop = (): void => {
    deployment.killAll();
    process.exit();
  };
  process.on('SIGINT', stop);
  process.stdout.write(`state service ${stateAddress}, cloud ${cloudAddress}\n`);
  for (const n of nodes) process.stdout.write(`${n.name}: users and workers at http://${n.serveAddress}\n`);
  for (let i = 0; i < JOB_COUNT; i++) {
    const job = createJob(i, JOB_RUN_S);
    await deployment.submit(job);
    process.stdout.write(`${job.uid} accepted\n`);
  }
  const openJobIds = new Set([...deployment.jobDescriptions.keys()]);
  while (openJobIds.size > 0) {
    await pause(POLL_INTERVAL_MS);
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
