import assert from 'node:assert/strict';
import test from 'node:test';
import { Cluster } from '../../src/leader/cluster.ts';
import { CommandDispatcher } from '../../src/leader/command-dispatcher.ts';
import type { LeaderHost } from '../../src/leader/context.ts';
import type { Heartbeat } from '../../src/wire/worker.ts';
import { buildCommands } from '../../src/workers/reconcile.ts';
import { FakeClock } from '../helpers.ts';
import { createTokens, fakeHost, settle, TERM } from './fakes.ts';
import { heartbeat, newMachine, setup } from '../workers/fixtures.ts';

function dispatcherOn(overrides: Partial<LeaderHost>): {
  dispatcher: CommandDispatcher;
  responses: Heartbeat[];
} {
  const responses: Heartbeat[] = [];
  const host = fakeHost(new FakeClock(), overrides);
  const dispatcher = new CommandDispatcher(new Cluster(0), { host, tokens: createTokens() }, (response) =>
    responses.push(response),
  );
  return { dispatcher, responses };
}

test('a start is in doubt if its request is not answered or fails with an unexpected error', async () => {
  const unanswered = () => Promise.resolve({ kind: 'unanswered' } as const);
  for (const sendCommands of [unanswered, () => Promise.reject(new Error('defect'))]) {
    const { machine, assign } = setup();
    const attempt = assign(0);
    const { dispatcher, responses } = dispatcherOn({ sendCommands });
    dispatcher.dispatch(machine, buildCommands(machine, true));
    assert.deepEqual(
      [attempt.directStartsInFlight, attempt.startInDoubt, machine.commandInFlight],
      [1, false, true],
    );
    await settle();
    assert.deepEqual(
      [attempt.directStartsInFlight, attempt.startInDoubt, machine.commandInFlight],
      [0, true, false],
    );
    assert.equal(machine.connectivity.missedAcknowledgements, 1);
    assert.equal(dispatcher.unansweredCount, 1);
    assert.deepEqual(responses, []);
  }
});

test('a start that was not sent is not in doubt', async () => {
  const { machine, assign } = setup();
  const attempt = assign(0);
  const { dispatcher } = dispatcherOn({ sendCommands: () => Promise.resolve({ kind: 'notSent' }) });
  dispatcher.dispatch(machine, buildCommands(machine, true));
  await settle();
  assert.deepEqual(
    [attempt.directStartsInFlight, attempt.startInDoubt, machine.commandInFlight],
    [0, false, false],
  );
  assert.equal(machine.connectivity.missedAcknowledgements, 1);
});

test('an answer shows that messages pass in both directions, and is applied', async () => {
  const { machine, assign } = setup();
  const attempt = assign(0);
  const answer = heartbeat(1, 1, [], TERM);
  const { dispatcher, responses } = dispatcherOn({
    sendCommands: () => Promise.resolve({ kind: 'answered', heartbeat: answer, executed: true }),
  });
  machine.connectivity.noteMissedAcknowledgement();
  dispatcher.dispatch(machine, buildCommands(machine, true));
  await settle();
  assert.deepEqual(
    [attempt.directStartsInFlight, attempt.startInDoubt, machine.commandInFlight],
    [0, false, false],
  );
  assert.equal(machine.connectivity.missedAcknowledgements, 0);
  assert.deepEqual(responses, [answer]);
});

test('a stop of an attempt that its worker has lost is not due, so no empty message is sent for it', () => {
  const { machine, assign } = setup();
  const attempt = assign(0);
  attempt.observe('running', 0);
  attempt.decideStop(0);
  const { dispatcher } = dispatcherOn({});
  assert.equal(dispatcher.hasDueCommands(machine), true);
  attempt.awaitHigherToken();
  assert.equal(dispatcher.hasDueCommands(machine), false);
  assert.deepEqual(buildCommands(machine, true), []);
});

test('a probe fails if its request is not answered or fails with an unexpected error', async () => {
  const unanswered = () => Promise.resolve({ kind: 'unanswered' } as const);
  for (const inspect of [unanswered, () => Promise.reject(new Error('defect'))]) {
    const machine = newMachine();
    const { dispatcher } = dispatcherOn({ inspect });
    dispatcher.probe(machine);
    await settle();
    assert.equal(machine.connectivity.failedProbes, 1);
    assert.equal(dispatcher.unansweredCount, 1);
    // The pause after a probe never ends here, so a second one is not sent.
    dispatcher.probe(machine);
    await settle();
    assert.equal(machine.connectivity.failedProbes, 1);
  }
});
