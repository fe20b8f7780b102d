import { required } from '../../../src/base/required.ts';
import { defaultOptions } from '../../../src/config/options.ts';
import type { Reply } from '../../../src/http/server.ts';
import { PollBatcher } from '../../../src/jobs/poll-batches.ts';
import { SharedReads } from '../../../src/jobs/shared-reads.ts';
import { TerminalStateCache } from '../../../src/jobs/terminal-state-cache.ts';
import type { UserRequests } from '../../../src/jobs/user-requests.ts';
import type { Leader } from '../../../src/leader/leader.ts';
import { RateBudget } from '../../../src/store/budget.ts';
import { isMoreUrgent, type Urgency } from '../../../src/store/call-budget.ts';
import type { StoreResult } from '../../../src/store/key-value-store.ts';
import { KEYS } from '../../../src/store/keys.ts';
import type { Item } from '../../../src/wire/state.ts';
import { Sim } from '../../model/sim.ts';
import { StateModel } from '../../model/state.ts';
import { JOB } from '../../wire/sample.ts';
import { AnswerHistory, type RequestKind, type UserRequest } from './answer-history.ts';
import type { FaultRates } from './fault-rates.ts';
import { leaderlessWrite } from './leaderless-write.ts';
import { PeerNetwork } from './peer-network.ts';
import { SimulatedController, type HeldLeadership } from './simulated-controller.ts';
import { startLeader } from './simulated-leader.ts';
import { UnreliableStateService } from './unreliable-state-service.ts';
import { createUserRequests, jobId, sampleSubmission, type StoreFake } from './user-requests.ts';
import { failTest } from '../../helpers.ts';

export const CONTROLLER_COUNT = 3;
/** Lifetime of the leader key without renewal; the leader's own lease ends earlier by the margin. */
const LEASE_MS = 3000;
const LEASE_MARGIN_MS = 100;
const ELECTION_RETRY_MS = 100;
const MAX_REQUESTS = 4000;
/** Delays after which users ask again once an answer advanced the newest stage. */
const FOLLOW_UP_MS = [1, 5, 40, 200, 700, 1500, 3000];
const HEARTBEAT_MS = 400;
const LAST_HEARTBEAT_MS = 60_000;

/**
 * Three controllers with the real handling of user requests, the real leader and writer, and one shared store, in
 * simulated time. Every answer is compared with those that were given before its request was sent.
 */
export class Controllers {
  readonly sim: Sim;
  readonly state: StateModel;
  readonly history = new AnswerHistory();
  private readonly store: UnreliableStateService;
  private readonly network: PeerNetwork;
  private readonly controllers: SimulatedController[] = [];
  private requestCount = 0;
  private heartbeatSequence = 0;

  /** `trustMemory`: a leader doesn't check for unconfirmed terminal writes and answers from its memory all the same. */
  constructor(
    seed: number,
    public faults: FaultRates,
    private readonly trustMemory = false,
  ) {
    const currentFaults = (): FaultRates => this.faults;
    this.sim = new Sim(seed);
    this.state = new StateModel(this.sim);
    this.store = new UnreliableStateService(this.sim, this.state, currentFaults);
    this.network = new PeerNetwork(this.sim, this.controllers, currentFaults);
    for (let index = 0; index < CONTROLLER_COUNT; index++) {
      this.controllers.push(
        new SimulatedController(index, this.sim, (controller) => this.userRequestsOf(controller)),
      );
    }
  }

  private controllerAt(index: number): SimulatedController {
    return required(this.controllers[index], `controller ${index}`);
  }

  // ---- users ----

  /** Sends a user's request to a controller. */
  request(node: number, kind: RequestKind, job: number): UserRequest {
    const request: UserRequest = { at: this.sim.at, node, kind, job, answer: null };
    this.requestCount += 1;
    const before = this.history.newestStage(job);
    this.history.recordRequest(request);
    const controller = this.controllerAt(node);
    controller.runAfter(this.sim.between(0, 2), () => {
      const reply: Reply = (answer) => {
        request.answer = answer;
        if (this.history.recordAnswer(request, answer, before, this.sim.at)) this.scheduleFollowUps(job);
      };
      const { userRequests } = controller;
      if (kind === 'submit') userRequests.submit(sampleSubmission(jobId(job)), reply);
      else if (kind === 'poll') userRequests.poll(jobId(job), reply);
      else userRequests.cancel(jobId(job), reply);
    });
    return request;
  }

  /** Users ask all controllers again, within milliseconds and for some seconds, after the newest stage advanced. */
  private scheduleFollowUps(job: number): void {
    if (this.requestCount > MAX_REQUESTS) return;
    for (const { index } of this.controllers) {
      for (const afterMs of FOLLOW_UP_MS) {
        this.sim.after(this.sim.between(0, 5) + afterMs, () => {
          this.request(index, this.sim.chance(0.8) ? 'poll' : 'submit', job);
        });
      }
    }
  }

  // ---- processes ----

  private userRequestsOf(controller: SimulatedController): UserRequests {
    const { users } = defaultOptions();
    const now = (): number => this.sim.at;
    const after = (ms: number, run: () => void): void => {
      controller.runAfter(ms, run);
    };
    const polls = new PollBatcher({
      onError: failTest,
      now,
      after,
      send: async (jobIds) => {
        const request = { kind: 'pollBatch' as const, jobIds };
        const reply = await this.network.callLeader(controller, request, users.forward_ms);
        return reply?.kind === 'pollAnswers' ? reply.answers : null;
      },
    });
    const reads = new SharedReads<StoreResult<Item | null>, Urgency>({
      now,
      after,
      read: (key) => this.store.get(controller, key),
      isMoreUrgent,
    });
    const store: StoreFake = {
      get: (key, urgency) => reads.get(key, urgency),
      compareAndSwap: (conditions, mutations, _urgency, timeoutMs) =>
        this.store.compareAndSwap(controller, conditions, mutations, timeoutMs),
    };
    return createUserRequests(store, {
      clock: { now, wall: now },
      terminalStates: new TerminalStateCache(users.final_cache),
      submissionBudget: new RateBudget(1000, now),
      leader: () => controller.leader,
      beginLeaderlessWrite: () => Promise.resolve(leaderlessWrite(store)),
      callLeader: (request, timeoutMs) =>
        request.kind === 'poll'
          ? polls.poll(request.jobId)
          : this.network.callLeader(controller, request, timeoutMs),
      callOthers: (request, timeoutMs) => this.network.callOthers(controller, request, timeoutMs),
    });
  }

  hang(node: number, ms: number): void {
    this.controllerAt(node).hang(ms);
  }

  restart(node: number): void {
    this.controllerAt(node).restart();
  }

  // ---- leadership ----

  /** Makes a controller the leader once the leader key is free; the other controllers learn of it a little later. */
  elect(node: number): void {
    const controller = this.controllerAt(node);
    const isSameProcess = controller.createProcessCheck();
    const acquired = this.state.acquire(LEASE_MS * 1e6);
    if (!acquired) {
      this.sim.after(ELECTION_RETRY_MS, () => {
        if (isSameProcess()) this.elect(node);
      });
      return;
    }
    const { term, version } = acquired;
    const held: HeldLeadership = { term, version, leaseExpiresAt: Infinity };
    controller.held = held;
    startLeader(
      { sim: this.sim, state: this.state, store: this.store, trustMemory: this.trustMemory },
      controller,
      held,
    );
    for (const other of this.controllers) {
      other.runAfter(this.sim.between(1, 400), () => {
        other.knownLeader = node;
      });
    }
  }

  /**
   * Lets the leader's lease expire: the leader stops relying on it in time, and steps down up to a second after the
   * leader key is gone.
   */
  expireLease(): void {
    const leaderKey = this.state.data.get(KEYS.leader);
    if (!leaderKey) return;
    const controller = this.controllers.find(({ held }) => held?.version === leaderKey.version);
    const held = controller?.held;
    if (held) {
      held.leaseExpiresAt = Math.min(held.leaseExpiresAt, this.sim.at + LEASE_MS - LEASE_MARGIN_MS);
      this.sim.after(LEASE_MS + this.sim.between(0, 1000), () => {
        if (controller.held === held) controller.stepDown();
      });
    }
    this.sim.after(LEASE_MS, () => {
      if (this.state.data.get(KEYS.leader)?.version === leaderKey.version) {
        this.state.data.delete(KEYS.leader);
      }
    });
  }

  // ---- the worker ----

  /** Sends the leader heartbeats that report all tasks of a job as done, until an answer has a terminal state. */
  complete(job: number): void {
    const controller = this.controllers.find(({ leader }) => leader);
    const known = controller?.leader?.lookup(jobId(job));
    if (
      controller?.leader &&
      controller.held &&
      known?.kind === 'found' &&
      known.status.stage === 'pending'
    ) {
      this.sendHeartbeats(controller.leader, controller.held.term, job);
    }
    const stage = this.history.newestStage(job);
    if (stage === 'done' || stage === 'aborted' || this.sim.at > LAST_HEARTBEAT_MS) return;
    this.sim.after(HEARTBEAT_MS, () => {
      this.complete(job);
    });
  }

  private sendHeartbeats(leader: Leader, term: number, job: number): void {
    const name = `n-${job}`;
    const machine = { machine: name, address: `${name}:9000`, machineType: 'big', zone: 'a', spot: true };
    for (const ended of [false, true]) {
      const tasks = Array.from({ length: JOB.loaves }, (_, task) => ({
        jobId: jobId(job),
        task,
        attempt: 1,
        phase: ended ? ('ended' as const) : ('running' as const),
        exitReason: ended ? ('done' as const) : null,
        checkpointed: false,
      }));
      leader.onHeartbeat({
        ...machine,
        incarnation: 1,
        sequence: ++this.heartbeatSequence,
        fencingToken: term,
        interruptionNoticeS: null,
        tasks,
      });
    }
    leader.afterBatch();
  }
}
