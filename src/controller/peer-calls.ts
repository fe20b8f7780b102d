/** What this controller asks the others: the leader, or all of them. */
import type { PeerLeaseRequest } from '../leadership/peer-leases.ts';
import type { PeerReply, PeerRequest, PollAnswer } from '../peers/messages.ts';
import { callAny, type Peers } from '../peers/peers.ts';
import type { ControllerContext } from './context.ts';

/** Wait for an answer that any controller gives at once. */
const SHORT_TIMEOUT_MS = 700;
/** After no other controller could help, none is asked again for so long: the trouble may be everybody's. */
const RETRY_OTHERS_AFTER_MS = 1000;

/** Calls of this controller to the others. */
export class PeerCalls {
  private othersFailedAt = -Infinity;

  constructor(
    private readonly context: ControllerContext,
    /** The controller that leads, as far as is known here. */
    private readonly knownLeader: () => string | null,
  ) {}

  private get peers(): Peers {
    return this.context.platform.peers;
  }

  /** Calls the leader; null if none but this controller is known, or without a reply in time. */
  callLeader(request: PeerRequest, timeoutMs: number): Promise<PeerReply | null> {
    const leader = this.knownLeader();
    if (leader === null || leader === this.context.settings.host_name) return Promise.resolve(null);
    return this.peers.call(leader, request, timeoutMs);
  }

  /** Calls all other controllers; null if none can help, and for a while after that. */
  async callOthers(request: PeerRequest, timeoutMs: number): Promise<PeerReply | null> {
    const { clock } = this.context;
    if (clock.now() - this.othersFailedAt < RETRY_OTHERS_AFTER_MS) return null;
    const reply = await callAny(this.peers, request, timeoutMs, (answer) => answer.kind !== 'unavailable');
    if (!reply) this.othersFailedAt = clock.now();
    return reply;
  }

  /** Sends the leader a batch of polls; null without its answers in time. */
  async pollLeader(jobIds: readonly string[]): Promise<readonly PollAnswer[] | null> {
    const { forward_ms } = this.context.options.users;
    const reply = await this.callLeader({ kind: 'pollBatch', jobIds }, forward_ms);
    return reply?.kind === 'pollAnswers' ? reply.answers : null;
  }

  /** Asks all other controllers for a peer lease. Says which of them granted it, always in the same order. */
  async requestPeerLeases(request: PeerLeaseRequest): Promise<readonly boolean[]> {
    const calls = this.peers.names.map((name) =>
      this.peers.call(name, { kind: 'grantPeerLease', ...request }, SHORT_TIMEOUT_MS),
    );
    return (await Promise.all(calls)).map((reply) => reply?.kind === 'granted');
  }

  /** True if any other controller answers. */
  async pingAny(): Promise<boolean> {
    return (await callAny(this.peers, { kind: 'ping' }, SHORT_TIMEOUT_MS, () => true)) !== null;
  }

  /** Returns the acknowledgement of a controller that workers send heartbeats to, or null if there is none. */
  findWorkerContact(): Promise<PeerReply | null> {
    const isContact = (reply: PeerReply): boolean => reply.kind === 'ack';
    return callAny(this.peers, { kind: 'workerContact' }, SHORT_TIMEOUT_MS, isContact);
  }
}
