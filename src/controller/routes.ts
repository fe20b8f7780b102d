/** Leads HTTP requests to what answers them. */
import type { Options } from '../config/options.ts';
import type { AdaptiveLimit } from '../http/limit.ts';
import { failure, type Answer, type HttpRequest, type Reply } from '../http/server.ts';
import type { UserRequests } from '../jobs/user-requests.ts';

/** Where workers send heartbeats. */
export const HEARTBEAT_PATH = '/checkin';
const HEALTH_PATH = '/healthz';
const SUBMIT_PATH = '/work';
const JOB_PATH = /^\/work\/([^/]+)$/;
const CANCEL_PATH = /^\/work\/([^/]+)\/cancel$/;

/** How many requests of each kind may be in progress at once. */
export interface RequestLimits {
  /** Submissions and cancellations. */
  userLimit: AdaptiveLimit;
  /** Polls that wait for the leader or the state service. */
  pollLimit: AdaptiveLimit;
  /** Heartbeats. */
  workerLimit: AdaptiveLimit;
}

/** The users' requests that the routes lead to. */
export type RoutedUserRequests = Pick<UserRequests, 'submit' | 'pollFromMemory' | 'poll' | 'cancel'>;

/** What the routes lead to. */
export interface RouteDeps extends RequestLimits {
  options: Options;
  userRequests: RoutedUserRequests;
  /** Puts a command in the controller's queue. */
  enqueue: (command: () => void) => void;
  onHeartbeat: (body: string, reply: Reply) => void;
  health: () => Answer;
}

/** Who sends requests to this path. */
export function peerOf(path: string): 'worker' | 'user' {
  return path === HEARTBEAT_PATH ? 'worker' : 'user';
}

/** Decides which request goes where, and how many of each kind may be in progress. */
export class Routes {
  constructor(private readonly deps: RouteDeps) {}

  /** Answers a request, possibly later. */
  route(request: HttpRequest, reply: Reply): void {
    const { method, path } = request;
    switch (path) {
      case HEARTBEAT_PATH:
        if (method === 'POST') this.heartbeat(request.body, reply);
        else reply(useMethod('POST'));
        return;
      case HEALTH_PATH:
        reply(method === 'GET' ? this.deps.health() : useMethod('GET'));
        return;
      case SUBMIT_PATH:
        if (method === 'POST') this.submit(request.body, reply);
        else reply(useMethod('POST'));
        return;
      default:
        this.routeToJob(request, reply);
    }
  }

  /** Paths that name a job. */
  private routeToJob({ method, path }: HttpRequest, reply: Reply): void {
    const polledId = JOB_PATH.exec(path)?.[1];
    if (polledId !== undefined) {
      if (method === 'GET') this.poll(polledId, reply);
      else reply(useMethod('GET'));
      return;
    }
    const cancelledId = CANCEL_PATH.exec(path)?.[1];
    if (cancelledId !== undefined) {
      if (method === 'POST') this.cancel(cancelledId, reply);
      else reply(useMethod('POST'));
      return;
    }
    reply(failure(404, 'no such path'));
  }

  private heartbeat(body: string, reply: Reply): void {
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
   * Polls have a limit of their own, however many there are. What is known here is answered at once: it changes
   * nothing, so it needs no turn of the command queue. Over the limit of those that wait a poll is refused at once.
   */
  private poll(id: string, reply: Reply): void {
    const { userRequests, pollLimit } = this.deps;
    const known = userRequests.pollFromMemory(id);
    if (known) {
      reply(known);
      return;
    }
    const leave = pollLimit.enter();
    if (!leave) {
      reply(this.tooManyRequests());
      return;
    }
    userRequests.poll(id, (answer) => {
      leave();
      reply(answer);
    });
  }

  /** Runs a request in the command queue; it counts against the limit until it is answered. */
  private enqueueLimited(limit: AdaptiveLimit, reply: Reply, run: (reply: Reply) => void): void {
    const leave = limit.enter();
    if (!leave) {
      reply(this.tooManyRequests());
      return;
    }
    this.deps.enqueue(() => {
      run((answer) => {
        leave();
        reply(answer);
      });
    });
  }

  private tooManyRequests(): Answer {
    return failure(503, 'too many requests in progress', this.deps.options.users.retry_after_s);
  }
}

function useMethod(method: 'GET' | 'POST'): Answer {
  return failure(405, `use ${method}`);
}
