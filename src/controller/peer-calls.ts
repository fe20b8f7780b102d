/** Calls of this controller to the leader or to all other controllers. */
import type { Clock } from '../base/clock.ts';
import type { PeerLeaseRequest } from '../leadership/peer-leases.ts';
import type { PeerReply, PeerRequest, PollAnswer } from '../peers/messages.ts';
import { callAny, type Peers } from '../peers/peers.ts';

/** Timeout of requests that a controller answers without waiting. */
const SHORT_TIMEOUT_MS = 700;
/**
 * After a call that no other controller could answer, `callOthers` calls none for this time: the cause may be an outage
 * that affects all controllers.
 */
const RETRY_OTHERS_AFTER_MS = 1000;

/** The dependencies of the calls on their controller. */
export interface PeerCallsDeps {
  /** The name of this controller. */
  node: string;
  clock: Clock;
  peers: Peers;
  /** The name of the leading controller, as far as this controller knows; null: unknown or none. */
  knownLeader: () => string | null;
  /** Timeout of a batch of polls to the leader, in milliseconds. */
  pollTimeoutMs: number;
}

/** Sends requests to the leader or to the other controllers. */
export class PeerCalls {
  private othersFailedAt = -Infinity;

  constructor(private readonly deps: PeerCallsDeps) {}

  /** Calls the leader. null: no other controller is known to lead, or no reply came within the timeout. */
  callLeader(request: PeerRequest, timeoutMs: number): Promise<PeerReply | null> {
    const { node, peers, knownLeader } = this.deps;
    const leader = knownLeader();
    if (leader === null || leader === node) return Promise.resolve(null);
    return peers.call(leader, request, timeoutMs);
  }

  /**
   * Calls all other controllers and returns the first reply other than `unavailable`. null: there is none, or a recent
   * call had none.
   */
  async callOthers(request: PeerRequest, timeoutMs: number): Promise<PeerReply | null> {
    const { clock, peers } = this.deps;
    if (clock.now() - this.othersFailedAt < RETRY_OTHERS_AFTER_MS) return null;
    const reply = await callAny(peers, request, timeoutMs, (answer) => answer.kind !== 'unavailable');
    if (!reply) this.othersFailedAt = clock.now();
    return reply;
  }

  /** Sends the leader a batch of polls. null: `callLeader` returned no reply, or one without answers to polls. */
  async pollLeader(jobIds: readonly string[]): Promise<readonly PollAnswer[] | null> {
    const reply = await this.callLeader({ kind: 'pollBatch', jobIds }, this.deps.pollTimeoutMs);
    return reply?.kind === 'pollAnswers' ? reply.answers : null;
  }

  /** Requests a peer lease from all other controllers. Returns whether each granted it, ordered as `peers.names`. */
  async requestPeerLeases(request: PeerLeaseRequest): Promise<readonly boolean[]> {
    const { peers } = this.deps;
    const calls = peers.names.map((name) =>
      peers.call(name, { kind: 'grantPeerLease', ...request }, SHORT_TIMEOUT_MS),
    );
    return (await Promise.all(calls)).map((reply) => reply?.kind === 'granted');
  }

  /** Returns whether any other controller replies. */
  async pingAny(): Promise<boolean> {
    return (await callAny(this.deps.peers, { kind: 'ping' }, SHORT_TIMEOUT_MS, () => true)) !== null;
  }

  /** Returns the acknowledgement of a controller that receives heartbeats directly from workers; null: none does. */
  findWorkerContact(): Promise<PeerReply | null> {
    const isContact = (reply: PeerReply): boolean => reply.kind === 'ack';
    return callAny(this.deps.peers, { kind: 'workerContact' }, SHORT_TIMEOUT_MS, isContact);
  }
}
