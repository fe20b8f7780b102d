import type { HttpResult } from '../http/client.ts';
import type { HttpResponse, HttpRequest } from '../http/server.ts';
import type { EventQueue } from './queue.ts';
import type { Random } from './random.ts';

type HostKind = 'controller' | 'worker' | 'state' | 'cloud' | 'users';

/** Whoever sends and receives messages. */
export interface Host {
  readonly name: string;
  readonly kind: HostKind;
  /** null: regional, in no zone. */
  readonly zone: string | null;
  /** False: its process is not there, connections to it are refused. */
  up(): boolean;
  /** Messages that arrive before this time are taken only then. */
  heldUntil(): number;
  serve(exchange: Exchange): void;
}

/** A request as its receiver sees it; `sentAt` in milliseconds of the day. */
export interface Exchange {
  from: Host;
  request: HttpRequest;
  /** When the sender sent it. */
  sentAt: number;
  reply: (answer: HttpResponse) => void;
}

/** Which way a message goes. */
export type Phase = 'request' | 'answer';

/** Messages that don't get through for a while. */
export interface Cut {
  untilMs: number;
  /** `hold`: packets come late. `lose`: they are lost. `refuse`: connections can't be opened. */
  effect: 'hold' | 'lose' | 'refuse';
  severs(from: Host, to: Host, phase: Phase): boolean;
}

/** A share of messages of a kind, for a while. */
export interface Spell {
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

/** Is told of every message of a day. It must not change anything. */
export type TrafficObserver = (message: SentMessage) => void;

const LEAST_DELAY_MS = 1;
const MOST_DELAY_MS = 20;
/** Of the packets held behind an interruption so many arrive once it is over. */
const HELD_SHARE = 0.7;
const LATE_COMMAND_MS = { least: 2000, most: 16_000 };

/** Carries messages between hosts, with delays and interruptions. */
export class SimNetwork {
  private cuts: Cut[] = [];
  /** Direct commands that are held up and carried out without an answer. */
  lateCommands: Spell = { untilMs: 0, share: 0 };

  constructor(
    private readonly queue: EventQueue,
    private readonly random: Random,
    private readonly observe: TrafficObserver = () => undefined,
  ) {}

  cut(cut: Cut): void {
    this.cuts = this.cuts.filter((c) => c.untilMs > this.queue.at);
    this.cuts.push(cut);
  }

  /** One way of a message. `refused` is called instead if a connection can't be opened. */
  carry(from: Host, to: Host, phase: Phase, arrive: () => void, refused: () => void = () => undefined): void {
    const now = this.queue.at;
    const cuts = this.cuts.filter((c) => c.untilMs > now && c.severs(from, to, phase));
    const delay = this.random.between(LEAST_DELAY_MS, MOST_DELAY_MS);
    if (cuts.some((c) => c.effect === 'refuse') || (phase === 'request' && !to.up())) {
      this.queue.after(delay, refused);
      return;
    }
    if (cuts.some((c) => c.effect === 'lose')) return;
    const heldUntil = cuts.reduce((until, c) => Math.max(until, c.untilMs), to.heldUntil());
    if (heldUntil <= now) this.queue.after(delay, arrive);
    else if (this.random.chance(HELD_SHARE)) this.queue.after(heldUntil - now + delay, arrive);
  }

  /** A request and its answer, as a client of HTTP sees them. */
  exchange(from: Host, to: Host, request: HttpRequest, timeoutMs: number): Promise<HttpResult> {
    const { method, path } = request;
    const observe = (sender: Host, receiver: Host, status: number | null, body: string): void => {
      this.observe({ atMs: this.queue.at, from: sender, to: receiver, method, path, status, body });
    };
    return new Promise((resolve) => {
      let settled = false;
      const finish = (result: HttpResult): void => {
        if (settled) return;
        settled = true;
        resolve(result);
      };
      this.queue.after(timeoutMs, () => {
        finish({ kind: 'silent', sent: true, reason: 'no answer in time' });
      });
      const sentAt = this.queue.at;
      observe(from, to, null, request.body);
      const refused = (): void => {
        finish({ kind: 'silent', sent: false, reason: 'ECONNREFUSED' });
      };
      const answer = ({ status, body, retryAfterS }: HttpResponse): void => {
        observe(to, from, status, retryAfterS === undefined ? body : `${body} retry after ${retryAfterS} s`);
        this.carry(to, from, 'answer', () => {
          finish({ kind: 'answer', status, body, retryAfterS: retryAfterS ?? null });
        });
      };
      const deliver = (reply: (answer: HttpResponse) => void): void => {
        this.carry(
          from,
          to,
          'request',
          () => {
            if (to.up()) to.serve({ from, request, sentAt, reply });
          },
          refused,
        );
      };
      if (this.isLateCommand(to, request)) {
        const lateMs = this.random.between(LATE_COMMAND_MS.least, LATE_COMMAND_MS.most);
        this.queue.after(lateMs, () => {
          deliver(() => undefined);
        });
      } else {
        deliver(answer);
      }
    });
  }

  private isLateCommand(to: Host, request: HttpRequest): boolean {
    const { untilMs, share } = this.lateCommands;
    if (to.kind !== 'worker' || request.path !== '/orders' || this.queue.at >= untilMs) return false;
    return this.random.chance(share);
  }
}
