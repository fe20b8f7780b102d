import type { Command, Heartbeat } from '../wire/worker.ts';
import { attemptKey, type Attempt, type Machine } from '../workers/machine.ts';
import { commandsFor, startIsDurable } from '../workers/reconcile.ts';
import type { Cluster } from './cluster.ts';
import type { LeaderDeps } from './context.ts';
import { BUSY_MS } from '../base/event-loop-lag.ts';

/**
 * Questions to workers under way at once, at least and as a share of all machines: after a takeover, or when many have
 * died, there are as many to ask as there are machines. They stay within the sockets for orders.
 */
const LEAST_PROBES = 16;
const PROBES_SHARE = 0.01;
const MOST_PROBES_BUSY = 4;
const PROBE_PAUSE_MS = 800;
const FAILED_PAUSE_MS = 1000;
const REFUSED_PAUSE_MS = 50;
const DONE_PAUSE_MS = 300;

/** What the leader sends straight to workers: orders that can't wait for the next report, and questions. */
export class CommandDispatcher {
  private readonly probing = new Set<Machine>();
  /** Machines that did not answer since the last one that did. */
  private readonly silent = new Set<Machine>();

  constructor(
    private readonly cluster: Cluster,
    private readonly deps: LeaderDeps,
    /** Takes in what a worker answered. */
    private readonly onResponse: (report: Heartbeat) => void,
  ) {}

  mayStartOn(machine: Machine): boolean {
    return machine.registered && !machine.terminating && this.deps.host.hasValidLease();
  }

  /** Machines asked or ordered without an answer since any machine last answered. */
  get unreachedCount(): number {
    return this.silent.size;
  }

  hasDueCommands(m: Machine): boolean {
    for (const a of m.attempts.values()) {
      if (a.released) continue;
      if (a.stopGraceS !== null ? a.observed : !a.observed && startIsDurable(a) && this.mayStartOn(m))
        return true;
    }
    return false;
  }

  /** Sends what is due. Only machines at which something changed are looked at. */
  dispatchDue(): void {
    const now = this.deps.host.clock.now();
    const busy = this.deps.host.lagMs() > BUSY_MS;
    for (const m of this.cluster.commandsDue) {
      if (m.commandInFlight || now < m.commandNotBefore) continue;
      if (this.cluster.machines.get(m.name) !== m || !this.hasDueCommands(m)) {
        this.cluster.commandsDue.delete(m);
        continue;
      }
      if (m.incarnation === 0 || m.leaseExpired) continue;
      // Starts can go with the answer to the next report, which costs less.
      if (busy && !hasStopDue(m)) continue;
      this.dispatch(m, commandsFor(m, this.mayStartOn(m)));
    }
  }

  dispatch(m: Machine, commands: Command[]): void {
    m.commandInFlight = true;
    const launched: Attempt[] = [];
    for (const c of commands) {
      if (c.op !== 'start') continue;
      const a = m.attempts.get(attemptKey(c.jobId, c.task, c.attempt));
      if (a) launched.push(a);
    }
    for (const a of launched) a.inFlight += 1;
    const { host } = this.deps;
    void host.sendCommands(m, commands).then((result) => {
      host.enqueue(() => {
        const now = host.clock.now();
        m.commandInFlight = false;
        for (const a of launched) {
          a.inFlight -= 1;
          if (result.kind === 'unanswered') a.inDoubt = true;
        }
        if (result.kind !== 'answered') {
          m.commandNotBefore = now + FAILED_PAUSE_MS;
          m.missedAcknowledgements += 1;
          this.silent.add(m);
          return;
        }
        m.commandNotBefore = now + (result.executed ? DONE_PAUSE_MS : REFUSED_PAUSE_MS);
        m.acknowledged(now);
        this.silent.clear();
        this.onResponse(result.heartbeat);
      });
    });
  }

  /** Asks a worker directly: its reports may be lost on the way while it lives, or our answers to it. */
  probe(m: Machine): void {
    const most =
      this.deps.host.lagMs() > BUSY_MS
        ? MOST_PROBES_BUSY
        : Math.max(LEAST_PROBES, Math.floor(this.cluster.machines.size * PROBES_SHARE));
    if (this.probing.has(m) || this.probing.size >= most || m.id.address === '') return;
    this.probing.add(m);
    const { host } = this.deps;
    void host.inspect(m).then((result) => {
      void host.pause(PROBE_PAUSE_MS).then(() => this.probing.delete(m));
      host.enqueue(() => {
        if (result.kind !== 'answered') {
          m.probesFailed += 1;
          this.silent.add(m);
          return;
        }
        m.acknowledged(host.clock.now());
        this.silent.clear();
        // Another leads by now. The lease, reports and orders end this leadership; what such a worker does is not ours.
        if (result.heartbeat.fencingToken <= this.deps.term) this.onResponse(result.heartbeat);
      });
    });
  }
}

function hasStopDue(m: Machine): boolean {
  for (const a of m.attempts.values()) if (!a.released && a.observed && a.stopGraceS !== null) return true;
  return false;
}
