/** Controllers that are restarted take machine types from the store that the cloud's catalog has left behind. See REPORT-2.md. */
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import * as lib from '../standins-2/lib.mjs';

/** Time after which the platform starts a controller that has ended. */
const BACK_S = 6;
/** Time from one restart to the next. */
const EVERY_S = 15;
/** Time between the last restart and the last submission: more than the 60 s at which a leader reads prices. */
const LATER_S = 64;

const settings = lib.orderClusterSettings();
const NEW_TYPE = 'zuuh';

async function run(deployment, users, trouble) {
  const { record } = deployment;
  const all = deployment.types;
  // Without the disruption the catalog has been the same since before the first start.
  if (trouble) deployment.types = all.filter(({ name }) => name !== NEW_TYPE);
  await deployment.cloud.addRunning('guril', 'khan-uul');
  for (let i = 0; i < settings.nodes; i++) deployment.startNode(i);
  const healthy = async () =>
    (await Promise.all(deployment.nodes.map(({ serve }) => lib.userRequest(serve, 'GET', '/healthz', null, 1000)))).every(({ status }) => status === 200);
  lib.must(await deployment.waitFor('all controllers are healthy', healthy, 10_000), 'the controllers are not healthy');
  await lib.pause(3000);
  deployment.types = all;
  record.add(`cloud: the catalog lists ${all.map(({ name, cores }) => `${name} (${cores} CPUs)`).join(', ')} from now on`);
  await lib.pause(1000);
  for (let i = 0; i < settings.nodes; i++) {
    const beganAt = lib.now();
    deployment.killNode(i);
    await lib.pause(BACK_S * 1000);
    deployment.startNode(i);
    lib.must(await deployment.waitFor(`${deployment.nodes[i].name} is healthy`, healthy, 8000), 'a controller is not healthy');
    if (i < settings.nodes - 1) await lib.pause(Math.max(0, EVERY_S * 1000 - (lib.now() - beganAt)));
  }
  record.add('every controller has been restarted since the catalog changed');
  const restartedAt = lib.now();
  const answers = [];
  const submit = async (number, ovens) => {
    const job = lib.createJob(`req-90000000${number}`, { batch: 'route-solve', cores: 30, memGb: 100, ovens, bakeS: 60 });
    answers.push((await users.submit(job, 8000))?.status ?? 0);
  };
  await submit(1, null);
  await submit(2, [NEW_TYPE]);
  await lib.pause(Math.max(0, LATER_S * 1000 - (lib.now() - restartedAt)));
  await submit(3, null);
  await submit(4, [NEW_TYPE]);
  const refused = answers.filter((status) => status === 422).length;
  return {
    broken: refused > 0,
    why: `of ${answers.length} jobs whose tasks fit ${NEW_TYPE} of the cloud's catalog ${refused} got 422 (${answers.join(', ')})`,
  };
}

const folder = dirname(fileURLToPath(import.meta.url));
await lib.runCase({ folder, recordFile: join(folder, 'record.txt'), settings, types: lib.ORDER_TYPES, run });
