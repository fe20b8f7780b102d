import type { Clock } from '../base/clock.ts';
import type { Options } from '../config/options.ts';
import type { Catalog } from '../fleet/catalog.ts';
import { failure, type Answer, type Reply } from '../http/server.ts';
import type { LeaderlessWrite } from '../leadership/election.ts';
import type { PeerReply, PeerRequest } from '../peers/messages.ts';
import { KEYS } from '../store/keys.ts';
import type { RateBudget } from '../store/budget.ts';
import type { KeyValueStore, Urgency } from '../store/key-value-store.ts';
import {
  decodeJob,
  encodeStatus,
  isJobId,
  peekJobId,
  type JobRequest,
  type JobStatus,
} from '../wire/user.ts';
import { infeasibility, type TeamQuota } from './admission.ts';
import type { TerminalStateCache } from './terminal-state-cache.ts';
import {
  isTerminal,
  MAX_LOOKUP_AGE_MS,
  unlessStale,
  type JobLookup,
  type LeaderLookup,
} from './job-lookup.ts';
import { terminalValue, openValue, readTerminal, readOpen } from './records.ts';

/** What user requests need of the leadership on this node, if there is one. */
export interface LocalLeader {
  readonly term: number;
  lookup(id: string): LeaderLookup;
  /** `settled` with null: this leadership ended before the outcome was durable. False: the job is not known here. */
  cancel(id: string, settled: (status: JobStatus | null) => void): boolean;
  observeOpenRecord(id: string, value: unknown): void;
}

export interface UserRequestDeps {
  clock: Clock;
  options: Options;
  store: Pick<KeyValueStore, 'get' | 'compareAndSwap'>;
  terminalStates: TerminalStateCache;
  /** This node's share of the changes of the state service, for new jobs. */
  submissions: RateBudget;
  teams: readonly TeamQuota[];
  catalog(): Catalog | null;
  leader(): LocalLeader | null;
  /** Begins a step that needs a leader's absence. null: not now, or there is a leader. */
  beginLeaderlessWrite(urgency: Urgency): Promise<LeaderlessWrite | null>;
  /** Asks the leading node; null when there is none or it doesn't answer. */
  callLeader(request: PeerRequest, timeoutMs: number): Promise<PeerReply | null>;
  /** Asks all other nodes, for when this one alone can't help; null when none of them can. */
  callOthers(request: PeerRequest, timeoutMs: number): Promise<PeerReply | null>;
}

/** `limited`: too many submissions for the state service; nothing was written. */
type Created = JobLookup | { kind: 'created' } | { kind: 'limited' };

const PENDING: JobStatus = { stage: 'pending', done: 0, running: 0 };
const CANCEL_FORWARD_MS = 2500;
/** Wait for the answer to the record of a new job, before a look whether it is there. */
const CREATE_TIMEOUT_MS = 1000;
/** After the state service has refused a submission for its rate, so long none is sent: its changes are for others. */
const OVER_LIMIT_REST_MS = 1000;

/**
 * The users' side of every controller. Creating a job needs the store alone. A state that is told is either final
 * and durable, or certain in the memory of a leader that surely leads, or read from the store after the request came
 * in: so no answer is older than one that any controller gave before the request. docs/safety.md lists every path.
 */
export class UserRequests {
  constructor(private readonly deps: UserRequestDeps) {}

  private busy(reason: string): Answer {
    return failure(503, reason, this.deps.options.users.retry_after_s);
  }

  private found(id: string, status: JobStatus, code = 200): Answer {
    if (isTerminal(status)) this.deps.terminalStates.put(id, status);
    // The end may have become known here while an open state was being looked up.
    const final = this.deps.terminalStates.get(id);
    if (final) return { status: 200, body: encodeStatus(id, final) };
    return { status: code, body: encodeStatus(id, status) };
  }

  /** Runs a read. What it found is only told while that can't have been overtaken by much. */
  private async timely(read: () => Promise<JobLookup>): Promise<JobLookup> {
    const begunAt = this.deps.clock.now();
    const finding = await read();
    return unlessStale(finding, this.deps.clock.now() - begunAt);
  }

  // ---- submissions ----

  submit(body: string, reply: Reply): void {
    void this.submitted(body).then(reply);
  }

  private async submitted(body: string): Promise<Answer> {
    const decoded = decodeJob(body);
    const id = decoded.ok ? decoded.value.id : peekJobId(body);
    if (id === null) return failure(400, decoded.ok ? 'malformed' : decoded.reason);
    const known = this.view(id);
    if (known.kind === 'status') return this.found(id, known.status);
    if (known.kind === 'uncertain') return this.stateOfUncertain(id);
    if (!decoded.ok) return this.unlessKnown(id, failure(400, decoded.reason));
    const job = decoded.value;
    const catalog = this.deps.catalog();
    const team = this.deps.teams.find((t) => t.name === job.team);
    // An unknown team or a limit that is too small needs no machine types to be told.
    const never = infeasibility(job, team, catalog);
    if (never !== null) return this.unlessKnown(id, failure(422, never));
    if (!catalog) return this.unlessKnown(id, this.busy('machine types not known yet'));
    const created = await this.create(job);
    if (created.kind === 'created') return this.found(id, PENDING, 201);
    if (created.kind === 'status') return this.found(id, created.status);
    if (created.kind === 'limited') return this.busy('too many submissions');
    return this.createdByOthers(id, body);
  }

  private async createdByOthers(id: string, body: string): Promise<Answer> {
    const request: PeerRequest = { kind: 'submit', jobId: id, body };
    let created = false;
    const looked = await this.timely(async () => {
      const reply = await this.deps.callOthers(request, this.deps.options.users.forward_ms * 2);
      created = reply?.kind === 'status' && reply.created;
      return this.lookedBy(reply);
    });
    if (looked.kind === 'status') return this.found(id, looked.status, created ? 201 : 200);
    return this.busy('the state service can not be reached');
  }

  /** A job whose end is being written: only the store can say whether it is over. */
  private async stateOfUncertain(id: string): Promise<Answer> {
    const looked = await this.lookWithHelp(id, 'user');
    return looked.kind === 'status' ? this.found(id, looked.status) : this.busy('state not known now');
  }

  /** A known job is answered with its state, whatever else was sent with its id. */
  private async unlessKnown(id: string, otherwise: Answer): Promise<Answer> {
    const looked = await this.lookWithHelp(id, 'user');
    if (looked.kind === 'status') return this.found(id, looked.status);
    return looked.kind === 'missing' ? otherwise : this.busy('the state service can not be reached');
  }

  private async create(job: JobRequest): Promise<Created> {
    if (!this.deps.submissions.take()) return { kind: 'limited' };
    const value = openValue(job, this.deps.clock.wall());
    const begunAt = this.deps.clock.now();
    const result = await this.deps.store.compareAndSwap(
      [
        { key: KEYS.open(job.id), version: 0 },
        { key: KEYS.archived(job.id), version: 0 },
      ],
      [{ put: KEYS.open(job.id), value }],
      'user',
      CREATE_TIMEOUT_MS,
    );
    if (result.kind === 'conflict') return this.look(job.id);
    if (result.kind === 'refused' && result.overLimit) {
      this.deps.submissions.rest(OVER_LIMIT_REST_MS);
      return { kind: 'limited' };
    }
    if (result.kind === 'unknown') {
      const looked = await this.look(job.id);
      // It may be carried out later still, so that nothing is there proves nothing.
      return looked.kind === 'status' ? looked : { kind: 'unable' };
    }
    if (result.kind !== 'ok') return { kind: 'unable' };
    // By a slow answer the job may be over already, and its user may have been told so elsewhere.
    const tookMs = this.deps.clock.now() - begunAt;
    return tookMs <= MAX_LOOKUP_AGE_MS ? { kind: 'created' } : this.look(job.id);
  }

  // ---- state ----

  /** What this node can say without asking: a final state, or what it knows as the leader. */
  private view(id: string): LeaderLookup {
    const status = this.deps.terminalStates.get(id);
    if (status) return { kind: 'status', status };
    return this.deps.leader()?.lookup(id) ?? { kind: 'unknown' };
  }

  /** The answer to a poll that needs nobody else, or null. */
  pollFromMemory(id: string): Answer | null {
    if (!isJobId(id)) return failure(404, 'no such job');
    const known = this.view(id);
    return known.kind === 'status' ? this.found(id, known.status) : null;
  }

  poll(id: string, reply: Reply): void {
    const known = this.pollFromMemory(id);
    if (known) {
      reply(known);
      return;
    }
    void this.lookEverywhere(id).then((looked) => {
      if (looked.kind === 'status') reply(this.found(id, looked.status));
      else if (looked.kind === 'missing') reply(failure(404, 'no such job'));
      else reply(this.busy('state not known now'));
    });
  }

  private async lookEverywhere(id: string): Promise<JobLookup> {
    const told = await this.timely(() => this.askLeader(id));
    return told.kind === 'status' ? told : this.lookWithHelp(id, 'poll');
  }

  /** The leader answers from memory, so that a job it doesn't know may exist all the same. */
  private async askLeader(id: string): Promise<JobLookup> {
    const { forward_ms } = this.deps.options.users;
    const reply = await this.deps.callLeader({ kind: 'poll', jobId: id }, forward_ms);
    return reply?.kind === 'status' ? { kind: 'status', status: reply } : { kind: 'unable' };
  }

  /** A fresh look. Perhaps the state service refuses this node alone; what others find is as fresh. */
  private async lookWithHelp(id: string, urgency: Urgency): Promise<JobLookup> {
    const looked = await this.look(id, urgency);
    if (looked.kind !== 'unable') return looked;
    const { forward_ms } = this.deps.options.users;
    return this.timely(async () =>
      this.lookedBy(await this.deps.callOthers({ kind: 'lookup', jobId: id }, forward_ms)),
    );
  }

  private lookedBy(reply: PeerReply | null): JobLookup {
    if (reply?.kind === 'status') return { kind: 'status', status: reply };
    return { kind: reply?.kind === 'notFound' ? 'missing' : 'unable' };
  }

  private look(id: string, urgency: Urgency = 'user'): Promise<JobLookup> {
    return this.timely(() => this.readRecords(id, urgency));
  }

  /** A read of the store: the job's record first, which once final only ever moves to the archive. */
  private async readRecords(id: string, urgency: Urgency): Promise<JobLookup> {
    const open = await this.deps.store.get(KEYS.open(id), urgency);
    if (open.kind !== 'ok') return { kind: 'unable' };
    if (open.value)
      return { kind: 'status', status: readTerminal(open.value.value) ?? this.statusOfOpen(id) };
    const final = await this.deps.store.get(KEYS.archived(id), urgency);
    if (final.kind !== 'ok') return { kind: 'unable' };
    if (!final.value) return { kind: 'missing' };
    const status = readTerminal(final.value.value);
    return status ? { kind: 'status', status } : { kind: 'unable' };
  }

  /** The store says that the job is open; a leader on this node knows more, unless it is unsure itself. */
  private statusOfOpen(id: string): JobStatus {
    const known = this.view(id);
    return known.kind === 'status' ? known.status : PENDING;
  }

  // ---- cancellations ----

  cancel(id: string, reply: Reply): void {
    if (!isJobId(id)) {
      reply(failure(404, 'no such job'));
      return;
    }
    const known = this.deps.terminalStates.get(id);
    if (known) {
      reply(this.found(id, known));
      return;
    }
    void this.cancelled(id).then((looked) => {
      // Only a final state answers a cancellation: a job can be created while it is being looked for.
      if (looked.kind === 'status' && isTerminal(looked.status)) reply(this.found(id, looked.status));
      else if (looked.kind === 'missing') reply(failure(404, 'no such job'));
      else reply(this.busy('can not be cancelled now'));
    });
  }

  private async cancelled(id: string): Promise<JobLookup> {
    if (this.deps.leader()) return this.cancelAsLeader(id);
    const request: PeerRequest = { kind: 'cancel', jobId: id };
    const first = await this.timely(async () =>
      this.lookedBy(await this.deps.callLeader(request, CANCEL_FORWARD_MS)),
    );
    if (first.kind !== 'unable') return first;
    const alone = await this.cancelWithoutLeader(id);
    if (alone.kind !== 'unable') return alone;
    // This node may know of no leader, or of one that was, while another leads.
    return this.timely(async () => this.lookedBy(await this.deps.callOthers(request, CANCEL_FORWARD_MS)));
  }

  private async cancelAsLeader(id: string): Promise<JobLookup> {
    const term = this.deps.leader()?.term;
    const first = await this.cancelHere(id);
    if (first) return first;
    // Not known here: over already, never accepted, or created a moment ago by another node.
    const open = await this.deps.store.get(KEYS.open(id), 'user');
    if (open.kind !== 'ok') return { kind: 'unable' };
    if (!open.value || readTerminal(open.value.value)) return this.look(id);
    const leader = this.deps.leader();
    // Of another term, it may have loaded its jobs after this one was over: it must not be brought back.
    if (!leader || leader.term !== term) return { kind: 'unable' };
    leader.observeOpenRecord(id, open.value.value);
    return (await this.cancelHere(id)) ?? { kind: 'unable' };
  }

  private cancelHere(id: string): Promise<JobLookup | null> {
    return new Promise((resolve) => {
      const leader = this.deps.leader();
      const taken = leader?.cancel(id, (status) => {
        resolve(status ? { kind: 'status', status } : { kind: 'unable' });
      });
      if (!taken) resolve(null);
    });
  }

  /** Only while no node holds the leader key: a leader would go on telling what it knows. */
  private async cancelWithoutLeader(id: string): Promise<JobLookup> {
    const step = await this.deps.beginLeaderlessWrite('user');
    if (!step) return { kind: 'unable' };
    const open = await this.deps.store.get(KEYS.open(id), 'user');
    if (open.kind !== 'ok' || !open.value || !readOpen(open.value.value)) {
      step.abandon();
      // Over already, or archived.
      const isOver = open.kind === 'ok' && (!open.value || readTerminal(open.value.value) !== null);
      return isOver ? this.look(id) : { kind: 'unable' };
    }
    const result = await step.commit(
      [{ key: KEYS.open(id), version: open.value.version }],
      [{ put: KEYS.open(id), value: terminalValue('cancelled', 0) }],
      'user',
    );
    if (result.kind !== 'ok') return { kind: 'unable' };
    return { kind: 'status', status: { stage: 'cancelled', done: 0, running: 0 } };
  }

  // ---- requests handed over by other nodes ----

  onPeerRequest(
    request: Exclude<PeerRequest, { kind: 'grantPeerLease' | 'ping' | 'workerContact' | 'pollBatch' }>,
    reply: (reply: PeerReply) => void,
  ): void {
    const answer = (looked: JobLookup): void => {
      if (looked.kind === 'status') reply({ kind: 'status', created: false, ...looked.status });
      else reply({ kind: looked.kind === 'missing' ? 'notFound' : 'unavailable' });
    };
    if (request.kind === 'poll') {
      // Anything but a certain state sends the asking node to the store.
      const known = this.view(request.jobId);
      answer(known.kind === 'status' ? known : { kind: 'unable' });
    } else if (request.kind === 'lookup') {
      const known = this.view(request.jobId);
      if (known.kind === 'status') answer(known);
      else void this.look(request.jobId, 'poll').then(answer);
    } else if (request.kind === 'cancel') {
      if (this.deps.leader()) void this.cancelAsLeader(request.jobId).then(answer);
      else answer({ kind: 'unable' });
    } else if (request.kind === 'submit') {
      const decoded = decodeJob(request.body);
      if (!decoded.ok) {
        reply({ kind: 'refused', status: 400, reason: decoded.reason });
        return;
      }
      void this.create(decoded.value).then((created) => {
        if (created.kind === 'created') reply({ kind: 'status', created: true, ...PENDING });
        else answer(created.kind === 'limited' ? { kind: 'unable' } : created);
      });
    } else {
      answer({ kind: 'unable' });
    }
  }
}
