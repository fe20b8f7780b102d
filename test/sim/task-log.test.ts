/** The log lines from which an operator follows one task through all controllers. */
import assert from 'node:assert/strict';
import test from 'node:test';
import { pino } from 'pino';
import * as z from 'zod/mini';
import { simulateDay } from './days.ts';

const line = z.object({
  msg: z.string(),
  op: z.optional(z.string()),
  job: z.optional(z.string()),
  task: z.optional(z.number()),
  attempt: z.optional(z.number()),
  machine: z.optional(z.string()),
  token: z.optional(z.number()),
});
type LogLine = z.infer<typeof line>;

test('an attempt can be followed by its id from its start to the forget command under a higher token', async () => {
  const lines: LogLine[] = [];
  const logger = pino(
    { level: 'debug' },
    {
      write: (text: string) => {
        lines.push(line.parse(JSON.parse(text)));
      },
    },
  );
  const jobs = [{ atS: 2, kind: 0, tasks: 1, runS: 5, cancelS: 0 }];
  await simulateDay({ seed: 6151, endS: 40, jobs, faults: [] }, undefined, logger);
  const start = lines.find(({ msg, op }) => msg === 'command sent' && op === 'start');
  assert.ok(start?.token !== undefined && start.machine !== undefined);
  const ofAttempt = lines.filter(({ job, attempt }) => job === start.job && attempt === start.attempt);
  const steps = ofAttempt.map(({ msg, op }) => (op === undefined ? msg : `${op} sent`));
  const distinct = [...new Set(steps)];
  assert.deepEqual(distinct, ['start sent', 'task running', 'task ended', 'forget sent']);
  const forget = ofAttempt.find(({ op }) => op === 'forget');
  assert.ok(forget?.token !== undefined && forget.token > start.token);
  const raised = lines.find(
    ({ msg, machine }) => msg === 'fencing token raised' && machine === start.machine,
  );
  assert.equal(raised?.token, forget.token);
  for (const msg of [
    'leadership acquired',
    'stored state read',
    'state recovered',
    'direct commands completed',
  ])
    assert.ok(
      lines.some((entry) => entry.msg === msg),
      msg,
    );
});
