import { Agent, request } from 'node:http';

/** The outcome of a request. A failure is a result and not an exception: callers handle it according to `sent`. */
export type HttpResult =
  | { kind: 'answer'; status: number; body: string; retryAfterS: number | null }
  /** No response arrived in time, or the connection failed. `sent`: false only if the host can't have received it. */
  | { kind: 'silent'; sent: boolean; reason: string };

/** Sends requests to one host. It never retries a request. */
export interface HttpSender {
  /** `shouldSend`: whether the request may still be sent; called right before it is written. */
  send(
    method: string,
    path: string,
    body: string | null,
    timeoutMs: number,
    shouldSend?: () => boolean,
  ): Promise<HttpResult>;
  close(): void;
}

const MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

/** Returns an agent that keeps up to `maxSocketsPerHost` connections to each host open between requests. */
function createKeepAliveAgent(maxSocketsPerHost: number): Agent {
  return new Agent({
    keepAlive: true,
    maxSockets: maxSocketsPerHost,
    maxFreeSockets: maxSocketsPerHost,
    noDelay: true,
  });
}

/**
 * Returns an agent without persistent connections, for many hosts that each get few requests. Open connections to
 * hundreds of workers, in addition to those that the workers keep open to this node, use up the sockets of the node,
 * and new workers can't connect.
 */
export function createNonPersistentAgent(maxTotalSockets: number): Agent {
  return new Agent({ keepAlive: false, maxTotalSockets, noDelay: true });
}

/** Sends requests to one host and port over the connections of an agent. It never retries a request. */
export class HttpClient implements HttpSender {
  private readonly agent: Agent;
  private readonly host: string;
  private readonly port: number;

  /** `agentOrMaxSockets`: an agent shared with other hosts, or the maximum number of sockets to this host. */
  constructor(address: string, agentOrMaxSockets: Agent | number) {
    const colon = address.lastIndexOf(':');
    this.host = address.slice(0, colon);
    this.port = Number(address.slice(colon + 1));
    this.agent =
      typeof agentOrMaxSockets === 'number' ? createKeepAliveAgent(agentOrMaxSockets) : agentOrMaxSockets;
  }

  /**
   * `shouldSend` is called once the connection is established, right before the request is written: the process may be
   * paused while it connects, and may lose the right to send the request in that time.
   */
  send(
    method: string,
    path: string,
    body: string | null,
    timeoutMs: number,
    shouldSend?: () => boolean,
  ): Promise<HttpResult> {
    return new Promise((resolve) => {
      let settled = false;
      const settle = (result: HttpResult): void => {
        if (settled) return;
        settled = true;
        clearTimeout(timer);
        resolve(result);
      };
      const headers: Record<string, string | number> = {};
      if (body !== null) {
        headers['content-type'] = 'application/json';
        headers['content-length'] = Buffer.byteLength(body);
      }
      const req = request(
        { host: this.host, port: this.port, method, path, headers, agent: this.agent },
        (res) => {
          const chunks: Buffer[] = [];
          let size = 0;
          res.on('data', (chunk: Buffer) => {
            size += chunk.length;
            if (size > MAX_RESPONSE_BYTES) req.destroy(new Error('response is over 64 MiB'));
            else chunks.push(chunk);
          });
          res.on('end', () => {
            const retryAfterS = Number(res.headers['retry-after']);
            settle({
              kind: 'answer',
              status: res.statusCode ?? 0,
              body: Buffer.concat(chunks).toString('utf8'),
              retryAfterS: Number.isFinite(retryAfterS) && retryAfterS > 0 ? retryAfterS : null,
            });
          });
          res.on('error', (error: Error) => {
            settle({ kind: 'silent', sent: true, reason: error.message });
          });
        },
      );
      const timer = setTimeout(() => {
        settle({ kind: 'silent', sent: true, reason: 'no answer in time' });
        req.destroy();
      }, timeoutMs);
      req.on('error', (error: NodeJS.ErrnoException) => {
        settle({ kind: 'silent', sent: error.code !== 'ECONNREFUSED', reason: error.code ?? error.message });
      });
      const writeRequest = (): void => {
        if (settled) return;
        if (shouldSend?.() === false) {
          settle({ kind: 'silent', sent: false, reason: 'request no longer allowed' });
          req.destroy();
          return;
        }
        if (body !== null) req.write(body);
        req.end();
      };
      if (!shouldSend) writeRequest();
      else
        req.once('socket', (socket) => {
          if (socket.connecting) socket.once('connect', writeRequest);
          else writeRequest();
        });
    });
  }

  close(): void {
    this.agent.destroy();
  }
}
