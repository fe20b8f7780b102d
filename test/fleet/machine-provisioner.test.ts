import assert from 'node:assert/strict';
import test from 'node:test';
import { required } from '../../src/base/required.ts';
import { defaultOptions } from '../../src/config/options.ts';
import { NameIndex } from '../../src/base/name-index.ts';
import { Catalog } from '../../src/fleet/catalog.ts';
import type { Cloud } from '../../src/fleet/cloud.ts';
import { MachineProvisioner, type MachineProvisionerDeps } from '../../src/fleet/machine-provisioner.ts';
import type { RentRequest } from '../../src/wire/cloud.ts';
import { BIG, FakeClock, silent } from '../helpers.ts';

function setup(over: Partial<MachineProvisionerDeps> = {}): {
  fleet: MachineProvisioner;
  asked: RentRequest[];
  settle: () => Promise<void>;
} {
  const asked: RentRequest[] = [];
  const cloud: Cloud = {
    canRequest: () => true,
    catalog: () => Promise.resolve([BIG]),
    rent: (request) => {
      asked.push(request);
      const names = Array.from({ length: request.count }, (_, i) => `${request.request}-${i}`);
      return Promise.resolve({ kind: 'rented', names });
    },
    terminate: () => Promise.resolve(true),
    list: () => Promise.resolve([]),
  };
  const fleet = new MachineProvisioner({
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
    ...over,
  });
  return { fleet, asked, settle: () => new Promise((resolve) => setImmediate(resolve)) };
}

test('of a zone that is cut off one machine is on trial at a time', async () => {
  // Machines were once rented there as long as the cut lasted, to be paid for and never to come up.
  const { fleet, asked, settle } = setup();
  const dark = new Set([1]);
  const inDark = () => fleet.provisioningOptions(dark).filter((o) => o.zone === 1);
  assert.deepEqual(
    inDark().map((o) => o.maxMachines),
    [1, 1],
  );
  assert.ok(fleet.provisioningOptions(dark).some((o) => o.zone === 0 && o.maxMachines > 1));
  fleet.setDemand(new Map([[required(inDark()[0], 'option').option, 1]]));
  assert.equal(inDark().length, 0, 'while it is asked for');
  await settle();
  assert.equal(inDark().length, 0, 'while it is awaited');
  fleet.onMachineUp(`${required(asked[0], 'rental').request}-0`);
  assert.equal(inDark().length, 2);
  assert.equal(fleet.provisioningOptions(new Set()).filter((o) => o.maxMachines > 1).length, 4);
});

test('names of rental requests are never used twice, and carry the term', async () => {
  const { fleet, asked, settle } = setup();
  for (let i = 0; i < 5; i++) {
    fleet.setDemand(new Map(fleet.provisioningOptions(new Set()).map((o) => [o.option, 2])));
    await settle();
  }
  assert.ok(asked.length >= 10);
  assert.equal(new Set(asked.map((r) => r.request)).size, asked.length);
  assert.ok(asked.every((r) => r.request.startsWith('pw-3-')));
});

test('a rental without an answer is not asked for again once the lease is over', async () => {
  // A leader that stood still between two tries once went on with the second one, in another leader's time.
  let sure = true;
  const asked: RentRequest[] = [];
  const cloud = {
    canRequest: () => true,
    rent: (request: RentRequest) => {
      asked.push(request);
      sure = asked.length < 2;
      return Promise.resolve({ kind: 'unknown' as const });
    },
  } as unknown as Cloud;
  const { fleet, settle } = setup({ cloud, hasValidLease: () => sure });
  fleet.setDemand(new Map([[0, 1]]));
  for (let i = 0; i < 20; i++) await settle();
  assert.equal(asked.length, 2);
  assert.equal(fleet.booting().length, 0, 'nothing is waited for');
});
