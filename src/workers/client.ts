import type { HttpSender } from '../http/client.ts';
import { decodeReport, encodeOrders, type Command, type Report } from '../wire/worker.ts';
import type { Machine } from './machine.ts';

export type OrderResult = { report: Report; executed: boolean } | 'not_sent' | 'silent';

const ORDER_TIMEOUT_MS = 2500;
const INSPECT_TIMEOUT_MS = 2000;

/** Speaks to workers at their own addresses. */
export class WorkerClient {
  /** `network`: clients of workers that share a number of connections. */
  constructor(private readonly network: { connect(address: string): HttpSender; close(): void }) {}

  /** `wanted`: whether the orders may still be sent, asked right before they are. */
  async order(
    machine: Machine,
    token: number,
    commands: readonly Command[],
    wanted: () => boolean,
  ): Promise<OrderResult> {
    const body = encodeOrders(token, machine.session, commands);
    const client = this.network.connect(machine.id.address);
    const result = await client.send('POST', '/orders', body, ORDER_TIMEOUT_MS, wanted);
    if (result.kind === 'silent') return result.sent ? 'silent' : 'not_sent';
    if (result.status !== 200 && result.status !== 409) return 'not_sent';
    const report = decodeReport(result.body);
    // An answer that doesn't decode proves nothing about the orders.
    return report.ok ? { report: report.value, executed: result.status === 200 } : 'silent';
  }

  async inspect(machine: Machine): Promise<Report | null> {
    const client = this.network.connect(machine.id.address);
    const result = await client.send('GET', '/inspect', null, INSPECT_TIMEOUT_MS);
    if (result.kind !== 'answer' || result.status !== 200) return null;
    const report = decodeReport(result.body);
    return report.ok ? report.value : null;
  }

  close(): void {
    this.network.close();
  }
}
