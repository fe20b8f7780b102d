import type { Clock } from '../base/clock.ts';
import type { NameIndex } from '../base/name-index.ts';
import type { Logger } from '../base/log.ts';
import { required } from '../base/required.ts';
import type { Options } from '../config/options.ts';
import { resourcesOf, type ProvisioningOption } from '../scheduling/snapshot.ts';
import type { Catalog } from './catalog.ts';
import type { Cloud } from './cloud.ts';

/** What the fleet needs of the leader it works for. */
export interface MachineProvisionerDeps {
  clock: Clock;
  log: Logger;
  cloud: Cloud;
  catalog: Catalog;
  zones: NameIndex;
  options: Options;
  term: number;
  /** Nothing is asked of the cloud without it: another controller may lead by now, and own the machines. */
  hasValidLease(): boolean;
  enqueue(command: () => void): void;
  pause(ms: number): Promise<void>;
  onTerminating(names: readonly string[]): void;
  onTerminated(names: readonly string[]): void;
}

interface OptionState {
  index: number;
  type: number;
  zone: number;
  spot: boolean;
  /** Refused lately: not asked for again before this. */
  notBefore: number;
  refusals: number;
  requestedCount: number;
}

interface BootingMachine {
  index: number;
  name: string;
  type: number;
  zone: number;
  spot: boolean;
  rentedAt: number;
  /** Not given up before this: a machine found in the list may just not have reached this leader yet. */
  keepUntil: number;
  /** The cloud lists it as running. */
  running: boolean;
}

/** A machine without tasks, and for how many milliseconds it has had none. */
export interface IdleMachine {
  name: string;
  type: number;
  idleMs: number;
}

const MAX_MACHINES_PER_RENTAL = 50;
/** Time for the worker of a listed machine to find a new leader: some tries and time-outs. */
const LISTED_GRACE_MS = 15_000;
const MAX_MACHINES_PER_TERMINATION = 100;
/** Reports and lists of a machine that is gone may still come for much longer than a lease. */
const TERMINATED_RETENTION_MS = 3_600_000;

/** Rents and returns machines: what was asked of the cloud, what is booting, what is on its way back. */
export class MachineProvisioner {
  private readonly options: OptionState[] = [];
  private readonly bootingByName = new Map<string, BootingMachine>();
  private readonly rentedAt = new Map<string, number>();
  private bootIndex = 0;
  private requestCount = 0;
  private readonly terminating = new Map<string, number>();
  private terminationInFlight = false;
  private readonly terminated = new Map<string, number>();
  private listInFlight = false;
  /** The machine list has been read at least once by this leader. */
  hasListedMachines = false;
  private lastListAt = -Infinity;
  private lastCatalogAt: number;

  constructor(private readonly deps: MachineProvisionerDeps) {
    this.lastCatalogAt = deps.clock.now();
    deps.catalog.types.forEach((type, t) => {
      for (const zone of type.zones) {
        for (const spot of [false, true]) {
          this.options.push({
            index: this.options.length,
            type: t,
            zone: deps.zones.index(zone),
            spot,
            notBefore: -Infinity,
            refusals: 0,
            requestedCount: 0,
          });
        }
      }
    });
  }

  /**
   * Machines on their way, those among them that the cloud was asked for and has not answered about: without
   * them every round during the call would ask for the same room again, of another kind or zone.
   */
  booting(): BootingMachine[] {
    const machines = [...this.bootingByName.values()].filter((b) => !this.terminating.has(b.name));
    const now = this.deps.clock.now();
    for (const option of this.options) {
      for (let i = 0; i < option.requestedCount; i++) {
        const index = this.bootIndex + machines.length;
        machines.push({
          index,
          name: '',
          type: option.type,
          zone: option.zone,
          spot: option.spot,
          rentedAt: now,
          keepUntil: now,
          running: false,
        });
      }
    }
    return machines;
  }

  /** Options of the flow graph: machines that could be rented now. */
  provisioningOptions(unreachableZones: ReadonlySet<number>): ProvisioningOption[] {
    const now = this.deps.clock.now();
    // Of a zone that is cut off one machine is on trial at a time: it tells when the zone is back.
    const triedZones = new Set<number>();
    for (const b of this.bootingByName.values()) triedZones.add(b.zone);
    for (const o of this.options) if (o.requestedCount > 0) triedZones.add(o.zone);
    const available: ProvisioningOption[] = [];
    for (const o of this.options) {
      if (now < o.notBefore || o.requestedCount > 0) continue;
      if (unreachableZones.has(o.zone) && triedZones.has(o.zone)) continue;
      const type = required(this.deps.catalog.types[o.type], 'machine type of the option');
      available.push({
        option: o.index,
        type: o.type,
        zone: o.zone,
        spot: o.spot,
        size: resourcesOf(type),
        maxMachines: unreachableZones.has(o.zone) ? 1 : this.deps.options.fleet.rent_at_once,
        price: o.spot ? type.spotPrice : type.price,
        bootS: type.bootS,
        fetchGbPerS: type.fetchGbPerS,
      });
    }
    return available;
  }

  /** Takes the round's wishes. What can't be asked for now is wished for again by the next round. */
  setDemand(demand: ReadonlyMap<number, number>): void {
    for (const [index, count] of demand) {
      const option = this.options[index];
      if (!option || option.requestedCount > 0 || count <= 0) continue;
      if (!this.deps.cloud.canRequest(1)) return;
      void this.provision(option, Math.min(count, MAX_MACHINES_PER_RENTAL));
    }
  }

  private async provision(option: OptionState, count: number): Promise<void> {
    const { clock, cloud, catalog, zones, log, term } = this.deps;
    this.requestCount += 1;
    // Names carry the term and a counter: no other leadership ever uses them.
    const request = `pw-${term}-${this.requestCount}`;
    const rental = {
      request,
      machineType: required(catalog.types[option.type], 'machine type of the option').name,
      zone: zones.name(option.zone),
      spot: option.spot,
      count,
    };
    option.requestedCount = count;
    log.info(rental, 'provisioning machines');
    for (let attempt = 0; attempt < 5 && this.deps.hasValidLease(); attempt++) {
      const rentedAt = clock.now();
      const result = await cloud.rent(rental);
      if (result.kind === 'rented') {
        this.deps.enqueue(() => {
          option.refusals = 0;
          option.requestedCount = 0;
          for (const name of result.names) this.addBooting(name, option, rentedAt, rentedAt);
          if (result.names.length < count) this.backOff(option, 'partly filled');
        });
        return;
      }
      if (result.kind === 'no_capacity' || (result.kind === 'refused' && attempt > 0)) {
        this.deps.enqueue(() => {
          option.requestedCount = 0;
          this.backOff(option, result.kind);
        });
        return;
      }
      // Not known whether it was carried out: the same name again tells, and rents nothing twice.
      await this.deps.pause(700 * (attempt + 1));
    }
    this.deps.enqueue(() => {
      option.requestedCount = 0;
      this.backOff(option, 'no answer');
    });
  }

  private addBooting(
    name: string,
    place: { type: number; zone: number; spot: boolean },
    rentedAt: number,
    keepUntil: number,
    running = false,
  ): void {
    const { type, zone, spot } = place;
    this.rentedAt.set(name, rentedAt);
    this.bootingByName.set(name, {
      index: this.bootIndex++,
      name,
      type,
      zone,
      spot,
      rentedAt,
      keepUntil,
      running,
    });
  }

  private backOff(option: OptionState, reason: string): void {
    const { refusal_pause_s, refusal_pause_max_s } = this.deps.options.fleet;
    const pause = Math.min(refusal_pause_max_s, refusal_pause_s * 2 ** Math.min(6, option.refusals));
    option.refusals += 1;
    option.notBefore = this.deps.clock.now() + pause * 1000;
    this.deps.log.info(
      {
        type: this.deps.catalog.types[option.type]?.name,
        zone: this.deps.zones.name(option.zone),
        spot: option.spot,
        reason,
        pause,
      },
      'provisioning backed off',
    );
  }

  /** The worker of this machine has reported. */
  onMachineUp(name: string): void {
    this.bootingByName.delete(name);
  }

  /** Asked to be returned, which has not been done yet. */
  isTerminating(name: string): boolean {
    return this.terminating.has(name);
  }

  wasTerminated(name: string): boolean {
    return this.terminated.has(name);
  }

  terminate(names: readonly string[]): void {
    for (const name of names) if (!this.terminating.has(name)) this.terminating.set(name, 0);
    this.deps.onTerminating(names);
  }

  /**
   * Gives idle machines back. What takes long to boot is kept a little longer, since renting it anew costs
   * that time again; within the least time that is charged anyway nothing is gained by returning.
   */
  terminateIdle(idle: readonly IdleMachine[]): void {
    const { idle_s, idle_boot_share, least_charge_s } = this.deps.options.fleet;
    const now = this.deps.clock.now();
    const names: string[] = [];
    for (const machine of idle) {
      const bootS = this.deps.catalog.types[machine.type]?.bootS ?? 0;
      const rentedAt = this.rentedAt.get(machine.name) ?? -Infinity;
      if (now - rentedAt < least_charge_s * 1000) continue;
      if (machine.idleMs > Math.max(idle_s, bootS * idle_boot_share) * 1000) names.push(machine.name);
    }
    if (names.length === 0) return;
    this.deps.log.info({ machines: names, reason: 'idle' }, 'machines terminated');
    this.terminate(names);
  }

  /**
   * The controller stood still or was overloaded until now: whatever came up meanwhile could not report to it.
   * Machines that were booting get as long as those of an earlier leader to find it again.
   */
  extendBootGrace(): void {
    const keepUntil = this.deps.clock.now() + LISTED_GRACE_MS;
    for (const b of this.bootingByName.values()) b.keepUntil = Math.max(b.keepUntil, keepUntil);
  }

  /** Machines that the cloud lists as running, and of which no report has been heard yet. */
  get runningUnregistered(): number {
    let count = 0;
    for (const b of this.bootingByName.values()) if (b.running && !this.terminating.has(b.name)) count += 1;
    return count;
  }

  /**
   * `overloaded`: this controller can't keep up with reports, so a machine that wasn't heard may well be up. With 4,000
   * machines and one controller to hear them hundreds of healthy ones were once returned.
   */
  tick(overloaded: boolean): void {
    if (!this.deps.hasValidLease()) return;
    if (overloaded) this.extendBootGrace();
    const now = this.deps.clock.now();
    for (const booting of this.bootingByName.values()) {
      const bootS = this.deps.catalog.types[booting.type]?.bootS ?? 60;
      const bootTimeoutMs = (bootS * this.deps.options.fleet.boot_patience + 15) * 1000;
      if (
        now - booting.rentedAt > bootTimeoutMs &&
        now > booting.keepUntil &&
        !this.terminating.has(booting.name)
      ) {
        this.deps.log.info({ machine: booting.name, reason: 'neverJoined' }, 'machine terminated');
        this.terminate([booting.name]);
      }
    }
    this.terminateDue();
    if (now - this.lastCatalogAt > 60_000 && this.deps.cloud.canRequest(1)) {
      this.lastCatalogAt = now;
      void this.refreshPrices();
    }
  }

  /**
   * A leader that may have been replaced returns nothing: cut off from workers and state service, it takes machines
   * for lost on which its successor runs tasks, and a request held back by the cut would end them afterwards.
   */
  private terminateDue(): void {
    if (this.terminating.size === 0 || this.terminationInFlight) return;
    if (this.deps.hasValidLease() && this.deps.cloud.canRequest()) void this.sendTerminations();
  }

  private async refreshPrices(): Promise<void> {
    const fresh = await this.deps.cloud.catalog();
    if (!fresh) return;
    this.deps.enqueue(() => {
      for (const type of fresh) {
        const known = this.deps.catalog.types.find((t) => t.name === type.name);
        if (known) Object.assign(known, { price: type.price, spotPrice: type.spotPrice });
      }
    });
  }

  private async sendTerminations(): Promise<void> {
    this.terminationInFlight = true;
    const now = this.deps.clock.now();
    const names = [...this.terminating].filter(([, after]) => now >= after).map(([name]) => name);
    const batch = names.slice(0, MAX_MACHINES_PER_TERMINATION);
    const succeeded = batch.length > 0 && (await this.deps.cloud.terminate(batch));
    this.deps.enqueue(() => {
      this.terminationInFlight = false;
      for (const name of batch) {
        if (!succeeded) {
          this.terminating.set(name, this.deps.clock.now() + 1000);
          continue;
        }
        this.terminating.delete(name);
        this.bootingByName.delete(name);
        this.rentedAt.delete(name);
        this.terminated.set(name, this.deps.clock.now());
      }
      if (succeeded) this.deps.onTerminated(batch);
    });
  }

  /** Reads the machine list now and then, to find machines that nobody here knows of. */
  reconcileMachineList(known: { has(name: string): boolean }): void {
    const now = this.deps.clock.now();
    if (this.listInFlight || now - this.lastListAt < this.deps.options.fleet.list_s * 1000) return;
    if (!this.deps.cloud.canRequest(1)) return;
    this.lastListAt = now;
    this.listInFlight = true;
    void this.deps.cloud.list().then((machines) => {
      this.deps.enqueue(() => {
        this.listInFlight = false;
        if (!machines) return;
        this.hasListedMachines = true;
        const listedAt = this.deps.clock.now();
        const unexpected: string[] = [];
        for (const machine of machines) {
          const booting = this.bootingByName.get(machine.name);
          const running = machine.state === 'running';
          if (booting) booting.running = running;
          // The list lags, so what was returned lately may still stand in it.
          if (this.terminated.has(machine.name) || this.terminating.has(machine.name)) continue;
          if (machine.state === 'failed') {
            this.terminate([machine.name]);
          } else if (!known.has(machine.name) && !this.bootingByName.has(machine.name)) {
            const type = this.deps.catalog.typeIndex(machine.machineType);
            const place = { type, zone: this.deps.zones.index(machine.zone), spot: machine.spot };
            unexpected.push(machine.name);
            if (type < 0) this.terminate([machine.name]);
            else
              this.addBooting(
                machine.name,
                place,
                listedAt - machine.ageS * 1000,
                listedAt + LISTED_GRACE_MS,
                running,
              );
          }
        }
        // In one line: a new leader finds hundreds.
        if (unexpected.length > 0)
          this.deps.log.info({ machines: unexpected }, 'unknown machines listed by the cloud');
        for (const [name, terminatedAt] of this.terminated)
          if (listedAt - terminatedAt > TERMINATED_RETENTION_MS) this.terminated.delete(name);
      });
    });
  }
}
