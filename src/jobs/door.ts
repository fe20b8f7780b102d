import type { Clock } from '../core/clock.ts';
import type { Options } from '../config/options.ts';
import type { Catalog } from '../fleet/catalog.ts';
import { failure, type Answer, type Reply } from '../http/server.ts';
import type { MeshReply, MeshRequest } from '../mesh/frames.ts';
import { KEYS } from '../store/keys.ts';
import type { RateBudget } from '../store/budget.ts';
import type { StoreClient } from '../store/client.ts';
import {
  decodeJob,
  encodeStatus,
  isJobId,
  peekJobId,
  type JobRequest,
  type JobStatus,
} from '../wire/user.ts';
import { impossible, type TeamLimits } from './admission.ts';
import type { FinalCache } from './finals.ts';
import { finalValue, openValue, readFinal, readOpen } from './records.ts';

/** What the door needs of the leadership on this node, if there is one. */
export interface LocalLeader {
  status(id: string): JobStatus | null;
  /** False: the job is not known here. */
  cancel(id: string, settled: (status: JobStatus) => void): boolean;
  created(id: string, value: unknown): void;
}

export interface DoorDeps {
  clock: Clock;
  options: Options;
  store: StoreClient;
  finals: FinalCache;
  /** This node's share of the changes of the state service, for new jobs. */
  submissions: RateBudget;
  teams: readonly TeamLimits[];
  catalog(): Catalog | null;
  leader(): LocalLeader | null;
  /** Begins a step that is only allowed without a leader; the result ends it. null: not now. */
  actAlone(): (() => void) | null;
  /** Asks the leading node; null when there is none or it doesn't answer. */
  askLeader(request: MeshRequest, timeoutMs: number): Promise<MeshReply | null>;
  /** Asks all other nodes, for when this one alone can't help; null when none of them can. */
  askOthers(request: MeshRequest, timeoutMs: number): Promise<MeshReply | null>;
}

type Looked = { kind: 'status'; status: JobStatus } | { kind: 'missing' } | { kind: 'unable' };
/** `limited`: too many submissions for the state service; nothing was written. */
type Created = Looked | { kind: 'created' } | { kind: 'limited' };

const PENDING: JobStatus = { stage: 'pending', done: 0, running: 0 };
const CANCEL_FORWARD_MS = 2500;
/** Wait for the answer to the record of a new job, before a look whether it is there. */
const CREATE_TIMEOUT_MS = 1000;
/** After the state service has refused a submission for its rate, so long none is sent: its changes are for others. */
const OVER_LIMIT_REST_MS = 1000;

/**
 * The users' side of every controller. Creating a job needs the store alone; its state comes from the leader,
 * or from a fresh look into the store, which can't be older than what anybody was told before.
 */
export class UserDoor {
  constructor(private readonly deps: DoorDeps) {}

  private busy(reason: string): Answer {
    return failure(503, reason, this.deps.options.users.retry_after_s);
  }

  private found(id: string, status: JobStatus, code = 200): Answer {
    if (status.stage === 'done' || status.stage === 'cancelled') this.deps.finals.put(id, status);
    return { status: code, body: encodeStatus(id, status) };
  }

  // ---- submissions ----

  submit(body: string, reply: Reply): void {
    void this.submitted(body).then(reply);
  }

  private async submitted(body: string): Promise<Answer> {
    const decoded = decodeJob(body);
    const id = decoded.ok ? decoded.value.id : peekJobId(body);
    if (id === null) return failure(400, decoded.ok ? 'malformed' : decoded.reason);
    const known = this.known(id);
    if (known) return this.found(id, known);
    if (!decoded.ok) return this.unlessKnown(id, failure(400, decoded.reason));
    const job = decoded.value;
    const catalog = this.deps.catalog();
    if (!catalog) return this.unlessKnown(id, this.busy('machine types not known yet'));
    const team = this.deps.teams.find((t) => t.name === job.team);
    const never = impossible(job, team, catalog);
    if (never !== null) return this.unlessKnown(id, failure(422, never));
    const created = await this.create(job);
    if (created.kind === 'created') return this.found(id, PENDING, 201);
    if (created.kind === 'status') return this.found(id, created.status);
    if (created.kind === 'limited') return this.busy('too many submissions');
    const request: MeshRequest = { kind: 'submit', jobId: id, body };
    const answer = await this.deps.askOthers(request, this.deps.options.users.forward_ms * 2);
    if (answer?.kind === 'status') return this.found(id, answer, answer.created ? 201 : 200);
    return this.busy('the state service can not be reached');
  }

  /** A known job is answered with its state, whatever else was sent with its id. */
  private async unlessKnown(id: string, otherwise: Answer): Promise<Answer> {
    const looked = await this.look(id);
    if (looked.kind === 'status') return this.found(id, looked.status);
    return looked.kind === 'missing' ? otherwise : this.busy('the state service can not be reached');
  }

  private async create(job: JobRequest): Promise<Created> {
    if (!this.deps.submissions.take()) return { kind: 'limited' };
    const value = openValue(job, this.deps.clock.wall());
    const result = await this.deps.store.txn(
      [
        { key: KEYS.open(job.id), version: 0 },
        { key: KEYS.final(job.id), version: 0 },
      ],
      [{ put: KEYS.open(job.id), value }],
      'user',
      CREATE_TIMEOUT_MS,
    );
    if (result.kind === 'ok') return { kind: 'created' };
    if (result.kind === 'conflict') return this.look(job.id);
    if (result.kind === 'refused' && result.overLimit) {
      this.deps.submissions.rest(OVER_LIMIT_REST_MS);
      return { kind: 'limited' };
    }
    if (result.kind !== 'unknown') return { kind: 'unable' };
    const looked = await this.look(job.id);
    // It may be carried out later still, so that nothing is there proves nothing.
    return looked.kind === 'status' ? looked : { kind: 'unable' };
  }

  // ---- state ----

  /** What this node knows without asking: a final state, or a leader's view. */
  private known(id: string): JobStatus | undefined {
    return this.deps.finals.get(id) ?? this.deps.leader()?.status(id) ?? undefined;
  }

  poll(id: string, reply: Reply): void {
    if (!isJobId(id)) {
      reply(failure(404, 'no such job'));
      return;
    }
    const known = this.known(id);
    if (known) {
      reply(this.found(id, known));
      return;
    }
    void this.lookEverywhere(id).then((looked) => {
      if (looked.kind === 'status') reply(this.found(id, looked.status));
      else if (looked.kind === 'missing') reply(failure(404, 'no such job'));
      else reply(this.busy('state not known now'));
    });
  }

  private async lookEverywhere(id: string): Promise<Looked> {
    const answer = await this.deps.askLeader({ kind: 'poll', jobId: id }, this.deps.options.users.forward_ms);
    if (answer?.kind === 'status') return { kind: 'status', status: answer };
    const looked = await this.look(id);
    if (looked.kind !== 'unable') return looked;
    // Perhaps the state service refuses this node alone; what others find is as fresh.
    return this.lookedBy(
      await this.deps.askOthers({ kind: 'look', jobId: id }, this.deps.options.users.forward_ms),
    );
  }

  private lookedBy(reply: MeshReply | null): Looked {
    if (reply?.kind === 'status') return { kind: 'status', status: reply };
    return { kind: reply?.kind === 'unknown' ? 'missing' : 'unable' };
  }

  /** A fresh look into the store: its record first, which once final only ever moves to the archive. */
  private async look(id: string): Promise<Looked> {
    const open = await this.deps.store.get(KEYS.open(id), 'user');
    if (open.kind !== 'ok') return { kind: 'unable' };
    if (open.value) {
      const over = readFinal(open.value.value);
      return { kind: 'status', status: over ?? this.deps.leader()?.status(id) ?? PENDING };
    }
    const final = await this.deps.store.get(KEYS.final(id), 'user');
    if (final.kind !== 'ok') return { kind: 'unable' };
    if (!final.value) return { kind: 'missing' };
    const status = readFinal(final.value.value);
    return status ? { kind: 'status', status } : { kind: 'unable' };
  }

  // ---- cancellations ----

  cancel(id: string, reply: Reply): void {
    if (!isJobId(id)) {
      reply(failure(404, 'no such job'));
      return;
    }
    const known = this.deps.finals.get(id);
    if (known) {
      reply(this.found(id, known));
      return;
    }
    void this.cancelled(id).then((looked) => {
      if (looked.kind === 'status') reply(this.found(id, looked.status));
      else if (looked.kind === 'missing') reply(failure(404, 'no such job'));
      else reply(this.busy('can not be cancelled now'));
    });
  }

  private async cancelled(id: string): Promise<Looked> {
    if (this.deps.leader()) return this.cancelAsLeader(id);
    const request: MeshRequest = { kind: 'cancel', jobId: id };
    const first = this.lookedBy(await this.deps.askLeader(request, CANCEL_FORWARD_MS));
    if (first.kind !== 'unable') return first;
    const end = this.deps.actAlone();
    if (end) {
      try {
        const alone = await this.cancelWithoutLeader(id);
        if (alone.kind !== 'unable') return alone;
      } finally {
        end();
      }
    }
    // This node may know of no leader, or of one that was, while another leads.
    return this.lookedBy(await this.deps.askOthers(request, CANCEL_FORWARD_MS));
  }

  private async cancelAsLeader(id: string): Promise<Looked> {
    const first = await this.cancelHere(id);
    if (first) return first;
    // Not known here: over already, never accepted, or created a moment ago by another node.
    const open = await this.deps.store.get(KEYS.open(id), 'user');
    if (open.kind !== 'ok') return { kind: 'unable' };
    if (!open.value || readFinal(open.value.value)) return this.look(id);
    const leader = this.deps.leader();
    if (!leader) return { kind: 'unable' };
    leader.created(id, open.value.value);
    return (await this.cancelHere(id)) ?? { kind: 'unable' };
  }

  private cancelHere(id: string): Promise<Looked | null> {
    return new Promise((resolve) => {
      const leader = this.deps.leader();
      const taken = leader?.cancel(id, (status) => {
        resolve({ kind: 'status', status });
      });
      if (!taken) resolve(null);
    });
  }

  /** Only while no node holds the leader key: a leader would go on telling what it knows. */
  private async cancelWithoutLeader(id: string): Promise<Looked> {
    const open = await this.deps.store.get(KEYS.open(id), 'user');
    if (open.kind !== 'ok') return { kind: 'unable' };
    if (!open.value || readFinal(open.value.value)) return this.look(id);
    if (!readOpen(open.value.value)) return { kind: 'unable' };
    const result = await this.deps.store.txn(
      [
        { key: KEYS.leader, version: 0 },
        { key: KEYS.open(id), version: open.value.version },
      ],
      [{ put: KEYS.open(id), value: finalValue('cancelled', 0) }],
      'user',
    );
    if (result.kind !== 'ok') return { kind: 'unable' };
    return { kind: 'status', status: { stage: 'cancelled', done: 0, running: 0 } };
  }

  // ---- requests handed over by other nodes ----

  onMesh(
    request: Exclude<MeshRequest, { kind: 'promise' | 'ping' | 'workers' }>,
    reply: (reply: MeshReply) => void,
  ): void {
    const answer = (looked: Looked): void => {
      if (looked.kind === 'status') reply({ kind: 'status', created: false, ...looked.status });
      else reply({ kind: looked.kind === 'missing' ? 'unknown' : 'unable' });
    };
    if (request.kind === 'poll') {
      const status = this.known(request.jobId);
      if (!this.deps.leader()) answer({ kind: 'unable' });
      else answer(status ? { kind: 'status', status } : { kind: 'missing' });
    } else if (request.kind === 'look') {
      const status = this.known(request.jobId);
      if (status) answer({ kind: 'status', status });
      else void this.look(request.jobId).then(answer);
    } else if (request.kind === 'cancel') {
      if (this.deps.leader()) void this.cancelAsLeader(request.jobId).then(answer);
      else answer({ kind: 'unable' });
    } else {
      const decoded = decodeJob(request.body);
      if (!decoded.ok) {
        reply({ kind: 'refused', status: 400, reason: decoded.reason });
        return;
      }
      void this.create(decoded.value).then((created) => {
        if (created.kind === 'created') reply({ kind: 'status', created: true, ...PENDING });
        else answer(created.kind === 'limited' ? { kind: 'unable' } : created);
      });
    }
  }
}
