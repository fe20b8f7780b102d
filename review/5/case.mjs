/** A gang that is larger than the deployment keeps all machines from all other jobs. See claim.txt. */
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import * as lib from '../standins-2/lib.mjs';

/** Time for which no job may be left waiting while a machine that fits has room. */
const WAIT_S = 90;
/** The gang was accepted this long before the controllers came back. */
const ACCEPTED_BEFORE_S = 40;
/** From this age on the gang keeps machines free (DESIGN: "A job waiting past 60 s"). */
const WAITING_PAST_S = 60;
const GANG = 'req-900000001';
const WAITING = 'req-900000002';
const fillerId = (i) => `req-90000001${i}`;

/** The settings of kit/next/gc-steiermark-grown: five controllers. */
const settings = {
  ...lib.planningClusterSettings(),
  nodes: 5,
  workers: { report_s: 5, lease_s: 22, gang_wait_s: 35, gang_peer_s: 4, cancel_s: 42 },
};
const types = [
  { name: 'linde', cores: 16, accelerators: 0, memGb: 32, localGb: 50, pullGbPerS: 1, rate: 0.74, spotPrice: 0.28, startupS: 50, yards: settings.zones },
];
const MACHINES = 4;

async function run(deployment, users, trouble) {
  const { record, tasks, cloud, state, jobs } = deployment;
  const gang = lib.createJob(GANG, {
    batch: 'tour-plan',
    crew: 'logistik',
    shape: 'ensemble',
    rank: 'urgent',
    loaves: 16,
    cores: 15,
    memGb: 26,
    samePlace: true,
    borrowed: true,
    bakeS: 150,
    proofS: 45,
    coolS: 5,
  });
  const acceptedAt = lib.now() - ACCEPTED_BEFORE_S * 1000;
  if (trouble) {
    state.seed([[`o/${GANG}`, { at: Date.now() - ACCEPTED_BEFORE_S * 1000, job: gang }]]);
    jobs.set(GANG, gang);
    record.add(`state service: holds the record of ${GANG}, a gang of ${gang.loaves}, accepted ${ACCEPTED_BEFORE_S} s ago`);
  }
  const workers = [];
  for (let i = 0; i < MACHINES; i++) workers.push(await cloud.addRunning('linde', 'graz-nord'));
  for (let i = 0; i < settings.nodes; i++) deployment.startNode(i);
  lib.must(await deployment.waitFor('there is a leader', () => deployment.leaderIndex() >= 0, 8000), 'no leader');
  const ran = (uid) => tasks.starts.some(({ task }) => task.startsWith(`${uid}/`));
  const accept = async (uid, fields) => lib.must(lib.isAccepted(await users.submit(lib.createJob(uid, fields), 5000)), `${uid} is not accepted`);
  // One small task for each machine, so that none is returned as idle.
  for (let i = 0; i < MACHINES; i++) await accept(fillerId(i), { batch: 'stock-watch', crew: 'buchhaltung', cores: 9, memGb: 8, bakeS: 600 });
  const allRan = () => workers.every((_, i) => ran(fillerId(i)));
  lib.must(await deployment.waitFor('each machine runs a task', allRan, 15_000), 'the machines run nothing');
  await lib.pause(Math.max(0, acceptedAt + (WAITING_PAST_S + 1) * 1000 - lib.now()));
  const job = { batch: 'price-list', crew: 'einkauf', rank: 'critical', cores: 4, memGb: 8, bakeS: 5 };
  await accept(WAITING, job);
  const wait = new lib.WaitBesideRoom(workers, job);
  let waitedS = wait.look();
  for (let polledAt = -Infinity; waitedS < WAIT_S && !ran(WAITING) && lib.now() < 115_000; waitedS = wait.look()) {
    if (lib.now() - polledAt >= 5000) {
      polledAt = lib.now();
      record.add(wait.toString());
      await users.poll(WAITING);
    }
    await lib.pause(500);
  }
  if (trouble) await users.poll(GANG);
  record.add(`tasks started: ${tasks.starts.map(({ task, machine }) => `${task} on ${machine}`).join(', ')}`);
  const broken = !ran(WAITING) && waitedS >= WAIT_S;
  return {
    broken,
    why: broken
      ? `${WAITING}, a critical job, has waited ${waitedS.toFixed(1)} s while ${wait.machines} of ${workers.length} machines had room for it all the time`
      : ran(WAITING)
        ? `${WAITING} ran`
        : `${WAITING} did not run, but a machine had room for ${waitedS.toFixed(1)} s only`,
  };
}

const folder = dirname(fileURLToPath(import.meta.url));
await lib.runCase({ folder, recordFile: join(folder, 'record.txt'), settings, types, run });
