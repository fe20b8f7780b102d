/**
 * Rolling upgrade on this machine: controllers of two builds side by side, whose leaders are killed in turn and come back
 * with the other build, while short jobs run. `npm run upgrade:check -- BUNDLE BUNDLE [--rounds N]`. Exits with 1 if a
 * worker does not obey a new leader: its token does not rise above those of the leadership before, or its session ends.
 */
import { parseArgs } from 'node:util';
import * as z from 'zod/mini';
import { createJob, Deployment, pause } from './deployment.ts';

const DEFAULT_ROUNDS = 6;
const JOB_INTERVAL_MS = 1000;
const JOB_RUN_S = 2;
/** Time in which a leadership serves before it is ended: takeover, and some starts and ends of tasks. */
const LEADERSHIP_MS = 25_000;
const CHECK_INTERVAL_MS = 100;
/** Longest time until a new leader is found, and until all workers show its token. */
const MAX_WAIT_MS = 20_000;

const leaderRecord = z.object({ node: z.string(), term: z.int() });

interface LeaderRecord {
  node: string;
  term: number;
}

async function readLeader(deployment: Deployment): Promise<LeaderRecord | null> {
  const decoded = leaderRecord.safeParse(await deployment.readKey('leader'));
  return decoded.success ? decoded.data : null;
}

/** Waits until the condition gives a value; null: it did not in time. */
async function waitFor<T>(condition: () => Promise<T | null> | T | null): Promise<T | null> {
  for (let waitedMs = 0; waitedMs < MAX_WAIT_MS; waitedMs += CHECK_INTERVAL_MS) {
    const value = await condition();
    if (value !== null) return value;
    await pause(CHECK_INTERVAL_MS);
  }
  return null;
}

/** Submits short jobs one after the other until the function that is returned is called. */
function submitJobs(deployment: Deployment): () => number {
  let stopped = false;
  let count = 0;
  const run = async (): Promise<void> => {
    while (!stopped) {
      await deployment.submit(createJob(count, JOB_RUN_S));
      count += 1;
      await pause(JOB_INTERVAL_MS);
    }
  };
  void run();
  return () => {
    stopped = true;
    return count;
  };
}

function highestToken(deployment: Deployment): number {
  return Math.max(0, ...deployment.cloud.workers().map((worker) => worker.token));
}

/** Runs one leadership, ends it, and checks that the workers obeyed it. Returns what was wrong, or null. */
async function runRound(
  deployment: Deployment,
  buildOfNode: Map<string, number>,
  highestBefore: number,
): Promise<string | null> {
  const leader = await waitFor(() => readLeader(deployment));
  if (!leader) return 'no leader';
  const startedAt = performance.now();
  const areObeying = (): true | null =>
    deployment.cloud.workers().every((worker) => worker.token > highestBefore) ? true : null;
  const obeyed = await waitFor(areObeying);
  const obeyedMs = performance.now() - startedAt;
  if (!obeyed) return `workers do not obey ${leader.node}: tokens are not above ${highestBefore}`;
  await pause(LEADERSHIP_MS);
  const term = z.object({ n: z.int() }).parse(await deployment.readKey('term')).n;
  const highest = highestToken(deployment);
  const sessions = Math.max(...deployment.cloud.workers().map((worker) => worker.incarnation));
  process.stdout.write(
    `${leader.node} build ${buildOfNode.get(leader.node) ?? -1} term ${leader.term} record ${term}: ` +
      `obeyed after ${obeyedMs.toFixed(0)} ms, highest token ${highest}, sessions up to ${sessions}\n`,
  );
  if (highest > term) return `token ${highest} exceeds the term record ${term}`;
  return sessions > 1 ? 'a session of a worker ended' : null;
}

async function main(): Promise<number> {
  const { values, positionals } = parseArgs({
    allowPositionals: true,
    options: { rounds: { type: 'string', default: String(DEFAULT_ROUNDS) } },
  });
  const [first, second] = positionals;
  if (first === undefined || second === undefined) {
    process.stderr.write('two bundles are needed\n');
    return 2;
  }
  const bundles = [first, second];
  const deployment = await Deployment.create();
  const buildOfNode = new Map(deployment.nodes.map((node, index) => [node.name, index % bundles.length]));
  const start = (name: string): void => {
    deployment.start(name, bundles[buildOfNode.get(name) ?? 0] ?? first);
  };
  for (const node of deployment.nodes) start(node.name);
  const stopJobs = submitJobs(deployment);
  let highest = 0;
  let failure: string | null = null;
  for (let round = 0; round < Number(values.rounds) && failure === null; round++) {
    failure = await runRound(deployment, buildOfNode, highest);
    highest = highestToken(deployment);
    const leader = await readLeader(deployment);
    if (!leader) continue;
    deployment.kill(leader.node);
    buildOfNode.set(leader.node, 1 - (buildOfNode.get(leader.node) ?? 0));
    await waitFor(async () => ((await readLeader(deployment)) === null ? true : null));
    start(leader.node);
  }
  process.stdout.write(`${stopJobs()} jobs submitted; ${failure ?? 'every leader was obeyed at once'}\n`);
  deployment.killAll();
  return failure === null ? 0 : 1;
}

main().then(
  (code) => process.exit(code),
  (error: unknown) => {
    process.stderr.write(`${String(error)}\n`);
    process.exit(1);
  },
);
