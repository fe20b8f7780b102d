/** Client of the workers' own HTTP interface: direct commands and inspections. */
import type { HttpSender } from '../http/client.ts';
import { decodeHeartbeat, encodeCommands, type Command, type Heartbeat } from '../wire/worker.ts';
import type { Machine } from './machine.ts';

/** How a request with direct commands ended. Failures are results, not errors: what follows depends on the kind. */
export type CommandResult =
  /** The worker answered with its state. `executed` is false if it refused the commands. */
  | { readonly kind: 'answered'; readonly heartbeat: Heartbeat; readonly executed: boolean }
  /** The commands were not sent, or the worker rejected the request unread: they are not executed. */
  | { readonly kind: 'notSent' }
  /** No usable answer arrived: the commands may be executed, now or later. */
  | { readonly kind: 'unanswered' };

/** How an inspection of a worker ended. */
export type InspectResult =
  | { readonly kind: 'answered'; readonly heartbeat: Heartbeat }
  /** The connection failed, or no answer arrived in time. */
  | { readonly kind: 'unanswered' }
  /** The worker answered with an HTTP status other than 200. */
  | { readonly kind: 'rejected'; readonly status: number }
  /** The answer does not decode as a heartbeat. */
  | { readonly kind: 'malformed'; readonly reason: string };

/** Provides senders of requests to workers. They share a bounded number of connections. */
export interface WorkerNetwork {
  /** Returns the sender of requests to the worker at `address` (host and port). */
  connect(address: string): HttpSender;
  /** Closes the connections to all workers. */
  close(): void;
}

const COMMAND_TIMEOUT_MS = 2500;
const INSPECT_TIMEOUT_MS = 2000;
const HTTP_OK = 200;
const HTTP_CONFLICT = 409;

/** Sends requests to workers at their own addresses. */
export class WorkerClient {
  constructor(private readonly network: WorkerNetwork) {}

  /**
   * Sends commands for the machine's present incarnation under this fencing token. `mayStillSend` is called right
   * before the request is written; if it returns false, nothing is sent.
   */
  async sendCommands(
    machine: Machine,
    fencingToken: number,
    commands: readonly Command[],
    mayStillSend: () => boolean,
  ): Promise<CommandResult> {
    const body = encodeCommands(fencingToken, machine.incarnation, commands);
    const sender = this.network.connect(machine.identity.address);
    const result = await sender.send('POST', '/orders', body, COMMAND_TIMEOUT_MS, mayStillSend);
    if (result.kind === 'silent') return result.sent ? { kind: 'unanswered' } : { kind: 'notSent' };
    if (result.status !== HTTP_OK && result.status !== HTTP_CONFLICT) return { kind: 'notSent' };
    const decoded = decodeHeartbeat(result.body);
    // An answer that doesn't decode proves nothing about the commands.
    if (!decoded.ok) return { kind: 'unanswered' };
    return { kind: 'answered', heartbeat: decoded.value, executed: result.status === HTTP_OK };
  }

  /** Asks a worker for its state, without waiting for its next heartbeat. */
  async inspect(machine: Machine): Promise<InspectResult> {
    const sender = this.network.connect(machine.identity.address);
    const result = await sender.send('GET', '/inspect', null, INSPECT_TIMEOUT_MS);
    if (result.kind === 'silent') return { kind: 'unanswered' };
    if (result.status !== HTTP_OK) return { kind: 'rejected', status: result.status };
    const decoded = decodeHeartbeat(result.body);
    if (!decoded.ok) return { kind: 'malformed', reason: decoded.reason };
    return { kind: 'answered', heartbeat: decoded.value };
  }

  /** Closes the connections to all workers. */
  close(): void {
    this.network.close();
  }
}
