import { createServer as createHttp, type IncomingMessage, type ServerResponse } from 'node:http';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { Backlog } from './backlog.ts';
import { Connections, type ClientKind, type SocketLimits } from './connections.ts';
import { isHeartbeatPrefix, HeartbeatConnection } from './heartbeat-connection.ts';
import { createResponseHeaders } from './response.ts';

const MAX_BODY_BYTES = 64 * 1024;
/** Workers wait for 4 s and users for 2 or 5 s: a client that has waited this long to be accepted soon times out. */
const STALE_BACKLOG_MS = 3000;
const LISTEN_BACKLOG = 511;
const IDLE_CHECK_INTERVAL_MS = 2000;
const RELISTEN_DELAY_MS = 50;

/** An HTTP response with a JSON body. `retryAfterS`: seconds for the `Retry-After` header. */
export interface HttpResponse {
  status: number;
  body: string;
  retryAfterS?: number;
}

/** A request that has been received in full; `path` excludes the query. */
export interface HttpRequest {
  method: string;
  path: string;
  body: string;
}

/** Sends the response of one request. Calls after the first do nothing. */
export type Reply = (response: HttpResponse) => void;
/** Serves a request; the reply may be called at any later time. */
export type Handler = (request: HttpRequest, reply: Reply) => void;

/** The response to a request that failed: the reason as `{"error": reason}`. */
export function errorResponse(status: number, reason: string, retryAfterS?: number): HttpResponse {
  const body = JSON.stringify({ error: reason });
  return retryAfterS === undefined ? { status, body } : { status, body, retryAfterS };
}

function writeResponse(res: ServerResponse, response: HttpResponse): void {
  if (res.destroyed || res.headersSent) return;
  res.writeHead(response.status, createResponseHeaders(response));
  res.end(response.body);
}

/** Limits of the HTTP server, and how it classifies request paths. */
export interface HttpServerOptions {
  socketLimits: SocketLimits;
  /** Maximum time without a request, for each kind of client. */
  idleTimeoutMs: Record<ClientKind, number>;
  /** The kind of client that sends requests to this path. */
  clientKindOf(path: string): ClientKind;
  /** Path of the workers' heartbeats; `HeartbeatConnection` serves requests for it that have the plain form. */
  heartbeatPath: string;
  /** Steady milliseconds. */
  now: () => number;
}

/**
 * The HTTP server for users, workers and health checks. A connection stays open until the client closes it, or until
 * the server does because sockets are short or the connection has been idle for too long.
 */
export class HttpServer {
  private readonly http = createHttp({ keepAliveTimeout: 0 }, (req, res) => {
    this.receive(req, res);
  });
  private readonly acceptor: Server;
  private readonly connections: Connections<Socket>;
  private readonly backlog: Backlog;
  private watchingBacklog = false;
  private stopped = false;
  private listenAddress: { host: string; port: number } = { host: '', port: 0 };
  private idleCheckTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly handler: Handler,
    private readonly options: HttpServerOptions,
  ) {
    this.connections = new Connections(
      options.now,
      options.socketLimits.workerKeepAliveLimit,
      options.idleTimeoutMs,
    );
    this.backlog = new Backlog(options.now, STALE_BACKLOG_MS);
    this.acceptor = createServer({ noDelay: true, allowHalfOpen: true }, (socket) => {
      this.accept(socket);
    });
    this.acceptor.maxConnections = options.socketLimits.maxInbound;
  }

  listen(address: string): Promise<void> {
    const colon = address.lastIndexOf(':');
    const host = address.slice(0, colon);
    return new Promise((resolve, reject) => {
      this.acceptor.once('error', reject);
      this.acceptor.listen(Number(address.slice(colon + 1)), host, LISTEN_BACKLOG, () => {
        this.listenAddress = { host, port: (this.acceptor.address() as AddressInfo).port };
        this.acceptor.off('error', reject);
        // From here on only dropBacklog makes the server listen again, on the same port. An error then is short-lived,
        // so listening is retried.
        this.acceptor.on('error', () => {
          setTimeout(() => {
            this.relisten();
          }, RELISTEN_DELAY_MS);
        });
        resolve();
      });
      this.idleCheckTimer = setInterval(() => {
        for (const socket of this.connections.findIdle()) socket.destroy();
      }, IDLE_CHECK_INTERVAL_MS);
    });
  }

  get address(): string {
    return `${this.listenAddress.host}:${this.listenAddress.port}`;
  }

  /** Open connections. */
  get connectionCount(): number {
    return this.connections.count;
  }

  close(): void {
    this.stopped = true;
    clearInterval(this.idleCheckTimer);
    this.acceptor.close();
    for (const socket of this.connections.keys()) socket.destroy();
  }

  private accept(socket: Socket): void {
    this.connections.add(socket);
    socket.once('close', () => {
      this.connections.remove(socket);
    });
    this.awaitFirstBytes(socket);
    if (this.backlog.recordAccept()) this.dropBacklog();
    this.watchBacklog();
  }

  /** The first bytes of a connection decide whether it is served as a heartbeat connection or by Node's `http`. */
  private awaitFirstBytes(socket: Socket): void {
    const onData = (firstBytes: Buffer): void => {
      socket.off('end', onEnd);
      if (isHeartbeatPrefix(firstBytes, this.options.heartbeatPath)) this.serveHeartbeats(socket, firstBytes);
      else this.serveWithHttp(socket, firstBytes);
    };
    const onEnd = (): void => {
      socket.end();
    };
    socket.once('data', onData);
    socket.once('end', onEnd);
    socket.once('error', () => {
      socket.destroy();
    });
  }

  private serveWithHttp(socket: Socket, unread: Buffer): void {
    socket.pause();
    if (unread.length > 0) socket.unshift(unread);
    this.http.emit('connection', socket);
    process.nextTick(() => socket.resume());
  }

  private serveHeartbeats(socket: Socket, firstBytes: Buffer): void {
    const connection = new HeartbeatConnection(socket, this.options.heartbeatPath, MAX_BODY_BYTES, {
      onHeartbeat: (body, reply) => {
        this.connections.startRequest(socket, 'worker');
        this.handler({ method: 'POST', path: this.options.heartbeatPath, body }, reply);
      },
      onHandOver: (unread) => {
        this.serveWithHttp(socket, unread);
      },
      onResponse: () => this.connections.finishRequest(socket),
    });
    connection.onBytes(firstBytes);
  }

  /** Reports each iteration of the event loop to the backlog, until one accepts no connection. */
  private watchBacklog(): void {
    if (this.watchingBacklog) return;
    this.watchingBacklog = true;
    const checkIteration = (): void => {
      if (this.backlog.endIteration()) setImmediate(checkIteration);
      else this.watchingBacklog = false;
    };
    setImmediate(checkIteration);
  }

  /** Closes the connections that wait to be accepted, so that their clients reconnect; open connections stay. */
  private dropBacklog(): void {
    this.acceptor.close();
    this.relisten();
  }

  private relisten(): void {
    if (!this.stopped && !this.acceptor.listening)
      this.acceptor.listen(this.listenAddress.port, this.listenAddress.host, LISTEN_BACKLOG);
  }

  private receive(req: IncomingMessage, res: ServerResponse): void {
    const chunks: Buffer[] = [];
    let size = 0;
    let refused = false;
    req.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size <= MAX_BODY_BYTES) {
        chunks.push(chunk);
      } else if (!refused) {
        refused = true;
        res.shouldKeepAlive = false;
        writeResponse(res, errorResponse(400, 'body is over 64 KiB'));
      }
    });
    req.on('end', () => {
      if (refused) return;
      const url = req.url ?? '/';
      const query = url.indexOf('?');
      const path = query < 0 ? url : url.slice(0, query);
      const { socket } = req;
      this.connections.startRequest(socket, this.options.clientKindOf(path));
      let answered = false;
      const [firstChunk] = chunks;
      const body = chunks.length === 1 && firstChunk ? firstChunk : Buffer.concat(chunks);
      this.handler({ method: req.method ?? 'GET', path, body: body.toString('utf8') }, (response) => {
        if (answered) return;
        answered = true;
        if (!this.connections.finishRequest(socket)) res.shouldKeepAlive = false;
        writeResponse(res, response);
      });
    });
    req.on('error', () => {
      res.destroy();
    });
  }
}
