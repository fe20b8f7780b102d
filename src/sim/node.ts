import { Controller } from '../controller/controller.ts';
import type { Logger } from '../base/log.ts';
import type { Platform, Timers } from '../controller/platform.ts';
import type { Options } from '../config/options.ts';
import type { Settings } from '../config/settings.ts';
import type { HttpResult, HttpSender } from '../http/client.ts';
import type { PeerReply, PeerRequest } from '../peers/messages.ts';
import type { Exchange, Host, SimNetwork } from './network.ts';
import type { EventQueue } from './queue.ts';
import type { Random } from './random.ts';

/** Dependencies that all controllers of a simulated day share. */
export interface NodeContext {
  queue: EventQueue;
  random: Random;
  network: SimNetwork;
  /** Returns the host at an address, or undefined if there is none. */
  findHost(address: string): Host | undefined;
  nodes: readonly ControllerNode[];
  options: Options;
  log: Logger;
  /** Lets tests change what a controller sends to the state service or how it decides. */
  overrides?: ControllerOverrides;
}

/** Overrides safeguards of the controllers; tests use them to show that the checker detects the violations. */
export interface ControllerOverrides {
  /** Called instead of sending a request to the state service: forwards it with `send`, or answers it itself. */
  interceptState?: (
    request: { method: string; path: string; body: string | null },
    send: (body: string | null) => Promise<HttpResult>,
  ) => Promise<HttpResult>;
  /** Called with each new controller before it starts. */
  patchController?(controller: Controller): void;
}

/** Wall-clock time at the start of a simulated day, in milliseconds since 1970. */
const DAY_START_MS = 1_800_000_000_000;

/** A host that runs the real controller on simulated time and network. Each start creates a new controller. */
export class ControllerNode implements Host {
  readonly kind = 'controller';
  readonly name: string;
  readonly zone: string;
  private controller: Controller | null = null;
  private incarnation = 0;
  private stalledUntil = 0;
  private deferredSteps: (() => void)[] = [];

  constructor(
    private readonly context: NodeContext,
    private readonly settings: Settings,
    /** Rate of the node's monotonic clock relative to simulated time. */
    private readonly clockRate: number,
    /** Error of the node's wall clock, in milliseconds. */
    private readonly clockOffsetMs: number,
  ) {
    this.name = settings.host_name;
    this.zone = settings.location;
  }

  isUp(): boolean {
    return this.controller !== null;
  }

  heldUntil(): number {
    return 0;
  }

  start(): void {
    if (this.controller) return;
    this.incarnation += 1;
    this.controller = new Controller(
      this.settings,
      this.context.options,
      this.context.log,
      this.createPlatform(),
    );
    this.context.overrides?.patchController?.(this.controller);
    this.controller.start();
  }

  /** Ends the process at once; its pending steps are dropped. */
  crash(): void {
    this.incarnation += 1;
    this.controller = null;
    this.deferredSteps = [];
    this.stalledUntil = 0;
  }

  /** Stalls the process: its clock runs on; timers, answers and requests are deferred until the stall is over. */
  stall(ms: number): void {
    if (!this.controller) return;
    this.stalledUntil = Math.max(this.stalledUntil, this.context.queue.nowMs + ms);
    const { incarnation } = this;
    this.context.queue.after(ms, () => {
      if (incarnation === this.incarnation) this.resumeDeferredSteps();
    });
  }

  private resumeDeferredSteps(): void {
    if (this.context.queue.nowMs < this.stalledUntil) return;
    const { deferredSteps: steps } = this;
    this.deferredSteps = [];
    for (const step of steps) this.context.queue.after(0, step);
  }

  /** Runs a step of an incarnation of the process, after a stall if there is one. Does nothing if it has ended. */
  private runStep(incarnation: number, step: () => void): void {
    if (incarnation !== this.incarnation) return;
    if (this.context.queue.nowMs >= this.stalledUntil) step();
    else
      this.deferredSteps.push(() => {
        this.runStep(incarnation, step);
      });
  }

  serve({ request, reply }: Exchange): void {
    this.runStep(this.incarnation, () => {
      if (request.method === 'MESH') this.servePeerRequest(request.body, reply);
      else {
        const [path = ''] = request.path.split('?');
        this.controller?.handle({ ...request, path }, reply);
      }
    });
  }

  private servePeerRequest(body: string, reply: Exchange['reply']): void {
    this.controller?.onPeerRequest(JSON.parse(body) as PeerRequest, (answer) => {
      reply({ status: 200, body: JSON.stringify(answer) });
    });
  }

  /** Returns a promise that resolves in a step of this process, or never if the process ends before. */
  private settleInStep<T>(promise: Promise<T>): Promise<T> {
    const { incarnation } = this;
    return new Promise((resolve) => {
      void promise.then((value) => {
        this.runStep(incarnation, () => {
          resolve(value);
        });
      });
    });
  }

  private now(): number {
    return this.context.queue.nowMs * this.clockRate;
  }

  private createPlatform(): Platform {
    const { random } = this.context;
    return {
      clock: {
        now: () => this.now(),
        wall: () => DAY_START_MS + this.context.queue.nowMs + this.clockOffsetMs,
      },
      timers: this.createTimers(),
      random: () => random.next(),
      nonce: `${this.name}.${this.incarnation}`,
      network: {
        connect: (address) => this.createSender(address),
        shared: () => ({ connect: (address) => this.createSender(address), close: () => undefined }),
      },
      peers: {
        names: this.context.nodes.filter((n) => n !== this).map((n) => n.name),
        call: (peer, request, timeoutMs) => this.callPeer(peer, request, timeoutMs),
      },
    };
  }

  private createTimers(): Timers {
    const { queue } = this.context;
    const { incarnation, clockRate } = this;
    const after = (ms: number, step: () => void): void => {
      queue.after(ms / clockRate, () => {
        this.runStep(incarnation, step);
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

  private createSender(address: string): HttpSender {
    const { context } = this;
    const send = (
      method: string,
      path: string,
      body: string | null,
      timeoutMs: number,
    ): Promise<HttpResult> => {
      const host = context.findHost(address);
      if (!host) return Promise.resolve({ kind: 'silent', sent: true, reason: 'no host at this address' });
      const exchange = (sentBody: string | null): Promise<HttpResult> =>
        context.network.exchange(this, host, { method, path, body: sentBody ?? '' }, timeoutMs);
      const intercept = host.kind === 'state' ? context.overrides?.interceptState : undefined;
      return this.settleInStep(intercept ? intercept({ method, path, body }, exchange) : exchange(body));
    };
    return { send, close: () => undefined };
  }

  private async callPeer(peer: string, request: PeerRequest, timeoutMs: number): Promise<PeerReply | null> {
    const host = this.context.nodes.find((n) => n.name === peer);
    if (!host) return null;
    const message = { method: 'MESH', path: '/', body: JSON.stringify(request) };
    const result = await this.settleInStep(this.context.network.exchange(this, host, message, timeoutMs));
    return result.kind === 'answer' ? (JSON.parse(result.body) as PeerReply) : null;
  }
}
