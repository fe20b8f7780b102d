/** Copies of requests that were carried out and answered: the fault `repeated_requests`. */
import type { HttpRequest } from '../http/server.ts';
import type { Exchange, Host } from './network.ts';
import type { EventQueue } from './queue.ts';
import { Random } from './random.ts';

/** The requests that are copied, by sender and receiver. Requests that change nothing are never copied. */
export type RepeatedRequestKind =
  /** Direct commands of controllers to workers. */
  | 'commands'
  /** Heartbeats of workers to controllers. */
  | 'heartbeats'
  /** Transactions and requests for leases, of controllers to the state service. */
  | 'state'
  /** Rentals and returns of machines, of controllers to the cloud. */
  | 'cloud'
  /** Requests between controllers. */
  | 'peers'
  /** Submissions and cancellations of users. */
  | 'users';

/** A request without the means to answer it. */
type AnsweredRequest = Omit<Exchange, 'reply'>;

/** A period in which requests of one kind are copied. */
export interface RepeatWindow {
  readonly untilMs: number;
  readonly of: RepeatedRequestKind;
  /** Probability (0 to 1) that a request is copied once, and then that each copy is followed by another one. */
  readonly share: number;
  /** Delay of a copy after the answer to the request, or after the copy before it, in milliseconds. */
  readonly minDelayMs: number;
  readonly maxDelayMs: number;
}

/** Number of copies of one request at most. */
const MAX_COPIES = 3;
/** Keeps the random numbers of copies apart from those of the day, so that a day without copies stays as it is. */
const SEED_OFFSET = 0x5eed;

/** Schedules copies of requests. Nobody waits for the answers to copies. */
export class RequestRepeater {
  private readonly random: Random;
  private windows: RepeatWindow[] = [];
  private deliveredCopies = 0;

  constructor(
    private readonly queue: EventQueue,
    seed: number,
  ) {
    this.random = new Random(seed + SEED_OFFSET);
  }

  /** Number of copies that reached a running receiver. */
  get copyCount(): number {
    return this.deliveredCopies;
  }

  /** From now on requests are copied as the window says, beside those of earlier windows. */
  open(window: RepeatWindow): void {
    this.windows = this.windows.filter((other) => other.untilMs > this.queue.nowMs);
    this.windows.push(window);
  }

  /** The receiver has answered a request. */
  onAnswered(to: Host, exchange: AnsweredRequest): void {
    if (this.windows.length === 0) return;
    const kind = repeatedKind(exchange.from, to, exchange.request);
    for (const window of this.windows) {
      if (window.of === kind && this.queue.nowMs < window.untilMs)
        this.scheduleCopy(to, exchange, window, MAX_COPIES);
    }
  }

  private scheduleCopy(to: Host, exchange: AnsweredRequest, window: RepeatWindow, maxCopies: number): void {
    if (maxCopies === 0 || !this.random.chance(window.share)) return;
    const delayMs = this.random.between(window.minDelayMs, window.maxDelayMs);
    this.queue.after(delayMs, () => {
      this.deliver(to, exchange);
      this.scheduleCopy(to, exchange, window, maxCopies - 1);
    });
  }

  /** A hanging receiver gets the copy once it resumes; one that doesn't run never gets it. */
  private deliver(to: Host, exchange: AnsweredRequest): void {
    const heldMs = to.heldUntil() - this.queue.nowMs;
    if (heldMs > 0) {
      this.queue.after(heldMs, () => {
        this.deliver(to, exchange);
      });
      return;
    }
    if (!to.isUp()) return;
    this.deliveredCopies += 1;
    to.serve({ ...exchange, reply: () => undefined });
  }
}

/** The kind of a request that may be copied; null: it changes nothing. */
function repeatedKind(from: Host, to: Host, { method, path }: HttpRequest): RepeatedRequestKind | null {
  if (method === 'GET') return null;
  switch (to.kind) {
    case 'worker':
      return 'commands';
    case 'state':
      return 'state';
    case 'cloud':
      return 'cloud';
    case 'controller':
      if (from.kind === 'controller') return 'peers';
      return path === '/checkin' ? 'heartbeats' : 'users';
    case 'users':
      return null;
  }
}
