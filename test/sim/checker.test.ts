import assert from 'node:assert/strict';
import test from 'node:test';
import { checkRules, type Rule } from '../../src/sim/checker.ts';
import type { EventBody, SimEvent } from '../../src/sim/events.ts';
import type { JobBody } from '../../src/sim/protocol.ts';
import { JOB } from '../wire/sample.ts';

const BODY: JobBody = { ...(JOB as JobBody), shape: 'array', loaves: 2, ovens: null, samePlace: false };
const UID = BODY.uid;

/** Events a second apart, from their bodies; a number moves time on by so many seconds. */
function events(...steps: (EventBody | number)[]): SimEvent[] {
  let at = 0;
  const found: SimEvent[] = [];
  for (const step of steps) {
    if (typeof step === 'number') at += step * 1000;
    else found.push({ ...step, at: (at += 1000) });
  }
  return found;
}

let request = 0;
const submit = (over: Partial<JobBody> = {}, expected: 'accepted' | 400 | 422 = 'accepted'): EventBody => ({
  kind: 'asked',
  request: ++request,
  about: 'submit',
  job: UID,
  node: 'n',
  body: { ...BODY, ...over },
  expected,
});
const ask = (about: 'poll' | 'cancel' = 'poll', job = UID): EventBody => ({
  kind: 'asked',
  request: ++request,
  about,
  job,
  node: 'n',
});
/** The answer to the request before. */
const told = (stage: 'pending' | 'running' | 'done' | 'aborted' | null, status = 200): EventBody => ({
  kind: 'answered',
  request,
  status,
  stage,
});
const up = (machine: string, over: object = {}): EventBody => ({
  kind: 'machine_up',
  machine,
  type: 'g8',
  zone: 'a',
  spot: false,
  cores: 96,
  accelerators: 8,
  memGb: 768,
  ...over,
});
const placed = (machine: string, task = 0, attempt = 1) => ({ machine, job: UID, task, attempt });
const launched = (machine: string, sentAt: number, task = 0): EventBody => ({
  kind: 'task_launched',
  sentAt,
  ...placed(machine, task),
});
const on = (machine: string, task = 0, attempt = 1): EventBody => ({
  kind: 'task_on',
  ...placed(machine, task, attempt),
});
const off = (machine: string, cause: 'done' | 'stopped' | null, task = 0): EventBody => ({
  kind: 'task_off',
  cause,
  ...placed(machine, task),
});

function rules(log: SimEvent[], over: { calmS?: number; endS?: number } = {}): Rule[] {
  const endMs = (over.endS ?? (log.at(-1)?.at ?? 0) / 1000 + 1) * 1000;
  const violations = checkRules(log, {
    teams: [{ name: 'vision', cpus_max: 0, gpus_max: 1 }],
    cancelMs: 40_000,
    faultsEndMs: (over.calmS ?? 1e6) * 1000,
    endMs,
  });
  return [...new Set(violations.map((v) => v.rule))];
}

const accepted = (): EventBody[] => [submit(), told('pending', 201)];
/** Requests are numbered as they are made, so each answer follows its own. */
const cases: { name: string; rule: Rule | null; log: () => SimEvent[]; calmS?: number; endS?: number }[] = [
  {
    name: 'a day without fault',
    rule: null,
    log: () => events(submit(), told('pending', 201), up('m'), launched('m', 0), on('m'), off('m', 'done')),
  },
  {
    name: 'a task on two machines',
    rule: 'ran_twice',
    log: () => events(...accepted(), up('m'), up('k'), on('m'), off('m', null, 1), on('k', 0, 2)),
  },
  {
    name: 'more tasks than the team may have',
    rule: 'quota',
    log: () => events(...accepted(), up('m'), on('m', 0), on('m', 1)),
  },
  {
    name: 'a spot machine for a job that may not use one',
    rule: 'wrong_place',
    log: () => events(submit({ borrowed: false }), told('pending'), up('m', { spot: true }), on('m')),
  },
  {
    name: 'a task that goes on after the confirmed cancellation',
    rule: 'ran_cancelled',
    log: () =>
      events(...accepted(), up('m'), on('m'), ask('cancel'), told('aborted'), 45, off('m', 'stopped')),
  },
  {
    name: 'a start sent after the confirmed cancellation',
    rule: 'ran_cancelled',
    log: () => events(...accepted(), up('m'), ask('cancel'), told('aborted'), launched('m', 20_000)),
  },
  {
    name: 'an accepted job answered 404',
    rule: 'forgotten',
    log: () => events(...accepted(), ask(), told(null, 404)),
  },
  {
    name: 'no question answered for 75 s',
    rule: 'forgotten',
    log: () => events(...accepted(), ask()),
    calmS: 5,
    endS: 90,
  },
  { name: 'a state of a job nobody submitted', rule: 'invented', log: () => events(ask(), told('pending')) },
  {
    name: 'done before its tasks are',
    rule: 'not_done',
    log: () => events(...accepted(), ask(), told('done')),
  },
  {
    name: 'cancelled, then running for who asked later',
    rule: 'went_back',
    log: () => events(...accepted(), ask('cancel'), told('aborted'), ask(), told('running')),
  },
  {
    name: 'cancelled though nobody asked for it',
    rule: 'went_back',
    log: () => events(...accepted(), ask(), told('aborted')),
  },
  {
    name: 'a submission without a field is accepted',
    rule: 'wrongly_accepted',
    log: () => events(submit({}, 400), told('pending', 201)),
  },
  {
    name: 'a good submission is refused for good',
    rule: 'wrongly_refused',
    log: () => events(submit(), told(null, 422)),
  },
  {
    name: 'a job waits while a machine has room',
    rule: 'left_waiting',
    log: () =>
      events(...accepted(), up('m'), ...Array.from({ length: 12 }, () => [9, ask(), told('pending')]).flat()),
    calmS: 5,
  },
  { name: 'no task was started', rule: 'nothing_ran', log: () => events(...accepted()) },
];

for (const { name, rule, log, calmS, endS } of cases) {
  test(`the checker judges: ${name}`, () => {
    request = 0;
    const limits = { ...(calmS === undefined ? {} : { calmS }), ...(endS === undefined ? {} : { endS }) };
    const found = rules(log(), limits);
    if (rule === null) assert.deepEqual(found, []);
    else assert.ok(found.includes(rule), `${found.join(', ')} instead of ${rule}`);
  });
}

test('an answer to a request begun before a newer answer may be older', () => {
  request = 0;
  const log = events(submit(), told('pending', 201), ask(), ask('cancel'), told('aborted'));
  const early = log.find((e) => e.kind === 'asked' && e.about === 'poll') as { request: number };
  const late: SimEvent = {
    kind: 'answered',
    request: early.request,
    status: 200,
    stage: 'running',
    at: 9000,
  };
  assert.deepEqual(
    rules([...log, late]).filter((r) => r !== 'nothing_ran'),
    [],
  );
});
