/** A job that has ended is not known in an outage of the state service after the leader has changed. See claim.txt. */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import * as lib from '../standins-2/lib.mjs';

/** PROTOCOL, `forgotten`: every poll fails for this long while most other polls are answered. */
const FORGOTTEN_S = 90;
const POLL_S = 5;
const ENDED = 'req-900000001';
const OPEN = ['req-900000002', 'req-900000003', 'req-900000004'];

const settings = lib.orderClusterSettings();

async function run(deployment, users, trouble) {
  const { record, state } = deployment;
  await deployment.cloud.addRunning('guril', 'khan-uul');
  for (let i = 0; i < settings.nodes; i++) deployment.startNode(i);
  lib.must(await deployment.waitFor('there is a leader', () => deployment.leaderIndex() >= 0, 15_000), 'no leader');
  await lib.pause(1000);
  for (const uid of [ENDED, ...OPEN])
    lib.must((await users.submit(lib.createJob(uid, { bakeS: 300 }), 10_000))?.status === 201, `${uid} is not accepted`);
  // The balancer gave this user a connection to the controller that leads.
  users.turn = deployment.leaderIndex();
  const cancelled = await users.cancel(ENDED, 10_000);
  lib.must(cancelled?.status === 200 && cancelled.body.stage === 'aborted', 'the cancellation is not confirmed');
  if (trouble) {
    // The leader ends and is back at once; the outage begins when another controller leads and answers.
    const leader = deployment.leaderIndex();
    const answered = deployment.nodes[leader].name;
    record.add(`the leader is ${answered}`);
    deployment.killNode(leader);
    await lib.pause(500);
    deployment.startNode(leader);
    const isNew = () => deployment.leaderIndex() >= 0 && deployment.leaderIndex() !== leader;
    lib.must(await deployment.waitFor('another controller leads', isNew, 15_000), 'no new leader');
    const next = deployment.nodes[deployment.leaderIndex()];
    const knows = async () => (await users.poll(OPEN[0], next)).status === 200;
    await lib.pause(1000);
    lib.must(await deployment.waitFor('the new leader answers', knows, 5000), 'the new leader does not answer');
    state.beginOutage();
  }
  const beganAt = lib.now();
  const answers = { [ENDED]: { answered: 0, failed: 0 }, others: { answered: 0, failed: 0 } };
  let failingSince = null;
  let failedS = 0;
  for (let round = 0; lib.now() - beganAt < (FORGOTTEN_S + 3) * 1000; round++) {
    const roundAt = lib.now();
    for (const uid of [ENDED, ...OPEN]) {
      const askedAt = lib.now();
      const { status } = await users.poll(uid, deployment.nodes[round % settings.nodes]);
      const isAnswer = status === 200 || status === 404;
      answers[uid === ENDED ? ENDED : 'others'][isAnswer ? 'answered' : 'failed'] += 1;
      if (uid !== ENDED) continue;
      if (isAnswer) failingSince = null;
      else {
        failingSince ??= askedAt;
        failedS = Math.max(failedS, (lib.now() - failingSince) / 1000);
      }
    }
    if (!trouble && round >= 3) break;
    const nextAt = Math.min(roundAt + POLL_S * 1000, Math.max(lib.now(), beganAt + (FORGOTTEN_S + 1.5) * 1000));
    await lib.pause(Math.max(50, nextAt - lib.now()));
  }
  record.add(`answers: ${JSON.stringify(answers)}`);
  const { answered, failed } = answers.others;
  const broken = failedS >= FORGOTTEN_S && answered > failed;
  if (trouble) state.endOutage();
  return {
    broken,
    why: `every poll for ${ENDED} failed for ${failedS.toFixed(1)} s (${answers[ENDED].failed} polls, ${answers[ENDED].answered} answered); of the other polls ${answered} were answered and ${failed} failed`,
  };
}

await lib.runCase({ folder: dirname(fileURLToPath(import.meta.url)), settings, types: lib.ORDER_TYPES, run });
