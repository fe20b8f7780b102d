/** Who is at the other end, as far as the requests tell. */
export type Peer = 'unknown' | 'worker' | 'user';

/** How many of a node's sockets the HTTP server may use. */
export interface SocketShares {
  /** Connections that may be open to the HTTP server at once; more are closed as they come. */
  inbound: number;
  /** From so many on, a worker's connection is closed with the answer to its report. */
  crowded: number;
}

/** Sockets that the node needs beside the HTTP server and commands to workers: state service, cloud, other controllers. */
const OTHERS = 64;
const CROWDED = 0.85;

/**
 * Shares out a node's sockets. The HTTP server has what outgoing calls leave. Workers keep theirs open while there is
 * room; the last part is for users, health checks and workers that connect anew.
 */
export function socketShares(sockets: number, orders: number): SocketShares {
  const inbound = Math.max(Math.ceil(sockets / 2), sockets - orders - OTHERS);
  return { inbound, crowded: Math.floor(inbound * CROWDED) };
}

interface Entry {
  peer: Peer;
  lastAt: number;
  inProgress: number;
}

/**
 * The open connections of the HTTP server, and which of them to close. Machines that end or are cut off never close
 * theirs: over a day of a thousand machines such connections took all sockets of a node, and healthy workers, users
 * and health checks could not connect any more.
 */
export class Connections<K> {
  private readonly entries = new Map<K, Entry>();

  constructor(
    private readonly now: () => number,
    private readonly crowdedAt: number,
    /** How long each kind may be silent between two requests. */
    private readonly idleMs: Record<Peer, number>,
  ) {}

  get open(): number {
    return this.entries.size;
  }

  all(): K[] {
    return [...this.entries.keys()];
  }

  opened(key: K): void {
    this.entries.set(key, { peer: 'unknown', lastAt: this.now(), inProgress: 0 });
  }

  closed(key: K): void {
    this.entries.delete(key);
  }

  /** A request has arrived in full. */
  asked(key: K, peer: Peer): void {
    const entry = this.entries.get(key);
    if (!entry) return;
    entry.peer = peer;
    entry.lastAt = this.now();
    entry.inProgress += 1;
  }

  /** Its answer leaves; false: the connection is to be closed with it. */
  answered(key: K): boolean {
    const entry = this.entries.get(key);
    if (!entry) return true;
    entry.inProgress -= 1;
    entry.lastAt = this.now();
    return entry.peer !== 'worker' || this.entries.size < this.crowdedAt;
  }

  /** Connections that have been silent for longer than their kind ever is. */
  idle(): K[] {
    const now = this.now();
    const found: K[] = [];
    for (const [key, e] of this.entries)
      if (e.inProgress === 0 && now - e.lastAt > this.idleMs[e.peer]) found.push(key);
    return found;
  }
}
