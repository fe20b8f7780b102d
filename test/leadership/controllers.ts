import { defaultOptions } from '../../src/config/options.ts';
import { UserRequests } from '../../src/jobs/user-requests.ts';
import { TerminalStateCache } from '../../src/jobs/terminal-state-cache.ts';
import { openValue } from '../../src/jobs/records.ts';
import { Election } from '../../src/leadership/election.ts';
import type { PeerLeaseRequest } from '../../src/leadership/peer-leases.ts';
import type { PeerReply, PeerRequest } from '../../src/peers/messages.ts';
import { KEYS } from '../../src/store/keys.ts';
import type { KeyValueStore } from '../../src/store/key-value-store.ts';
import { decodeStoredJob, type JobStatus } from '../../src/wire/user.ts';
import { silent } from '../helpers.ts';
import { Sim } from '../model/sim.ts';
import { JOB } from '../wire/sample.ts';
import { LeaseModel, type StoreAccess } from './lease-model.ts';
import { RateBudget } from '../../src/store/budget.ts';

export interface Controller extends StoreAccess {
  index: number;
  name: string;
  life: number;
  /** The process does nothing until then. */
  stalledUntil: number;
  /** It and the other controllers don't reach each other until then. */
  peersLostUntil: number;
  election: Election | null;
  userRequests: UserRequests | null;
}

export interface ControllersOptions {
  count?: number;
  lossy?: boolean;
  /** Share of lost messages between controllers. */
  loss?: number;
}

/** How long a leader whose lease is not sure still answers reports. */
export const GRACE_MS = 6000;
const ASK_MS = 900;
const WATCH_MS = 20;
const RUNNING: JobStatus = { stage: 'running', done: 0, running: 1 };

/**
 * Controllers with the real election and the real users' requests, on the modelled store in simulated time. What
 * must hold between leaderships and steps that need a leader's absence is checked all the time; `broken` lists
 * what did not.
 */
export class Controllers {
  readonly sim: Sim;
  readonly store: LeaseModel;
  readonly nodes: Controller[];
  readonly broken: string[] = [];
  /** Terms in the order in which they were won. */
  readonly won: number[] = [];
  /** Samples at which a leader was sure during an outage. */
  sureInOutage = 0;
  private readonly loss: number;

  constructor(seed: number, { count = 3, lossy = false, loss = 0 }: ControllersOptions = {}) {
    this.sim = new Sim(seed);
    this.store = new LeaseModel(this.sim);
    this.loss = loss;
    this.nodes = Array.from({ length: count }, (_, index) => ({
      index,
      name: `n${index}`,
      refusedUntil: 0,
      stalledUntil: 0,
      peersLostUntil: 0,
      lossy,
      life: 0,
      election: null,
      userRequests: null,
    }));
    for (const node of this.nodes) this.boot(node);
    this.store.onStep = () => {
      this.check();
    };
    const watch = (): void => {
      this.check();
      if (this.sim.at < this.store.outageUntil - 1 && this.sure()) this.sureInOutage += 1;
      this.sim.after(WATCH_MS, watch);
    };
    this.sim.after(WATCH_MS, watch);
  }

  /** Lets simulated time pass. */
  run(ms: number): Promise<void> {
    return this.sim.run(this.sim.at + ms);
  }

  sure(): Controller | null {
    return this.nodes.find((n) => n.election?.hasValidLease()) ?? null;
  }

  followers(): Controller[] {
    return this.nodes.filter((n) => n.election && !n.election.current());
  }

  openJob(id: string): void {
    const decoded = decodeStoredJob({ ...JOB, uid: id });
    if (!decoded.ok) throw new Error(decoded.reason);
    this.store.put(KEYS.open(id), openValue(decoded.value, this.sim.at));
  }

  /** A user's cancellation at one controller; the stage that was told, if any. */
  cancel(node: Controller, id: string, told: (stage: string | null) => void = () => undefined): void {
    node.userRequests?.cancel(id, (answer) => {
      told(answer.status === 200 ? stageOf(answer.body) : null);
    });
  }

  poll(node: Controller, id: string, told: (stage: string | null) => void): void {
    node.userRequests?.poll(id, (answer) => {
      told(answer.status === 200 ? stageOf(answer.body) : null);
    });
  }

  crash(node: Controller, backMs: number | null): void {
    node.election = null;
    node.userRequests = null;
    node.life += 1;
    const { life } = node;
    if (backMs === null) return;
    this.sim.after(backMs, () => {
      if (node.life === life) this.boot(node);
    });
  }

  boot(node: Controller): void {
    const life = ++node.life;
    const alive = (): boolean => node.life === life;
    const rate = 1 + ((node.index % 3) - 1) * 0.0005;
    const clock = { now: () => this.sim.at * rate, wall: () => this.sim.at };
    const store = this.store.for(node);
    const { leadership } = defaultOptions();
    const election = new Election(
      node.name,
      `${node.index}-${life}`,
      store,
      clock,
      () => this.sim.random(),
      { ttlMs: leadership.lease_ms, renewMs: leadership.renew_ms },
      { acquired: (l) => this.onWon(node, l.term), lost: () => undefined },
      silent,
      (ms) => this.pause(node, alive, ms),
      (request) => this.askPromises(node, alive, request),
    );
    node.election = election;
    node.userRequests = new UserRequests({
      clock,
      options: defaultOptions(),
      store: store as unknown as KeyValueStore,
      terminalStates: new TerminalStateCache(100),
      submissions: new RateBudget(1000, () => 0),
      teams: [],
      catalog: () => null,
      leader: () =>
        election.current()
          ? {
              term: election.current()?.term ?? 0,
              lookup: () =>
                election.hasValidLease() ? { kind: 'found', status: RUNNING } : { kind: 'unknown' },
              cancel: () => false,
              observeOpenRecord: () => undefined,
            }
          : null,
      beginLeaderlessWrite: (urgency) => election.beginLeaderlessWrite(urgency),
      callLeader: (request) => {
        const leader = this.nodes.find((n) => n.name === election.leader());
        return leader && leader !== node ? this.ask(node, leader, request) : Promise.resolve(null);
      },
      callOthers: () => Promise.resolve(null),
    });
    election.start();
  }

  private onWon(node: Controller, term: number): void {
    // A process that stood still may learn late of what it won.
    if (term <= (this.won.at(-1) ?? 0) && node.stalledUntil === 0) {
      this.fail(`term ${term} won after ${this.won.at(-1)}`);
    }
    this.won.push(term);
  }

  /** What a dead process had planned never happens, and a stalled one does it late. */
  private pause(node: Controller, alive: () => boolean, ms: number): Promise<void> {
    return new Promise((resolve) => {
      const due = (): void => {
        if (!alive()) return;
        if (this.sim.at < node.stalledUntil) this.sim.after(node.stalledUntil - this.sim.at, due);
        else resolve();
      };
      this.sim.after(ms, due);
    });
  }

  private connected(a: Controller, b: Controller): boolean {
    return this.sim.at >= a.peersLostUntil && this.sim.at >= b.peersLostUntil;
  }

  /** A message to another controller and its answer, each delayed or lost; the dead and the stalled don't answer. */
  private async ask(from: Controller, to: Controller, request: PeerRequest): Promise<PeerReply | null> {
    const delay = (): Promise<void> => this.sim.pause(this.sim.between(1, this.loss > 0 ? 400 : 20));
    await delay();
    if (!to.election || !to.userRequests || !this.connected(from, to) || this.sim.chance(this.loss))
      return null;
    await this.sim.pause(Math.max(0, to.stalledUntil - this.sim.at));
    const { election, userRequests, life } = to;
    if (!election || !userRequests) return null;
    const reply = await new Promise<PeerReply>((resolve) => {
      if (request.kind === 'grantPeerLease')
        void election
          .grantPeerLease(request)
          .then((given) => resolve({ kind: given ? 'granted' : 'unavailable' }));
      else if (request.kind === 'ping' || request.kind === 'workerContact') resolve({ kind: 'ack' });
      else if (request.kind === 'pollBatch') resolve({ kind: 'unavailable' });
      else userRequests.onPeerRequest(request, resolve);
    });
    await delay();
    return to.life === life && this.connected(from, to) && !this.sim.chance(this.loss) ? reply : null;
  }

  private async askPromises(
    node: Controller,
    alive: () => boolean,
    request: PeerLeaseRequest,
  ): Promise<boolean[]> {
    const others = this.nodes.filter((n) => n !== node);
    const replies = others.map((n) => {
      const late = this.pause(node, alive, ASK_MS).then(() => null);
      return Promise.race([this.ask(node, n, { kind: 'grantPeerLease', ...request }), late]);
    });
    const answers = await Promise.all(replies);
    // A stalled process reads what came meanwhile once it goes on.
    await this.pause(node, alive, 0);
    return answers.map((reply) => reply?.kind === 'granted');
  }

  /**
   * A leadership of term T may be sure only while nothing was carried out that needs the absence of a leader after
   * T; and it answers reports no longer than the grace after a cancellation that was confirmed without it.
   */
  private check(): void {
    const sure = this.nodes.filter((n) => n.election?.hasValidLease());
    if (sure.length > 1) this.fail(`${sure.map((n) => n.name).join(' and ')} both lead`);
    for (const node of this.nodes) {
      const term = node.election?.current()?.term;
      if (!node.election || term === undefined) continue;
      if (node.election.hasValidLease() && this.store.term() > term) {
        this.fail(`${node.name} surely leads term ${term} after ${this.store.term()} was won`);
      }
      const step = this.store.steps.find((s) => s.kind === 'cancel' && s.term >= term);
      if (!step) continue;
      if (node.election.hasValidLease()) {
        this.fail(`${node.name} surely leads term ${term} after a cancellation without it`);
      }
      const sinceMs = this.sim.at - step.at;
      if (node.election.msSinceLeaseExpiry() <= GRACE_MS && sinceMs > GRACE_MS * 1.002) {
        this.fail(`${node.name} answers reports ${Math.round(sinceMs)} ms after a cancellation without it`);
      }
    }
  }

  private fail(what: string): void {
    if (!this.broken.some((b) => b.startsWith(what)))
      this.broken.push(`${what} (at ${Math.round(this.sim.at)})`);
  }
}

function stageOf(body: string): string {
  return (JSON.parse(body) as { stage: string }).stage;
}
