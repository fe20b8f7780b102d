import type { Clock } from '../core/clock.ts';
import type { Options } from '../config/options.ts';
import type { Catalog } from '../fleet/catalog.ts';
import { failure, type Answer, type Reply } from '../http/server.ts';
import type { LeaderlessStep } from '../leadership/election.ts';
import type { MeshReply, MeshRequest } from '../mesh/frames.ts';
import { KEYS } from '../store/keys.ts';
import type { StoreClient, Urgency } from '../store/client.ts';
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
  store: Pick<StoreClient, 'get' | 'txn'>;
  finals: FinalCache;
  teams: readonly TeamLimits[];
  catalog(): Catalog | null;
  leader(): LocalLeader | null;
  /** Begins a step that needs a leader's absence. null: not now, or there is a leader. */
  actAlone(urgency: Urgency): Promise<LeaderlessStep | null>;
  /** Asks the leading node; null when there is none or it doesn't answer. */
  askLeader(request: MeshRequest, timeoutMs: number): Promise<MeshReply | null>;
  /** Asks all other nodes, for when this one alone can't help; null when none of them can. */
  askOthers(request: MeshRequest, timeoutMs: number): Promise<MeshReply | null>;
}

type Looked = { kind: 'status'; status: JobStatus } | { kind: 'missing' } | { kind: 'unable' };
type Created = Looked | { kind: 'created' };

const PENDING: JobStatus = { stage: 'pending', done: 0, running: 0 };
const CANCEL_FORWARD_MS = 2500;

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
    const team = this.deps.teams.find((t) => t.name === job.team);
    // An unknown team or a limit that is too small needs no machine types to be told.
    const never = impossible(job, team, catalog);
    if (never !== null) return this.unlessKnown(id, failure(422, never));
    if (!catalog) return this.unlessKnown(id, this.busy('machine types not known yet'));
    const created = await this.create(job);
    if (created.kind === 'created') return this.found(id, PENDING, 201);
    if (created.kind === 'status') return this.found(id, created.status);
    const request: MeshRequest = { kind: 'submit', jobId: id, body };
    const answer = await this.deps.askOthers(request, this.deps.options.users.forward_ms * 2);
    if (answer?.kind === 'status') return this.found(id, answer, answer.created ? 201 : 200);
    return this.busy('the state service can not be reached');
  }

  /** A known job is answered with its state, whatever else was sent with its id. */
  private async unlessKnown(id: string, otherwise: Answer): Promise<Answer> {
    const looked = await this.lookHereOrElsewhere(id, 'user');
    if (looked.kind === 'status') return this.found(id, looked.status);
    return looked.kind === 'missing' ? otherwise : this.busy('the state service can not be reached');
  }

  private async create(job: JobRequest): Promise<Created> {
    const value = openValue(job, this.deps.clock.wall());
    const result = await this.deps.store.txn(
      [
        { key: KEYS.open(job.id), version: 0 },
        { key: KEYS.final(job.id), version: 0 },
      ],
      [{ put: KEYS.open(job.id), value }],
      'user',
    );
    if (result.kind === 'ok') return { kind: 'created' };
    if (result.kind === 'conflict') return this.look(job.id);
    return { kind: 'unable' };
  }

  // ---- state ----

  /** What this node knows without asking: a final state, or a leader's view. */
  private known(id: string): JobStatus | undefined {
    return this.deps.finals.get(id) ?? this.deps.leader()?.status(id) ?? undefined;
  }

  /** The answer to a poll that needs nobody else, or null. */
  pollFromMemory(id: string): Answer | null {
    if (!isJobId(id)) return failure(404, 'no such job');
    const known = this.known(id);
    return known ? this.found(id, known) : null;
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

  private async lookEverywhere(id: string): Promise<Looked> {
    const answer = await this.deps.askLeader({ kind: 'poll', jobId: id }, this.deps.options.users.forward_ms);
    if (answer?.kind === 'status') return { kind: 'status', status: answer };
    return this.lookHereOrElsewhere(id, 'poll');
  }

  private async lookHereOrElsewhere(id: string, urgency: Urgency): Promise<Looked> {
    const looked = await this.look(id, urgency);
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

  /** A fresh look into the store: the open record first, since a job only ever moves from open to final. */
  private async look(id: string, urgency: Urgency = 'user'): Promise<Looked> {
    const open = await this.deps.store.get(KEYS.open(id), urgency);
    if (open.kind !== 'ok') return { kind: 'unable' };
    if (open.value) return { kind: 'status', status: this.deps.leader()?.status(id) ?? PENDING };
    const final = await this.deps.store.get(KEYS.final(id), urgency);
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
    const alone = await this.cancelWithoutLeader(id);
    if (alone.kind !== 'unable') return alone;
    // This node may know of no leader, or of one that was, while another leads.
    return this.lookedBy(await this.deps.askOthers(request, CANCEL_FORWARD_MS));
  }

  private async cancelAsLeader(id: string): Promise<Looked> {
    const first = await this.cancelHere(id);
    if (first) return first;
    // Not known here: over already, never accepted, or created a moment ago by another node.
    const open = await this.deps.store.get(KEYS.open(id), 'user');
    if (open.kind !== 'ok') return { kind: 'unable' };
    if (!open.value) return this.look(id);
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
    const step = await this.deps.actAlone('user');
    if (!step) return { kind: 'unable' };
    const open = await this.deps.store.get(KEYS.open(id), 'user');
    if (open.kind !== 'ok' || !open.value || !readOpen(open.value.value)) {
      step.abandon();
      return open.kind === 'ok' && !open.value ? this.look(id) : { kind: 'unable' };
    }
    const result = await step.commit(
      [{ key: KEYS.open(id), version: open.value.version }],
      [{ delete: KEYS.open(id) }, { put: KEYS.final(id), value: finalValue('cancelled', 0) }],
      'user',
    );
    if (result.kind !== 'ok') return { kind: 'unable' };
    return { kind: 'status', status: { stage: 'cancelled', done: 0, running: 0 } };
  }

  // ---- requests handed over by other nodes ----

  onMesh(
    request: Exclude<MeshRequest, { kind: 'promise' | 'ping' | 'workers' | 'polls' }>,
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
      else void this.look(request.jobId, 'poll').then(answer);
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
        else answer(created);
      });
    }
  }
}
