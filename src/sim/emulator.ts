import { required } from '../base/required.ts';
import { defaultOptions, type Options } from '../config/options.ts';
import type { Settings } from '../config/settings.ts';
import type { Logger } from '../base/log.ts';
import { LoadBalancer } from './balancer.ts';
import { SimCloud } from './cloud.ts';
import { EventLog, type SimEvent } from './events.ts';
import { faultEffectS, type Fault, type MachineChoice, type NodeChoice } from './faults.ts';
import { SimNetwork, type NetworkInterruption, type Host, type TrafficObserver } from './network.ts';
import { ControllerNode, type ControllerOverrides } from './node.ts';
import type { MachineType, HeartbeatBody } from './protocol.ts';
import { EventQueue } from './queue.ts';
import { Random } from './random.ts';
import { RequestRepeater } from './repeats.ts';
import { StateService } from './state.ts';
import { Users, type PlannedJob } from './users.ts';
import { Worker, type WorkerContext } from './worker.ts';

/** A day to be simulated: its cluster, jobs and faults. */
export interface Scenario {
  seed: number;
  /** Length of the day, in seconds. */
  endS: number;
  faults: Fault[];
  jobs: PlannedJob[];
  /** Settings of the platform, which all controllers share. */
  settings: Settings['settings'];
  types: MachineType[];
  /** Machines that run from the beginning without having been rented; `faulty` ones fail every task. */
  machines: { type: string; zone: string; spot: boolean; faulty?: boolean }[];
  /** Maximum number of machines at a time. */
  capacity: number;
  /** Shares (0 to 1) of transactions, rentals and machines with a fault throughout the day. */
  baselineFaultRates: { lateWrites: number; lostAnswers: number; refusedRentals: number; neverUp: number };
  options?: Options;
}

/** Events and totals of a simulated day. */
export interface SimulationResult {
  events: SimEvent[];
  /** Names of the machines that fail every task. */
  faultyMachines: ReadonlySet<string>;
  /** When the effects of all injected faults are over. */
  faultsEndMs: number;
  endMs: number;
  /** Number of puts and deletes that the controllers requested of the state service. */
  requestedChangeCount: number;
  /** Number of copies of answered requests that reached their receivers again. */
  repeatedRequestCount: number;
}

const STATE_ADDRESS = 'state:1';
const CLOUD_ADDRESS = 'cloud:1';
/** Rates of the controllers' monotonic clocks, which drift by up to 0.05%. */
const CLOCK_RATE_RATIOS = [0.9995, 1, 1.0005, 0.9998, 1.0002];
/** All controllers start within this time. */
const MAX_NODE_START_MS = 40;
/** Copies of the fault `late_reports` are delayed by at least this time. */
const MIN_HEARTBEAT_DELAY_MS = 2000;
/** Copies of the fault `late_reports` are delayed by at most this number of worker leases. */
const MAX_HEARTBEAT_DELAY_LEASES = 2.5;
/** Copies held for the next leader reach the controllers within this time after its election. */
const MAX_NEXT_LEADER_DELAY_MS = 400;
const MAX_HELD_HEARTBEATS = 400;
/** The fault `cancel_now` hangs at most this number of machines. */
const MAX_HUNG_MACHINES = 8;

/** Simulates a cluster with three or five real controllers; all other parties are emulated. */
export class Emulator {
  readonly log: EventLog;
  private readonly queue = new EventQueue();
  private readonly random: Random;
  private readonly repeater: RequestRepeater;
  private readonly network: SimNetwork;
  private readonly state: StateService;
  private readonly cloud: SimCloud;
  private readonly users: Users;
  private readonly nodes: ControllerNode[] = [];
  private readonly workers = new Map<string, Worker>();
  private readonly workerContext: WorkerContext;
  private readonly doneTasks = new Map<string, Set<number>>();
  private lateHeartbeats = { untilMs: 0, share: 0, untilNextLeader: false };
  private heldHeartbeats: HeartbeatBody[] = [];
  private faultsEndMs = 0;
  private readonly faultyMachines = new Set<string>();

  constructor(
    private readonly scenario: Scenario,
    logger: Logger,
    overrides?: ControllerOverrides,
    observe?: TrafficObserver,
  ) {
    const { queue } = this;
    this.random = new Random(scenario.seed);
    this.log = new EventLog(() => queue.nowMs);
    this.repeater = new RequestRepeater(queue, scenario.seed);
    this.network = new SimNetwork(queue, this.random, this.repeater, observe);
    const { settings, baselineFaultRates: faultRates } = scenario;
    this.state = new StateService(
      queue,
      this.random,
      settings.state,
      { late: faultRates.lateWrites, lost: faultRates.lostAnswers },
      (node) => {
        this.recordLeader(node);
      },
    );
    this.cloud = new SimCloud(
      queue,
      this.random,
      settings.cloud,
      {
        types: scenario.types,
        capacity: scenario.capacity,
        refusedRentals: faultRates.refusedRentals,
        lostAnswers: faultRates.lostAnswers,
        neverUp: faultRates.neverUp,
      },
      (identity) => {
        this.workers.set(identity.name, new Worker(this.workerContext, identity));
      },
      (name) => {
        this.workers.get(name)?.remove();
      },
    );
    this.addNodes(logger, overrides);
    this.users = new Users(queue, this.random, this.network, this.log, this.nodes);
    const balancer = new LoadBalancer(queue, this.random, this.network, this.users, this.nodes);
    this.users.setBalancer(balancer);
    balancer.start();
    this.workerContext = {
      queue,
      random: this.random,
      network: this.network,
      log: this.log,
      limits: settings.workers,
      controllers: this.nodes,
      workers: this.workers,
      findJob: (uid) => this.users.findJob(uid),
      doneTasks: new Set(),
      failingJobs: new Set(scenario.jobs.filter((job) => job.alwaysFails).map((job) => job.body.uid)),
      faultyMachines: this.faultyMachines,
      onHeartbeat: (heartbeat) => {
        this.captureHeartbeat(heartbeat);
      },
      onTaskDone: (uid, task) => {
        this.recordTaskDone(uid, task);
      },
    };
  }

  private addNodes(logger: Logger, overrides?: ControllerOverrides): void {
    const { settings, options } = this.scenario;
    const { zones } = settings;
    const names = Array.from({ length: settings.nodes }, (_, i) => `hearth-${i}`);
    const context = {
      queue: this.queue,
      random: this.random,
      network: this.network,
      findHost: (address: string) => this.findHost(address),
      nodes: this.nodes,
      options: options ?? defaultOptions(),
      log: logger,
      ...(overrides ? { overrides } : {}),
    };
    for (const [i, name] of names.entries()) {
      const nodeSettings = {
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
      const clockRate = required(CLOCK_RATE_RATIOS[i % CLOCK_RATE_RATIOS.length], 'clock rate');
      const clockOffsetMs = this.random.between(-settings.clock_off_ms, settings.clock_off_ms);
      this.nodes.push(new ControllerNode(context, nodeSettings, clockRate, clockOffsetMs));
    }
  }

  private findHost(address: string): Host | undefined {
    if (address === STATE_ADDRESS) return this.state;
    if (address === CLOUD_ADDRESS) return this.cloud;
    return this.workers.get(address.slice(0, address.lastIndexOf(':')));
  }

  /** Runs the day to its end. */
  async run(): Promise<SimulationResult> {
    const { scenario, queue } = this;
    for (const node of this.nodes) {
      queue.after(this.random.between(0, MAX_NODE_START_MS), () => {
        node.start();
      });
    }
    for (const { type, zone, spot, faulty } of scenario.machines) {
      const name = this.cloud.addRunningMachine(
        required(
          scenario.types.find((t) => t.name === type),
          'type of a machine of the scenario',
        ),
        zone,
        spot,
      );
      if (faulty) this.faultyMachines.add(name);
    }
    for (const job of scenario.jobs) this.users.planJob(job);
    for (const fault of scenario.faults) {
      const effectEndS = fault.atS + faultEffectS(fault, scenario.settings.workers.lease_s);
      this.faultsEndMs = Math.max(this.faultsEndMs, effectEndS * 1000);
      queue.after(fault.atS * 1000, () => {
        this.injectFault(fault);
      });
    }
    const endMs = scenario.endS * 1000;
    await queue.run(endMs);
    const { requestedChangeCount } = this.state;
    const { log, faultsEndMs, faultyMachines } = this;
    const { copyCount: repeatedRequestCount } = this.repeater;
    return {
      events: log.events,
      faultyMachines,
      faultsEndMs,
      endMs,
      requestedChangeCount,
      repeatedRequestCount,
    };
  }

  // ---- events of the emulated parties ----

  private recordTaskDone(uid: string, task: number): void {
    const job = required(this.users.findJob(uid), 'job of a task that ended');
    const done = this.doneTasks.get(uid) ?? new Set();
    this.doneTasks.set(uid, done);
    done.add(task);
    if (done.size === job.loaves) this.users.onLastTaskEnded(uid);
  }

  private recordLeader(node: string): void {
    this.log.record({ kind: 'leader', node });
    const copies = this.heldHeartbeats;
    this.heldHeartbeats = [];
    for (const heartbeat of copies)
      this.deliverHeartbeatCopy(heartbeat, this.random.between(0, MAX_NEXT_LEADER_DELAY_MS));
  }

  private captureHeartbeat(heartbeat: HeartbeatBody): void {
    const { untilMs, share, untilNextLeader } = this.lateHeartbeats;
    if (this.queue.nowMs >= untilMs || !this.random.chance(share)) return;
    if (untilNextLeader && this.heldHeartbeats.length < MAX_HELD_HEARTBEATS)
      this.heldHeartbeats.push(heartbeat);
    else if (!untilNextLeader) {
      const maxDelayMs = this.scenario.settings.workers.lease_s * 1000 * MAX_HEARTBEAT_DELAY_LEASES;
      this.deliverHeartbeatCopy(heartbeat, this.random.between(MIN_HEARTBEAT_DELAY_MS, maxDelayMs));
    }
  }

  /** Delivers a copy of a heartbeat to every running controller and discards the answers. */
  private deliverHeartbeatCopy(heartbeat: HeartbeatBody, delayMs: number): void {
    const request = { method: 'POST', path: '/checkin', body: JSON.stringify(heartbeat) };
    this.queue.after(delayMs, () => {
      for (const node of this.nodes) {
        if (!node.isUp()) continue;
        node.serve({ from: this.users, request, sentAt: this.queue.nowMs, reply: () => undefined });
      }
    });
  }

  // ---- faults ----

  private selectNode(choice: NodeChoice): ControllerNode {
    if (typeof choice === 'number') return required(this.nodes[choice % this.nodes.length], 'node');
    const leaderName = this.state.leaderName();
    const leader = this.nodes.find((n) => n.name === leaderName) ?? required(this.nodes[0], 'first node');
    if (choice === 'leader') return leader;
    return this.nodes.find((n) => n !== leader && n.isUp()) ?? leader;
  }

  private selectMachines(choice: MachineChoice): Worker[] {
    const workers = [...this.workers.values()];
    if ('zone' in choice) return workers.filter((w) => w.zone === choice.zone);
    const selected: Worker[] = [];
    for (let i = 0; i < Math.min(choice.count, workers.length); i++) {
      selected.push(required(workers[(choice.from + i) % workers.length], 'machine'));
    }
    return selected;
  }

  private injectFault(fault: Fault): void {
    this.log.record({ kind: 'fault', fault });
    const ms = fault.forS * 1000;
    const untilMs = this.queue.nowMs + ms;
    switch (fault.kind) {
      case 'crash':
        this.crashNode(this.selectNode(fault.node), ms);
        break;
      case 'crash_all':
        for (const node of this.nodes) this.crashNode(node, ms * this.random.between(0.5, 1));
        break;
      case 'stall':
        this.selectNode(fault.node).stall(ms);
        break;
      case 'state_refuses':
        this.state.refuseController(this.selectNode(fault.node).name, ms);
        break;
      case 'state_outage':
        this.state.startOutage(ms);
        break;
      case 'state_slow':
        this.state.slowUntil = untilMs;
        break;
      case 'late_writes':
        if (fault.atOnce) this.state.lostAnswers = { untilMs, share: fault.share };
        else this.state.lateWrites = { untilMs, share: fault.share };
        break;
      case 'late_reports':
        this.lateHeartbeats = { untilMs, share: fault.share, untilNextLeader: fault.untilNextLeader };
        break;
      case 'late_commands':
        this.network.lateCommands = { untilMs, share: fault.share };
        break;
      case 'repeated_requests':
        this.repeater.open({
          untilMs,
          of: fault.of,
          share: fault.share,
          minDelayMs: fault.minDelayS * 1000,
          maxDelayMs: fault.maxDelayS * 1000,
        });
        break;
      case 'node_cut':
        this.network.interrupt(createNodeInterruption(this.selectNode(fault.node), fault.from, untilMs));
        break;
      case 'zone_cut':
        this.network.interrupt(createZoneInterruption(fault.zone, untilMs));
        break;
      case 'quick_boots':
        this.cloud.quickBoots = { untilMs, share: 1 };
        break;
      case 'cloud_trouble':
        this.cloud.unavailableUntil = untilMs;
        break;
      case 'close_looks':
        this.users.requestBursts = { untilMs, share: 1 };
        break;
      case 'cancel_at_end':
        this.users.cancelAtEnd = { untilMs, share: fault.share };
        break;
      case 'cancel_now':
        this.cancelRunningJobs(fault.count, fault.hangS * 1000);
        break;
      case 'odd_requests':
        this.users.startOddRequests(ms);
        break;
      case 'machine_restart':
        for (const worker of this.selectMachines(fault.machines)) worker.restart(ms, fault.emptied);
        break;
      default:
        for (const worker of this.selectMachines(fault.machines))
          this.injectMachineFault(fault.kind, worker, ms);
    }
  }

  private injectMachineFault(
    kind: 'machine_cut' | 'machine_hang' | 'machine_die' | 'machine_notice' | 'machine_deaf' | 'machine_mute',
    worker: Worker,
    ms: number,
  ): void {
    const untilMs = this.queue.nowMs + ms;
    const isTarget = (host: Host): boolean => host === worker;
    switch (kind) {
      case 'machine_cut':
        this.network.interrupt({
          untilMs,
          effect: 'hold',
          affects: (from, to) => isTarget(from) || isTarget(to),
        });
        break;
      case 'machine_hang':
        worker.hang(ms);
        break;
      case 'machine_die':
        this.cloud.markFailed(worker.name);
        worker.remove();
        break;
      case 'machine_notice':
        worker.announceReclaim(ms);
        this.queue.after(ms, () => {
          this.cloud.markFailed(worker.name);
        });
        break;
      case 'machine_deaf':
        this.network.interrupt({ untilMs, effect: 'lose', affects: (_from, to) => isTarget(to) });
        break;
      case 'machine_mute':
        this.network.interrupt({
          untilMs,
          effect: 'refuse',
          affects: (from, _to, direction) => isTarget(from) && direction === 'request',
        });
    }
  }

  private crashNode(node: ControllerNode, ms: number): void {
    if (!node.isUp()) return;
    node.crash();
    this.queue.after(ms, () => {
      node.start();
    });
  }

  private cancelRunningJobs(count: number, hangMs: number): void {
    const jobs = this.users.runningJobIds().slice(0, count);
    for (const uid of jobs) {
      this.queue.after(this.random.between(0, 200), () => {
        this.users.cancel(uid);
      });
    }
    if (hangMs === 0) return;
    const workers = [...this.workers.values()].filter((w) => w.jobIds().some((uid) => jobs.includes(uid)));
    for (const worker of workers.slice(0, MAX_HUNG_MACHINES)) worker.hang(hangMs);
  }
}

const PARTY_BY_HOST_KIND: Record<Host['kind'], 'state' | 'peers' | 'workers' | 'users' | 'cloud'> = {
  state: 'state',
  controller: 'peers',
  worker: 'workers',
  users: 'users',
  cloud: 'cloud',
};

function createNodeInterruption(node: Host, from: readonly string[], untilMs: number): NetworkInterruption {
  return {
    untilMs,
    effect: 'hold',
    affects: (a, b) => {
      if (a !== node && b !== node) return false;
      return from.includes(PARTY_BY_HOST_KIND[(a === node ? b : a).kind]);
    },
  };
}

function createZoneInterruption(zone: string, untilMs: number): NetworkInterruption {
  return { untilMs, effect: 'hold', affects: (a, b) => (a.zone === zone) !== (b.zone === zone) };
}
