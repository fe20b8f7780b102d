/** Many tiny tasks make the reports of machines longer than controllers accept. See claim.txt. */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import * as lib from '../standins-2/lib.mjs';

/** Tasks of the sweep, on two machines of 32 CPUs; without the disruption a tenth of them. */
const SWEEP_TASKS = 3000;
const RUN_S = 45;
const SWEEP = 'req-900000002';
const ORDINARY = 'req-900000001';
/** How long the case watches: the tasks need `RUN_S`, the leader's wait and a few seconds. */
const WATCH_S = 108;

const settings = lib.orderClusterSettings();
settings.teams.push({ name: 'grain-survey', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 });

async function run(deployment, users, trouble) {
  const { record, tasks } = deployment;
  tasks.quiet = true;
  const workers = [await deployment.cloud.addRunning('zuuh', 'khan-uul'), await deployment.cloud.addRunning('zuuh', 'sukhbaatar')];
  for (let i = 0; i < settings.nodes; i++) deployment.startNode(i);
  lib.must(await deployment.waitFor('there is a leader', () => deployment.leaderIndex() >= 0, 15_000), 'no leader');
  const ordinary = lib.createJob(ORDINARY, { bakeS: RUN_S, loaves: 2, cores: 1 });
  lib.must((await users.submit(ordinary, 10_000))?.status === 201, 'the ordinary job is not accepted');
  const sweep = lib.createJob(SWEEP, {
    batch: 'province-scan',
    crew: 'grain-survey',
    rank: 'low',
    loaves: trouble ? SWEEP_TASKS : SWEEP_TASKS / 10,
    cores: 0.02,
    memGb: 0.05,
    bakeS: RUN_S,
  });
  lib.must((await users.submit(sweep, 10_000))?.status === 201, 'the sweep is not accepted');
  const stages = {};
  while (lib.now() < WATCH_S * 1000 && !(stages[ORDINARY] === 'done' && stages[SWEEP] === 'done')) {
    await lib.pause(5000);
    for (const uid of [ORDINARY, SWEEP]) stages[uid] = (await users.poll(uid)).body?.stage ?? stages[uid];
  }
  const starts = tasks.starts.filter(({ task }) => task.startsWith(`${ORDINARY}/`));
  const killed = tasks.ends.filter(({ task, why }) => task.startsWith(`${ORDINARY}/`) && why === 'the lease ran out');
  const refused = workers.reduce((sum, worker) => sum + (worker.refusals.get('400') ?? 0), 0);
  const alive = workers.filter((worker) => worker.alive).length;
  record.add(`the ordinary job: ${starts.length} starts, ${killed.length} killed as a lease ran out; ${refused} reports got 400; ${alive} of ${workers.length} machines are up`);
  const broken = stages[ORDINARY] !== 'done' && killed.length > 0 && refused > 0;
  return {
    broken,
    why: `after ${(lib.now() / 1000).toFixed(0)} s ${ORDINARY} is ${stages[ORDINARY]} and ${SWEEP} is ${stages[SWEEP]}; ${refused} reports got 400, ${killed.length} of ${starts.length} attempts of ${ORDINARY} were killed as a lease ran out`,
  };
}

await lib.runCase({ folder: dirname(fileURLToPath(import.meta.url)), settings, types: lib.ORDER_TYPES, run });
