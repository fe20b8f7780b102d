import type { Options } from '../config/options.ts';
import type { AdaptiveLimit } from '../http/limit.ts';
import { failure, type Answer, type HttpRequest, type Reply } from '../http/server.ts';
import type { UserRequests } from '../jobs/user-requests.ts';

/** Where workers report. */
export const HEARTBEAT_PATH = '/checkin';
const JOB_PATH = /^\/work\/([^/]+)$/;
const CANCEL_PATH = /^\/work\/([^/]+)\/cancel$/;

export interface RouteDeps {
  options: Options;
  userRequests: UserRequests;
  /** Submissions and cancellations in progress. */
  userLimit: AdaptiveLimit;
  /** Polls that wait for the leader or the state service. */
  pollLimit: AdaptiveLimit;
  workerLimit: AdaptiveLimit;
  /** Puts a command in the owner's queue. */
  enqueue(command: () => void): void;
  onHeartbeat(body: string, reply: Reply): void;
  health(): Answer;
}

export const peerOf = (path: string): 'worker' | 'user' => (path === HEARTBEAT_PATH ? 'worker' : 'user');

/** Which request goes where, and how many of each kind may be in progress. */
export class Routes {
  constructor(private readonly deps: RouteDeps) {}

  route(request: HttpRequest, reply: Reply): void {
    const { method, path } = request;
    const { userRequests, userLimit, workerLimit } = this.deps;
    if (path === HEARTBEAT_PATH) {
      if (method !== 'POST') reply(failure(405, 'use POST'));
      else this.limited(workerLimit, reply, (r) => this.deps.onHeartbeat(request.body, r));
      return;
    }
    if (path === '/healthz') {
      reply(method === 'GET' ? this.deps.health() : failure(405, 'use GET'));
      return;
    }
    if (path === '/work') {
      if (method !== 'POST') reply(failure(405, 'use POST'));
      else this.limited(userLimit, reply, (r) => userRequests.submit(request.body, r));
      return;
    }
    const job = JOB_PATH.exec(path);
    if (job) {
      if (method !== 'GET') reply(failure(405, 'use GET'));
      else this.poll(job[1]!, reply);
      return;
    }
    const cancel = CANCEL_PATH.exec(path);
    if (cancel) {
      if (method !== 'POST') reply(failure(405, 'use POST'));
      else this.limited(userLimit, reply, (r) => userRequests.cancel(cancel[1]!, r));
      return;
    }
    reply(failure(404, 'no such path'));
  }

  /**
   * Polls have a share of their own, however many there are. What is known here is told at once: it changes
   * nothing, so it needs no turn of the owner's. Over the limit of those that wait a poll is refused at once.
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
      reply(this.tooMany());
      return;
    }
    userRequests.poll(id, (answer) => {
      leave();
      reply(answer);
    });
  }

  private tooMany(): Answer {
    return failure(503, 'too many requests in progress', this.deps.options.users.retry_after_s);
  }

  private limited(limit: AdaptiveLimit, reply: Reply, run: (reply: Reply) => void): void {
    const leave = limit.enter();
    if (!leave) {
      reply(this.tooMany());
      return;
    }
    this.deps.enqueue(() => {
      run((answer) => {
        leave();
        reply(answer);
      });
    });
  }
}
