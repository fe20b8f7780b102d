import { defaultOptions } from '../../src/config/options.ts';
import type { Settings } from '../../src/config/settings.ts';
import { NameIndex } from '../../src/base/name-index.ts';
import { Leader } from '../../src/leader/leader.ts';
import { Catalog } from '../../src/fleet/catalog.ts';
import type { Answer, Reply } from '../../src/http/server.ts';
import { UserRequests, type UserRequestDeps } from '../../src/jobs/user-requests.ts';
import { TerminalWrites } from '../../src/jobs/terminal-writes.ts';
import { TerminalStateCache } from '../../src/jobs/terminal-state-cache.ts';
import { answerBatch, PollBatcher } from '../../src/jobs/poll-batches.ts';
import { SharedReads } from '../../src/jobs/shared-reads.ts';
import type { PeerReply, PeerRequest, PollAnswer } from '../../src/peers/messages.ts';
import { RateBudget } from '../../src/store/budget.ts';
import {
  moreUrgent,
  type StoreResult,
  type CompareAndSwapResult,
  type Urgency,
} from '../../src/store/key-value-store.ts';
import { KEYS } from '../../src/store/keys.ts';
import { LeaderWriter } from '../../src/store/leader-writer.ts';
import type { Mutation, Condition, Item, WatchEvent } from '../../src/wire/state.ts';
import { SETTINGS } from '../config/sample.ts';
import { BIG, silent } from '../helpers.ts';
import { Sim } from '../model/sim.ts';
import { StateModel } from '../model/state.ts';
import { JOB } from '../wire/sample.ts';
import { leaderlessWrite } from './leaderless.ts';

const READ_TIMEOUT_MS = 1500;
const WRITE_TIMEOUT_MS = 2000;
/** Without renewal the leader's key is gone after this time; the leader counts 100 ms less. */
const LEASE_MS = 3000;
const MAX_REQUESTS = 4000;

export type Kind = 'submit' | 'poll' | 'cancel';
/** How far a job is, as an answer tells it; no answer may be behind an earlier one. */
type Stage = 'unknown' | 'open' | 'done' | 'aborted';
const RANK: Record<Stage, number> = { unknown: 0, open: 1, done: 2, aborted: 2 };

/** Chances by which the state service, the network and the processes misbehave, each per call. */
export interface Luck {
  /** A transaction is carried out and its answer lost. */
  answerLost: number;
  /** A transaction is carried out seconds later; its answer is lost. */
  late: number;
  /** The state service refuses a call. */
  refused: number;
  /** An answer of the state service comes late, up to beyond the time-out. */
  slow: number;
  /** A message between controllers comes late, up to beyond the time-out. */
  peersSlow: number;
}

export const CALM: Luck = { answerLost: 0, late: 0, refused: 0, slow: 0, peersSlow: 0 };

interface Held {
  term: number;
  version: number;
  sureUntil: number;
}

interface Controller {
  index: number;
  /** Counts its restarts: what was begun before one has no effect after it. */
  life: number;
  hungUntil: number;
  knownLeader: number | null;
  held: Held | null;
  leader: Leader | null;
  userRequests: UserRequests;
}

export interface Asked {
  at: number;
  node: number;
  kind: Kind;
  job: number;
  answer: Answer | null;
}

export function jobId(job: number): string {
  return `req-${String(job).padStart(6, '0')}`;
}

function stageOf(answer: Answer): Stage | null {
  if (answer.status === 404) return 'unknown';
  if (answer.status !== 200 && answer.status !== 201) return null;
  const { stage } = JSON.parse(answer.body) as { stage: string };
  return stage === 'done' || stage === 'aborted' ? stage : 'open';
}

/**
 * Three controllers with the real users' side, leader and writer over one shared state service, in simulated time.
 * Every answer is compared with those that were given before its request was begun.
 */
export class Controllers {
  readonly sim: Sim;
  readonly state: StateModel;
  readonly broken: string[] = [];
  readonly requests: Asked[] = [];
  /** How often each stage was told. */
  readonly told: Record<Stage, number> = { unknown: 0, open: 0, done: 0, aborted: 0 };
  private readonly nodes: Controller[] = [];
  private readonly newest = new Map<number, Stage>();
  private readonly cancelAsked = new Set<number>();

  /** `trustMemory`: takes the guard away, a leader tells its memory even of a job whose end is being written. */
  constructor(
    seed: number,
    public luck: Luck,
    private readonly trustMemory = false,
  ) {
    this.sim = new Sim(seed);
    this.state = new StateModel(this.sim);
    for (let index = 0; index < 3; index++) {
      this.nodes.push({
        index,
        life: 0,
        hungUntil: 0,
        knownLeader: null,
        held: null,
        leader: null,
        userRequests: null!,
      });
      this.start(this.nodes[index]!);
    }
  }

  // ---- users ----

  ask(node: number, kind: Kind, job: number): Asked {
    const asked: Asked = { at: this.sim.at, node, kind, job, answer: null };
    this.requests.push(asked);
    const before = this.newest.get(job) ?? 'unknown';
    if (kind === 'cancel') this.cancelAsked.add(job);
    this.deliver(this.nodes[node]!, this.sim.between(0, 2), (controller) => {
      const reply: Reply = (answer) => {
        asked.answer = answer;
        this.answered(asked, answer, before);
      };
      if (kind === 'submit')
        controller.userRequests.submit(JSON.stringify({ ...JOB, uid: jobId(job) }), reply);
      else if (kind === 'poll') controller.userRequests.poll(jobId(job), reply);
      else controller.userRequests.cancel(jobId(job), reply);
    });
    return asked;
  }

  private answered(asked: Asked, answer: Answer, before: Stage): void {
    const stage = stageOf(answer);
    if (!stage) return;
    this.told[stage] += 1;
    const where = `${jobId(asked.job)} asked (${asked.kind}) at ${Math.round(asked.at)} of ${asked.node}`;
    if (RANK[stage] < RANK[before] || (RANK[stage] === 2 && RANK[before] === 2 && stage !== before)) {
      this.broken.push(`${where}: was ${before}, then ${stage} at ${Math.round(this.sim.at)}`);
    }
    if (asked.kind === 'cancel' && stage === 'open')
      this.broken.push(`${where}: cancelled, and told it is open`);
    if (stage === 'aborted' && !this.cancelAsked.has(asked.job))
      this.broken.push(`${where}: cancelled unasked`);
    const newest = this.newest.get(asked.job) ?? 'unknown';
    if (RANK[stage] <= RANK[newest]) return;
    this.newest.set(asked.job, stage);
    this.lookClosely(asked.job);
  }

  /** Users ask all controllers, within milliseconds and for a while, once something new was told. */
  private lookClosely(job: number): void {
    if (this.requests.length > MAX_REQUESTS) return;
    for (const { index } of this.nodes) {
      for (const afterMs of [1, 5, 40, 200, 700, 1500, 3000]) {
        this.sim.after(this.sim.between(0, 5) + afterMs, () => {
          this.ask(index, this.sim.chance(0.8) ? 'poll' : 'submit', job);
        });
      }
    }
  }

  // ---- the processes ----

  /** Brings something to a controller; one that hangs gets to it later, one that restarted never does. */
  private deliver(to: Controller, afterMs: number, run: (to: Controller) => void): void {
    const { life } = to;
    this.sim.after(afterMs, () => {
      if (to.life !== life) return;
      if (to.hungUntil > this.sim.at) this.deliver(to, to.hungUntil - this.sim.at + this.sim.random(), run);
      else run(to);
    });
  }

  private start(c: Controller): void {
    const { users } = defaultOptions();
    const now = (): number => this.sim.at;
    const after = (ms: number, run: () => void): void => {
      this.deliver(c, ms, run);
    };
    const polls = new PollBatcher({
      now,
      after,
      send: async (jobIds) => {
        const reply = await this.askLeader(c, { kind: 'pollBatch', jobIds }, users.forward_ms);
        return reply?.kind === 'pollAnswers' ? reply.answers : null;
      },
    });
    const reads = new SharedReads<StoreResult<Item | null>, Urgency>({
      now,
      after,
      read: (key) => this.get(c, key),
      moreUrgent,
    });
    const store: UserRequestDeps['store'] = {
      get: (key, urgency) => reads.get(key, urgency),
      compareAndSwap: (conditions, changes, _urgency, timeoutMs) =>
        this.txn(c, conditions, changes, timeoutMs),
    };
    c.userRequests = new UserRequests({
      clock: { now, wall: now },
      options: defaultOptions(),
      store,
      terminalStates: new TerminalStateCache(users.final_cache),
      submissions: new RateBudget(1000, now),
      teams: [{ name: 'vision', cpus: 0, gpus: 8, cpusMax: 0, gpusMax: 1000 }],
      catalog: () => new Catalog([{ ...BIG, name: 'g8', cpus: 96, gpus: 8, memory: 768 }]),
      leader: () => c.leader,
      beginLeaderlessWrite: () => Promise.resolve(leaderlessWrite(store)),
      callLeader: (request, timeoutMs) =>
        request.kind === 'poll' ? polls.poll(request.jobId) : this.askLeader(c, request, timeoutMs),
      callOthers: async (request, timeoutMs) => {
        const others = this.nodes.filter((n) => n !== c);
        const asked = others.map(async (n) => {
          const reply = await this.askNode(c, n, request, timeoutMs);
          if (!reply || reply.kind === 'unavailable') throw new Error('no use');
          return reply;
        });
        return Promise.any(asked).catch(() => null);
      },
    });
  }

  private askLeader(c: Controller, request: PeerRequest, timeoutMs: number): Promise<PeerReply | null> {
    if (c.knownLeader === null || c.knownLeader === c.index) return Promise.resolve(null);
    return this.askNode(c, this.nodes[c.knownLeader]!, request, timeoutMs);
  }

  /** As a controller answers another one. */
  private answerNode(asked: Controller, request: PeerRequest, reply: (reply: PeerReply) => void): void {
    if (request.kind === 'grantPeerLease' || request.kind === 'ping' || request.kind === 'workerContact')
      return;
    if (request.kind !== 'pollBatch') {
      asked.userRequests.onPeerRequest(request, reply);
      return;
    }
    const answerOne = (id: string, answered: (answer: PollAnswer) => void): void => {
      asked.userRequests.onPeerRequest({ kind: 'poll', jobId: id }, (found) => {
        answered(found.kind === 'status' || found.kind === 'notFound' ? found : { kind: 'unavailable' });
      });
    };
    reply({ kind: 'pollAnswers', answers: answerBatch(request.jobIds, answerOne) });
  }

  private askNode(
    from: Controller,
    to: Controller,
    request: PeerRequest,
    timeoutMs: number,
  ): Promise<PeerReply | null> {
    return new Promise((resolve) => {
      this.deliver(from, timeoutMs, () => {
        resolve(null);
      });
      const delayMs = (): number =>
        this.sim.chance(this.luck.peersSlow) ? this.sim.between(1, 900) : this.sim.between(1, 3);
      this.deliver(to, delayMs(), (asked) => {
        this.answerNode(asked, request, (reply) => {
          this.deliver(from, delayMs(), () => {
            resolve(reply);
          });
        });
      });
    });
  }

  hang(node: number, ms: number): void {
    this.nodes[node]!.hungUntil = Math.max(this.nodes[node]!.hungUntil, this.sim.at + ms);
  }

  /** Its memory is gone, and it is back at once; its key stays until its lease is over. */
  restart(node: number): void {
    const c = this.nodes[node]!;
    c.life += 1;
    c.hungUntil = 0;
    c.knownLeader = null;
    this.stepDown(c);
    this.start(c);
  }

  // ---- the state service ----

  /** A call: it arrives, is carried out, and its answer comes back, late, or never. */
  private call<T>(c: Controller, timeoutMs: number, carryOut: () => T): Promise<T | 'refused' | 'unknown'> {
    return new Promise((resolve) => {
      this.deliver(c, timeoutMs, () => {
        resolve('unknown');
      });
      this.sim.after(this.sim.between(1, 8), () => {
        const result = this.sim.chance(this.luck.refused) ? 'refused' : carryOut();
        const backMs = this.sim.chance(this.luck.slow) ? this.sim.between(100, 2500) : this.sim.between(1, 8);
        this.deliver(c, backMs, () => {
          resolve(result);
        });
      });
    });
  }

  private async get(c: Controller, key: string): Promise<StoreResult<Item | null>> {
    const found = await this.call(c, READ_TIMEOUT_MS, () => {
      const item = this.state.data.get(key);
      return item ? { key, value: structuredClone(item.value), version: item.version, lease: null } : null;
    });
    if (found === 'refused' || found === 'unknown') return { kind: found };
    return { kind: 'ok', value: found };
  }

  private async txn(
    c: Controller,
    conditions: readonly Condition[],
    changes: readonly Mutation[],
    timeoutMs = WRITE_TIMEOUT_MS,
  ): Promise<CompareAndSwapResult> {
    const late = this.sim.chance(this.luck.late);
    const lost = late || this.sim.chance(this.luck.answerLost);
    const carryOut = (): CompareAndSwapResult => this.state.apply(conditions, changes);
    const result = await this.call(c, timeoutMs, () => {
      if (!late) return carryOut();
      this.sim.after(this.sim.between(2000, 12_000), carryOut);
      return null;
    });
    if (result === 'refused' || result === 'unknown') return { kind: result };
    if (!lost) return result!;
    // No answer comes: the time-out is what ends the wait.
    await new Promise<void>((resolve) => {
      this.deliver(c, timeoutMs, () => {
        resolve();
      });
    });
    return { kind: 'unknown' };
  }

  // ---- leadership ----

  /** Lets a controller lead, once nobody's lease is left; the others hear of it a little later. */
  elect(node: number): void {
    const c = this.nodes[node]!;
    const { life } = c;
    const won = this.state.acquire(LEASE_MS * 1e6);
    if (!won) {
      this.sim.after(100, () => {
        if (c.life === life) this.elect(node);
      });
      return;
    }
    const held: Held = { term: won.term, version: won.version, sureUntil: Infinity };
    c.held = held;
    this.lead(c, held);
    for (const n of this.nodes) {
      this.deliver(n, this.sim.between(1, 400), () => {
        n.knownLeader = node;
      });
    }
  }

  /** The leader's lease runs out: it knows that in time, and finds the key gone up to a second later. */
  depose(): void {
    const leaderKey = this.state.data.get(KEYS.leader);
    if (!leaderKey) return;
    const c = this.nodes.find((n) => n.held?.version === leaderKey.version);
    if (c?.held) {
      const { held } = c;
      held.sureUntil = Math.min(held.sureUntil, this.sim.at + LEASE_MS - 100);
      this.sim.after(LEASE_MS + this.sim.between(0, 1000), () => {
        if (c.held === held) this.stepDown(c);
      });
    }
    this.sim.after(LEASE_MS, () => {
      if (this.state.data.get(KEYS.leader)?.version === leaderKey.version)
        this.state.data.delete(KEYS.leader);
    });
  }

  private stepDown(c: Controller): void {
    c.leader?.stop();
    c.leader = null;
    c.held = null;
  }

  private lead(c: Controller, held: Held): void {
    const { life } = c;
    const current = (): boolean => c.life === life && c.held === held;
    const later = (ms: number): Promise<void> => this.sim.pause(ms);
    const endWrites = new TerminalWrites((id) => leader.isOutcomeUnconfirmed(id));
    const options = defaultOptions();
    // Nothing is placed here: the test's own machine runs what is to be done.
    options.scheduling.takeover_wait_s = 1e6;
    options.fleet.takeover_rent_s = 1e6;
    const writer = new LeaderWriter(
      {
        compareAndSwap: endWrites.tracking((conditions, changes, timeoutMs: number) =>
          this.txn(c, conditions, changes, timeoutMs),
        ),
        readLeader: async () => {
          const leader = await this.get(c, KEYS.leader);
          return leader.kind === 'ok' ? (leader.value?.version ?? 0) : null;
        },
        readFence: async () => {
          const fence = await this.get(c, KEYS.fence);
          return fence.kind === 'ok' ? (fence.value?.version ?? 0) : null;
        },
        lost: () => {
          if (current()) this.stepDown(c);
        },
        pause: later,
      },
      held.version,
      this.state.data.get(KEYS.fence)?.version ?? 0,
      { txnOps: SETTINGS.settings.state.txn_ops, bytes: 50_000 },
      new RateBudget(100, () => this.sim.at),
      silent,
    );
    const finals = new Set<string>();
    const leader: Leader = new Leader({
      host: {
        clock: { now: () => this.sim.at, wall: () => this.sim.at },
        log: silent,
        hasValidLease: () => current() && this.sim.at < held.sureUntil,
        sendCommands: () => Promise.resolve('not_sent'),
        inspect: () => Promise.resolve(null),
        onTerminalState: (id) => {
          finals.add(id);
          endWrites.forget(id);
        },
        isTerminal: (id) => finals.has(id),
        outcomeMayBeWritten: (id) => !this.trustMemory && endWrites.mayBeWritten(id),
        enqueue: (command) => {
          this.deliver(c, 0, () => {
            if (current()) command();
          });
        },
        pause: later,
        superseded: () => undefined,
        lostAllWorkers: () => undefined,
        directHeartbeatAgeMs: () => 0,
        lagMs: () => 0,
      },
      settings: SETTINGS as Settings,
      options,
      teams: [{ name: 'vision', cpus: 0, gpus: 8, cpusMax: 0, gpusMax: 1000 }],
      zones: new NameIndex(['a', 'b']),
      catalog: new Catalog([BIG]),
      cloud: {
        ready: () => false,
        catalog: () => Promise.resolve(null),
        rent: () => Promise.resolve({ kind: 'no_capacity' }),
        terminate: () => Promise.resolve(false),
        list: () => Promise.resolve(null),
      },
      writer,
      term: held.term,
      heartbeatGraceMs: 6000,
    });
    c.leader = leader;
    this.load(c, leader, current);
  }

  /** The records are listed, and loaded when the answer is there; what changes from then on is told in order. */
  private load(c: Controller, leader: Leader, current: () => boolean): void {
    const changes: WatchEvent[] = [];
    let loaded = false;
    const tell = (): void => {
      if (loaded && current() && changes.length > 0) leader.onStoreEvents(changes.splice(0));
    };
    const watch = (events: WatchEvent[]): void => {
      changes.push(...events);
      this.deliver(c, this.sim.between(1, 300), tell);
      if (!current()) this.state.watchers.delete(watch);
    };
    this.deliver(c, this.sim.between(1, 20), () => {
      this.state.watchers.add(watch);
      const open = this.state.list(KEYS.openPrefix);
      const finished = this.state.list(KEYS.completionsPrefix);
      const begun = this.state.list(KEYS.startWatermarksPrefix);
      const roster = this.state.list(KEYS.machineRegistryPrefix);
      this.deliver(c, this.sim.between(5, 500), () => {
        if (!current()) return;
        leader.recover({ open, completions: finished, startWatermarks: begun, machineRegistry: roster });
        loaded = true;
        tell();
      });
    });
  }

  /** All tasks of a job are reported as done to whoever leads, until it has taken that in. */
  complete(job: number): void {
    const c = this.nodes.find((n) => n.leader);
    const known = c?.leader?.lookup(jobId(job));
    if (c?.leader && c.held && known?.kind === 'status' && known.status.stage === 'pending') {
      this.report(c.leader, c.held.term, job);
    }
    const stage = this.newest.get(job);
    if (stage === 'done' || stage === 'aborted' || this.sim.at > 60_000) return;
    this.sim.after(400, () => {
      this.complete(job);
    });
  }

  private seq = 0;

  private report(leader: Leader, term: number, job: number): void {
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
        sequence: ++this.seq,
        fencingToken: term,
        interruptionNoticeS: null,
        tasks,
      });
    }
    leader.afterBatch();
  }
}
