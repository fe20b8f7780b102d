import { Controller } from '../controller/controller.ts';
import type { Logger } from '../base/log.ts';
import type { Platform, Timers } from '../controller/platform.ts';
import type { Options } from '../config/options.ts';
import type { Settings } from '../config/settings.ts';
import type { HttpResult, HttpSender } from '../http/client.ts';
import type { PeerReply, PeerRequest } from '../peers/frames.ts';
import type { Exchange, Host, SimNetwork } from './network.ts';
import type { EventQueue } from './queue.ts';
import type { Random } from './random.ts';

/** What all controllers of a day share. */
export interface NodeWorld {
  queue: EventQueue;
  random: Random;
  network: SimNetwork;
  /** The host at an address, if there is one. */
  hostAt(address: string): Host | undefined;
  nodes: readonly ControllerNode[];
  options: Options;
  log: Logger;
  /** Lets tests change what a controller sends to the state service or how it decides. */
  tamper?: Tamper;
}

/** Takes guards of a controller away, to show that the checker notices. */
export interface Tamper {
  /** Sends a request to the state service, or answers it in its place. */
  state?: (
    request: { method: string; path: string; body: string | null },
    send: (body: string | null) => Promise<HttpResult>,
  ) => Promise<HttpResult>;
  controller?(controller: Controller): void;
}

/** The time of day at the beginning of a simulated day, in milliseconds. */
const DAY_BEGINS = 1_800_000_000_000;

/** A host with the real controller on simulated time and network. Ending and starting it makes a new controller. */
export class ControllerNode implements Host {
  readonly kind = 'controller';
  readonly name: string;
  readonly zone: string;
  private controller: Controller | null = null;
  private life = 0;
  private stalledUntil = 0;
  private waiting: (() => void)[] = [];

  constructor(
    private readonly world: NodeWorld,
    private readonly settings: Settings,
    /** Its steady clock against true time. */
    private readonly rate: number,
    /** How far its time of day is off, in milliseconds. */
    private readonly wallOffMs: number,
  ) {
    this.name = settings.host_name;
    this.zone = settings.location;
  }

  up(): boolean {
    return this.controller !== null;
  }

  heldUntil(): number {
    return 0;
  }

  start(): void {
    if (this.controller) return;
    this.life += 1;
    this.controller = new Controller(this.settings, this.world.options, this.world.log, this.platform());
    this.world.tamper?.controller?.(this.controller);
    this.controller.start();
  }

  /** Ends the process at once, whatever it was doing. */
  crash(): void {
    this.life += 1;
    this.controller = null;
    this.waiting = [];
    this.stalledUntil = 0;
  }

  /** The process does nothing for a while; its clock runs on, and what arrives waits. */
  stall(ms: number): void {
    if (!this.controller) return;
    this.stalledUntil = Math.max(this.stalledUntil, this.world.queue.at + ms);
    const { life } = this;
    this.world.queue.after(ms, () => {
      if (life === this.life) this.resume();
    });
  }

  private resume(): void {
    if (this.world.queue.at < this.stalledUntil) return;
    const { waiting } = this;
    this.waiting = [];
    for (const run of waiting) this.world.queue.after(0, run);
  }

  /** Runs a step of this process if it is still the same one, after a stall if there is one. */
  private turn(life: number, run: () => void): void {
    if (life !== this.life) return;
    if (this.world.queue.at >= this.stalledUntil) run();
    else
      this.waiting.push(() => {
        this.turn(life, run);
      });
  }

  serve({ request, reply }: Exchange): void {
    this.turn(this.life, () => {
      if (request.method === 'MESH') this.servePeer(request.body, reply);
      else {
        const [path = ''] = request.path.split('?');
        this.controller?.handle({ ...request, path }, reply);
      }
    });
  }

  private servePeer(body: string, reply: Exchange['reply']): void {
    this.controller?.onPeerRequest(JSON.parse(body) as PeerRequest, (answer) => {
      reply({ status: 200, body: JSON.stringify(answer) });
    });
  }

  /** A promise that this process sees settled in one of its own turns, or never if it ends before. */
  private seen<T>(promise: Promise<T>): Promise<T> {
    const { life } = this;
    return new Promise((resolve) => {
      void promise.then((value) => {
        this.turn(life, () => {
          resolve(value);
        });
      });
    });
  }

  private now(): number {
    return this.world.queue.at * this.rate;
  }

  private platform(): Platform {
    const { random } = this.world;
    return {
      clock: { now: () => this.now(), wall: () => DAY_BEGINS + this.world.queue.at + this.wallOffMs },
      timers: this.timers(),
      random: () => random.next(),
      nonce: `${this.name}.${this.life}`,
      network: {
        connect: (address) => this.sender(address),
        shared: () => ({ connect: (address) => this.sender(address), close: () => undefined }),
      },
      peers: {
        names: this.world.nodes.filter((n) => n !== this).map((n) => n.name),
        call: (peer, request, timeoutMs) => this.askPeer(peer, request, timeoutMs),
      },
    };
  }

  private timers(): Timers {
    const { queue } = this.world;
    const { life, rate } = this;
    const after = (ms: number, run: () => void): void => {
      queue.after(ms / rate, () => {
        this.turn(life, run);
      });
    };
    return {
      pause: (ms) =>
        new Promise((resolve) => {
          after(ms, resolve);
        }),
      every: (ms, run) => {
        let ended = false;
        const step = (): void => {
          if (ended) return;
          run();
          after(ms, step);
        };
        after(ms, step);
        return () => {
          ended = true;
        };
      },
      defer: (run) => {
        after(0, run);
      },
    };
  }

  private sender(address: string): HttpSender {
    const { world } = this;
    const send = (
      method: string,
      path: string,
      body: string | null,
      timeoutMs: number,
    ): Promise<HttpResult> => {
      const host = world.hostAt(address);
      if (!host) return Promise.resolve({ kind: 'silent', sent: true, reason: 'nobody there' });
      const exchange = (text: string | null): Promise<HttpResult> =>
        world.network.exchange(this, host, { method, path, body: text ?? '' }, timeoutMs);
      const tamper = host.kind === 'state' ? world.tamper?.state : undefined;
      return this.seen(tamper ? tamper({ method, path, body }, exchange) : exchange(body));
    };
    return { send, close: () => undefined };
  }

  private async askPeer(peer: string, request: PeerRequest, timeoutMs: number): Promise<PeerReply | null> {
    const host = this.world.nodes.find((n) => n.name === peer);
    if (!host) return null;
    const message = { method: 'MESH', path: '/', body: JSON.stringify(request) };
    const result = await this.seen(this.world.network.exchange(this, host, message, timeoutMs));
    return result.kind === 'answer' ? (JSON.parse(result.body) as PeerReply) : null;
  }
}
