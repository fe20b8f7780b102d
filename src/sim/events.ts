import type { Fault } from './faults.ts';
import type { ExitCause, JobBody, JobStage } from './protocol.ts';

/** One task on one machine. */
export interface Placement {
  machine: string;
  job: string;
  task: number;
  attempt: number;
}

/** Correct answer to a submission: accepted, or finally refused with this status. */
export type Expected = 'accepted' | 400 | 422;

/** Kind of a user's request. */
export type RequestKind = 'submit' | 'poll' | 'cancel';

/** An event that users or workers observe, an injected fault or a change of leadership. Times are in milliseconds. */
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
  | { kind: 'answered'; request: number; status: number; stage: JobStage | null }
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
  /** The cloud will reclaim a machine: no new task needs to be placed on it. */
  | { kind: 'machine_notice'; machine: string }
  /** A worker executes a start command that a controller sent at `sentAt`; the task's image is being fetched. */
  | ({ kind: 'task_launched'; sentAt: number } & Placement)
  /** The task's image has been fetched: from now on the task counts as on its machine. */
  | ({ kind: 'task_on' } & Placement)
  /** The task has exited, or was killed with its machine or at the end of its worker's lease (`cause` is null). */
  | ({ kind: 'task_off'; cause: ExitCause | null } & Placement)
  | { kind: 'fault'; fault: Fault }
  /** A controller attached a key to a lease, as a new leader does. */
  | { kind: 'leader'; node: string };

/** An event and its time, in milliseconds since the beginning of the day. */
export type SimEvent = EventBody & { at: number };

/** All events of a day in the order in which they happened. */
export class EventLog {
  readonly events: SimEvent[] = [];

  constructor(private readonly now: () => number) {}

  record(event: EventBody): void {
    this.events.push({ ...event, at: this.now() });
  }
}

/** Formats an event as one line; job descriptions are left out. */
export function formatEvent(event: SimEvent): string {
  const { at, kind, ...rest } = event;
  const fields = Object.entries(rest).map(([name, value]) =>
    name === 'body' ? '' : `${name}=${typeof value === 'object' ? JSON.stringify(value) : String(value)}`,
  );
  return `${(at / 1000).toFixed(3)} ${kind} ${fields.filter((f) => f !== '').join(' ')}`;
}
