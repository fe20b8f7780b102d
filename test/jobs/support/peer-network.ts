import { answerBatch } from '../../../src/jobs/poll-batches.ts';
import type { PeerReply, PeerRequest, PollAnswer } from '../../../src/peers/messages.ts';
import type { Sim } from '../../model/sim.ts';
import type { FaultRates } from './fault-rates.ts';
import type { SimulatedController } from './simulated-controller.ts';

/** Answers a request of another controller, as a controller does. */
function answerPeer(
  { userRequests }: SimulatedController,
  request: PeerRequest,
  reply: (reply: PeerReply) => void,
): void {
  if (request.kind === 'heartbeats') {
    reply({ kind: 'unavailable' });
    return;
  }
  if (request.kind === 'grantPeerLease' || request.kind === 'ping' || request.kind === 'workerContact')
    return;
  if (request.kind !== 'pollBatch') {
    userRequests.onPeerRequest(request, reply);
    return;
  }
  const answerOne = (id: string, answered: (answer: PollAnswer) => void): void => {
    userRequests.onPeerRequest({ kind: 'poll', jobId: id }, (answer) => {
      answered(answer.kind === 'status' || answer.kind === 'notFound' ? answer : { kind: 'unavailable' });
    });
  };
  reply({ kind: 'pollAnswers', answers: answerBatch(request.jobIds, answerOne) });
}

/** The network between controllers, on which some messages are slow. */
export class PeerNetwork {
  constructor(
    private readonly sim: Sim,
    private readonly controllers: readonly SimulatedController[],
    private readonly faults: () => FaultRates,
  ) {}

  /** Sends a request to a controller; null: no answer within `timeoutMs`. */
  call(
    from: SimulatedController,
    to: SimulatedController,
    request: PeerRequest,
    timeoutMs: number,
  ): Promise<PeerReply | null> {
    return new Promise((resolve) => {
      from.runAfter(timeoutMs, () => {
        resolve(null);
      });
      to.runAfter(this.delayMs(), () => {
        answerPeer(to, request, (reply) => {
          from.runAfter(this.delayMs(), () => {
            resolve(reply);
          });
        });
      });
    });
  }

  /** Asks the leader; null: this controller leads or knows of no leader, or there is no answer. */
  callLeader(from: SimulatedController, request: PeerRequest, timeoutMs: number): Promise<PeerReply | null> {
    const leader = this.controllers.find(({ index }) => index === from.knownLeader);
    if (!leader || leader === from) return Promise.resolve(null);
    return this.call(from, leader, request, timeoutMs);
  }

  /** Asks all other controllers and returns the first usable answer; null: there is none. */
  async callOthers(
    from: SimulatedController,
    request: PeerRequest,
    timeoutMs: number,
  ): Promise<PeerReply | null> {
    const calls = this.controllers
      .filter((controller) => controller !== from)
      .map(async (controller) => {
        const reply = await this.call(from, controller, request, timeoutMs);
        if (!reply || reply.kind === 'unavailable') throw new Error('no usable reply of this controller');
        return reply;
      });
    return Promise.any(calls).catch(() => null);
  }

  private delayMs(): number {
    return this.sim.chance(this.faults().peersSlow) ? this.sim.between(1, 900) : this.sim.between(1, 3);
  }
}
