// The state service goes down while the end of a job is being written. See claim.txt.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { breadSettings, breadTypes, Deployment, job, pause } from '../../lib/case.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const LIMIT_S = 90; // the rule's own
const OUTAGE_S = 94;
const OTHERS = 6;

const d = new Deployment(dirname(fileURLToPath(import.meta.url)), breadSettings(), breadTypes({ guril: 1 }));
const ending = job(1, { crew: 'orders', cores: 1, memGb: 2, bakeS: 1, imageGb: 0.1, ovens: ['guril'] });
let taskDoneAt = null;
let outageAt = null;
d.world.onEnd = (_, t, cause) => {
  if (t.uid === ending.uid && cause === 'done') taskDoneAt ??= d.now();
};
// The first transaction that names the job after its task is done is carried out; the service goes down before it has
// answered. From then on every request is answered with 503 and open watches stay open.
d.state.onTransaction = (body, willSucceed) => {
  if (!TROUBLE || outageAt !== null || taskDoneAt === null || !willSucceed) return undefined;
  if (!JSON.stringify(body.then ?? []).includes(ending.uid)) return undefined;
  outageAt = d.now();
  d.record({ what: 'transaction carried out without an answer; the outage begins', transaction: body });
  setImmediate(() => d.state.setOutage(true));
  return 'lostAnswer';
};

await d.start(['khan-uul', 'sukhbaatar']);
await d.cloud.addRunning('guril', 'khan-uul');
const others = [];
for (let i = 0; i < OTHERS; i++) others.push(job(10 + i, { crew: 'stores', cores: 1, memGb: 2, bakeS: 300, imageGb: 0.1, ovens: ['guril'] }));
for (const j of [...others, ending]) if ((await d.submit(j)) !== 201) d.finish(2);

// Each user asks about every 5 s, at one controller after the other, and waits 2 s for each answer.
const polls = []; // {t, uid, ok}
let polling = true;
async function user(uid, k) {
  await pause(300 * k);
  for (let n = k; polling; n++) {
    const t = d.now();
    const p = await d.poll(uid, n % 3);
    const ok = p.status === 200 || p.status === 404;
    polls.push({ t, uid, ok });
    d.record({ what: 'poll', uid, node: p.node, status: p.status, stage: p.body?.stage ?? null }, true);
    // The user of the ending job asks more often than the pages say, so that no answer is missed.
    await pause(uid === ending.uid ? 1000 : 5000);
  }
}
const users = [ending, ...others].map((j, k) => user(j.uid, k));
while (d.now() < 30 && taskDoneAt === null) await pause(100);
if (taskDoneAt === null) d.finish(2);
if (TROUBLE) {
  while (outageAt === null && d.now() < 25) await pause(50);
  if (outageAt === null) d.finish(2);
  while (d.now() < outageAt + OUTAGE_S) await pause(200);
  d.record({ what: 'the outage ends' });
  d.state.setOutage(false);
  await pause(4000);
} else await pause(15_000);
polling = false;
await Promise.all(users);

// forgotten: "every poll for it fails for 90 s while most other polls are answered".
let longest = { s: 0 };
let from = null;
for (const p of polls.filter((q) => q.uid === ending.uid)) {
  if (p.ok) from = null;
  else {
    from ??= p.t;
    if (p.t - from > longest.s) longest = { s: p.t - from, from, to: p.t };
  }
}
const during = polls.filter((p) => p.uid !== ending.uid && p.t >= (longest.from ?? 0) && p.t <= (longest.to ?? Infinity));
const answered = during.filter((p) => p.ok).length;
const broken = longest.s >= LIMIT_S && answered > during.length / 2;
const last = polls.filter((p) => p.uid === ending.uid).at(-1);
d.record({ what: 'verdict', failedForS: Number(longest.s.toFixed(1)), otherPolls: during.length, otherPollsAnswered: answered, lastPollAnswered: last.ok, broken });
d.finish(broken ? 1 : longest.s < LIMIT_S ? 0 : 2);
