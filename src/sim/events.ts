import type { Fault } from './faults.ts';
import type { Cause, JobBody, Stage } from './protocol.ts';

/** One task on one machine. */
export interface Placement {
  machine: string;
  job: string;
  task: number;
  attempt: number;
}

/** What a correct service answers to a submission: takes it, or refuses it for good with this status. */
export type Expected = 'accepted' | 400 | 422;

/** What a user asks for. */
export type RequestKind = 'submit' | 'poll' | 'cancel';

/** What users and workers see of a day, and the troubles that were brought about. Times are in milliseconds. */
export type EventBody =
  /** A user sends a request; `body` and `expected` come with submissions. */
  | {
      kind: 'asked';
      request: number;
      about: RequestKind;
      job: string;
      node: string;
      body?: JobBody;
      expected?: Expected;
    }
  | { kind: 'answered'; request: number; status: number; stage: Stage | null }
  | { kind: 'unanswered'; request: number }
  | {
      kind: 'machine_up';
      machine: string;
      type: string;
      zone: string;
      spot: boolean;
      cores: number;
      accelerators: number;
      memGb: number;
    }
  | { kind: 'machine_gone'; machine: string }
  /** A machine will be taken away: no new task need be placed on it. */
  | { kind: 'machine_notice'; machine: string }
  /** A worker executes a start command that its controller sent at `sentAt`; the task waits for its image. */
  | ({ kind: 'task_launched'; sentAt: number } & Placement)
  /** The task has its image: from here on it is on its machine. */
  | ({ kind: 'task_on' } & Placement)
  /** The task has exited or was killed; `cause` is null for kills. */
  | ({ kind: 'task_off'; cause: Cause | null } & Placement)
  | { kind: 'fault'; fault: Fault }
  /** A controller took the lease that leaders hold. */
  | { kind: 'leader'; node: string };

/** An event and when it happened, in milliseconds since the day's beginning. */
export type SimEvent = EventBody & { at: number };

/** All events of a day in the order in which they happened. */
export class EventLog {
  readonly events: SimEvent[] = [];

  constructor(private readonly now: () => number) {}

  record(event: EventBody): void {
    this.events.push({ ...event, at: this.now() });
  }
}

/** One line of a log of events, for people. */
export function formatEvent(event: SimEvent): string {
  const { at, kind, ...rest } = event;
  const fields = Object.entries(rest).map(([name, value]) =>
    name === 'body' ? '' : `${name}=${typeof value === 'object' ? JSON.stringify(value) : String(value)}`,
  );
  return `${(at / 1000).toFixed(3)} ${kind} ${fields.filter((f) => f !== '').join(' ')}`;
}
