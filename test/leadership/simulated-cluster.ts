/** A cluster of controllers in simulated time, with checks of the guarantees of the election. */
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
import { createElection } from './election-fixture.ts';
import { RateBudget } from '../../src/store/budget.ts';
import { failTest } from '../helpers.ts';

/** One controller, whose process may crash and restart. */
export interface Controller extends StoreAccess {
  index: number;
  name: string;
  /** Increased whenever a process of this controller starts or ends. */
  incarnation: number;
  /** The process is stalled until this time. */
  stalledUntil: number;
  /** The controller is partitioned from the other controllers until this time. */
  partitionedUntil: number;
  election: Election | null;
  userRequests: UserRequests | null;
}

/** Size of the cluster and faults of its network. */
export interface SimulatedClusterOptions {
  count?: number;
  /** Some calls of the store are executed late, and some responses are lost. */
  lossy?: boolean;
  /** Share of the messages between controllers that are lost. */
  messageLossRatio?: number;
}

/** How long a leader whose lease has expired still answers heartbeats, in ms. */
export const GRACE_MS = 6000;
/** How long a leader waits for a peer's reply, in ms. */
const PEER_TIMEOUT_MS = 900;
/** Interval of the checks, in ms. */
const SAMPLE_MS = 20;
/** The clocks of controllers run faster or slower by up to this ratio. */
const MAX_DRIFT_RATIO = 0.0005;
const RUNNING: JobStatus = { stage: 'running', done: 0, running: 1 };

/**
 * Controllers with the real election and the real user requests, on the modelled store in simulated time. The
 * invariants between leaderships and leaderless writes are checked at intervals and at each leaderless write;
 * `violations` lists the failed checks.
 */
export class SimulatedCluster {
  readonly sim: Sim;
  readonly store: LeaseModel;
  readonly controllers: Controller[];
  readonly violations: string[] = [];
  /** Terms in the order in which they were acquired. */
  readonly acquiredTerms: number[] = [];
  /** Number of checks during an outage at which a leader had a valid lease. */
  validLeaseSamplesInOutage = 0;
  private readonly messageLossRatio: number;

  constructor(
    seed: number,
    { count = 3, lossy = false, messageLossRatio = 0 }: SimulatedClusterOptions = {},
  ) {
    this.sim = new Sim(seed);
    this.store = new LeaseModel(this.sim);
    this.messageLossRatio = messageLossRatio;
    this.controllers = Array.from({ length: count }, (_, index) => ({
      index,
      name: `n${index}`,
      refusedUntil: 0,
      stalledUntil: 0,
      partitionedUntil: 0,
      lossy,
      incarnation: 0,
      election: null,
      userRequests: null,
    }));
    for (const controller of this.controllers) this.startProcess(controller);
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

  /** The leader whose lease is valid, if any. */
  leaderWithValidLease(): Controller | null {
    return this.controllers.find((controller) => controller.election?.hasValidLease()) ?? null;
  }

  /** The controller that leads, whether or not its lease is valid. */
  leader(): Controller | null {
    return this.controllers.find((controller) => controller.election?.currentLeadership()) ?? null;
  }

  followers(): Controller[] {
    return this.controllers.filter(
      (controller) => controller.election && !controller.election.currentLeadership(),
    );
  }

  openJob(id: string): void {
    const decoded = decodeStoredJob({ ...JOB, uid: id });
    assert.ok(decoded.ok);
    this.store.put(KEYS.open(id), encodeOpenRecord(decoded.value, this.sim.at));
  }

  /** Sends a user's cancellation to one controller; `onAnswer` gets the job's stage, or null for an error. */
  cancel(
    controller: Controller,
    id: string,
    onAnswer: (stage: string | null) => void = () => undefined,
  ): void {
    controller.userRequests?.cancel(id, (answer) => {
      onAnswer(answer.status === 200 ? stageOf(answer.body) : null);
    });
  }

  /** Sends a user's poll to one controller; `onAnswer` gets the job's stage, or null for an error. */
  poll(controller: Controller, id: string, onAnswer: (stage: string | null) => void): void {
    controller.userRequests?.poll(id, (answer) => {
      onAnswer(answer.status === 200 ? stageOf(answer.body) : null);
    });
  }

  /** Ends the controller's process; a new one starts after `restartMs`, or never if that is null. */
  crash(controller: Controller, restartMs: number | null): void {
    controller.election = null;
    controller.userRequests = null;
    controller.incarnation += 1;
    const { incarnation } = controller;
    if (restartMs === null) return;
    this.sim.after(restartMs, () => {
      if (controller.incarnation === incarnation) this.startProcess(controller);
    });
  }

  private startProcess(controller: Controller): void {
    controller.incarnation += 1;
    const { incarnation } = controller;
    const isAlive = (): boolean => controller.incarnation === incarnation;
    const rate = 1 + ((controller.index % 3) - 1) * MAX_DRIFT_RATIO;
    const clock = { now: () => this.sim.at * rate, wall: () => this.sim.at };
    const store = this.store.storeOf(controller);
    const election = createElection(this.sim, {
      node: controller.name,
      nonce: `${controller.index}-${incarnation}`,
      store,
      clock,
      acquired: ({ term }) => {
        this.onAcquired(controller, term);
      },
      pause: (ms) => this.pause(controller, isAlive, ms),
      requestPeerLeases: (request) => this.requestPeerLeases(controller, isAlive, request),
    });
    controller.election = election;
    controller.userRequests = new UserRequests({
      onError: failTest,
      clock,
      options: defaultOptions(),
      store,
      terminalStates: new TerminalStateCache(100),
      submissionBudget: new RateBudget(1000, () => 0),
      teams: [],
      catalog: () => null,
      leader: () => toLocalLeader(election),
      beginLeaderlessWrite: (urgency) => election.beginLeaderlessWrite(urgency),
      callLeader: (request) => {
        const leader = this.controllers.find((other) => other.name === election.leaderName());
        return leader && leader !== controller
          ? this.call(controller, leader, request)
          : Promise.resolve(null);
      },
      callOthers: () => Promise.resolve(null),
    });
    election.start();
  }

  private onAcquired(controller: Controller, term: number): void {
    // A process that was stalled may learn late that it won a term.
    const previousTerm = this.acquiredTerms.at(-1) ?? 0;
    if (term <= previousTerm && controller.stalledUntil === 0) {
      this.recordViolation(`term ${term} acquired after ${previousTerm}`);
    }
    this.acquiredTerms.push(term);
  }

  /** The timers of a dead process never fire, and those of a stalled one fire late. */
  private pause(controller: Controller, isAlive: () => boolean, ms: number): Promise<void> {
    return new Promise((resolve) => {
      const fire = (): void => {
        if (!isAlive()) return;
        if (this.sim.at < controller.stalledUntil)
          this.sim.after(controller.stalledUntil - this.sim.at, fire);
        else resolve();
      };
      this.sim.after(ms, fire);
    });
  }

  private isConnected(from: Controller, to: Controller): boolean {
    return this.sim.at >= from.partitionedUntil && this.sim.at >= to.partitionedUntil;
  }

  /** Sends a request to another controller. Request and reply can be delayed or lost; a dead process doesn't reply. */
  private async call(from: Controller, to: Controller, request: PeerRequest): Promise<PeerReply | null> {
    const delay = (): Promise<void> =>
      this.sim.pause(this.sim.between(1, this.messageLossRatio > 0 ? 400 : 20));
    await delay();
    if (!processOf(to) || !this.isConnected(from, to) || this.sim.chance(this.messageLossRatio)) return null;
    await this.sim.pause(Math.max(0, to.stalledUntil - this.sim.at));
    const { incarnation } = to;
    const process = processOf(to);
    if (!process) return null;
    const reply = await replyOf(process, request);
    await delay();
    return to.incarnation === incarnation &&
      this.isConnected(from, to) &&
      !this.sim.chance(this.messageLossRatio)
      ? reply
      : null;
  }

  private async requestPeerLeases(
    controller: Controller,
    isAlive: () => boolean,
    request: PeerLeaseRequest,
  ): Promise<boolean[]> {
    const others = this.controllers.filter((other) => other !== controller);
    const replies = others.map((other) => {
      const timeout = this.pause(controller, isAlive, PEER_TIMEOUT_MS).then(() => null);
      return Promise.race([this.call(controller, other, { kind: 'grantPeerLease', ...request }), timeout]);
    });
    const answers = await Promise.all(replies);
    // A stalled process reads the replies when the stall ends.
    await this.pause(controller, isAlive, 0);
    return answers.map((reply) => reply?.kind === 'granted');
  }

  /**
   * Checks that at most one lease is valid, that the lease of term T is valid only while no leaderless write of T or
   * later has been executed, and that the leader of T answers heartbeats at most for the grace after a cancellation
   * that was confirmed without the leader.
   */
  private check(): void {
    const leadersWithValidLease = this.controllers.filter((controller) =>
      controller.election?.hasValidLease(),
    );
    if (leadersWithValidLease.length > 1)
      this.recordViolation(
        `${leadersWithValidLease.map((controller) => controller.name).join(' and ')} both lead`,
      );
    for (const controller of this.controllers) this.checkLeadership(controller);
  }

  private checkLeadership({ name, election }: Controller): void {
    const term = election?.currentLeadership()?.term;
    if (!election || term === undefined) return;
    if (election.hasValidLease() && this.store.term() > term) {
      this.recordViolation(
        `${name} leads term ${term} with a valid lease after ${this.store.term()} was acquired`,
      );
    }
    const cancellation = this.store.leaderlessWrites.find(
      (write) => write.kind === 'cancellation' && write.term >= term,
    );
    if (!cancellation) return;
    if (election.hasValidLease()) {
      this.recordViolation(`${name} leads term ${term} with a valid lease after a cancellation without it`);
    }
    const sinceMs = this.sim.at - cancellation.at;
    if (election.msSinceLeaseExpiry() <= GRACE_MS && sinceMs > GRACE_MS * 1.002) {
      this.recordViolation(
        `${name} answers heartbeats ${Math.round(sinceMs)} ms after a cancellation without it`,
      );
    }
  }

  private recordViolation(description: string): void {
    if (this.violations.some((violation) => violation.startsWith(description))) return;
    this.violations.push(`${description} (at ${Math.round(this.sim.at)})`);
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

/** The leader as the user requests of its controller see it: every job is running while the lease is valid. */
function toLocalLeader(election: Election): LocalLeader | null {
  const leadership = election.currentLeadership();
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
