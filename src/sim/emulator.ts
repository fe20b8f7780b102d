import { required } from '../base/required.ts';
import { defaultOptions, type Options } from '../config/options.ts';
import type { Settings } from '../config/settings.ts';
import type { Logger } from '../base/log.ts';
import { LoadBalancer } from './balancer.ts';
import { SimCloud } from './cloud.ts';
import { EventLog, type SimEvent } from './events.ts';
import { aftermathS, type Fault, type MachineChoice, type NodeChoice } from './faults.ts';
import { SimNetwork, type Cut, type Host, type TrafficObserver } from './network.ts';
import { ControllerNode, type Tamper } from './node.ts';
import type { MachineType, ReportBody } from './protocol.ts';
import { EventQueue } from './queue.ts';
import { Random } from './random.ts';
import { StateService } from './state.ts';
import { Users, type PlannedJob } from './users.ts';
import { Worker, type WorkerWorld } from './worker.ts';

/** A day to be played. */
export interface Scenario {
  seed: number;
  endS: number;
  faults: Fault[];
  jobs: PlannedJob[];
  /** Settings that all controllers share, as the platform gives them. */
  settings: Settings['settings'];
  types: MachineType[];
  /** Machines that run from the beginning, though no controller has rented them. */
  machines: { type: string; zone: string; spot: boolean; faulty?: boolean }[];
  /** Machines there can be at once. */
  capacity: number;
  /** Troubles of every day: shares of transactions, rentals and machines. */
  always: { lateWrites: number; lostAnswers: number; refusedRentals: number; neverUp: number };
  options?: Options;
}

/** What came of a day. */
export interface Day {
  events: SimEvent[];
  /** Names of the machines that fail every task. */
  faultyMachines: ReadonlySet<string>;
  /** From here on all troubles are over. */
  calmAtMs: number;
  endMs: number;
  /** Puts and deletes that the state service was asked for. */
  changesWritten: number;
}

const STATE_ADDRESS = 'state:1';
const CLOUD_ADDRESS = 'cloud:1';
/** Steady clocks of controllers drift apart by up to 0.05%. */
const CLOCK_RATES = [0.9995, 1, 1.0005, 0.9998, 1.0002];
/** Within this time all controllers have started. */
const NODE_START_MS = 40;
const LATE_REPORT_LEAST_MS = 2000;
const LATE_REPORT_LEASES = 2.5;
/** Copies kept for the next leader reach the controllers within so long of its beginning. */
const NEXT_LEADER_MS = 400;
const MOST_KEPT = 400;
const MOST_HUNG = 8;

/** A cluster with three or five real controllers in simulated time. */
export class Emulator {
  readonly log: EventLog;
  private readonly queue = new EventQueue();
  private readonly random: Random;
  private readonly network: SimNetwork;
  private readonly state: StateService;
  private readonly cloud: SimCloud;
  private readonly users: Users;
  private readonly nodes: ControllerNode[] = [];
  private readonly workers = new Map<string, Worker>();
  private readonly world: WorkerWorld;
  private readonly tasksDone = new Map<string, Set<number>>();
  private lateReports = { untilMs: 0, share: 0, forNext: false };
  private kept: ReportBody[] = [];
  private calmAtMs = 0;
  private readonly faultyMachines = new Set<string>();

  constructor(
    private readonly scenario: Scenario,
    logger: Logger,
    tamper?: Tamper,
    observe?: TrafficObserver,
  ) {
    const { queue } = this;
    this.random = new Random(scenario.seed);
    this.log = new EventLog(() => queue.at);
    this.network = new SimNetwork(queue, this.random, observe);
    const { settings, always } = scenario;
    this.state = new StateService(
      queue,
      this.random,
      settings.state,
      { late: always.lateWrites, lost: always.lostAnswers },
      (node) => {
        this.onLeader(node);
      },
    );
    this.cloud = new SimCloud(
      queue,
      this.random,
      settings.cloud,
      {
        types: scenario.types,
        capacity: scenario.capacity,
        refused: always.refusedRentals,
        lostAnswers: always.lostAnswers,
        neverUp: always.neverUp,
      },
      (identity) => {
        this.workers.set(identity.name, new Worker(this.world, identity));
      },
      (name) => {
        this.workers.get(name)?.remove();
      },
    );
    this.addNodes(logger, tamper);
    this.users = new Users(queue, this.random, this.network, this.log, this.nodes);
    const balancer = new LoadBalancer(queue, this.random, this.network, this.users, this.nodes);
    this.users.useBalancer(balancer);
    balancer.start();
    this.world = {
      queue,
      random: this.random,
      network: this.network,
      log: this.log,
      limits: settings.workers,
      controllers: this.nodes,
      workers: this.workers,
      jobOf: (uid) => this.users.jobOf(uid),
      results: new Set(),
      mistakenJobs: new Set(scenario.jobs.filter((job) => job.mistaken).map((job) => job.body.uid)),
      faultyMachines: this.faultyMachines,
      onReport: (report) => {
        this.keepCopy(report);
      },
      onTaskDone: (uid, task) => {
        this.onTaskDone(uid, task);
      },
    };
  }

  private addNodes(logger: Logger, tamper?: Tamper): void {
    const { settings, options } = this.scenario;
    const { zones } = settings;
    const names = Array.from({ length: settings.nodes }, (_, i) => `hearth-${i}`);
    const world = {
      queue: this.queue,
      random: this.random,
      network: this.network,
      hostAt: (address: string) => this.hostAt(address),
      nodes: this.nodes,
      options: options ?? defaultOptions(),
      log: logger,
      ...(tamper ? { tamper } : {}),
    };
    for (const [i, name] of names.entries()) {
      const own = {
        host_name: name,
        location: required(zones[i % zones.length], 'zone of the node'),
        serve_on: `${name}:1`,
        mesh_addr: `${name}:2`,
        seeds: names
          .filter((other) => other !== name)
          .map((other) => ({ host_name: other, location: '', peer_addr: `${other}:2` })),
        endpoints: { cloud: CLOUD_ADDRESS, state: STATE_ADDRESS },
        settings,
      };
      const rate = required(CLOCK_RATES[i % CLOCK_RATES.length], 'clock rate');
      const wallOffMs = this.random.between(-settings.clock_off_ms, settings.clock_off_ms);
      this.nodes.push(new ControllerNode(world, own, rate, wallOffMs));
    }
  }

  private hostAt(address: string): Host | undefined {
    if (address === STATE_ADDRESS) return this.state;
    if (address === CLOUD_ADDRESS) return this.cloud;
    return this.workers.get(address.slice(0, address.lastIndexOf(':')));
  }

  /** Plays the day to its end. */
  async run(): Promise<Day> {
    const { scenario, queue } = this;
    for (const node of this.nodes) {
      queue.after(this.random.between(0, NODE_START_MS), () => {
        node.start();
      });
    }
    for (const { type, zone, spot, faulty } of scenario.machines) {
      const name = this.cloud.addRunning(
        required(
          scenario.types.find((t) => t.name === type),
          'type of a machine of the scenario',
        ),
        zone,
        spot,
      );
      if (faulty) this.faultyMachines.add(name);
    }
    for (const job of scenario.jobs) this.users.plan(job);
    for (const fault of scenario.faults) {
      const overS = fault.atS + aftermathS(fault, scenario.settings.workers.lease_s);
      this.calmAtMs = Math.max(this.calmAtMs, overS * 1000);
      queue.after(fault.atS * 1000, () => {
        this.strike(fault);
      });
    }
    const endMs = scenario.endS * 1000;
    await queue.run(endMs);
    const { changesAsked: changesWritten } = this.state;
    const { log, calmAtMs, faultyMachines } = this;
    return { events: log.events, faultyMachines, calmAtMs, endMs, changesWritten };
  }

  // ---- what happens ----

  private onTaskDone(uid: string, task: number): void {
    const job = required(this.users.jobOf(uid), 'job of a task that ended');
    const done = this.tasksDone.get(uid) ?? new Set();
    this.tasksDone.set(uid, done);
    done.add(task);
    if (done.size === job.loaves) this.users.ended(uid);
  }

  private onLeader(node: string): void {
    this.log.record({ kind: 'leader', node });
    const copies = this.kept;
    this.kept = [];
    for (const report of copies) this.deliverCopy(report, this.random.between(0, NEXT_LEADER_MS));
  }

  private keepCopy(report: ReportBody): void {
    const { untilMs, share, forNext } = this.lateReports;
    if (this.queue.at >= untilMs || !this.random.chance(share)) return;
    if (forNext && this.kept.length < MOST_KEPT) this.kept.push(report);
    else if (!forNext) {
      const mostMs = this.scenario.settings.workers.lease_s * 1000 * LATE_REPORT_LEASES;
      this.deliverCopy(report, this.random.between(LATE_REPORT_LEAST_MS, mostMs));
    }
  }

  /** A copy of a report reaches every controller; nobody waits for the answers. */
  private deliverCopy(report: ReportBody, afterMs: number): void {
    const request = { method: 'POST', path: '/checkin', body: JSON.stringify(report) };
    this.queue.after(afterMs, () => {
      for (const node of this.nodes) {
        if (!node.up()) continue;
        node.serve({ from: this.users, request, sentAt: this.queue.at, reply: () => undefined });
      }
    });
  }

  // ---- troubles ----

  private node(choice: NodeChoice): ControllerNode {
    if (typeof choice === 'number') return required(this.nodes[choice % this.nodes.length], 'node');
    const leader = this.state.leader();
    const leads = this.nodes.find((n) => n.name === leader) ?? required(this.nodes[0], 'first node');
    if (choice === 'leader') return leads;
    return this.nodes.find((n) => n !== leads && n.up()) ?? leads;
  }

  private machines(choice: MachineChoice): Worker[] {
    const all = [...this.workers.values()];
    if ('zone' in choice) return all.filter((w) => w.zone === choice.zone);
    const found: Worker[] = [];
    for (let i = 0; i < Math.min(choice.count, all.length); i++) {
      found.push(required(all[(choice.from + i) % all.length], 'machine'));
    }
    return found;
  }

  private strike(fault: Fault): void {
    this.log.record({ kind: 'fault', fault });
    const ms = fault.forS * 1000;
    const untilMs = this.queue.at + ms;
    switch (fault.kind) {
      case 'crash':
        this.crash(this.node(fault.node), ms);
        break;
      case 'crash_all':
        for (const node of this.nodes) this.crash(node, ms * this.random.between(0.5, 1));
        break;
      case 'stall':
        this.node(fault.node).stall(ms);
        break;
      case 'state_refuses':
        this.state.refuse(this.node(fault.node).name, ms);
        break;
      case 'state_outage':
        this.state.outage(ms);
        break;
      case 'state_slow':
        this.state.slowUntil = untilMs;
        break;
      case 'late_writes':
        if (fault.atOnce) this.state.lostAnswers = { untilMs, share: fault.share };
        else this.state.lateWrites = { untilMs, share: fault.share };
        break;
      case 'late_reports':
        this.lateReports = { untilMs, share: fault.share, forNext: fault.forNext };
        break;
      case 'late_commands':
        this.network.lateCommands = { untilMs, share: fault.share };
        break;
      case 'node_cut':
        this.network.cut(nodeCut(this.node(fault.node), fault.from, untilMs));
        break;
      case 'zone_cut':
        this.network.cut(zoneCut(fault.zone, untilMs));
        break;
      case 'quick_boots':
        this.cloud.quickBoots = { untilMs, share: 1 };
        break;
      case 'cloud_trouble':
        this.cloud.troubleUntil = untilMs;
        break;
      case 'close_looks':
        this.users.closeLooks = { untilMs, share: 1 };
        break;
      case 'cancel_at_end':
        this.users.cancelAtEnd = { untilMs, share: fault.share };
        break;
      case 'cancel_now':
        this.cancelNow(fault.count, fault.hangS * 1000);
        break;
      case 'odd_requests':
        this.users.oddRequests(ms);
        break;
      default:
        for (const worker of this.machines(fault.machines)) this.strikeMachine(fault.kind, worker, ms);
    }
  }

  private strikeMachine(
    kind: 'machine_cut' | 'machine_hang' | 'machine_die' | 'machine_notice' | 'machine_deaf' | 'machine_mute',
    worker: Worker,
    ms: number,
  ): void {
    const untilMs = this.queue.at + ms;
    const isThis = (host: Host): boolean => host === worker;
    switch (kind) {
      case 'machine_cut':
        this.network.cut({ untilMs, effect: 'hold', severs: (from, to) => isThis(from) || isThis(to) });
        break;
      case 'machine_hang':
        worker.hang(ms);
        break;
      case 'machine_die':
        this.cloud.died(worker.name);
        worker.remove();
        break;
      case 'machine_notice':
        worker.notice(ms);
        this.queue.after(ms, () => {
          this.cloud.died(worker.name);
        });
        break;
      case 'machine_deaf':
        this.network.cut({ untilMs, effect: 'lose', severs: (_from, to) => isThis(to) });
        break;
      case 'machine_mute':
        this.network.cut({
          untilMs,
          effect: 'refuse',
          severs: (from, _to, phase) => isThis(from) && phase === 'request',
        });
    }
  }

  private crash(node: ControllerNode, ms: number): void {
    if (!node.up()) return;
    node.crash();
    this.queue.after(ms, () => {
      node.start();
    });
  }

  private cancelNow(count: number, hangMs: number): void {
    const jobs = this.users.running().slice(0, count);
    for (const uid of jobs) {
      this.queue.after(this.random.between(0, 200), () => {
        this.users.cancel(uid);
      });
    }
    if (hangMs === 0) return;
    const holders = [...this.workers.values()].filter((w) => w.jobs().some((uid) => jobs.includes(uid)));
    for (const worker of holders.slice(0, MOST_HUNG)) worker.hang(hangMs);
  }
}

const PARTY: Record<Host['kind'], 'state' | 'peers' | 'workers' | 'users' | 'cloud'> = {
  state: 'state',
  controller: 'peers',
  worker: 'workers',
  users: 'users',
  cloud: 'cloud',
};

function nodeCut(node: Host, from: readonly string[], untilMs: number): Cut {
  return {
    untilMs,
    effect: 'hold',
    severs: (a, b) => {
      if (a !== node && b !== node) return false;
      return from.includes(PARTY[(a === node ? b : a).kind]);
    },
  };
}

function zoneCut(zone: string, untilMs: number): Cut {
  return { untilMs, effect: 'hold', severs: (a, b) => (a.zone === zone) !== (b.zone === zone) };
}
