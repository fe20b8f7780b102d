/** What this controller asks the others: the leader, or all of them. */
import type { Clock } from '../base/clock.ts';
import type { PeerLeaseRequest } from '../leadership/peer-leases.ts';
import type { PeerReply, PeerRequest, PollAnswer } from '../peers/messages.ts';
import { callAny, type Peers } from '../peers/peers.ts';

/** Wait for an answer that any controller gives at once. */
const SHORT_TIMEOUT_MS = 700;
/** After no other controller could help, none is asked again for so long: the trouble may be everybody's. */
const RETRY_OTHERS_AFTER_MS = 1000;

/** What the calls need of the controller that they come from. */
export interface PeerCallsDeps {
  /** The name of this controller. */
  node: string;
  clock: Clock;
  peers: Peers;
  /** The controller that leads, as far as is known here. */
  knownLeader: () => string | null;
  /** Wait for the leader's answers to a batch of polls, in milliseconds. */
  pollTimeoutMs: number;
}

/** Calls of this controller to the others. */
export class PeerCalls {
  private othersFailedAt = -Infinity;

  constructor(private readonly deps: PeerCallsDeps) {}

  /** Calls the leader; null if none but this controller is known, or without a reply in time. */
  callLeader(request: PeerRequest, timeoutMs: number): Promise<PeerReply | null> {
    const { node, peers, knownLeader } = this.deps;
    const leader = knownLeader();
    if (leader === null || leader === node) return Promise.resolve(null);
    return peers.call(leader, request, timeoutMs);
  }

  /** Calls all other controllers; null if none can help, and for a while after that. */
  async callOthers(request: PeerRequest, timeoutMs: number): Promise<PeerReply | null> {
    const { clock, peers } = this.deps;
    if (clock.now() - this.othersFailedAt < RETRY_OTHERS_AFTER_MS) return null;
    const reply = await callAny(peers, request, timeoutMs, (answer) => answer.kind !== 'unavailable');
    if (!reply) this.othersFailedAt = clock.now();
    return reply;
  }

  /** Sends the leader a batch of polls; null without its answers in time. */
  async pollLeader(jobIds: readonly string[]): Promise<readonly PollAnswer[] | null> {
    const reply = await this.callLeader({ kind: 'pollBatch', jobIds }, this.deps.pollTimeoutMs);
    return reply?.kind === 'pollAnswers' ? reply.answers : null;
  }

  /** Asks all other controllers for a peer lease. Says which of them granted it, always in the same order. */
  async requestPeerLeases(request: PeerLeaseRequest): Promise<readonly boolean[]> {
    const { peers } = this.deps;
    const calls = peers.names.map((name) =>
      peers.call(name, { kind: 'grantPeerLease', ...request }, SHORT_TIMEOUT_MS),
    );
    return (await Promise.all(calls)).map((reply) => reply?.kind === 'granted');
  }

  /** True if any other controller answers. */
  async pingAny(): Promise<boolean> {
    return (await callAny(this.deps.peers, { kind: 'ping' }, SHORT_TIMEOUT_MS, () => true)) !== null;
  }

  /** Returns the acknowledgement of a controller that workers send heartbeats to, or null if there is none. */
  findWorkerContact(): Promise<PeerReply | null> {
    const isContact = (reply: PeerReply): boolean => reply.kind === 'ack';
    return callAny(this.deps.peers, { kind: 'workerContact' }, SHORT_TIMEOUT_MS, isContact);
  }
}
