/** Disables safeguards of the controllers, to show that the checker detects the violations that they prevent. */
import type { HttpResult } from '../../src/http/client.ts';
import { TerminalWrites } from '../../src/jobs/terminal-writes.ts';
import { Attempt } from '../../src/workers/attempt.ts';
import type { Election } from '../../src/leadership/election.ts';
import type { ControllerOverrides } from '../../src/sim/node.ts';
import { parseJson, type TransactionBody } from '../../src/sim/protocol.ts';
import { KEYS } from '../../src/store/keys.ts';

/** The safeguards to disable. */
export interface DisabledSafeguards {
  /** A new leader doesn't read the machine registry of the previous leader. */
  machineRegistry?: boolean;
  /**
   * Start watermarks aren't stored: their writes succeed without reaching the state service, and a new leader reads
   * none. All other writes of a leader count as successful even if they are not confirmed.
   */
  startWatermarks?: boolean;
  /** A controller considers its lease valid for as long as it considers itself the leader. */
  leaseCheck?: boolean;
}

/**
 * Runs simulations without tracking which terminal records may have been written: while the write of a terminal record
 * is unconfirmed, polls of the job are answered from the leader's memory.
 */
export async function runWithoutTerminalWriteTracking<T>(run: () => Promise<T>): Promise<T> {
  // eslint-disable-next-line @typescript-eslint/unbound-method -- only restored afterwards, never called unbound
  const { mayBeWritten } = TerminalWrites.prototype;
  TerminalWrites.prototype.mayBeWritten = () => false;
  try {
    return await run();
  } finally {
    TerminalWrites.prototype.mayBeWritten = mayBeWritten;
  }
}

/** Runs simulations in which attempts are forgotten and released under the fencing token that started them. */
export async function runWithoutHigherTokens<T>(run: () => Promise<T>): Promise<T> {
  // eslint-disable-next-line @typescript-eslint/unbound-method -- only restored afterwards, never called unbound
  const { isStartAcceptedAfter } = Attempt.prototype;
  Attempt.prototype.isStartAcceptedAfter = () => false;
  try {
    return await run();
  } finally {
    Attempt.prototype.isStartAcceptedAfter = isStartAcceptedAfter;
  }
}

const EMPTY_LIST = JSON.stringify({ rows: [], hasNext: false, ledger: 1 });

/** Whether a transaction writes only start watermarks, apart from the fence that every transaction of a leader writes. */
function writesOnlyStartWatermarks(text: string): boolean {
  const mutations = (parseJson(text) as TransactionBody | null)?.then ?? [];
  const watermarkWrites = mutations.filter((c) => 'set' in c && c.set.startsWith(KEYS.startWatermarksPrefix));
  return watermarkWrites.length > 0 && watermarkWrites.length >= mutations.length - 1;
}

/** Reports every transaction of a leader as successful, also without confirmation; start watermarks aren't sent at all. */
async function sendAssumingSuccess(
  text: string,
  send: (body: string | null) => Promise<HttpResult>,
): Promise<HttpResult> {
  const fence = (parseJson(text) as TransactionBody | null)?.if?.find((c) => c.k === KEYS.fence)?.stamp;
  if (fence === undefined) return send(text);
  const success: HttpResult = {
    kind: 'answer',
    status: 200,
    body: JSON.stringify({ ledger: fence }),
    retryAfterS: null,
  };
  if (writesOnlyStartWatermarks(text)) return success;
  const result = await send(text);
  return result.kind === 'answer' && result.status === 200 ? result : success;
}

/** Disables safeguards in every controller of a simulated day. */
export function disableSafeguards(disabled: DisabledSafeguards): ControllerOverrides {
  return {
    interceptState: async (request, send) => {
      const { method, path, body } = request;
      const isListOf = (prefix: string): boolean =>
        path.startsWith(`/store?starts=${encodeURIComponent(prefix)}`);
      const hidden =
        (disabled.machineRegistry === true && isListOf(KEYS.machineRegistryPrefix)) ||
        (disabled.startWatermarks === true && isListOf(KEYS.startWatermarksPrefix));
      if (method === 'GET' && hidden) {
        return { kind: 'answer', status: 200, body: EMPTY_LIST, retryAfterS: null };
      }
      if (path !== '/multi' || body === null) return send(body);
      if (disabled.startWatermarks === true) return sendAssumingSuccess(body, send);
      return send(body);
    },
    patchController: (controller) => {
      const { election } = controller as unknown as { election: Election };
      if (disabled.leaseCheck === true) election.hasValidLease = () => election.currentLeadership() !== null;
    },
  };
}
