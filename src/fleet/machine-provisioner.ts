import type { Clock } from '../base/clock.ts';
import type { NameIndex } from '../base/name-index.ts';
import type { Logger } from '../base/log.ts';
import { required } from '../base/required.ts';
import type { Options } from '../config/options.ts';
import { resourcesOf, type ProvisioningOption } from '../scheduling/snapshot.ts';
import type { Catalog } from './catalog.ts';
import type { Cloud } from './cloud.ts';

/** What the provisioner needs of its leader. */
export interface MachineProvisionerDeps {
  clock: Clock;
  log: Logger;
  cloud: Cloud;
  catalog: Catalog;
  zones: NameIndex;
  options: Options;
  term: number;
  /** Without a valid lease nothing is requested: another controller may lead by now and own the machines. */
  hasValidLease(): boolean;
  enqueue(command: () => void): void;
  pause(ms: number): Promise<void>;
  onTerminating(names: readonly string[]): void;
  onTerminated(names: readonly string[]): void;
}

/** A machine type in a zone, spot or not, with the state of its rentals. */
interface OptionState {
  index: number;
  type: number;
  zone: number;
  spot: boolean;
  /** After a refusal, no machines are requested before this time. */
  notBefore: number;
  refusals: number;
  /** Machines of the rental in progress; 0 if there is none. */
  requestedCount: number;
}

/** A machine that is rented and has not sent a message to this leader yet. */
interface BootingMachine {
  index: number;
  name: string;
  type: number;
  zone: number;
  spot: boolean;
  rentedAt: number;
  /** Not terminated as `neverJoined` before this time: a listed machine may not have found this leader yet. */
  keepUntil: number;
  /** The cloud lists it as running. */
  running: boolean;
}

/** A machine without tasks, and the milliseconds for which it has had none. */
export interface IdleMachine {
  name: string;
  type: number;
  idleMs: number;
}

const MAX_MACHINES_PER_RENTAL = 50;
/** Time for the worker of a listed machine to find a new leader: several attempts with their time-outs. */
const LISTED_GRACE_MS = 15_000;
const MAX_MACHINES_PER_TERMINATION = 100;
/** Heartbeats and machine lists may still contain a terminated machine for much longer than a lease. */
const TERMINATED_RETENTION_MS = 3_600_000;

/** Rents and terminates machines; keeps track of rentals in progress, booting machines and terminations. */
export class MachineProvisioner {
  private readonly options: OptionState[] = [];
  private readonly bootingByName = new Map<string, BootingMachine>();
  private readonly rentedAt = new Map<string, number>();
  private bootIndex = 0;
  private requestCount = 0;
  /** The machines to be terminated, with the earliest time of the next request. */
  private readonly terminating = new Map<string, number>();
  private terminationInFlight = false;
  /** The machines that the cloud has terminated, and when. */
  private readonly terminated = new Map<string, number>();
  private listInFlight = false;
  /** This leader has read the machine list at least once. */
  hasListedMachines = false;
  private lastListAt = -Infinity;
  private lastCatalogAt: number;

  constructor(private readonly deps: MachineProvisionerDeps) {
    this.lastCatalogAt = deps.clock.now();
    deps.catalog.types.forEach((type, typeIndex) => {
      for (const zone of type.zones) {
        for (const spot of [false, true]) {
          this.options.push({
            index: this.options.length,
            type: typeIndex,
            zone: deps.zones.getOrAddIndex(zone),
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
   * Booting machines, including those of rentals that the cloud has not answered yet: without these, every round
   * during a rental would request the same capacity again, in another zone or with another machine type.
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

  /** The machines that can be rented now. */
  provisioningOptions(unreachableZones: ReadonlySet<number>): ProvisioningOption[] {
    const now = this.deps.clock.now();
    // In an unreachable zone only one machine at a time is rented, to find out when the zone is reachable again.
    const triedZones = new Set<number>();
    for (const booting of this.bootingByName.values()) triedZones.add(booting.zone);
    for (const option of this.options) if (option.requestedCount > 0) triedZones.add(option.zone);
    const available: ProvisioningOption[] = [];
    for (const option of this.options) {
      if (now < option.notBefore || option.requestedCount > 0) continue;
      if (unreachableZones.has(option.zone) && triedZones.has(option.zone)) continue;
      const type = required(this.deps.catalog.types[option.type], 'machine type of the option');
      available.push({
        option: option.index,
        type: option.type,
        zone: option.zone,
        spot: option.spot,
        size: resourcesOf(type),
        maxMachines: unreachableZones.has(option.zone) ? 1 : this.deps.options.fleet.rent_at_once,
        price: option.spot ? type.spotPrice : type.price,
        bootS: type.bootS,
        fetchGbPerS: type.fetchGbPerS,
      });
    }
    return available;
  }

  /** Rents machines for a round's demand. The next round demands again what can't be requested now. */
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
    // The name of a request contains the term and a counter, so that no other leadership ever uses it.
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
      // It is unknown whether the rental was carried out. Repeating it under the same name returns the outcome and
      // rents nothing twice.
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

  /** A message of the machine's worker has arrived. */
  onMachineUp(name: string): void {
    this.bootingByName.delete(name);
  }

  /** Whether the machine is to be terminated and the cloud has not done so yet. */
  isTerminating(name: string): boolean {
    return this.terminating.has(name);
  }

  /** Whether the cloud has terminated the machine for this leader lately. */
  wasTerminated(name: string): boolean {
    return this.terminated.has(name);
  }

  terminate(names: readonly string[]): void {
    for (const name of names) if (!this.terminating.has(name)) this.terminating.set(name, 0);
    this.deps.onTerminating(names);
  }

  /**
   * Terminates machines that have been idle for long enough. Machines that take long to boot are kept a little longer,
   * since renting one again costs that time again. A machine younger than the minimum charge is kept, since
   * terminating it saves nothing.
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
   * Called when the controller has been paused or overloaded: machines that came up meanwhile could not reach it. Gives
   * booting machines the time to find this leader that listed machines of an earlier leader have.
   */
  extendBootGrace(): void {
    const keepUntil = this.deps.clock.now() + LISTED_GRACE_MS;
    for (const booting of this.bootingByName.values())
      booting.keepUntil = Math.max(booting.keepUntil, keepUntil);
  }

  /** Number of machines that the cloud lists as running and that have sent no message yet. */
  get runningUnregistered(): number {
    let count = 0;
    for (const booting of this.bootingByName.values())
      if (booting.running && !this.terminating.has(booting.name)) count += 1;
    return count;
  }

  /**
   * Terminates machines that never joined, sends the terminations that are due and refreshes prices.
   *
   * @param overloaded this controller can't keep up with heartbeats, so machines without one may well be up. They are
   *   kept: with 4,000 machines and a single controller, hundreds of healthy machines would be terminated.
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
   * Sends a request for the terminations that are due, unless the leader may have been replaced. A leader that is cut
   * off from workers and the key-value store considers machines lost on which its successor runs tasks; a delayed
   * request to terminate them would end these tasks.
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

  /** Reads the cloud's machine list at intervals, to find machines that this leader doesn't know. */
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
          // The list lags behind, so it may still contain machines that were terminated lately.
          if (this.terminated.has(machine.name) || this.terminating.has(machine.name)) continue;
          if (machine.state === 'failed') {
            this.terminate([machine.name]);
          } else if (!known.has(machine.name) && !this.bootingByName.has(machine.name)) {
            const type = this.deps.catalog.typeIndex(machine.machineType);
            const place = { type, zone: this.deps.zones.getOrAddIndex(machine.zone), spot: machine.spot };
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
        // One line for all of them: a new leader finds hundreds.
        if (unexpected.length > 0)
          this.deps.log.info({ machines: unexpected }, 'unknown machines listed by the cloud');
        for (const [name, terminatedAt] of this.terminated)
          if (listedAt - terminatedAt > TERMINATED_RETENTION_MS) this.terminated.delete(name);
      });
    });
  }
}
