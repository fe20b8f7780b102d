import assert from 'node:assert/strict';
import test from 'node:test';
import {
  PeerRequestDispatcher,
  type PeerRequestDispatcherDeps,
} from '../../src/controller/peer-request-dispatcher.ts';
import type { PeerReply, PeerRequest } from '../../src/peers/messages.ts';

const RUNNING = { kind: 'status' as const, created: false, stage: 'running' as const, done: 1, running: 2 };

/** A dispatcher with fake parts behind it; each part gives a different reply. */
class DispatcherHarness {
  workerContact = false;
  granted: Promise<boolean> = Promise.resolve(true);
  readonly errors: unknown[] = [];
  private readonly dispatcher: PeerRequestDispatcher;

  constructor() {
    const deps: PeerRequestDispatcherDeps = {
      heartbeats: {
        hasWorkerContact: () => this.workerContact,
        onRelayedHeartbeats: (follower, bodies, reply) => {
          const responses = bodies.map((body) => ({ status: 200, body: `${follower}: ${body}` }));
          reply({ kind: 'heartbeatResponses', relay: true, responses });
        },
      },
      userRequests: {
        onPeerRequest: (request, reply) => {
          // Lookups and requests for the job `slow` are answered asynchronously, all others synchronously.
          if (request.kind === 'lookup') setImmediate(reply, { kind: 'notFound' });
          else if (request.jobId === 'known') reply(RUNNING);
          else if (request.jobId === 'slow') setImmediate(reply, { kind: 'notFound' });
          else reply({ kind: 'refused', status: 400, reason: `${request.kind} of ${request.jobId}` });
        },
      },
      grantPeerLease: () => this.granted,
      onError: (error) => this.errors.push(error),
    };
    this.dispatcher = new PeerRequestDispatcher(deps);
  }

  reply(request: PeerRequest): Promise<PeerReply> {
    return new Promise((resolve) => {
      this.dispatcher.dispatch(request, resolve);
    });
  }

  dispatch(request: PeerRequest): void {
    this.dispatcher.dispatch(request, () => undefined);
  }
}

test('pings are acknowledged, and queries for worker contact only if there is contact', async () => {
  const harness = new DispatcherHarness();
  assert.deepEqual(await harness.reply({ kind: 'ping' }), { kind: 'ack' });
  assert.deepEqual(await harness.reply({ kind: 'workerContact' }), { kind: 'unavailable' });
  harness.workerContact = true;
  assert.deepEqual(await harness.reply({ kind: 'workerContact' }), { kind: 'ack' });
});

test('relayed heartbeats are dispatched to the heartbeat handler with the name of the follower', async () => {
  const harness = new DispatcherHarness();
  assert.deepEqual(await harness.reply({ kind: 'heartbeats', node: 'a', heartbeats: ['x', 'y'] }), {
    kind: 'heartbeatResponses',
    relay: true,
    responses: [
      { status: 200, body: 'a: x' },
      { status: 200, body: 'a: y' },
    ],
  });
});

test('requests for a single job are dispatched to the handling of user requests', async () => {
  const harness = new DispatcherHarness();
  const requests: PeerRequest[] = [
    { kind: 'poll', jobId: 'j' },
    { kind: 'cancel', jobId: 'j' },
    { kind: 'submit', jobId: 'j', body: '{}' },
  ];
  for (const request of requests) {
    const reason = `${request.kind} of j`;
    assert.deepEqual(await harness.reply(request), { kind: 'refused', status: 400, reason });
  }
  assert.deepEqual(await harness.reply({ kind: 'lookup', jobId: 'j' }), { kind: 'notFound' });
});

test('a peer lease is granted or refused, and an error is passed to onError', async () => {
  const harness = new DispatcherHarness();
  const request = { kind: 'grantPeerLease' as const, term: 1, ms: 5000, continuous: true };
  assert.deepEqual(await harness.reply(request), { kind: 'granted' });
  harness.granted = Promise.resolve(false);
  assert.deepEqual(await harness.reply(request), { kind: 'unavailable' });
  const error = new Error('store');
  harness.granted = Promise.reject(error);
  harness.dispatch(request);
  await new Promise((resolve) => setImmediate(resolve));
  assert.deepEqual(harness.errors, [error]);
});

test('a batch of polls is answered in order, as unavailable where no answer is known synchronously', async () => {
  const harness = new DispatcherHarness();
  // `j` gets a reply that is no answer to a poll, and `slow` an asynchronous one: both count as unavailable.
  assert.deepEqual(await harness.reply({ kind: 'pollBatch', jobIds: ['j', 'known', 'slow'] }), {
    kind: 'pollAnswers',
    answers: [{ kind: 'unavailable' }, RUNNING, { kind: 'unavailable' }],
  });
});
