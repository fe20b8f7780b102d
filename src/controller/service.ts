import { randomUUID } from 'node:crypto';
import type { Options } from '../config/options.ts';
import type { Settings } from '../config/settings.ts';
import { HttpClient, passingAgent } from '../http/client.ts';
import { socketShares } from '../http/connections.ts';
import { HttpServer } from '../http/server.ts';
import { PeerRpc } from '../peers/peer-rpc.ts';
import { systemClock } from '../base/clock.ts';
import { Controller } from './controller.ts';
import { commandConnections } from './parts.ts';
import type { Logger } from '../base/log.ts';
import type { Network, Timers } from './platform.ts';
import { peerOf, HEARTBEAT_PATH } from './routes.ts';
import { WarmUp } from './warm-up.ts';

/** Practice while following: short pieces with long pauses, so that users and health checks don't notice. */
const WARM_UP_TURNS = 60;
const WARM_UP_REST = 4;
const WARM_UP_PAUSE_MS = 100;
/** Reports that a worker leaves out before its connection is taken for dead. */
const WORKER_IDLE = 4;
const USER_IDLE_MS = 90_000;
/** A connection without any request. */
const UNKNOWN_IDLE_MS = 10_000;

const processTimers: Timers = {
  pause: (ms) => new Promise((resolve) => setTimeout(resolve, ms)),
  every: (ms, run) => {
    const timer = setInterval(run, ms);
    return () => {
      clearInterval(timer);
    };
  },
  defer: (run) => {
    setImmediate(run);
  },
};

const socketNetwork: Network = {
  connect: (address, sockets) => new HttpClient(address, sockets),
  shared: (sockets) => {
    const agent = passingAgent(sockets);
    return {
      connect: (address) => new HttpClient(address, agent),
      close: () => {
        agent.destroy();
      },
    };
  },
};

/** A controller as a process: on real sockets, real time and real random numbers. */
export class Service {
  private readonly peers: PeerRpc;
  private readonly server: HttpServer;
  private readonly controller: Controller;
  private running = false;

  constructor(
    private readonly settings: Settings,
    options: Options,
    private readonly log: Logger,
  ) {
    const { limits, workers } = settings.settings;
    const peers = settings.seeds.map((s) => ({ name: s.host_name, address: s.peer_addr }));
    this.peers = new PeerRpc(
      peers,
      (request, reply) => {
        this.controller.onPeerRequest(request, reply);
      },
      log,
    );
    this.server = new HttpServer(
      (request, reply) => {
        this.controller.handle(request, reply);
      },
      {
        sockets: socketShares(limits.sockets, commandConnections(limits.sockets)),
        idleMs: {
          unknown: UNKNOWN_IDLE_MS,
          user: USER_IDLE_MS,
          worker: workers.report_s * 1000 * WORKER_IDLE,
        },
        peerOf,
        heartbeatPath: HEARTBEAT_PATH,
        now: () => systemClock.now(),
      },
    );
    this.controller = new Controller(settings, options, log, {
      clock: systemClock,
      timers: processTimers,
      random: () => Math.random(),
      nonce: randomUUID(),
      network: socketNetwork,
      peers: this.peers,
    });
  }

  async start(): Promise<void> {
    await this.peers.listen(this.settings.mesh_addr);
    await this.server.listen(this.settings.serve_on);
    this.log.info({ on: this.settings.serve_on }, 'serving');
    this.running = true;
    this.controller.start();
    void this.warmUp();
  }

  /** Where users and workers reach this node; tests let the system choose the port. */
  address(): string {
    return this.server.address;
  }

  /** Ends all work of this node, for use inside another program; a controller just runs until killed. */
  stop(): void {
    this.running = false;
    this.controller.stop();
    this.server.close();
    this.peers.close();
  }

  private async warmUp(): Promise<void> {
    const warmUp = new WarmUp(WARM_UP_TURNS);
    while (!warmUp.over && this.running) {
      const from = systemClock.now();
      // Whoever leads learns by doing.
      if (this.controller.following()) warmUp.step();
      const tookMs = systemClock.now() - from;
      await processTimers.pause(WARM_UP_PAUSE_MS + tookMs * WARM_UP_REST);
    }
  }
}
