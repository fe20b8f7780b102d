/** A controller on real sockets, real time and real random numbers. */
import { randomUUID } from 'node:crypto';
import type { Options } from '../config/options.ts';
import type { Settings } from '../config/settings.ts';
import { HttpClient, createNonPersistentAgent } from '../http/client.ts';
import { computeSocketLimits } from '../http/connections.ts';
import { HttpServer } from '../http/server.ts';
import { PeerRpc } from '../peers/peer-rpc.ts';
import { systemClock } from '../base/clock.ts';
import { Controller } from './controller.ts';
import { createErrorLogger } from './error-log.ts';
import { maxCommandConnections } from './parts.ts';
import type { Logger } from '../base/log.ts';
import type { Network, Timers } from './platform.ts';
import { clientKindOf, HEARTBEAT_PATH } from './routes.ts';
import { WarmUp } from './warm-up.ts';

/** The warm-up of a follower: short steps with long pauses, so that it doesn't delay users and health checks. */
const WARM_UP_STEP_COUNT = 60;
/** The pause after a step is the minimum pause plus this factor times the step's duration. */
const WARM_UP_PAUSE_FACTOR = 4;
const MIN_WARM_UP_PAUSE_MS = 100;
/** Heartbeat intervals without a heartbeat after which the connection of a worker is closed as dead. */
const WORKER_IDLE_TIMEOUT_INTERVALS = 4;
const USER_IDLE_TIMEOUT_MS = 90_000;
/** Idle timeout of a connection that has sent no request yet. */
const UNKNOWN_IDLE_TIMEOUT_MS = 10_000;

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
    const agent = createNonPersistentAgent(sockets);
    return {
      connect: (address) => new HttpClient(address, agent),
      close: () => {
        agent.destroy();
      },
    };
  },
};

/** Runs a controller in this process, with its HTTP server and its connections to other controllers. */
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
        socketLimits: computeSocketLimits(limits.sockets, maxCommandConnections(limits.sockets)),
        idleTimeoutMs: {
          unknown: UNKNOWN_IDLE_TIMEOUT_MS,
          user: USER_IDLE_TIMEOUT_MS,
          worker: workers.report_s * 1000 * WORKER_IDLE_TIMEOUT_INTERVALS,
        },
        clientKindOf,
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

  /** Listens for other controllers, users and workers, and starts the controller. */
  async start(): Promise<void> {
    await this.peers.listen(this.settings.mesh_addr);
    await this.server.listen(this.settings.serve_on);
    this.log.info({ on: this.settings.serve_on }, 'serving');
    this.controller.start();
    this.warmUp().catch(createErrorLogger(this.log));
  }

  /** The address that the HTTP server listens on; tests let the operating system choose the port. */
  address(): string {
    return this.server.address;
  }

  /** Stops the controller and closes all sockets. Only for use inside another program: a service runs until killed. */
  stop(): void {
    this.stopping.abort();
    this.controller.stop();
    this.server.close();
    this.peers.close();
  }

  private async warmUp(): Promise<void> {
    const warmUp = new WarmUp(WARM_UP_STEP_COUNT);
    while (!warmUp.isDone && !this.stopping.signal.aborted) {
      const startedAt = systemClock.now();
      // A leader is warmed up by its real work.
      if (this.controller.isFollowing()) warmUp.runStep();
      const stepDurationMs = systemClock.now() - startedAt;
      await processTimers.pause(MIN_WARM_UP_PAUSE_MS + stepDurationMs * WARM_UP_PAUSE_FACTOR);
    }
  }
}
