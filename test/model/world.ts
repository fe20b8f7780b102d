import { defaultOptions } from '../../src/config/options.ts';
import type { Settings } from '../../src/config/settings.ts';
import { Intern } from '../../src/core/intern.ts';
import type { Logger } from '../../src/core/log.ts';
import { Leader } from '../../src/core/leader.ts';
import { Catalog } from '../../src/fleet/catalog.ts';
import type { Cloud, RentResult } from '../../src/fleet/cloud.ts';
import { finalValue, openValue, readFinal } from '../../src/jobs/records.ts';
import { validUntil } from '../../src/leadership/election.ts';
import { RateBudget } from '../../src/store/budget.ts';
import { KEYS } from '../../src/store/keys.ts';
import { LeaderWriter } from '../../src/store/writer.ts';
import type { ListedMachine, MachineTypeInfo, RentRequest } from '../../src/wire/cloud.ts';
import { decodeStoredJob, type JobRequest, type JobStage } from '../../src/wire/user.ts';
import type { Command } from '../../src/wire/worker.ts';
import { SETTINGS } from '../config/sample.ts';
import { BIG } from '../helpers.ts';
import { Sim } from './sim.ts';
import { StateModel } from './state.ts';
import { WorkerModel, type Held, type WorkerWorld } from './workers.ts';

export interface Fault {
  atS: number;
  kind:
    | 'crash'
    | 'crash_all'
    | 'blink'
    | 'refuse'
    | 'lose_workers'
    | 'outage'
    | 'cut'
    | 'cut_zone'
    | 'hang'
    | 'die'
    | 'notice'
    | 'deaf'
    | 'copies';
  who: number;
  forS: number;
}

/** Guards that a test can take away, to show that the checker notices. */
export interface Guards {
  roster: boolean;
  begun: boolean;
  lease: boolean;
  fence: boolean;
}

interface Controller {
  index: number;
  alive: boolean;
  life: number;
  refusedUntil: number;
  /** It and the workers don't reach each other. */
  workersLostUntil: number;
  restUntil: number;
  rate: number;
  leader: Leader | null;
  held: { term: number; version: number; lease: number; sureUntil: number } | null;
}

const TTL_MS = 3000;
const GRACE_MS = 6000;
const TYPES: MachineTypeInfo[] = [
  BIG,
  {
    name: 'small',
    cpus: 4,
    gpus: 0,
    memory: 32,
    cacheGb: 50,
    fetchGbPerS: 1,
    price: 1,
    spotPrice: 0.5,
    bootS: 6,
    zones: ['a', 'b'],
  },
];

interface UserJob {
  job: JobRequest;
  told: JobStage | null;
  askedToCancel: boolean;
  cancelTold: number;
  answeredAt: number;
  truth: Set<number>;
}

/**
 * Three controllers with the real leader and writer, workers, the state service, a cloud and users, in
 * simulated time with faults. The rules are checked as things happen.
 */
export class World implements WorkerWorld {
  readonly broken: string[] = [];
  readonly leaseMs = SETTINGS.settings.workers.lease_s * 1000;
  readonly reportMs = SETTINGS.settings.workers.report_s * 1000;
  readonly gangWaitMs = SETTINGS.settings.workers.gang_wait_s * 1000;
  readonly gangPeerMs = SETTINGS.settings.workers.gang_peer_s * 1000;
  readonly jobs = new Map<string, JobRequest>();
  readonly all = new Map<string, WorkerModel>();
  readonly users = new Map<string, UserJob>();
  started = 0;
  /** When the first task of each job started. */
  readonly firstStart = new Map<string, number>();
  /** Jobs whose tasks end with an error wherever they run. */
  readonly mistaken = new Set<string>();
  /** Machines on which every task ends with an error. */
  readonly faulty = new Set<string>();
  private copiesUntil = 0;
  private readonly zoneCutUntil = new Map<string, number>();
  /** All troubles are over by then. */
  calmAt = 0;
  takeovers = 0;
  private readonly state: StateModel;
  private readonly controllers: Controller[] = [];
  private machineCount = 0;
  private readonly rentals = new Map<string, string[]>();
  private readonly catalog = new Catalog(TYPES);

  constructor(
    readonly sim: Sim,
    private readonly guards: Guards,
    private readonly log: Logger,
  ) {
    this.state = new StateModel(sim);
    for (let i = 0; i < 3; i++) {
      const rate = 1 + (i - 1) * 0.0005;
      this.controllers.push({
        index: i,
        alive: true,
        life: 0,
        refusedUntil: 0,
        workersLostUntil: 0,
        restUntil: 0,
        rate,
        leader: null,
        held: null,
      });
      sim.after(i * 40, () => this.elect(i));
      sim.after(200, () => this.beat(i));
    }
    for (let i = 0; i < 4; i++) this.addMachine(TYPES[i % 2]!, i < 2 ? 'a' : 'b', false);
    sim.after(1000, () => this.inspect());
  }

  // ---- machines and workers ----

  private addMachine(type: MachineTypeInfo, zone: string, spot: boolean): string {
    const name = `n-${String(this.machineCount++).padStart(6, '0')}`;
    const size = { cpus: type.cpus, gpus: type.gpus, memory: type.memory };
    const worker = new WorkerModel(this, name, type.name, zone, spot, size);
    // A cut zone cuts off what comes up in it, too.
    worker.cutUntil = this.zoneCutUntil.get(zone) ?? 0;
    this.all.set(name, worker);
    return name;
  }

  /** Messages between controllers and a machine; behind a cut they are held and come late, or are lost. */
  private carry(worker: WorkerModel, run: () => void, inside = false, toWorker = true): void {
    if (toWorker && worker.deafUntil > this.sim.at) return;
    const wait = Math.max(inside ? 0 : worker.cutUntil, worker.hungUntil) - this.sim.at;
    const delay = this.sim.between(1, 40);
    if (wait <= 0) this.sim.after(delay, run);
    else if (this.sim.chance(0.7)) this.sim.after(wait + delay, run);
  }

  send(
    worker: WorkerModel,
    report: ReturnType<WorkerModel['snapshot']>,
    answer: (t: number, c: Command[]) => void,
  ): void {
    // A worker that is cut off still reaches a controller on its own side of the cut.
    const inside = worker.cutUntil > this.sim.at && this.controllers[0]!.alive && this.sim.chance(0.9);
    const leaders = this.controllers.filter((x) => x.alive && x.leader);
    const c = inside ? this.controllers[0]! : leaders[Math.floor(this.sim.random() * leaders.length)];
    if (!c || c.workersLostUntil > this.sim.at) return;
    const arrive = (): void => {
      if (!c.alive || !c.leader || !c.held) return;
      if (this.now(c) - c.held.sureUntil > GRACE_MS) return;
      const { term } = c.held;
      const commands = c.leader.onReport(report);
      if (commands === null) return;
      if (inside) this.sim.after(this.sim.between(1, 40), () => answer(term, commands));
      else this.carry(worker, () => answer(term, commands));
      this.batch(c);
    };
    if (inside) this.sim.after(this.sim.between(1, 40), arrive);
    else this.carry(worker, arrive, false, false);
    if (this.copiesUntil > this.sim.at) this.copy(report);
  }

  /** A copy of a report comes late, from seconds to well over a lease, to whoever leads then. */
  private copy(report: ReturnType<WorkerModel['snapshot']>): void {
    this.sim.after(this.sim.between(2000, this.leaseMs * 2.5), () => {
      for (const c of this.controllers) {
        if (!c.alive || !c.leader || !c.held || this.now(c) - c.held.sureUntil > GRACE_MS) continue;
        c.leader.onReport(report);
        this.batch(c);
      }
    });
  }

  runMs(job: JobRequest): number {
    return job.estimateS * 1000 * this.sim.between(0.5, 1.8);
  }

  fails(held: Held): boolean {
    return this.mistaken.has(held.job.id) || this.faulty.has(held.worker.name);
  }

  onStart(held: Held): void {
    this.started += 1;
    if (!this.firstStart.has(held.job.id)) this.firstStart.set(held.job.id, this.sim.at);
    const user = this.users.get(held.job.id);
    const elsewhere: Held[] = [];
    for (const w of this.all.values()) {
      if (w.gone) continue;
      for (const h of w.held.values()) if (h.on && h !== held) elsewhere.push(h);
    }
    const { job } = held;
    const worker = held.worker;
    if (elsewhere.some((h) => h.job.id === job.id && h.task === held.task)) {
      const other = elsewhere.find((h) => h.job.id === job.id && h.task === held.task)!;
      this.broken.push(
        `ran_twice ${job.id}/${held.task} on ${worker.name} (attempt ${held.attempt}) and ${other.worker.name} ` +
          `(attempt ${other.attempt}) at ${Math.round(this.sim.at)}`,
      );
    }
    const team = SETTINGS.settings.teams.find((t) => t.name === job.team)!;
    const gpus = elsewhere.filter((h) => h.job.team === job.team).reduce((n, h) => n + h.job.gpus, job.gpus);
    if (team.gpus_max > 0 && gpus > team.gpus_max) this.broken.push(`quota ${job.team} ${gpus}`);
    const own = elsewhere.filter((h) => h.job.id === job.id);
    if (worker.spot && !job.spot) this.broken.push(`wrong_place ${job.id}: kind`);
    if (job.zone !== null && job.zone !== worker.zone) this.broken.push(`wrong_place ${job.id}: zone`);
    if (job.types && !job.types.includes(worker.machineType)) this.broken.push(`wrong_place ${job.id}: type`);
    if (job.oneZone && own.some((h) => h.worker.zone !== worker.zone)) {
      this.broken.push(`wrong_place ${job.id}: one zone`);
    }
    const here = own.filter((h) => h.worker.zone === worker.zone).length + 1;
    if (job.spread && here > Math.ceil(job.tasks / 2)) this.broken.push(`wrong_place ${job.id}: spread`);
    if (user && this.sim.at > user.cancelTold + SETTINGS.settings.workers.cancel_s * 1000) {
      this.broken.push(`ran_cancelled ${job.id} started`);
    }
  }

  private inspect(): void {
    for (const w of this.all.values()) {
      if (w.gone) continue;
      for (const h of w.held.values()) {
        const user = this.users.get(h.job.id);
        if (h.on && user && this.sim.at > user.cancelTold + SETTINGS.settings.workers.cancel_s * 1000) {
          this.broken.push(`ran_cancelled ${h.job.id} on ${w.name}`);
        }
      }
    }
    this.sim.after(250, () => this.inspect());
  }

  onDone(h: Held): void {
    const truth = this.users.get(h.job.id)!.truth;
    truth.add(h.task);
    if (h.job.gang) for (let t = 0; t < h.job.tasks; t++) truth.add(t);
  }

  // ---- controllers ----

  private now(c: Controller): number {
    return this.sim.at * c.rate;
  }

  private reachable(c: Controller): boolean {
    return this.sim.at >= c.refusedUntil && !this.state.down;
  }

  private elect(i: number): void {
    const c = this.controllers[i]!;
    this.sim.after(this.sim.between(150, 400), () => this.elect(i));
    if (!c.alive || c.held || !this.reachable(c) || this.sim.at < c.restUntil) return;
    const sentAt = this.now(c);
    const won = this.state.acquire(TTL_MS);
    if (!won) return;
    this.takeovers += 1;
    c.held = { ...won, sureUntil: validUntil(sentAt, TTL_MS) };
    this.lead(c);
    this.renew(c, c.held.lease, c.life);
  }

  private renew(c: Controller, lease: number, life: number): void {
    this.sim.after(700, () => {
      if (!c.alive || c.life !== life || c.held?.lease !== lease) return;
      this.renew(c, lease, life);
      const sentAt = this.now(c);
      this.sim.after(this.sim.between(1, 300), () => {
        if (!c.alive || c.life !== life || c.held?.lease !== lease || !this.reachable(c)) return;
        if (!this.state.renew(lease, TTL_MS)) this.stepDown(c);
        else c.held.sureUntil = Math.max(c.held.sureUntil, validUntil(sentAt, TTL_MS));
      });
    });
  }

  private stepDown(c: Controller): void {
    c.leader?.stop();
    c.leader = null;
    c.held = null;
  }

  private batch(c: Controller): void {
    const { leader, life } = c;
    this.sim.after(0, () => {
      if (c.alive && c.life === life && leader && c.leader === leader) leader.afterBatch();
    });
  }

  private beat(i: number): void {
    const c = this.controllers[i]!;
    if (c.alive && c.leader) this.batch(c);
    this.sim.after(200, () => this.beat(i));
  }

  private lead(c: Controller): void {
    const held = c.held!;
    const { life } = c;
    const current = (): boolean => c.alive && c.life === life && c.held === held;
    const options = defaultOptions();
    const writer = new LeaderWriter(
      {
        txn: (conditions, changes) => {
          // Without the guard, notes of what is begun need neither the leader's key nor the state service.
          const notes = changes.every(
            (x) => 'put' in x && (x.put.startsWith(KEYS.begunPrefix) || x.put === KEYS.fence),
          );
          if (!this.guards.begun && notes) {
            return Promise.resolve({ kind: 'ok', revision: this.state.data.get(KEYS.fence)?.version ?? 0 });
          }
          const kept = this.guards.fence ? conditions : conditions.filter((x) => x.key === KEYS.leader);
          return this.state.txn(kept, changes, () => current() && this.reachable(c));
        },
        readFence: () =>
          Promise.resolve(this.reachable(c) ? (this.state.data.get(KEYS.fence)?.version ?? 0) : null),
        lost: () => {
          if (current()) this.stepDown(c);
        },
        pause: (ms) => this.sim.pause(ms),
      },
      held.version,
      this.state.data.get(KEYS.fence)?.version ?? 0,
      { txnOps: SETTINGS.settings.state.txn_ops, bytes: 50_000 },
      new RateBudget(30, () => this.now(c)),
      this.log,
    );
    const leader: Leader = new Leader({
      host: {
        clock: { now: () => this.now(c), wall: () => this.sim.at },
        log: this.log,
        surelyLeading: () => (this.guards.lease ? current() && this.now(c) < held.sureUntil : true),
        order: async (machine, commands) => {
          const worker = this.all.get(machine.name);
          const { session } = machine;
          return new Promise((resolve) => {
            this.sim.after(2500, () => {
              resolve('silent');
            });
            if (!worker || c.workersLostUntil > this.sim.at) return;
            // The first controller is on the machines' side of every cut.
            const inside = c.index === 0;
            const arrive = (): void => {
              if (worker.gone) return;
              const result = worker.orders(held.term, session, commands);
              this.carry(worker, () => resolve(result), inside, false);
            };
            this.carry(worker, arrive, inside, true);
          });
        },
        inspect: (machine) =>
          new Promise((resolve) => {
            const worker = this.all.get(machine.name);
            this.sim.after(2000, () => {
              resolve(null);
            });
            const answer = (): void => {
              if (!worker!.gone) resolve(worker!.snapshot());
            };
            if (worker && c.workersLostUntil <= this.sim.at) this.carry(worker, answer, c.index === 0, true);
          }),
        final: () => undefined,
        isFinal: (id) => this.state.data.has(KEYS.final(id)),
        post: (command) => {
          this.sim.after(0, () => {
            if (!current() || c.leader !== leader) return;
            command();
            leader.afterBatch();
          });
        },
        pause: (ms) => this.sim.pause(ms),
        superseded: () => {
          if (current()) this.stepDown(c);
        },
        lagMs: () => 0,
        hearsNobody: () => {
          const others = this.controllers.filter(
            (x) => x.alive && x !== c && x.workersLostUntil <= this.sim.at,
          );
          if (others.length === 0 || !current()) return;
          c.restUntil = this.sim.at + 30_000;
          this.stepDown(c);
        },
      },
      settings: SETTINGS as Settings,
      options,
      teams: SETTINGS.settings.teams.map((t) => ({
        name: t.name,
        cpus: t.cpus,
        gpus: t.gpus,
        cpusMax: t.cpus_max,
        gpusMax: t.gpus_max,
      })),
      zones: new Intern(['a', 'b']),
      catalog: this.catalog,
      cloud: this.cloud(),
      writer,
      term: held.term,
      graceMs: GRACE_MS,
    });
    c.leader = leader;
    const watch = (events: Parameters<Leader['onStoreEvents']>[0]): void => {
      this.sim.after(this.sim.between(5, 300), () => {
        if (!current()) {
          this.state.watchers.delete(watch);
          return;
        }
        leader.onStoreEvents(events);
        this.batch(c);
      });
    };
    this.sim.after(this.sim.between(5, 100), () => {
      if (!current()) return;
      this.state.watchers.add(watch);
      const roster = this.guards.roster ? this.state.list(KEYS.machinePrefix) : [];
      leader.load({
        open: this.state.list(KEYS.openPrefix),
        finished: this.state.list(KEYS.finishedPrefix),
        begun: this.guards.begun ? this.state.list(KEYS.begunPrefix) : [],
        roster,
      });
      this.batch(c);
    });
  }

  private cloud(): Cloud {
    const { sim } = this;
    const rent = async (r: RentRequest): Promise<RentResult> => {
      await sim.pause(sim.between(50, 400));
      if (sim.chance(0.1)) return { kind: 'no_capacity' };
      let names = this.rentals.get(r.request);
      if (!names) {
        names = [];
        this.rentals.set(r.request, names);
        const type = TYPES.find((t) => t.name === r.machineType)!;
        const running = [...this.all.values()].filter((w) => !w.gone).length;
        for (let i = 0; i < Math.min(r.count, 14 - running); i++)
          names.push(this.addMachine(type, r.zone, r.spot));
      }
      return sim.chance(0.05) ? { kind: 'unknown' } : { kind: 'rented', names };
    };
    const list = async (): Promise<ListedMachine[] | null> => {
      const machines = [...this.all.values()]
        .filter((w) => !w.gone)
        .map((w) => ({
          name: w.name,
          address: `${w.name}:1`,
          machineType: w.machineType,
          zone: w.zone,
          spot: w.spot,
          state: 'running' as const,
          ageS: 1,
        }));
      await sim.pause(4000);
      return machines;
    };
    return {
      ready: () => true,
      catalog: () => Promise.resolve(TYPES),
      rent,
      giveBack: async (names) => {
        await sim.pause(sim.between(50, 400));
        if (sim.chance(0.1)) return false;
        for (const name of names) this.all.get(name)?.kill();
        return true;
      },
      list,
    };
  }

  // ---- users ----

  submit(wire: object): void {
    const decoded = decodeStoredJob(wire);
    if (!decoded.ok) throw new Error(decoded.reason);
    const job = decoded.value;
    this.jobs.set(job.id, job);
    const attempt = (): void => {
      if (this.state.down) {
        this.sim.after(1000, attempt);
        return;
      }
      this.users.set(job.id, {
        job,
        told: null,
        askedToCancel: false,
        cancelTold: Infinity,
        answeredAt: this.sim.at,
        truth: new Set(),
      });
      const conditions = [
        { key: KEYS.open(job.id), version: 0 },
        { key: KEYS.final(job.id), version: 0 },
      ];
      this.state.apply(conditions, [{ put: KEYS.open(job.id), value: openValue(job, this.sim.at) }]);
      this.poll(job.id);
    };
    attempt();
  }

  cancel(id: string): void {
    const user = this.users.get(id);
    if (!user || user.told === 'done' || user.told === 'cancelled') return;
    user.askedToCancel = true;
    const c = this.controllers[Math.floor(this.sim.random() * 3)]!;
    if (c.alive && c.leader?.cancel(id, (status) => this.tell(user, status.stage))) {
      this.batch(c);
    } else if (!this.state.down && !this.state.hasLeader() && this.state.data.has(KEYS.open(id))) {
      const version = this.state.data.get(KEYS.open(id))!.version;
      const changes = [{ delete: KEYS.open(id) }, { put: KEYS.final(id), value: finalValue('cancelled', 0) }];
      const result = this.state.apply(
        [
          { key: KEYS.leader, version: 0 },
          { key: KEYS.open(id), version },
        ],
        changes,
      );
      if (result.kind === 'ok') this.tell(user, 'cancelled');
    }
    this.sim.after(2000, () => this.cancel(id));
  }

  private tell(user: UserJob, stage: JobStage): void {
    const { job } = user;
    const before = user.told;
    if ((before === 'done' || before === 'cancelled') && before !== stage) {
      this.broken.push(`went_back ${job.id}: ${before}, then ${stage}`);
    }
    if (stage === 'cancelled') {
      if (!user.askedToCancel) this.broken.push(`went_back ${job.id}: cancelled unasked`);
      user.cancelTold = Math.min(user.cancelTold, this.sim.at);
    }
    if (stage === 'done' && user.truth.size < job.tasks) {
      this.broken.push(`not_done ${job.id}: ${user.truth.size}/${job.tasks}`);
    }
    user.told = stage;
    user.answeredAt = this.sim.at;
  }

  private poll(id: string): void {
    const user = this.users.get(id)!;
    const c = this.controllers[Math.floor(this.sim.random() * 3)]!;
    if (c.alive) {
      const status = c.leader?.status(id);
      if (status) this.tell(user, status.stage);
      else if (this.reachable(c)) this.look(user);
    }
    this.sim.after(2500, () => this.poll(id));
  }

  private look(user: UserJob): void {
    const { id } = user.job;
    if (this.state.data.has(KEYS.open(id))) {
      this.tell(user, 'pending');
      return;
    }
    const final = this.state.data.get(KEYS.final(id));
    const status = final ? readFinal(final.value) : null;
    if (status) this.tell(user, status.stage);
    else this.broken.push(`forgotten ${id}`);
  }

  /** At a day's end, once all troubles have been over for `afterMs`: what is neither done nor known any more. */
  unserved(afterMs: number): string[] {
    if (this.sim.at < this.calmAt + afterMs) return [];
    const found: string[] = [];
    for (const [id, u] of this.users) {
      const over = u.told === 'done' || u.told === 'cancelled';
      if (!over && this.sim.at - u.answeredAt > 75_000) found.push(`no answer about ${id}`);
      if (!over && !u.askedToCancel) found.push(`${id} is ${u.told ?? 'unknown'}`);
    }
    return found;
  }

  // ---- faults ----

  strike(f: Fault): void {
    const ms = f.forS * 1000;
    this.calmAt = Math.max(this.calmAt, this.sim.at + ms);
    const machines = [...this.all.values()].filter((w) => !w.gone);
    const machine = machines[f.who % Math.max(1, machines.length)];
    const leading = this.controllers.find((c) => c.leader) ?? this.controllers[f.who % 3]!;
    switch (f.kind) {
      case 'crash':
        this.crash(leading, Math.min(ms, 8000));
        break;
      case 'blink':
        this.crash(leading, this.sim.between(20, 400));
        break;
      case 'deaf':
        if (machine) machine.deafUntil = this.sim.at + ms * 2;
        this.calmAt = Math.max(this.calmAt, this.sim.at + ms * 2);
        break;
      case 'copies':
        this.copiesUntil = this.sim.at + ms;
        this.calmAt = Math.max(this.calmAt, this.sim.at + ms + this.leaseMs * 2.5);
        break;
      case 'crash_all':
        for (const c of this.controllers) this.crash(c, this.sim.between(500, 8000));
        break;
      case 'lose_workers':
        leading.workersLostUntil = this.sim.at + ms;
        break;
      case 'refuse':
        leading.refusedUntil = this.sim.at + ms;
        break;
      case 'outage':
        this.state.outage(ms, TTL_MS);
        break;
      case 'cut':
        if (machine) machine.cutUntil = this.sim.at + ms;
        break;
      case 'cut_zone':
        for (const w of machines) if (w.zone === (f.who % 2 ? 'a' : 'b')) w.cutUntil = this.sim.at + ms;
        this.zoneCutUntil.set(f.who % 2 ? 'a' : 'b', this.sim.at + ms);
        break;
      case 'hang':
        if (machine) machine.hungUntil = this.sim.at + ms;
        break;
      case 'die':
        machine?.kill();
        break;
      case 'notice':
        if (machine) {
          machine.takenAt = this.sim.at + 12_000;
          this.sim.after(12_000, () => machine.kill());
        }
        break;
    }
  }

  private crash(c: Controller, ms: number): void {
    if (!c.alive) return;
    this.stepDown(c);
    c.alive = false;
    c.life += 1;
    this.sim.after(ms, () => {
      c.alive = true;
    });
  }
}
