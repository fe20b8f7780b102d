import type { HttpResult } from '../http/client.ts';
import type { HttpResponse, HttpRequest } from '../http/server.ts';
import type { EventQueue } from './queue.ts';
import type { Random } from './random.ts';
import type { RequestRepeater } from './repeats.ts';

type HostKind = 'controller' | 'worker' | 'state' | 'cloud' | 'users';

/** A sender and receiver of messages: a controller, a worker, the state service, the cloud or the users. */
export interface Host {
  readonly name: string;
  readonly kind: HostKind;
  /** null: the host is regional and in no zone. */
  readonly zone: string | null;
  /** False: the process of the host does not run, and connections to it are refused. */
  isUp(): boolean;
  /** Messages that arrive before this time are held until then. */
  heldUntil(): number;
  serve(exchange: Exchange): void;
}

/** A request as its receiver sees it. */
export interface Exchange {
  from: Host;
  request: HttpRequest;
  /** When the request was sent, in milliseconds of simulated time. */
  sentAt: number;
  reply: (answer: HttpResponse) => void;
}

/** Whether a message is a request or the answer to one. */
export type Direction = 'request' | 'answer';

/** An interruption of the network that affects some messages until `untilMs`. */
export interface NetworkInterruption {
  untilMs: number;
  /** `hold`: messages are held until the end, and some are lost. `lose`: all are lost. `refuse`: connections fail. */
  effect: 'hold' | 'lose' | 'refuse';
  affects(from: Host, to: Host, phase: Direction): boolean;
}

/** A fault that affects a share (0 to 1) of the messages or jobs of one kind until `untilMs`. */
export interface FaultWindow {
  untilMs: number;
  share: number;
}

/** A message at the moment at which it is sent; `status` is null for requests. */
export interface SentMessage {
  atMs: number;
  from: Host;
  to: Host;
  method: string;
  path: string;
  status: number | null;
  body: string;
}

/** Called with every message of a simulated day. It must not change anything. */
export type TrafficObserver = (message: SentMessage) => void;

const MIN_DELAY_MS = 1;
const MAX_DELAY_MS = 20;
/** Share of the messages held by an interruption that arrive once it is over; the others are lost. */
const HELD_DELIVERY_RATIO = 0.7;
const LATE_COMMAND_DELAY_MS = { min: 2000, max: 16_000 };

/** Carries messages between hosts, with random delays and with interruptions. */
export class SimNetwork {
  private interruptions: NetworkInterruption[] = [];
  /** Direct commands to workers that arrive seconds late and whose answers are lost. */
  lateCommands: FaultWindow = { untilMs: 0, share: 0 };

  constructor(
    private readonly queue: EventQueue,
    private readonly random: Random,
    private readonly repeater: RequestRepeater,
    private readonly observe: TrafficObserver = () => undefined,
  ) {}

  interrupt(interruption: NetworkInterruption): void {
    this.interruptions = this.interruptions.filter((c) => c.untilMs > this.queue.nowMs);
    this.interruptions.push(interruption);
  }

  /** Carries a request or an answer to its receiver. `onRefused` is called instead if the connection is refused. */
  transmit(
    from: Host,
    to: Host,
    direction: Direction,
    onArrival: () => void,
    onRefused: () => void = () => undefined,
  ): void {
    const now = this.queue.nowMs;
    const interruptions = this.interruptions.filter((c) => c.untilMs > now && c.affects(from, to, direction));
    const delayMs = this.random.between(MIN_DELAY_MS, MAX_DELAY_MS);
    if (interruptions.some((c) => c.effect === 'refuse') || (direction === 'request' && !to.isUp())) {
      this.queue.after(delayMs, onRefused);
      return;
    }
    if (interruptions.some((c) => c.effect === 'lose')) return;
    const heldUntil = interruptions.reduce((until, c) => Math.max(until, c.untilMs), to.heldUntil());
    if (heldUntil <= now) this.queue.after(delayMs, onArrival);
    else if (this.random.chance(HELD_DELIVERY_RATIO)) this.queue.after(heldUntil - now + delayMs, onArrival);
  }

  /** Sends a request and resolves to its answer, as an HTTP client sees it. */
  exchange(from: Host, to: Host, request: HttpRequest, timeoutMs: number): Promise<HttpResult> {
    const { method, path } = request;
    const observe = (sender: Host, receiver: Host, status: number | null, body: string): void => {
      this.observe({ atMs: this.queue.nowMs, from: sender, to: receiver, method, path, status, body });
    };
    return new Promise((resolve) => {
      let settled = false;
      const settle = (result: HttpResult): void => {
        if (settled) return;
        settled = true;
        resolve(result);
      };
      this.queue.after(timeoutMs, () => {
        settle({ kind: 'silent', sent: true, reason: 'no answer in time' });
      });
      const sentAt = this.queue.nowMs;
      observe(from, to, null, request.body);
      const onRefused = (): void => {
        settle({ kind: 'silent', sent: false, reason: 'ECONNREFUSED' });
      };
      const answer = (response: HttpResponse): void => {
        const { status, body, retryAfterS } = response;
        this.repeater.onAnswered(to, { from, request, sentAt });
        observe(to, from, status, retryAfterS === undefined ? body : `${body} retry after ${retryAfterS} s`);
        this.transmit(to, from, 'answer', () => {
          settle({ kind: 'answer', status, body, retryAfterS: retryAfterS ?? null });
        });
      };
      const deliver = (reply: (answer: HttpResponse) => void): void => {
        this.transmit(
          from,
          to,
          'request',
          () => {
            if (to.isUp()) to.serve({ from, request, sentAt, reply });
          },
          onRefused,
        );
      };
      if (this.shouldDelayCommand(to, request)) {
        const delayMs = this.random.between(LATE_COMMAND_DELAY_MS.min, LATE_COMMAND_DELAY_MS.max);
        this.queue.after(delayMs, () => {
          deliver(() => undefined);
        });
      } else {
        deliver(answer);
      }
    });
  }

  /** Whether a message is a direct command that the fault `late_commands` delays; draws a random number. */
  private shouldDelayCommand(to: Host, request: HttpRequest): boolean {
    const { untilMs, share } = this.lateCommands;
    if (to.kind !== 'worker' || request.path !== '/orders' || this.queue.nowMs >= untilMs) return false;
    return this.random.chance(share);
  }
}
