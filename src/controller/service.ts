/** A controller as a process of its own. */
import { randomUUID } from 'node:crypto';
import type { Options } from '../config/options.ts';
import type { Settings } from '../config/settings.ts';
import { HttpClient, passingAgent } from '../http/client.ts';
import { socketShares } from '../http/connections.ts';
import { HttpServer } from '../http/server.ts';
import { PeerRpc } from '../peers/peer-rpc.ts';
import { systemClock } from '../base/clock.ts';
import { Controller } from './controller.ts';
import { errorLogger } from './error-log.ts';
import { commandConnections } from './parts.ts';
import type { Logger } from '../base/log.ts';
import type { Network, Timers } from './platform.ts';
import { peerOf, HEARTBEAT_PATH } from './routes.ts';
import { WarmUp } from './warm-up.ts';

/** Practice while following: short steps with long pauses, so that users and health checks don't notice. */
const WARM_UP_STEPS = 60;
/** The pause after a step grows by its duration times this factor. */
const WARM_UP_PAUSE_FACTOR = 4;
const WARM_UP_PAUSE_MS = 100;
/** Heartbeats that a worker may miss before its connection is closed as dead. */
const WORKER_IDLE_HEARTBEATS = 4;
const USER_IDLE_MS = 90_000;
/** A connection that has sent no request yet. */
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
  private readonly stopping = new AbortController();

  constructor(
    private readonly settings: Settings,
    options: Options,
    private readonly log: Logger,
  ) {
    const { limits, workers } = settings.settings;
    const peers = settings.seeds.map((seed) => ({ name: seed.host_name, address: seed.peer_addr }));
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
          worker: workers.report_s * 1000 * WORKER_IDLE_HEARTBEATS,
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

  /** Listens for other controllers, users and workers, and begins to stand for leader. */
  async start(): Promise<void> {
    await this.peers.listen(this.settings.mesh_addr);
    await this.server.listen(this.settings.serve_on);
    this.log.info({ on: this.settings.serve_on }, 'serving');
    this.controller.start();
    this.warmUp().catch(errorLogger(this.log));
  }

  /** Where users and workers reach this controller; tests let the system choose the port. */
  address(): string {
    return this.server.address;
  }

  /** Ends all work and closes all sockets, for use inside another program; a controller just runs until killed. */
  stop(): void {
    this.stopping.abort();
    this.controller.stop();
    this.server.close();
    this.peers.close();
  }

  private async warmUp(): Promise<void> {
    const warmUp = new WarmUp(WARM_UP_STEPS);
    while (!warmUp.isDone && !this.stopping.signal.aborted) {
      const startedAt = systemClock.now();
      // A leader needs no practice.
      if (this.controller.following()) warmUp.practise();
      const tookMs = systemClock.now() - startedAt;
      await processTimers.pause(WARM_UP_PAUSE_MS + tookMs * WARM_UP_PAUSE_FACTOR);
    }
  }
}
