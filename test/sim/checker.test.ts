import assert from 'node:assert/strict';
import test from 'node:test';
import { checkRules, type Rule } from '../../src/sim/checker.ts';
import type { EventBody, SimEvent } from '../../src/sim/events.ts';
import type { JobBody } from '../../src/sim/protocol.ts';
import { JOB } from '../wire/sample.ts';

const BODY: JobBody = { ...(JOB as JobBody), shape: 'array', loaves: 2, ovens: null, samePlace: false };
const UID = BODY.uid;

/** Events one second apart, from their bodies; a number adds a pause of so many seconds. */
function events(...steps: (EventBody | number)[]): SimEvent[] {
  let at = 0;
  const result: SimEvent[] = [];
  for (const step of steps) {
    if (typeof step === 'number') at += step * 1000;
    else result.push({ ...step, at: (at += 1000) });
  }
  return result;
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
/** The answer to the latest request. */
const answered = (stage: 'pending' | 'running' | 'done' | 'aborted' | null, status = 200): EventBody => ({
  kind: 'answered',
  request,
  status,
  stage,
});
const machineUp = (machine: string, over: object = {}): EventBody => ({
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
const placement = (machine: string, task = 0, attempt = 1) => ({ machine, job: UID, task, attempt });
const taskLaunched = (machine: string, sentAt: number, task = 0): EventBody => ({
  kind: 'task_launched',
  sentAt,
  ...placement(machine, task),
});
const taskOn = (machine: string, task = 0, attempt = 1): EventBody => ({
  kind: 'task_on',
  ...placement(machine, task, attempt),
});
const taskOff = (machine: string, cause: 'done' | 'stopped' | null, task = 0): EventBody => ({
  kind: 'task_off',
  cause,
  ...placement(machine, task),
});

function brokenRules(log: SimEvent[], limits: { calmS?: number; endS?: number } = {}): Rule[] {
  const endMs = (limits.endS ?? (log.at(-1)?.at ?? 0) / 1000 + 1) * 1000;
  const violations = checkRules(log, {
    teams: [{ name: 'vision', cpus_max: 0, gpus_max: 1 }],
    cancelMs: 40_000,
    faultsEndMs: (limits.calmS ?? 1e6) * 1000,
    endMs,
  });
  return [...new Set(violations.map((v) => v.rule))];
}

const acceptedJob = (): EventBody[] => [submit(), answered('pending', 201)];
/** Each `log` is a function because requests are numbered as they are created, and `answered` takes the latest number. */
const cases: { name: string; rule: Rule | null; log: () => SimEvent[]; calmS?: number; endS?: number }[] = [
  {
    name: 'a day without violations',
    rule: null,
    log: () =>
      events(
        submit(),
        answered('pending', 201),
        machineUp('m'),
        taskLaunched('m', 0),
        taskOn('m'),
        taskOff('m', 'done'),
      ),
  },
  {
    name: 'a task runs on two machines',
    rule: 'ran_twice',
    log: () =>
      events(
        ...acceptedJob(),
        machineUp('m'),
        machineUp('k'),
        taskOn('m'),
        taskOff('m', null, 1),
        taskOn('k', 0, 2),
      ),
  },
  {
    name: "running tasks exceed the team's quota",
    rule: 'quota',
    log: () => events(...acceptedJob(), machineUp('m'), taskOn('m', 0), taskOn('m', 1)),
  },
  {
    name: 'a job that forbids spot machines runs on one',
    rule: 'wrong_place',
    log: () =>
      events(submit({ borrowed: false }), answered('pending'), machineUp('m', { spot: true }), taskOn('m')),
  },
  {
    name: 'a task keeps running after its cancellation is confirmed',
    rule: 'ran_cancelled',
    log: () =>
      events(
        ...acceptedJob(),
        machineUp('m'),
        taskOn('m'),
        ask('cancel'),
        answered('aborted'),
        45,
        taskOff('m', 'stopped'),
      ),
  },
  {
    name: 'a task is started after its cancellation is confirmed',
    rule: 'ran_cancelled',
    log: () =>
      events(...acceptedJob(), machineUp('m'), ask('cancel'), answered('aborted'), taskLaunched('m', 20_000)),
  },
  {
    name: 'an accepted job is answered with 404',
    rule: 'forgotten',
    log: () => events(...acceptedJob(), ask(), answered(null, 404)),
  },
  {
    name: 'no poll is answered for 75 s',
    rule: 'forgotten',
    log: () => events(...acceptedJob(), ask()),
    calmS: 5,
    endS: 90,
  },
  {
    name: 'a stage is reported for a job that was not submitted',
    rule: 'invented',
    log: () => events(ask(), answered('pending')),
  },
  {
    name: 'a job is reported as done before its tasks are',
    rule: 'not_done',
    log: () => events(...acceptedJob(), ask(), answered('done')),
  },
  {
    name: 'a cancelled job is reported as running by a later poll',
    rule: 'went_back',
    log: () => events(...acceptedJob(), ask('cancel'), answered('aborted'), ask(), answered('running')),
  },
  {
    name: 'a job is reported as cancelled without a request to cancel it',
    rule: 'went_back',
    log: () => events(...acceptedJob(), ask(), answered('aborted')),
  },
  {
    name: 'a submission without a field is accepted',
    rule: 'wrongly_accepted',
    log: () => events(submit({}, 400), answered('pending', 201)),
  },
  {
    name: 'a valid submission is refused permanently',
    rule: 'wrongly_refused',
    log: () => events(submit(), answered(null, 422)),
  },
  {
    name: 'a job waits while a machine has free capacity',
    rule: 'left_waiting',
    log: () =>
      events(
        ...acceptedJob(),
        machineUp('m'),
        ...Array.from({ length: 12 }, () => [9, ask(), answered('pending')]).flat(),
      ),
    calmS: 5,
  },
  { name: 'no task is started', rule: 'nothing_ran', log: () => events(...acceptedJob()) },
];

for (const { name, rule, log, calmS, endS } of cases) {
  test(`checker: ${name}`, () => {
    request = 0;
    const limits = { ...(calmS === undefined ? {} : { calmS }), ...(endS === undefined ? {} : { endS }) };
    const found = brokenRules(log(), limits);
    if (rule === null) assert.deepEqual(found, []);
    else assert.ok(found.includes(rule), `${found.join(', ')} instead of ${rule}`);
  });
}

test('the answer to a request that began before a newer answer may report an older stage', () => {
  request = 0;
  const log = events(submit(), answered('pending', 201), ask(), ask('cancel'), answered('aborted'));
  const earlyRequest = log.find((e) => e.kind === 'asked' && e.about === 'poll') as { request: number };
  const lateAnswer: SimEvent = {
    kind: 'answered',
    request: earlyRequest.request,
    status: 200,
    stage: 'running',
    at: 9000,
  };
  assert.deepEqual(
    brokenRules([...log, lateAnswer]).filter((r) => r !== 'nothing_ran'),
    [],
  );
});
