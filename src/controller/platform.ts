/** What a controller needs of its surroundings. */
import type { HttpSender } from '../http/client.ts';
import type { Peers } from '../peers/peers.ts';
import type { Clock } from '../base/clock.ts';

/** Timers of the process. */
export interface Timers {
  pause(ms: number): Promise<void>;
  /** Runs a step regularly until the result is called. */
  every(ms: number, run: () => void): () => void;
  /** Runs a step in a later turn, after what has already arrived. */
  defer(run: () => void): void;
}

/** How a controller reaches other hosts. */
export interface Network {
  /** A client of one host, with at most so many connections that are kept open. */
  connect(address: string, sockets: number): HttpSender;
  /** Clients of many hosts that share so many connections in all; `close` closes all of them. */
  shared(sockets: number): { connect(address: string): HttpSender; close(): void };
}

/** All that a controller needs of its surroundings: a process on real sockets, or a simulation. */
export interface Platform {
  clock: Clock;
  timers: Timers;
  /** Evenly spread over [0, 1). */
  random(): number;
  /** Differs between all processes that ever ran. */
  nonce: string;
  network: Network;
  peers: Peers;
}
