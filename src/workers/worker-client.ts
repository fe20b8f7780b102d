import type { HttpSender } from '../http/client.ts';
import { decodeHeartbeat, encodeCommands, type Command, type Heartbeat } from '../wire/worker.ts';
import type { Machine } from './machine.ts';

export type CommandResult = { report: Heartbeat; executed: boolean } | 'not_sent' | 'silent';

const COMMAND_TIMEOUT_MS = 2500;
const INSPECT_TIMEOUT_MS = 2000;

/** Speaks to workers at their own addresses. */
export class WorkerClient {
  /** `network`: clients of workers that share a number of connections. */
  constructor(private readonly network: { connect(address: string): HttpSender; close(): void }) {}

  /** `wanted`: whether the orders may still be sent, asked right before they are. */
  async sendCommands(
    machine: Machine,
    token: number,
    commands: readonly Command[],
    wanted: () => boolean,
  ): Promise<CommandResult> {
    const body = encodeCommands(token, machine.incarnation, commands);
    const client = this.network.connect(machine.id.address);
    const result = await client.send('POST', '/orders', body, COMMAND_TIMEOUT_MS, wanted);
    if (result.kind === 'silent') return result.sent ? 'silent' : 'not_sent';
    if (result.status !== 200 && result.status !== 409) return 'not_sent';
    const report = decodeHeartbeat(result.body);
    // An answer that doesn't decode proves nothing about the orders.
    return report.ok ? { report: report.value, executed: result.status === 200 } : 'silent';
  }

  async inspect(machine: Machine): Promise<Heartbeat | null> {
    const client = this.network.connect(machine.id.address);
    const result = await client.send('GET', '/inspect', null, INSPECT_TIMEOUT_MS);
    if (result.kind !== 'answer' || result.status !== 200) return null;
    const report = decodeHeartbeat(result.body);
    return report.ok ? report.value : null;
  }

  close(): void {
    this.network.close();
  }
}
