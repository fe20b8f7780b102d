/** The kind of client of a connection, by the path of its last request; unknown before the first request. */
export type ClientKind = 'unknown' | 'worker' | 'user';

/** How many of a node's sockets the HTTP server may use. */
export interface SocketLimits {
  /** Connections that may be open to the HTTP server at once; further ones are closed on arrival. */
  maxInbound: number;
  /** From this number of open connections on, a worker's connection is closed with the response to its heartbeat. */
  workerKeepAliveLimit: number;
}

/** Sockets reserved for outbound connections to the state service, the cloud and other controllers. */
const OTHER_OUTBOUND_SOCKETS = 64;
const WORKER_KEEP_ALIVE_RATIO = 0.85;

/**
 * Divides a node's sockets. The HTTP server gets those that outbound calls leave, and at least half of all. Workers
 * keep their connections open up to `workerKeepAliveLimit`; the rest is for users, health checks and workers that
 * reconnect.
 */
export function computeSocketLimits(sockets: number, maxCommandConnections: number): SocketLimits {
  const inbound = Math.max(Math.ceil(sockets / 2), sockets - maxCommandConnections - OTHER_OUTBOUND_SOCKETS);
  return { maxInbound: inbound, workerKeepAliveLimit: Math.floor(inbound * WORKER_KEEP_ALIVE_RATIO) };
}

interface ConnectionState {
  clientKind: ClientKind;
  lastActiveAt: number;
  requestsInProgress: number;
}

/**
 * The open connections of the HTTP server, and which of them to close. Machines that are terminated or partitioned
 * never close their connections. With a thousand machines, such connections take all sockets of a node within a day,
 * and healthy workers, users and health checks can't connect.
 */
export class Connections<K> {
  private readonly entries = new Map<K, ConnectionState>();

  constructor(
    private readonly now: () => number,
    private readonly workerKeepAliveLimit: number,
    /** Maximum time without a request, for each kind of client. */
    private readonly idleTimeoutMs: Record<ClientKind, number>,
  ) {}

  get count(): number {
    return this.entries.size;
  }

  keys(): K[] {
    return [...this.entries.keys()];
  }

  add(key: K): void {
    this.entries.set(key, { clientKind: 'unknown', lastActiveAt: this.now(), requestsInProgress: 0 });
  }

  remove(key: K): void {
    this.entries.delete(key);
  }

  /** A request has been received in full. */
  startRequest(key: K, clientKind: ClientKind): void {
    const entry = this.entries.get(key);
    if (!entry) return;
    entry.clientKind = clientKind;
    entry.lastActiveAt = this.now();
    entry.requestsInProgress += 1;
  }

  /** The response to a request is about to be sent. False: the connection must be closed after it. */
  finishRequest(key: K): boolean {
    const entry = this.entries.get(key);
    if (!entry) return true;
    entry.requestsInProgress -= 1;
    entry.lastActiveAt = this.now();
    return entry.clientKind !== 'worker' || this.entries.size < this.workerKeepAliveLimit;
  }

  /** Connections that have been idle for longer than the timeout of their kind. */
  findIdle(): K[] {
    const now = this.now();
    const idleKeys: K[] = [];
    for (const [key, entry] of this.entries)
      if (entry.requestsInProgress === 0 && now - entry.lastActiveAt > this.idleTimeoutMs[entry.clientKind])
        idleKeys.push(key);
    return idleKeys;
  }
}
