/** A gang that fits nowhere keeps an idle machine from all other jobs. See claim.txt. */
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import * as lib from '../standins-2/lib.mjs';

/** Time for which no job may be left waiting while a machine that fits has room. */
const WAIT_S = 90;
const SMALL = 'req-900000001';
const GANG = 'req-900000002';
const WAITING = 'req-900000003';

const settings = lib.planningClusterSettings();
const types = [
  { name: 'linde', cores: 16, accelerators: 0, memGb: 32, localGb: 50, pullGbPerS: 1, rate: 0.74, spotPrice: 0.28, startupS: 50, yards: settings.zones },
];

async function run(deployment, users, trouble) {
  const { record, tasks, cloud } = deployment;
  const worker = await cloud.addRunning('linde', 'graz-nord');
  for (let i = 0; i < settings.nodes; i++) deployment.startNode(i);
  lib.must(await deployment.waitFor('there is a leader', () => deployment.leaderIndex() >= 0, 15_000), 'no leader');
  const ran = (uid) => tasks.starts.some(({ task }) => task.startsWith(`${uid}/`));
  const accept = async (uid, fields) => lib.must(lib.isAccepted(await users.submit(lib.createJob(uid, fields), 10_000)), `${uid} is not accepted`);
  await accept(SMALL, { batch: 'stock-watch', crew: 'buchhaltung', cores: 1, memGb: 1, bakeS: 300 });
  lib.must(await deployment.waitFor('the small job runs', () => ran(SMALL), 25_000), 'the small job does not run');
  if (trouble)
    await accept(GANG, {
      batch: 'tour-plan',
      crew: 'logistik',
      shape: 'ensemble',
      rank: 'urgent',
      loaves: 2,
      cores: 15,
      memGb: 26,
      samePlace: true,
      borrowed: true,
      bakeS: 150,
      proofS: 45,
      coolS: 5,
    });
  await lib.pause(1000);
  const job = { batch: 'price-list', crew: 'einkauf', cores: 4, memGb: 8, bakeS: 5 };
  await accept(WAITING, job);
  const wait = new lib.WaitBesideRoom([worker], job);
  let waitedS = wait.look();
  for (let polledAt = -Infinity; waitedS < WAIT_S && !ran(WAITING) && lib.now() < 114_000; waitedS = wait.look()) {
    if (lib.now() - polledAt >= 5000) {
      polledAt = lib.now();
      record.add(wait.toString());
      await users.poll(WAITING);
    }
    await lib.pause(500);
  }
  record.add(`the gang ${ran(GANG) ? 'ran' : 'did not run'}; tasks started: ${tasks.starts.map(({ task, machine }) => `${task} on ${machine}`).join(', ')}`);
  const broken = !ran(WAITING) && waitedS >= WAIT_S;
  return {
    broken,
    why: broken
      ? `${WAITING} has waited ${waitedS.toFixed(1)} s while machine ${worker.name} had room for it all the time`
      : ran(WAITING)
        ? `${WAITING} ran`
        : `${WAITING} did not run, but the machine had room for ${waitedS.toFixed(1)} s only`,
  };
}

const folder = dirname(fileURLToPath(import.meta.url));
await lib.runCase({ folder, recordFile: join(folder, 'record.txt'), settings, types, run });
