/**
 * Codec of the messages between workers and controllers, and the only module that translates their wire names. On the
 * wire a machine is a `hearth`, its type an `oven`, a zone a `yard`, a spot machine `borrowed`, an incarnation a
 * `shift`, a heartbeat's sequence number a `tick`, a fencing token a `baton`, a task a `loaf`, a command an order, and
 * the leader a `foreman`.
 */
import * as z from 'zod/mini';
import { amount, count, decodeText, orNull, type Decoded } from './amounts.ts';

/** Why a task's attempt has ended. */
export type ExitReason =
  | 'done'
  | 'stopped'
  | 'gangPeerLost'
  | 'gangIncomplete'
  | 'error'
  | 'insufficientResources'
  | 'busy'
  | 'jobUnknown';
/** Exit reasons by their wire names. */
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

const TASK_PHASES = ['fetching', 'waiting', 'running', 'saving', 'ended'] as const;
/** The phase of a task's attempt on its machine. */
export type TaskPhase = (typeof TASK_PHASES)[number];

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
      stage: z.enum(TASK_PHASES),
      cause: orNull(z.string()),
      saved: orNull(z.boolean()),
    }),
  ),
});

/** One attempt of a task on the machine of the worker that sends the heartbeat. */
export interface TaskStatus {
  jobId: string;
  /** Number of the task within its job, from 0. */
  task: number;
  attempt: number;
  phase: TaskPhase;
  /** Set once the attempt has ended. A reason that this version doesn't know counts as an error. */
  exitReason: ExitReason | null;
  /** The progress of the task was saved when the attempt was stopped. */
  checkpointed: boolean;
}

/**
 * A worker's heartbeat with the status of all its tasks. Incarnation and sequence order the heartbeats of a machine.
 */
export interface Heartbeat {
  machine: string;
  /** Host and port of the worker. */
  address: string;
  machineType: string;
  zone: string;
  spot: boolean;
  incarnation: number;
  /** Grows with each heartbeat of an incarnation. */
  sequence: number;
  /** The highest fencing token that the worker has seen. */
  fencingToken: number;
  /** Seconds until the cloud reclaims a spot machine; null: no notice. */
  interruptionNoticeS: number | null;
  tasks: TaskStatus[];
}

const TASK_ID = /^(.+)\/(\d{1,6})$/;

/** Decodes a heartbeat; a failure names the first invalid field. */
export function decodeHeartbeat(text: string): Decoded<Heartbeat> {
  const decoded = decodeText(wireHeartbeat, text);
  if (!decoded.ok) return decoded;
  const wire = decoded.value;
  const tasks: TaskStatus[] = [];
  for (const status of wire.loaves) {
    const match = TASK_ID.exec(status.loaf);
    const jobId = match?.[1];
    if (!match || jobId === undefined) return { ok: false, reason: 'field loaves: malformed task id' };
    const ended = status.stage === 'ended';
    tasks.push({
      jobId,
      task: Number(match[2]),
      attempt: status.try,
      phase: status.stage,
      exitReason: ended ? (EXIT_REASONS[status.cause ?? ''] ?? 'error') : null,
      checkpointed: status.saved ?? false,
    });
  }
  return {
    ok: true,
    value: {
      machine: wire.hearth,
      address: wire.address,
      machineType: wire.oven,
      zone: wire.yard,
      spot: wire.borrowed,
      incarnation: wire.shift,
      sequence: wire.tick,
      fencingToken: wire.baton,
      interruptionNoticeS: wire.warningS ?? null,
      tasks,
    },
  };
}

/** The sequence number in a heartbeat's text. Matches only a number without a sign or exponent. */
const SEQUENCE_FIELD = /"tick":(0|[1-9]\d{0,14})(?=[,}])/;
const SEQUENCE_FIELD_NAME = '"tick"';

/** False if the number found may not be the heartbeat's own: its name occurs again, or may be written with escapes. */
function isSequenceUnambiguous(start: string, rest: string): boolean {
  return [start, rest].every((text) => !text.includes(SEQUENCE_FIELD_NAME) && !text.includes('\\'));
}

interface CachedHeartbeat {
  /** The text after the sequence number. */
  rest: string;
  heartbeat: Heartbeat;
  /** When the heartbeat was last decoded or repeated, in steady milliseconds. */
  usedAt: number;
}

/**
 * Decodes heartbeats, with a cache of the last one of each machine: most heartbeats differ from the previous one only
 * in their sequence number, and are then not decoded again. Any other heartbeat is decoded in full.
 */
export class HeartbeatDecoder {
  /** By the text before the sequence number, which names machine and incarnation. */
  private readonly cache = new Map<string, CachedHeartbeat>();
  private lastSweepAt = -Infinity;

  constructor(
    /** Steady milliseconds. */
    private readonly now: () => number,
    /** Time without a heartbeat after which the cached heartbeat of a machine is dropped, in milliseconds. */
    private readonly retentionMs: number,
  ) {}

  /** Heartbeats in the cache. */
  get size(): number {
    return this.cache.size;
  }

  /** Decodes a heartbeat as `decodeHeartbeat` does. */
  decode(text: string): Decoded<Heartbeat> {
    const sequence = SEQUENCE_FIELD.exec(text);
    if (!sequence) return decodeHeartbeat(text);
    const now = this.now();
    this.dropExpired(now);
    const start = text.slice(0, sequence.index);
    const rest = text.slice(sequence.index + sequence[0].length);
    const cached = this.cache.get(start);
    if (cached?.rest === rest) {
      cached.usedAt = now;
      return { ok: true, value: { ...cached.heartbeat, sequence: Number(sequence[1]) } };
    }
    const decoded = decodeHeartbeat(text);
    if (decoded.ok && isSequenceUnambiguous(start, rest)) {
      this.cache.set(start, { rest, heartbeat: decoded.value, usedAt: now });
    }
    return decoded;
  }

  private dropExpired(now: number): void {
    if (now - this.lastSweepAt < this.retentionMs) return;
    this.lastSweepAt = now;
    for (const [start, entry] of this.cache)
      if (now - entry.usedAt > this.retentionMs) this.cache.delete(start);
  }
}

/** A command to a worker about one attempt of a task. `graceS`: seconds to save a checkpoint before it is killed. */
export type Command =
  | { op: 'start'; jobId: string; task: number; attempt: number }
  | { op: 'stop'; jobId: string; task: number; attempt: number; graceS: number }
  | { op: 'forget'; jobId: string; task: number; attempt: number };

function encodeCommand(command: Command): object {
  const loaf = `${command.jobId}/${command.task}`;
  switch (command.op) {
    case 'start':
      return { verb: 'launch', loaf, try: command.attempt };
    case 'stop':
      return { verb: 'stop', loaf, try: command.attempt, windDownS: command.graceS };
    case 'forget':
      return { verb: 'clear', loaf, try: command.attempt };
  }
}

/** Encodes the response to a heartbeat: commands, with the fencing token of the leader that sends them. */
export function encodeHeartbeatResponse(fencingToken: number, commands: readonly Command[]): string {
  return JSON.stringify({ baton: fencingToken, orders: commands.map(encodeCommand) });
}

/**
 * Encodes direct commands. The worker refuses them if its incarnation differs or it has seen a higher fencing token.
 */
export function encodeCommands(
  fencingToken: number,
  incarnation: number,
  commands: readonly Command[],
): string {
  return JSON.stringify({ baton: fencingToken, shift: incarnation, orders: commands.map(encodeCommand) });
}

/** Encodes the redirect of a worker to the leader, the controller `node`; null: no leader is known. */
export function encodeRedirect(node: string | null): string {
  return JSON.stringify(node === null ? {} : { foreman: node });
}
