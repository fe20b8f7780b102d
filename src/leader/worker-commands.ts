import type { Command, Report } from '../wire/worker.ts';
import { attemptKey, type Attempt, type Machine } from '../workers/machine.ts';
import { commandsFor, mayBegin } from '../workers/reconcile.ts';
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
export class WorkerCommands {
  private readonly probing = new Set<Machine>();
  /** Machines that did not answer since the last one that did. */
  private readonly silent = new Set<Machine>();

  constructor(
    private readonly cluster: Cluster,
    private readonly deps: LeaderDeps,
    /** Takes in what a worker answered. */
    private readonly take: (report: Report) => void,
  ) {}

  mayStartOn(machine: Machine): boolean {
    return machine.rostered && !machine.returning && this.deps.host.surelyLeading();
  }

  /** Machines asked or ordered without an answer since any machine last answered. */
  get unreached(): number {
    return this.silent.size;
  }

  needsPush(m: Machine): boolean {
    for (const a of m.attempts.values()) {
      if (a.released) continue;
      if (a.stopGraceS !== null ? a.seen : !a.seen && mayBegin(a) && this.mayStartOn(m)) return true;
    }
    return false;
  }

  /** Sends what is due. Only machines at which something changed are looked at. */
  pushDue(): void {
    const now = this.deps.host.clock.now();
    const busy = this.deps.host.lagMs() > BUSY_MS;
    for (const m of this.cluster.toPush) {
      if (m.pushing || now < m.pushAfter) continue;
      if (this.cluster.machines.get(m.name) !== m || !this.needsPush(m)) {
        this.cluster.toPush.delete(m);
        continue;
      }
      if (m.session === 0 || m.sessionOver) continue;
      // Starts can go with the answer to the next report, which costs less.
      if (busy && !mustStop(m)) continue;
      this.push(m, commandsFor(m, this.mayStartOn(m)));
    }
  }

  push(m: Machine, commands: Command[]): void {
    m.pushing = true;
    const launched: Attempt[] = [];
    for (const c of commands) {
      if (c.op !== 'start') continue;
      const a = m.attempts.get(attemptKey(c.jobId, c.task, c.attempt));
      if (a) launched.push(a);
    }
    for (const a of launched) a.underWay += 1;
    const { host } = this.deps;
    void host.order(m, commands).then((result) => {
      host.post(() => {
        const now = host.clock.now();
        m.pushing = false;
        for (const a of launched) {
          a.underWay -= 1;
          if (result === 'silent') a.doubt = true;
        }
        if (result === 'silent' || result === 'not_sent') {
          m.pushAfter = now + FAILED_PAUSE_MS;
          m.unheard += 1;
          this.silent.add(m);
          return;
        }
        m.pushAfter = now + (result.executed ? DONE_PAUSE_MS : REFUSED_PAUSE_MS);
        m.heardUs(now);
        this.silent.clear();
        this.take(result.report);
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
    void host.inspect(m).then((report) => {
      void host.pause(PROBE_PAUSE_MS).then(() => this.probing.delete(m));
      host.post(() => {
        if (!report) {
          m.probesFailed += 1;
          this.silent.add(m);
          return;
        }
        m.heardUs(host.clock.now());
        this.silent.clear();
        // Another leads by now. The lease, reports and orders end this leadership; what such a worker does is not ours.
        if (report.token <= this.deps.term) this.take(report);
      });
    });
  }
}

function mustStop(m: Machine): boolean {
  for (const a of m.attempts.values()) if (!a.released && a.seen && a.stopGraceS !== null) return true;
  return false;
}
