/** A cluster of controllers in simulated time, with checks of what elections guarantee. */
import assert from 'node:assert/strict';
import { defaultOptions } from '../../src/config/options.ts';
import type { LocalLeader } from '../../src/jobs/user-request-deps.ts';
import { UserRequests } from '../../src/jobs/user-requests.ts';
import { TerminalStateCache } from '../../src/jobs/terminal-state-cache.ts';
import { encodeOpenRecord } from '../../src/jobs/records.ts';
import type { Election } from '../../src/leadership/election.ts';
import type { PeerLeaseRequest } from '../../src/leadership/peer-leases.ts';
import type { PeerReply, PeerRequest } from '../../src/peers/messages.ts';
import { KEYS } from '../../src/store/keys.ts';
import { decodeStoredJob, type JobStatus } from '../../src/wire/user.ts';
import { Sim } from '../model/sim.ts';
import { JOB } from '../wire/sample.ts';
import { LeaseModel, type StoreAccess } from './lease-model.ts';
import { electionOnModel } from './election-fixture.ts';
import { RateBudget } from '../../src/store/budget.ts';
import { failTest } from '../helpers.ts';

/** One controller, whose process may end and start again. */
export interface Controller extends StoreAccess {
  index: number;
  name: string;
  /** Counts its processes. */
  life: number;
  /** Its process is stalled until then. */
  stalledUntil: number;
  /** It is partitioned from the other controllers until then. */
  partitionedUntil: number;
  election: Election | null;
  userRequests: UserRequests | null;
}

/** How many controllers, and how bad their network is. */
export interface ControllersOptions {
  count?: number;
  /** Their calls of the store are carried out late, or lose their answers. */
  lossy?: boolean;
  /** Share of lost messages between controllers. */
  loss?: number;
}

/** How long a leader whose lease has expired still answers heartbeats, in ms. */
export const GRACE_MS = 6000;
/** How long a leader waits for a peer's answer, in ms. */
const PEER_TIMEOUT_MS = 900;
/** Time between two checks, in ms. */
const SAMPLE_MS = 20;
/** Clocks of controllers run faster or slower by up to this share. */
const MAX_DRIFT = 0.0005;
const RUNNING: JobStatus = { stage: 'running', done: 0, running: 1 };

/**
 * Controllers with the real election and the real user requests, on the modelled store in simulated time. What must
 * hold between leaderships and leaderless writes is checked all the time; `violations` lists what did not.
 */
export class Controllers {
  readonly sim: Sim;
  readonly store: LeaseModel;
  readonly nodes: Controller[];
  readonly violations: string[] = [];
  /** Terms in the order in which they were acquired. */
  readonly acquiredTerms: number[] = [];
  /** Samples at which a leader had a valid lease during an outage. */
  validLeaseSamplesInOutage = 0;
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
      partitionedUntil: 0,
      lossy,
      life: 0,
      election: null,
      userRequests: null,
    }));
    for (const node of this.nodes) this.boot(node);
    this.store.onLeaderlessWrite = () => {
      this.check();
    };
    const sample = (): void => {
      this.check();
      if (this.sim.at < this.store.outageUntil - 1 && this.leaderWithValidLease()) {
        this.validLeaseSamplesInOutage += 1;
      }
      this.sim.after(SAMPLE_MS, sample);
    };
    this.sim.after(SAMPLE_MS, sample);
  }

  /** Lets simulated time pass. */
  run(ms: number): Promise<void> {
    return this.sim.run(this.sim.at + ms);
  }

  /** The controller whose lease as leader is valid, if any. */
  leaderWithValidLease(): Controller | null {
    return this.nodes.find((node) => node.election?.hasValidLease()) ?? null;
  }

  /** The controller that leads, whether or not its lease is valid. */
  leader(): Controller | null {
    return this.nodes.find((node) => node.election?.current()) ?? null;
  }

  followers(): Controller[] {
    return this.nodes.filter((node) => node.election && !node.election.current());
  }

  openJob(id: string): void {
    const decoded = decodeStoredJob({ ...JOB, uid: id });
    assert.ok(decoded.ok);
    this.store.put(KEYS.open(id), encodeOpenRecord(decoded.value, this.sim.at));
  }

  /** A user's cancellation at one controller, which answers with the job's stage or with an error (null). */
  cancel(node: Controller, id: string, answered: (stage: string | null) => void = () => undefined): void {
    node.userRequests?.cancel(id, (answer) => {
      answered(answer.status === 200 ? stageOf(answer.body) : null);
    });
  }

  /** A user's poll at one controller, which answers with the job's stage or with an error (null). */
  poll(node: Controller, id: string, answered: (stage: string | null) => void): void {
    node.userRequests?.poll(id, (answer) => {
      answered(answer.status === 200 ? stageOf(answer.body) : null);
    });
  }

  /** Ends the controller's process; another starts after so long, or never (null). */
  crash(node: Controller, restartMs: number | null): void {
    node.election = null;
    node.userRequests = null;
    node.life += 1;
    const { life } = node;
    if (restartMs === null) return;
    this.sim.after(restartMs, () => {
      if (node.life === life) this.boot(node);
    });
  }

  private boot(node: Controller): void {
    node.life += 1;
    const { life } = node;
    const alive = (): boolean => node.life === life;
    const rate = 1 + ((node.index % 3) - 1) * MAX_DRIFT;
    const clock = { now: () => this.sim.at * rate, wall: () => this.sim.at };
    const store = this.store.storeOf(node);
    const election = electionOnModel(this.sim, {
      node: node.name,
      nonce: `${node.index}-${life}`,
      store,
      clock,
      acquired: ({ term }) => {
        this.onAcquired(node, term);
      },
      pause: (ms) => this.pause(node, alive, ms),
      requestPeerLeases: (request) => this.requestPeerLeases(node, alive, request),
    });
    node.election = election;
    node.userRequests = new UserRequests({
      onError: failTest,
      clock,
      options: defaultOptions(),
      store,
      terminalStates: new TerminalStateCache(100),
      submissionBudget: new RateBudget(1000, () => 0),
      teams: [],
      catalog: () => null,
      leader: () => localLeader(election),
      beginLeaderlessWrite: (urgency) => election.beginLeaderlessWrite(urgency),
      callLeader: (request) => {
        const leader = this.nodes.find((other) => other.name === election.leader());
        return leader && leader !== node ? this.call(node, leader, request) : Promise.resolve(null);
      },
      callOthers: () => Promise.resolve(null),
    });
    election.start();
  }

  private onAcquired(node: Controller, term: number): void {
    // A process that stood still may learn late of what it won.
    const termBefore = this.acquiredTerms.at(-1) ?? 0;
    if (term <= termBefore && node.stalledUntil === 0) {
      this.fail(`term ${term} acquired after ${termBefore}`);
    }
    this.acquiredTerms.push(term);
  }

  /** The timers of a dead process never fire, and those of a stalled one fire late. */
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

  private connected(from: Controller, to: Controller): boolean {
    return this.sim.at >= from.partitionedUntil && this.sim.at >= to.partitionedUntil;
  }

  /** A message to another controller and its answer, each delayed or lost; a dead process doesn't answer. */
  private async call(from: Controller, to: Controller, request: PeerRequest): Promise<PeerReply | null> {
    const delay = (): Promise<void> => this.sim.pause(this.sim.between(1, this.loss > 0 ? 400 : 20));
    await delay();
    if (!processOf(to) || !this.connected(from, to) || this.sim.chance(this.loss)) return null;
    await this.sim.pause(Math.max(0, to.stalledUntil - this.sim.at));
    const { life } = to;
    const process = processOf(to);
    if (!process) return null;
    const reply = await replyOf(process, request);
    await delay();
    return to.life === life && this.connected(from, to) && !this.sim.chance(this.loss) ? reply : null;
  }

  private async requestPeerLeases(
    node: Controller,
    alive: () => boolean,
    request: PeerLeaseRequest,
  ): Promise<boolean[]> {
    const others = this.nodes.filter((other) => other !== node);
    const replies = others.map((other) => {
      const timeout = this.pause(node, alive, PEER_TIMEOUT_MS).then(() => null);
      return Promise.race([this.call(node, other, { kind: 'grantPeerLease', ...request }), timeout]);
    });
    const answers = await Promise.all(replies);
    // A stalled process reads the answers once it goes on.
    await this.pause(node, alive, 0);
    return answers.map((reply) => reply?.kind === 'granted');
  }

  /**
   * The lease of term T may be valid only while no leaderless write of T or later was carried out; and its leader
   * answers heartbeats no longer than the grace after a cancellation that was confirmed without it.
   */
  private check(): void {
    const valid = this.nodes.filter((node) => node.election?.hasValidLease());
    if (valid.length > 1) this.fail(`${valid.map((node) => node.name).join(' and ')} both lead`);
    for (const node of this.nodes) this.checkLeadership(node);
  }

  private checkLeadership({ name, election }: Controller): void {
    const term = election?.current()?.term;
    if (!election || term === undefined) return;
    if (election.hasValidLease() && this.store.term() > term) {
      this.fail(`${name} leads term ${term} with a valid lease after ${this.store.term()} was acquired`);
    }
    const cancellation = this.store.leaderlessWrites.find(
      (write) => write.kind === 'cancellation' && write.term >= term,
    );
    if (!cancellation) return;
    if (election.hasValidLease()) {
      this.fail(`${name} leads term ${term} with a valid lease after a cancellation without it`);
    }
    const sinceMs = this.sim.at - cancellation.at;
    if (election.msSinceLeaseExpiry() <= GRACE_MS && sinceMs > GRACE_MS * 1.002) {
      this.fail(`${name} answers heartbeats ${Math.round(sinceMs)} ms after a cancellation without it`);
    }
  }

  private fail(what: string): void {
    if (this.violations.some((violation) => violation.startsWith(what))) return;
    this.violations.push(`${what} (at ${Math.round(this.sim.at)})`);
  }
}

interface RunningProcess {
  election: Election;
  userRequests: UserRequests;
}

function processOf({ election, userRequests }: Controller): RunningProcess | null {
  return election && userRequests ? { election, userRequests } : null;
}

function replyOf({ election, userRequests }: RunningProcess, request: PeerRequest): Promise<PeerReply> {
  switch (request.kind) {
    case 'grantPeerLease':
      return election
        .grantPeerLease(request)
        .then((isGranted) => ({ kind: isGranted ? 'granted' : 'unavailable' }));
    case 'ping':
    case 'workerContact':
      return Promise.resolve({ kind: 'ack' });
    case 'pollBatch':
    case 'heartbeats':
      return Promise.resolve({ kind: 'unavailable' });
    default:
      return new Promise((resolve) => {
        userRequests.onPeerRequest(request, resolve);
      });
  }
}

/** What user requests see of the leadership on their controller: every job runs, while the lease is valid. */
function localLeader(election: Election): LocalLeader | null {
  const leadership = election.current();
  if (!leadership) return null;
  return {
    term: leadership.term,
    lookup: () => (election.hasValidLease() ? { kind: 'found', status: RUNNING } : { kind: 'unknown' }),
    cancel: () => false,
    observeOpenRecord: () => undefined,
  };
}

function stageOf(body: string): string {
  return (JSON.parse(body) as { stage: string }).stage;
}
