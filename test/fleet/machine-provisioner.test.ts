import assert from 'node:assert/strict';
import test from 'node:test';
import { required } from '../../src/base/required.ts';
import { defaultOptions } from '../../src/config/options.ts';
import { NameIndex } from '../../src/base/name-index.ts';
import { Catalog } from '../../src/fleet/catalog.ts';
import type { Cloud } from '../../src/fleet/cloud.ts';
import { MachineProvisioner, type MachineProvisionerDeps } from '../../src/fleet/machine-provisioner.ts';
import type { ProvisioningRequest } from '../../src/wire/cloud.ts';
import { BIG, FakeClock, silent } from '../helpers.ts';

function setup(overrides: Partial<MachineProvisionerDeps> = {}): {
  provisioner: MachineProvisioner;
  rentals: ProvisioningRequest[];
  settle: () => Promise<void>;
} {
  const rentals: ProvisioningRequest[] = [];
  const cloud: Cloud = {
    canRequest: () => true,
    catalog: () => Promise.resolve([BIG]),
    rent: (request) => {
      rentals.push(request);
      const names = Array.from({ length: request.count }, (_, i) => `${request.request}-${i}`);
      return Promise.resolve({ kind: 'rented', names });
    },
    terminate: () => Promise.resolve(true),
    list: () => Promise.resolve([]),
  };
  const provisioner = new MachineProvisioner({
    clock: new FakeClock(),
    log: silent,
    cloud,
    catalog: new Catalog([BIG]),
    zones: new NameIndex(['a', 'b']),
    options: defaultOptions(),
    term: 3,
    hasValidLease: () => true,
    enqueue: (command) => {
      command();
    },
    pause: () => Promise.resolve(),
    onTerminating: () => undefined,
    onTerminated: () => undefined,
    ...overrides,
  });
  return { provisioner, rentals, settle: () => new Promise((resolve) => setImmediate(resolve)) };
}

test('in an unreachable zone only one machine at a time is rented', async () => {
  // Otherwise machines are rented there as long as the zone is unreachable: they are paid for and never join.
  const { provisioner, rentals, settle } = setup();
  const unreachableZones = new Set([1]);
  const unreachableOptions = () =>
    provisioner.provisioningOptions(unreachableZones).filter((o) => o.zone === 1);
  assert.deepEqual(
    unreachableOptions().map((o) => o.maxMachines),
    [1, 1],
  );
  assert.ok(provisioner.provisioningOptions(unreachableZones).some((o) => o.zone === 0 && o.maxMachines > 1));
  provisioner.setDemand(new Map([[required(unreachableOptions()[0], 'option').option, 1]]));
  assert.equal(unreachableOptions().length, 0, 'while it is requested');
  await settle();
  assert.equal(unreachableOptions().length, 0, 'while it boots');
  provisioner.onMachineUp(`${required(rentals[0], 'rental').request}-0`);
  assert.equal(unreachableOptions().length, 2);
  assert.equal(provisioner.provisioningOptions(new Set()).filter((o) => o.maxMachines > 1).length, 4);
});

test('names of rental requests are unique and contain the term', async () => {
  const { provisioner, rentals, settle } = setup();
  for (let i = 0; i < 5; i++) {
    provisioner.setDemand(new Map(provisioner.provisioningOptions(new Set()).map((o) => [o.option, 2])));
    await settle();
  }
  assert.ok(rentals.length >= 10);
  assert.equal(new Set(rentals.map((r) => r.request)).size, rentals.length);
  assert.ok(rentals.every((r) => r.request.startsWith('pw-3-')));
});

test('a rental without an answer is not repeated once the lease is over', async () => {
  // A leader that was paused between two attempts must not make the second one in another leader's term.
  let leaseValid = true;
  const rentals: ProvisioningRequest[] = [];
  const cloud = {
    canRequest: () => true,
    rent: (request: ProvisioningRequest) => {
      rentals.push(request);
      leaseValid = rentals.length < 2;
      return Promise.resolve({ kind: 'unknown' as const });
    },
  } as unknown as Cloud;
  const { provisioner, settle } = setup({ cloud, hasValidLease: () => leaseValid });
  provisioner.setDemand(new Map([[0, 1]]));
  for (let i = 0; i < 20; i++) await settle();
  assert.equal(rentals.length, 2);
  assert.equal(provisioner.booting().length, 0, 'no machine is booting');
});
