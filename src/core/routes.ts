import type { Options } from '../config/options.ts';
import type { AdaptiveLimit } from '../http/limit.ts';
import { failure, type Answer, type HttpRequest, type Reply } from '../http/server.ts';
import type { UserDoor } from '../jobs/door.ts';

const REPORT_PATH = '/checkin';
const JOB_PATH = /^\/work\/([^/]+)$/;
const CANCEL_PATH = /^\/work\/([^/]+)\/cancel$/;

export interface RouteDeps {
  options: Options;
  door: UserDoor;
  userLimit: AdaptiveLimit;
  workerLimit: AdaptiveLimit;
  /** Puts a command in the owner's queue. */
  post(command: () => void): void;
  onReport(body: string, reply: Reply): void;
  health(): Answer;
}

export const peerOf = (path: string): 'worker' | 'user' => (path === REPORT_PATH ? 'worker' : 'user');

/** Which request goes where, and how many of each kind may be in progress. */
export class Routes {
  constructor(private readonly deps: RouteDeps) {}

  route(request: HttpRequest, reply: Reply): void {
    const { method, path } = request;
    const { door, userLimit, workerLimit } = this.deps;
    if (path === REPORT_PATH) {
      if (method !== 'POST') reply(failure(405, 'use POST'));
      else this.limited(workerLimit, reply, (r) => this.deps.onReport(request.body, r));
      return;
    }
    if (path === '/healthz') {
      reply(method === 'GET' ? this.deps.health() : failure(405, 'use GET'));
      return;
    }
    if (path === '/work') {
      if (method !== 'POST') reply(failure(405, 'use POST'));
      else this.limited(userLimit, reply, (r) => door.submit(request.body, r));
      return;
    }
    const job = JOB_PATH.exec(path);
    if (job) {
      if (method !== 'GET') reply(failure(405, 'use GET'));
      else this.limited(userLimit, reply, (r) => door.poll(job[1]!, r));
      return;
    }
    const cancel = CANCEL_PATH.exec(path);
    if (cancel) {
      if (method !== 'POST') reply(failure(405, 'use POST'));
      else this.limited(userLimit, reply, (r) => door.cancel(cancel[1]!, r));
      return;
    }
    reply(failure(404, 'no such path'));
  }

  private limited(limit: AdaptiveLimit, reply: Reply, run: (reply: Reply) => void): void {
    const leave = limit.enter();
    if (!leave) {
      reply(failure(503, 'too many requests in progress', this.deps.options.users.retry_after_s));
      return;
    }
    this.deps.post(() => {
      run((answer) => {
        leave();
        reply(answer);
      });
    });
  }
}
