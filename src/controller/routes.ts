/** Routes HTTP requests to the parts that answer them. */
import type { Options } from '../config/options.ts';
import type { AdaptiveLimit } from '../http/limit.ts';
import { errorResponse, type HttpResponse, type HttpRequest, type Reply } from '../http/server.ts';
import type { UserRequests } from '../jobs/user-requests.ts';

/** The path that workers send heartbeats to. */
export const HEARTBEAT_PATH = '/checkin';
const HEALTH_PATH = '/healthz';
const SUBMIT_PATH = '/work';
const JOB_PATH = /^\/work\/([^/]+)$/;
const CANCEL_PATH = /^\/work\/([^/]+)\/cancel$/;

/** Limits of concurrent requests of each kind. */
export interface RequestLimits {
  /** Submissions and cancellations. */
  userLimit: AdaptiveLimit;
  /** Polls that wait for the leader or the store. */
  pollLimit: AdaptiveLimit;
  /** Heartbeats. */
  workerLimit: AdaptiveLimit;
}

/** The handlers of users' requests that the routes call. */
export type RoutedUserRequests = Pick<UserRequests, 'submit' | 'pollFromMemory' | 'poll' | 'cancel'>;

/** The dependencies of the routes. */
export interface RouteDeps extends RequestLimits {
  options: Options;
  userRequests: RoutedUserRequests;
  /** Adds a command to the controller's command queue. */
  enqueue: (command: () => void) => void;
  onHeartbeat: (body: string, reply: Reply) => void;
  health: () => HttpResponse;
}

/** The kind of client that sends requests to this path. */
export function clientKindOf(path: string): 'worker' | 'user' {
  return path === HEARTBEAT_PATH ? 'worker' : 'user';
}

/** Routes requests by method and path, and limits the concurrent requests of each kind. */
export class Routes {
  constructor(private readonly deps: RouteDeps) {}

  /** Answers a request; `reply` may be called asynchronously. */
  route(request: HttpRequest, reply: Reply): void {
    const { method, path } = request;
    switch (path) {
      case HEARTBEAT_PATH:
        if (method === 'POST') this.handleHeartbeat(request.body, reply);
        else reply(methodNotAllowed('POST'));
        return;
      case HEALTH_PATH:
        reply(method === 'GET' ? this.deps.health() : methodNotAllowed('GET'));
        return;
      case SUBMIT_PATH:
        if (method === 'POST') this.submit(request.body, reply);
        else reply(methodNotAllowed('POST'));
        return;
      default:
        this.routeToJob(request, reply);
    }
  }

  /** Routes requests whose path contains a job id. */
  private routeToJob({ method, path }: HttpRequest, reply: Reply): void {
    const polledId = JOB_PATH.exec(path)?.[1];
    if (polledId !== undefined) {
      if (method === 'GET') this.poll(polledId, reply);
      else reply(methodNotAllowed('GET'));
      return;
    }
    const cancelledId = CANCEL_PATH.exec(path)?.[1];
    if (cancelledId !== undefined) {
      if (method === 'POST') this.cancel(cancelledId, reply);
      else reply(methodNotAllowed('POST'));
      return;
    }
    reply(errorResponse(404, 'no such path'));
  }

  private handleHeartbeat(body: string, reply: Reply): void {
    this.enqueueLimited(this.deps.workerLimit, reply, (limitedReply) => {
      this.deps.onHeartbeat(body, limitedReply);
    });
  }

  private submit(body: string, reply: Reply): void {
    const { userLimit, userRequests } = this.deps;
    this.enqueueLimited(userLimit, reply, (limitedReply) => {
      userRequests.submit(body, limitedReply);
    });
  }

  private cancel(id: string, reply: Reply): void {
    const { userLimit, userRequests } = this.deps;
    this.enqueueLimited(userLimit, reply, (limitedReply) => {
      userRequests.cancel(id, limitedReply);
    });
  }

  /**
   * Polls have a separate limit, so that any number of them leaves other requests unaffected. A poll that can be
   * answered from memory is answered synchronously and doesn't count: it changes no state, so it needs no command in
   * the queue. Polls that have to wait count against the limit; over it a poll is refused immediately.
   */
  private poll(id: string, reply: Reply): void {
    const { userRequests, pollLimit } = this.deps;
    const known = userRequests.pollFromMemory(id);
    if (known) {
      reply(known);
      return;
    }
    const release = pollLimit.acquire();
    if (!release) {
      reply(this.tooManyRequests());
      return;
    }
    userRequests.poll(id, (answer) => {
      release();
      reply(answer);
    });
  }

  /** Runs a request as a command of the queue; it counts against the limit until it is answered. */
  private enqueueLimited(limit: AdaptiveLimit, reply: Reply, run: (reply: Reply) => void): void {
    const release = limit.acquire();
    if (!release) {
      reply(this.tooManyRequests());
      return;
    }
    this.deps.enqueue(() => {
      run((answer) => {
        release();
        reply(answer);
      });
    });
  }

  private tooManyRequests(): HttpResponse {
    return errorResponse(503, 'too many requests in progress', this.deps.options.users.retry_after_s);
  }
}

function methodNotAllowed(method: 'GET' | 'POST'): HttpResponse {
  return errorResponse(405, `use ${method}`);
}
