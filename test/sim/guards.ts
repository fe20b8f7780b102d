import type { HttpResult } from '../../src/http/client.ts';
import { TerminalWrites } from '../../src/jobs/terminal-writes.ts';
import type { Election } from '../../src/leadership/election.ts';
import type { ControllerOverrides } from '../../src/sim/node.ts';
import { parseJson, type TransactionBody } from '../../src/sim/protocol.ts';
import { KEYS } from '../../src/store/keys.ts';

/** Guards of the service that a test can take away, to show that the checker notices. */
export interface Missing {
  /** A new leader doesn't know the machines of the one before. */
  roster?: boolean;
  /** What was begun is not noted; such writes succeed without the state service. */
  begun?: boolean;
  /** A controller takes its lease for sure as long as it thinks that it leads. */
  lease?: boolean;
}

/**
 * Plays days without the note of jobs whose end may be written: while its write goes unconfirmed, a job is told
 * from memory.
 */
export async function withoutEndNotes<T>(run: () => Promise<T>): Promise<T> {
  // eslint-disable-next-line @typescript-eslint/unbound-method -- it is only put back, never called
  const { mayBeWritten } = TerminalWrites.prototype;
  TerminalWrites.prototype.mayBeWritten = () => false;
  try {
    return await run();
  } finally {
    TerminalWrites.prototype.mayBeWritten = mayBeWritten;
  }
}

const emptyList = JSON.stringify({ rows: [], hasNext: false, ledger: 1 });

/** A transaction of notes of what is begun alone, beside the fence that moves with every write. */
function notesOnly(text: string): boolean {
  const changes = (parseJson(text) as TransactionBody | null)?.then ?? [];
  const notes = changes.filter((c) => 'set' in c && c.set.startsWith(KEYS.startWatermarksPrefix));
  return notes.length > 0 && notes.length >= changes.length - 1;
}

/** A leader's write that isn't confirmed counts as done all the same; notes of what is begun are not written. */
async function takeForDone(
  text: string,
  send: (body: string | null) => Promise<HttpResult>,
): Promise<HttpResult> {
  const fence = (parseJson(text) as TransactionBody | null)?.if?.find((c) => c.k === KEYS.fence)?.stamp;
  if (fence === undefined) return send(text);
  const done: HttpResult = {
    kind: 'answer',
    status: 200,
    body: JSON.stringify({ ledger: fence }),
    retryAfterS: null,
  };
  if (notesOnly(text)) return done;
  const result = await send(text);
  return result.kind === 'answer' && result.status === 200 ? result : done;
}

/** Takes guards away. */
export function without(missing: Missing): ControllerOverrides {
  return {
    interceptState: async (request, send) => {
      const { method, path, body } = request;
      const lists = (prefix: string): boolean =>
        path.startsWith(`/store?starts=${encodeURIComponent(prefix)}`);
      const hidden =
        (missing.roster === true && lists(KEYS.machineRegistryPrefix)) ||
        (missing.begun === true && lists(KEYS.startWatermarksPrefix));
      if (method === 'GET' && hidden) {
        return { kind: 'answer', status: 200, body: emptyList, retryAfterS: null };
      }
      if (path !== '/multi' || body === null) return send(body);
      if (missing.begun === true) return takeForDone(body, send);
      return send(body);
    },
    patchController: (controller) => {
      const { election } = controller as unknown as { election: Election };
      if (missing.lease === true) election.hasValidLease = () => election.currentLeadership() !== null;
    },
  };
}
