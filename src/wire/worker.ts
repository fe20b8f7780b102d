import * as z from 'zod/mini';
import { amount, count, decodeText, orNull, type Decoded } from './amounts.ts';

/** Why a task's attempt has ended, in the service's terms. */
export type ExitReason =
  | 'done'
  | 'stopped'
  | 'gangPeerLost'
  | 'gangIncomplete'
  | 'error'
  | 'insufficientResources'
  | 'busy'
  | 'jobUnknown';
const EXIT_REASONS: Record<string, ExitReason> = {
  done: 'done',
  stopped: 'stopped',
  peers: 'gangPeerLost',
  incomplete: 'gangIncomplete',
  error: 'error',
  full: 'insufficientResources',
  busy: 'busy',
  no_such: 'jobUnknown',
};

const STAGES = ['fetching', 'waiting', 'running', 'saving', 'ended'] as const;
/** Where a task's attempt stands on its machine. */
export type TaskPhase = (typeof STAGES)[number];

const wireHeartbeat = z.object({
  hearth: z.string().check(z.minLength(1), z.maxLength(100)),
  address: z.string().check(z.regex(/^[^:\s]+:\d{1,5}$/)),
  oven: z.string(),
  yard: z.string(),
  borrowed: z.boolean(),
  shift: count,
  tick: count,
  baton: count,
  warningS: orNull(amount),
  loaves: z.array(
    z.object({
      loaf: z.string(),
      try: count,
      stage: z.enum(STAGES),
      cause: orNull(z.string()),
      saved: orNull(z.boolean()),
    }),
  ),
});

/** One attempt of a task on a reporting worker's machine. */
export interface TaskStatus {
  jobId: string;
  task: number;
  attempt: number;
  phase: TaskPhase;
  /** Set once the task has ended. A cause this version doesn't know counts as an error. */
  exitReason: ExitReason | null;
  checkpointed: boolean;
}

/**
 * A worker's report. `session` and `seq` order the reports of a machine; `token`: the highest it has seen.
 * `noticeS`: seconds until the cloud takes a spot machine away, or null.
 */
export interface Heartbeat {
  machine: string;
  address: string;
  machineType: string;
  zone: string;
  spot: boolean;
  incarnation: number;
  sequence: number;
  fencingToken: number;
  interruptionNoticeS: number | null;
  tasks: TaskStatus[];
}

const TASK_ID = /^(.+)\/(\d{1,6})$/;

/** Decodes a report; a failure names the first field that is off. */
export function decodeHeartbeat(text: string): Decoded<Heartbeat> {
  const decoded = decodeText(wireHeartbeat, text);
  if (!decoded.ok) return decoded;
  const w = decoded.value;
  const tasks: TaskStatus[] = [];
  for (const t of w.loaves) {
    const match = TASK_ID.exec(t.loaf);
    const jobId = match?.[1];
    if (!match || jobId === undefined) return { ok: false, reason: 'field loaves: malformed task id' };
    const ended = t.stage === 'ended';
    tasks.push({
      jobId,
      task: Number(match[2]),
      attempt: t.try,
      phase: t.stage,
      exitReason: ended ? (EXIT_REASONS[t.cause ?? ''] ?? 'error') : null,
      checkpointed: t.saved ?? false,
    });
  }
  return {
    ok: true,
    value: {
      machine: w.hearth,
      address: w.address,
      machineType: w.oven,
      zone: w.yard,
      spot: w.borrowed,
      incarnation: w.shift,
      sequence: w.tick,
      fencingToken: w.baton,
      interruptionNoticeS: w.warningS ?? null,
      tasks,
    },
  };
}

/** The sequence number in a report's text, with all before and after it. Only a number without a sign or exponent. */
const SEQUENCE_FIELD = /"tick":(0|[1-9]\d{0,14})(?=[,}])/;
const SEQUENCE_NAME = '"tick"';

/** False if the number found may not be the report's own: a name is used twice, or may be written with escapes. */
function namesSequenceOnce(start: string, rest: string): boolean {
  return [start, rest].every((text) => !text.includes(SEQUENCE_NAME) && !text.includes('\\'));
}

interface LastHeartbeat {
  rest: string;
  heartbeat: Heartbeat;
  usedAt: number;
}

/**
 * Decodes reports, and remembers the last one of each machine: most reports differ from the one before only in their
 * sequence number, and are then not decoded again. A report that isn't written that way is decoded in full.
 */
export class HeartbeatDecoder {
  /** By the text before the sequence number, which names machine and session. */
  private readonly last = new Map<string, LastHeartbeat>();
  private sweptAt = -Infinity;

  constructor(
    private readonly now: () => number,
    /** After so long without a report of a machine its last one is dropped. */
    private readonly keptMs: number,
  ) {}

  /** Reports that are remembered. */
  get size(): number {
    return this.last.size;
  }

  decode(text: string): Decoded<Heartbeat> {
    const sequence = SEQUENCE_FIELD.exec(text);
    if (!sequence) return decodeHeartbeat(text);
    const now = this.now();
    this.sweep(now);
    const start = text.slice(0, sequence.index);
    const rest = text.slice(sequence.index + sequence[0].length);
    const known = this.last.get(start);
    if (known?.rest === rest) {
      known.usedAt = now;
      return { ok: true, value: { ...known.heartbeat, sequence: Number(sequence[1]) } };
    }
    const decoded = decodeHeartbeat(text);
    if (decoded.ok && namesSequenceOnce(start, rest)) {
      this.last.set(start, { rest, heartbeat: decoded.value, usedAt: now });
    }
    return decoded;
  }

  private sweep(now: number): void {
    if (now - this.sweptAt < this.keptMs) return;
    this.sweptAt = now;
    for (const [start, entry] of this.last) if (now - entry.usedAt > this.keptMs) this.last.delete(start);
  }
}

/** An order to a worker about one attempt of a task. `graceS`: seconds to save its progress before it is killed. */
export type Command =
  | { op: 'start'; jobId: string; task: number; attempt: number }
  | { op: 'stop'; jobId: string; task: number; attempt: number; graceS: number }
  | { op: 'forget'; jobId: string; task: number; attempt: number };

function encodeCommand(c: Command): object {
  const loaf = `${c.jobId}/${c.task}`;
  switch (c.op) {
    case 'start':
      return { verb: 'launch', loaf, try: c.attempt };
    case 'stop':
      return { verb: 'stop', loaf, try: c.attempt, windDownS: c.graceS };
    case 'forget':
      return { verb: 'clear', loaf, try: c.attempt };
  }
}

/** Encodes the answer to a report: the orders, under the token of the leader that gives them. */
export function encodeHeartbeatResponse(token: number, commands: readonly Command[]): string {
  return JSON.stringify({ baton: token, orders: commands.map(encodeCommand) });
}

/** Encodes direct orders. The worker refuses them in another session, or after a higher token. */
export function encodeCommands(token: number, session: number, commands: readonly Command[]): string {
  return JSON.stringify({ baton: token, shift: session, orders: commands.map(encodeCommand) });
}

/** Encodes the body that sends a worker to the controller `node`; null: none is known. */
export function encodeRedirect(node: string | null): string {
  return JSON.stringify(node === null ? {} : { foreman: node });
}
