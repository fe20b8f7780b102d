/** The interfaces through which a controller uses the process and the network. */
import type { HttpSender } from '../http/client.ts';
import type { Peers } from '../peers/peers.ts';
import type { Clock } from '../base/clock.ts';

/** Timers of the process. */
export interface Timers {
  pause(ms: number): Promise<void>;
  /** Runs a callback at a fixed interval until the returned function is called. */
  every(ms: number, run: () => void): () => void;
  /** Runs a callback in a later turn of the event loop, after input that has already arrived. */
  defer(run: () => void): void;
}

/** How a controller reaches other hosts. */
export interface Network {
  /** Creates a client of one host that keeps at most `sockets` connections open. */
  connect(address: string, sockets: number): HttpSender;
  /** Creates clients of many hosts that share `sockets` connections in total; `close` closes all of them. */
  shared(sockets: number): { connect(address: string): HttpSender; close(): void };
}

/** The platform of a controller: a process with real sockets, or a simulation. */
export interface Platform {
  clock: Clock;
  timers: Timers;
  /** A random number, uniformly distributed over [0, 1). */
  random(): number;
  /** Unique to this process, also among earlier processes of the same controller. */
  nonce: string;
  network: Network;
  peers: Peers;
}
