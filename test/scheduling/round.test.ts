import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { required } from '../../src/base/required.ts';
import { runRound, type RoundOptions } from '../../src/scheduling/round.ts';
import { selectVictims, type PreemptionCandidate } from '../../src/scheduling/preempt.ts';
import {
  mergeReleases,
  allocate,
  type MachineSnapshot,
  type Resources,
} from '../../src/scheduling/snapshot.ts';
import { createTaskGroup, createMachineSnapshot, createProvisioningOption, SEED } from '../helpers.ts';

const OPTIONS: RoundOptions = {
  reserveAfterMs: 60_000,
  maxGroups: 64,
  roundNumber: 0,
  fetchSteps: 1,
  priceSteps: 3,
  rentSteps: 30,
  rentBiasS: 0,
  warmSteps: 6,
  roundDownFraction: 0,
};
const SIZE: Resources = { cpus: 4, gpus: 0, memory: 16 };
const FREE_TEAM = [{ cpus: Infinity, gpus: Infinity }];
const sizeOf = () => SIZE;

test('tasks spread over the least loaded machines', () => {
  const machines = [
    createMachineSnapshot({ machine: 0, load: 2 }),
    createMachineSnapshot({ machine: 1, load: 0 }),
  ];
  const result = runRound([createTaskGroup({ pending: 2 })], machines, [], FREE_TEAM, sizeOf, OPTIONS);
  assert.deepEqual(result.placements, [{ job: 0, machine: 1, count: 2 }]);
});

test('placements respect free resources, quotas, zones and spot settings; gangs are placed whole', () => {
  const groups = fc.array(
    fc.record({
      pending: fc.integer({ min: 1, max: 5 }),
      gang: fc.boolean(),
      cpus: fc.integer({ min: 1, max: 4 }),
      zone: fc.integer({ min: -1, max: 1 }),
      spot: fc.boolean(),
      oneZone: fc.boolean(),
      spread: fc.boolean(),
      team: fc.integer({ min: 0, max: 1 }),
      priority: fc.integer({ min: 0, max: 3 }),
    }),
    { minLength: 1, maxLength: 5 },
  );
  const machines = fc.array(
    fc.record({
      zone: fc.integer({ min: 0, max: 1 }),
      spot: fc.boolean(),
      cpus: fc.integer({ min: 0, max: 4 }),
    }),
    { minLength: 1, maxLength: 5 },
  );
  fc.assert(
    fc.property(
      groups,
      machines,
      fc.integer({ min: 0, max: 8 }),
      (generatedGroups, generatedMachines, limit) => {
        const taskGroups = generatedGroups.map((g, job) =>
          createTaskGroup({
            job,
            team: g.team,
            pending: g.pending,
            gang: g.gang,
            priority: g.priority,
            need: { cpus: g.cpus, gpus: 0, memory: 1 },
            zone: g.zone,
            spot: g.spot,
            oneZone: g.oneZone,
            maxTasksPerZone: g.spread ? Math.ceil(g.pending / 2) : Infinity,
          }),
        );
        const snapshots: MachineSnapshot[] = generatedMachines.map((m, i) =>
          createMachineSnapshot({
            machine: i,
            zone: m.zone,
            spot: m.spot,
            free: { cpus: m.cpus, gpus: 0, memory: 16 },
          }),
        );
        const teams = [
          { cpus: limit, gpus: Infinity },
          { cpus: Infinity, gpus: Infinity },
        ];
        const result = runRound(taskGroups, snapshots, [createProvisioningOption()], teams, sizeOf, OPTIONS);
        const free = snapshots.map((v) => ({ ...v.free }));
        const perJob = new Map<number, number>();
        const zones = new Map<number, Map<number, number>>();
        let team0 = 0;
        for (const placement of result.placements) {
          const taskGroup = required(taskGroups[placement.job], 'group');
          const snapshot = required(snapshots[placement.machine], 'machine');
          allocate(required(free[placement.machine], 'free resources'), taskGroup.need, placement.count);
          perJob.set(placement.job, (perJob.get(placement.job) ?? 0) + placement.count);
          if (taskGroup.team === 0) team0 += taskGroup.need.cpus * placement.count;
          assert.ok(taskGroup.spot || !snapshot.spot, 'spot machine');
          assert.ok(taskGroup.zone < 0 || taskGroup.zone === snapshot.zone, 'zone');
          const byZone = zones.get(placement.job) ?? new Map<number, number>();
          byZone.set(snapshot.zone, (byZone.get(snapshot.zone) ?? 0) + placement.count);
          zones.set(placement.job, byZone);
        }
        for (const remaining of free)
          assert.ok(remaining.cpus >= 0 && remaining.memory >= 0, 'free resources');
        assert.ok(team0 <= limit + 1e-6, 'limit');
        for (const [job, count] of perJob) {
          const taskGroup = required(taskGroups[job], 'group');
          assert.ok(count <= taskGroup.pending);
          if (taskGroup.gang) assert.equal(count, taskGroup.pending);
          const byZone = required(zones.get(job), 'zones of the job');
          if (taskGroup.oneZone) assert.equal(byZone.size, 1);
          for (const n of byZone.values()) assert.ok(n <= taskGroup.maxTasksPerZone, 'spread');
        }
      },
    ),
    { seed: SEED, numRuns: 400 },
  );
});

test('a group that must stay in one zone waits while it seems to have live tasks in two', () => {
  const machines = [
    createMachineSnapshot({ machine: 0, zone: 0 }),
    createMachineSnapshot({ machine: 1, zone: 1 }),
  ];
  const place = (liveByZone: Map<number, number>) =>
    runRound(
      [createTaskGroup({ oneZone: true, liveByZone })],
      machines,
      [createProvisioningOption()],
      FREE_TEAM,
      sizeOf,
      OPTIONS,
    );
  const one = place(new Map([[1, 3]]));
  assert.deepEqual(one.placements, [{ job: 0, machine: 1, count: 1 }]);
  const two = place(
    new Map([
      [0, 1],
      [1, 3],
    ]),
  );
  assert.deepEqual([two.placements.length, two.demand.size, two.unplaced.size], [0, 0, 0]);
});

test('the more urgent group gets the free capacity, though both groups could rent', () => {
  // If urgency didn't weigh free against future capacity, the choice would be arbitrary and cause preemptions.
  const groups = [createTaskGroup({ job: 0, priority: 1 }), createTaskGroup({ job: 1, priority: 2 })];
  const snapshots = [createMachineSnapshot({ free: { cpus: 1, gpus: 0, memory: 4 } })];
  const result = runRound(groups, snapshots, [createProvisioningOption()], FREE_TEAM, sizeOf, OPTIONS);
  assert.deepEqual(result.placements, [{ job: 1, machine: 0, count: 1 }]);
  assert.equal(result.demand.get(0), 1);
});

test('a machine takes tasks of several groups in one round', () => {
  // If its arc to the sink carried only as many tasks as the largest group has, machines would be rented for the rest.
  const groups = [0, 1].map((job) => createTaskGroup({ job, pending: 2 }));
  const booting = runRound(
    groups,
    [createMachineSnapshot({ bootsInS: 5 })],
    [createProvisioningOption()],
    FREE_TEAM,
    sizeOf,
    OPTIONS,
  );
  assert.equal(booting.demand.size, 0);
  const present = runRound(
    groups,
    [createMachineSnapshot()],
    [createProvisioningOption()],
    FREE_TEAM,
    sizeOf,
    OPTIONS,
  );
  assert.equal(present.placements.length, 2);
});

test('the group with the least slack goes first, and a group that is already late goes last', () => {
  const groups = [
    createTaskGroup({ job: 0, slackS: -1 }),
    createTaskGroup({ job: 1, slackS: 20 }),
    createTaskGroup({ job: 2, slackS: 200 }),
  ];
  const snapshots = [createMachineSnapshot({ free: { cpus: 2, gpus: 0, memory: 8 } })];
  const result = runRound(groups, snapshots, [], FREE_TEAM, sizeOf, OPTIONS);
  assert.deepEqual(
    result.placements.map((p) => p.job),
    [1, 2],
  );
});

test('machines with images of latency-sensitive classes are left to these while other machines suffice', () => {
  // If other tasks filled the warm machines, tasks with an objective on their start would have to fetch their image.
  const snapshots = [
    createMachineSnapshot({ machine: 0, warmImageCount: 2 }),
    createMachineSnapshot({ machine: 1, warmImageCount: 0, load: 3 }),
  ];
  const place = (overrides: object) =>
    runRound([createTaskGroup(overrides)], snapshots, [], FREE_TEAM, sizeOf, OPTIONS).placements[0]?.machine;
  assert.equal(place({}), 1);
  assert.equal(place({ latencySensitive: true }), 0);
  assert.equal(
    runRound(
      [createTaskGroup({ expected: true, latencySensitive: true })],
      snapshots,
      [],
      FREE_TEAM,
      sizeOf,
      OPTIONS,
    ).heldForExpected.has(0),
    true,
  );
});

test('a job waits for its nominated machine, and no other job is placed there', () => {
  const snapshots = [createMachineSnapshot({ machine: 0 }), createMachineSnapshot({ machine: 1, load: 2 })];
  const groups = [
    createTaskGroup({ job: 0, nominatedMachine: 1, priority: 2 }),
    createTaskGroup({ job: 1, pending: 8 }),
  ];
  const result = runRound(groups, snapshots, [], FREE_TEAM, sizeOf, OPTIONS);
  assert.deepEqual(
    result.placements.map((p) => [p.job, p.machine]),
    [
      [0, 1],
      [1, 0],
    ],
  );
});

test('a round that runs out of time keeps what it has found', () => {
  // A gang that is left out leads to a second pass. If that runs out of time, the placements of the first one stay.
  const gang = createTaskGroup({
    job: 0,
    pending: 4,
    gang: true,
    need: { cpus: 2, gpus: 0, memory: 1 },
    priority: 2,
  });
  const snapshots = [createMachineSnapshot({ machine: 0, free: { cpus: 3, gpus: 0, memory: 16 } })];
  for (let steps = 1; steps < 12; steps++) {
    let calls = 0;
    const result = runRound(
      [gang, createTaskGroup({ job: 1 })],
      snapshots,
      [],
      FREE_TEAM,
      sizeOf,
      OPTIONS,
      () => ++calls > steps,
    );
    assert.deepEqual(
      result.placements.map((p) => p.job),
      [1],
      `after ${steps} steps`,
    );
  }
});

test('a job that accepts a queueing delay waits for future capacity that comes soon instead of renting', () => {
  const snapshots = [
    createMachineSnapshot({
      free: { cpus: 0, gpus: 0, memory: 0 },
      releases: [{ inS: 40, resources: { cpus: 4, gpus: 0, memory: 16 } }],
    }),
  ];
  const immediate = runRound(
    [createTaskGroup()],
    snapshots,
    [createProvisioningOption()],
    FREE_TEAM,
    sizeOf,
    OPTIONS,
  );
  assert.equal(immediate.demand.get(0), 1);
  const patient = runRound(
    [createTaskGroup({ maxQueueingDelayS: 30 })],
    snapshots,
    [createProvisioningOption()],
    FREE_TEAM,
    sizeOf,
    OPTIONS,
  );
  assert.equal(patient.demand.size, 0);
  assert.equal(patient.awaiting.get(0), 1);
});

test('a machine is reserved for a job that has waited long, and no other job is placed there', () => {
  const snapshots = [createMachineSnapshot({ machine: 0, free: { cpus: 2, gpus: 0, memory: 8 }, load: 1 })];
  const old = createTaskGroup({ job: 0, need: { cpus: 4, gpus: 0, memory: 4 }, waitedMs: 61_000 });
  const young = createTaskGroup({ job: 1, need: { cpus: 1, gpus: 0, memory: 1 } });
  const result = runRound([old, young], snapshots, [], FREE_TEAM, sizeOf, OPTIONS);
  assert.deepEqual(result.placements, []);
  assert.equal(result.reserved.get(0), 0);
});

test('machines with tasks preempted for a gang stay reserved for it, also against jobs that have waited long', () => {
  // Otherwise small tasks start there before the last of the gang's machines is free, and are preempted in turn.
  const snapshots = [0, 1, 2].map((n) => createMachineSnapshot({ machine: n }));
  const need = { cpus: 4, gpus: 0, memory: 4 };
  const gang = createTaskGroup({
    job: 0,
    gang: true,
    priority: 2,
    pending: 3,
    need,
    waitedMs: 20_000,
    reservedMachines: new Set([0, 1]),
  });
  const full = snapshots.map((v) => (v.machine === 2 ? { ...v, free: { cpus: 0, gpus: 0, memory: 0 } } : v));
  const old = createTaskGroup({ job: 1, waitedMs: 61_000 });
  const young = createTaskGroup({ job: 2, pending: 2 });
  const waiting = runRound([gang, old, young], full, [], FREE_TEAM, sizeOf, OPTIONS);
  assert.deepEqual(waiting.placements, [], 'its machines are left alone');
  assert.deepEqual([waiting.reserved.get(0), waiting.reserved.get(1)], [0, 0]);
  const started = runRound([gang, young], snapshots, [], FREE_TEAM, sizeOf, OPTIONS);
  const placed = started.placements.filter((p) => p.job === 0);
  assert.equal(
    placed.reduce((n, p) => n + p.count, 0),
    3,
  );
  const others = runRound(
    [{ ...gang, reservedMachines: new Set() }, old, young],
    full,
    [],
    FREE_TEAM,
    sizeOf,
    OPTIONS,
  );
  assert.ok(others.placements.length > 0, 'without the reservation they would be taken');
});

test('nothing is provisioned for a gang that is left out of the round', () => {
  // Each pass begins without demand: demand kept from the previous pass would include that of the gang.
  const gang = createTaskGroup({ job: 1, gang: true, pending: 3, need: { cpus: 4, gpus: 0, memory: 1 } });
  const small = createTaskGroup({ job: 2, pending: 1, need: { cpus: 1, gpus: 0, memory: 1 } });
  const result = runRound(
    [gang, small],
    [createMachineSnapshot({ machine: 0 })],
    [createProvisioningOption({ maxMachines: 1 })],
    FREE_TEAM,
    sizeOf,
    OPTIONS,
  );
  assert.deepEqual([...result.unplaced], [[1, 1]], 'two of three tasks have a place');
  assert.deepEqual(result.placements, [{ job: 2, machine: 0, count: 1 }]);
  assert.deepEqual([...result.demand], []);
});

test('the machines chosen for a gang are those with preempted tasks and those with enough free capacity', () => {
  const snapshots = [
    createMachineSnapshot({ machine: 0 }),
    createMachineSnapshot({ machine: 1, free: { cpus: 0, gpus: 0, memory: 8 }, load: 1 }),
    createMachineSnapshot({ machine: 2, free: { cpus: 0, gpus: 0, memory: 8 }, load: 1 }),
  ];
  const need = { cpus: 4, gpus: 0, memory: 1 };
  const gang = createTaskGroup({ gang: true, priority: 2, pending: 2, need });
  const candidatesOn = (index: number): PreemptionCandidate<string>[] =>
    index === 0
      ? []
      : [
          {
            item: `t${index}`,
            priority: 1,
            team: 0,
            beyondGuarantee: false,
            stopping: false,
            need: { cpus: 4, gpus: 0, memory: 1 },
            lossS: index,
          },
        ];
  const chosenMachines = new Set<number>();
  const chosen = selectVictims(
    gang,
    2,
    snapshots,
    candidatesOn,
    FREE_TEAM,
    Infinity,
    new Map(),
    chosenMachines,
  );
  assert.deepEqual(chosen, ['t1']);
  assert.deepEqual([...chosenMachines], [0, 1]);
});

test('tasks are preempted only if the group then fits, and not while capacity is being freed', () => {
  const snapshots = [createMachineSnapshot({ free: { cpus: 0, gpus: 0, memory: 8 } })];
  const candidate = (overrides: Partial<PreemptionCandidate<string>>): PreemptionCandidate<string> => ({
    item: 'a',
    priority: 1,
    team: 0,
    beyondGuarantee: false,
    stopping: false,
    need: { cpus: 2, gpus: 0, memory: 1 },
    lossS: 1,
    ...overrides,
  });
  const urgent = createTaskGroup({ priority: 2, need: { cpus: 4, gpus: 0, memory: 1 } });
  const pick = (list: PreemptionCandidate<string>[]) =>
    selectVictims(urgent, 1, snapshots, () => list, FREE_TEAM, Infinity, new Map());
  assert.deepEqual(pick([candidate({}), candidate({ item: 'b' })]), ['a', 'b']);
  assert.deepEqual(pick([candidate({})]), [], 'one alone frees too little');
  assert.deepEqual(
    pick([candidate({ priority: 2 }), candidate({ item: 'b', priority: 2 })]),
    [],
    'equal priority',
  );
  assert.equal(
    pick([candidate({ stopping: true }), candidate({ item: 'b', stopping: true })]),
    null,
    'enough is being freed',
  );
});

test('a target of equivalent machines costs no more than a target for each machine', () => {
  const shape = fc.record({
    groups: fc.array(
      fc.record({ pending: fc.integer({ min: 1, max: 6 }), cpus: fc.integer({ min: 1, max: 3 }) }),
      {
        minLength: 1,
        maxLength: 4,
      },
    ),
    machines: fc.array(fc.record({ load: fc.nat(2), cpus: fc.integer({ min: 0, max: 4 }) }), {
      minLength: 1,
      maxLength: 7,
    }),
  });
  fc.assert(
    fc.property(shape, ({ groups, machines }) => {
      const snapshots = (): MachineSnapshot[] =>
        machines.map((m, i) =>
          createMachineSnapshot({ machine: i, load: m.load, free: { cpus: m.cpus, gpus: 0, memory: 16 } }),
        );
      const cost = (apart: boolean): { tasks: number; load: number } => {
        const taskGroups = groups.map((g, job) =>
          createTaskGroup({
            job,
            pending: g.pending,
            need: { cpus: g.cpus, gpus: 0, memory: 1 },
            priority: groups.length - job,
          }),
        );
        // A group that excludes machines gives each of them a target of its own.
        const excludingGroup = createTaskGroup({
          job: 99,
          pending: 1,
          excludedMachines: new Set(machines.map((_, i) => i)),
          priority: 0,
        });
        const result = runRound(
          apart ? [...taskGroups, excludingGroup] : taskGroups,
          snapshots(),
          [],
          FREE_TEAM,
          sizeOf,
          OPTIONS,
        );
        const load = machines.map((m) => m.load);
        let sum = 0;
        let tasks = 0;
        for (const placement of result.placements) {
          const before = required(load[placement.machine], 'load');
          for (let i = 0; i < placement.count; i++) sum += before + i;
          load[placement.machine] = before + placement.count;
          tasks += placement.count;
        }
        return { tasks, load: sum };
      };
      const together = cost(false);
      const apart = cost(true);
      // With equal needs the flow is exact; unequal needs that don't fit together wait for the next round.
      if (new Set(groups.map((g) => g.cpus)).size === 1) assert.deepEqual(together, apart);
      else assert.ok(together.tasks > 0 === apart.tasks > 0);
    }),
    { seed: SEED, numRuns: 300 },
  );
});

test('an image is fetched once for all tasks of a job on a machine', () => {
  // By load alone, forty tasks on forty machines fetch it forty times, and each machine fetches four images at a time.
  const snapshots = Array.from({ length: 4 }, (_, i) => createMachineSnapshot({ machine: i }));
  const cold = runRound(
    [createTaskGroup({ pending: 8, imageGb: 9 })],
    snapshots,
    [],
    FREE_TEAM,
    sizeOf,
    OPTIONS,
  );
  assert.deepEqual(
    cold.placements.map((p) => p.count),
    [4, 4],
  );
  const warm = runRound([createTaskGroup({ pending: 8 })], snapshots, [], FREE_TEAM, sizeOf, OPTIONS);
  assert.deepEqual(
    warm.placements.map((p) => p.count),
    [2, 2, 2, 2],
  );
});

test("groups that wait for their team's quota take no places in a round", () => {
  const stuck = Array.from({ length: 5 }, (_, job) => createTaskGroup({ job, team: 1, priority: 2 }));
  const result = runRound(
    [...stuck, createTaskGroup({ job: 9 })],
    [createMachineSnapshot()],
    [],
    [...FREE_TEAM, { cpus: 0, gpus: 0 }],
    sizeOf,
    { ...OPTIONS, maxGroups: 3 },
  );
  assert.deepEqual(
    result.placements.map((p) => p.job),
    [9],
  );
  assert.equal(result.unplaced.get(0), 1);
});

test('the largest gang starts within its bound although small jobs keep arriving', () => {
  // With only four machines reserved, in any zone, small jobs take each machine that a gang of sixteen waits for.
  const need = { cpus: 4, gpus: 0, memory: 4 };
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 1e6 }), (seed) => {
      let state = seed;
      const random = (): number => {
        state = (Math.imul(state, 1664525) + 1013904223) >>> 0;
        return state / 2 ** 32;
      };
      const busyUntil = Array.from({ length: 24 }, () => 0);
      let zoneHint = -1;
      for (let t = 0; t <= 240; t += 2) {
        const snapshots = busyUntil.map((until, i) =>
          createMachineSnapshot({
            machine: i,
            zone: i % 2,
            free: until > t ? { cpus: 0, gpus: 0, memory: 12 } : { cpus: 4, gpus: 0, memory: 16 },
            releases: until > t ? [{ inS: until - t, resources: need }] : [],
            load: until > t ? 1 : 0,
          }),
        );
        // Small jobs of the same priority, always enough to fill the free machines.
        const small = Array.from({ length: 12 }, (_, i) =>
          createTaskGroup({ job: 1000 + t * 20 + i, pending: 2, need }),
        );
        const gang = createTaskGroup({
          job: 0,
          pending: 11,
          gang: true,
          oneZone: true,
          zoneHint,
          need,
          waitedMs: t * 1000,
        });
        const result = runRound([gang, ...small], snapshots, [], FREE_TEAM, sizeOf, OPTIONS);
        zoneHint = result.zones.get(0) ?? zoneHint;
        if (result.placements.some((p) => p.job === 0)) return;
        for (const p of result.placements) busyUntil[p.machine] = t + 10 + random() * 90;
      }
      assert.fail('the gang never started');
    }),
    { seed: SEED, numRuns: 30 },
  );
});

test('a job that has waited long goes before jobs that have just arrived, even if it is late', () => {
  const old = createTaskGroup({ job: 0, slackS: -1, waitedMs: 160_000 });
  const young = Array.from({ length: 3 }, (_, i) => createTaskGroup({ job: i + 1, slackS: 5 }));
  const result = runRound(
    [...young, old],
    [createMachineSnapshot({ free: { cpus: 1, gpus: 0, memory: 4 } })],
    [],
    FREE_TEAM,
    sizeOf,
    OPTIONS,
  );
  assert.deepEqual(
    result.placements.map((p) => p.job),
    [0],
  );
});

test('a gang goes to the zone where the last of its tasks has the image soonest', () => {
  // If the zone were chosen by its capacity alone, gangs would fetch an image that another zone has.
  const has = (image: boolean) => (_image: string, gb: number) => (image ? 0 : gb);
  const snapshots = [0, 1, 2, 3, 4, 5].map((i) =>
    createMachineSnapshot({ machine: i, zone: i < 4 ? 0 : 1, fetchS: has(i === 0 || i > 3) }),
  );
  const gang = createTaskGroup({
    pending: 2,
    gang: true,
    oneZone: true,
    need: { cpus: 4, gpus: 0, memory: 4 },
    imageGb: 9,
  });
  const result = runRound([gang], snapshots, [], FREE_TEAM, sizeOf, OPTIONS);
  assert.deepEqual(result.placements.map((p) => p.machine).sort(), [4, 5]);
});

test('urgent groups that find no free capacity do not keep other groups out of all rounds', () => {
  const stuck = Array.from({ length: 30 }, (_, job) =>
    createTaskGroup({ job, priority: 3, need: { cpus: 40, gpus: 0, memory: 1 } }),
  );
  const low = Array.from({ length: 9 }, (_, i) => createTaskGroup({ job: 100 + i, priority: 0 }));
  const served = new Set<number>();
  let turns = 0;
  while (served.size < low.length && turns < 20) {
    const waiting = [...stuck, ...low.filter((g) => !served.has(g.job))];
    const result = runRound(waiting, [createMachineSnapshot()], [], FREE_TEAM, sizeOf, {
      ...OPTIONS,
      maxGroups: 16,
      roundNumber: turns++,
    });
    assert.ok(result.deferredGroupCount > 0);
    for (const p of result.placements) served.add(p.job);
  }
  assert.equal(served.size, low.length, `${turns} rounds`);
});

test('best-effort tasks leave each free accelerator its share of the machine and use the rest', () => {
  // If they filled the CPUs of machines with idle accelerators, they would be preempted for every task that needs an
  // accelerator.
  const perAccelerator = { cpus: 8, gpus: 1, memory: 16 };
  const machines = [
    createMachineSnapshot({ machine: 0, free: { cpus: 32, gpus: 4, memory: 64 }, perAccelerator }),
    createMachineSnapshot({ machine: 1, free: { cpus: 12, gpus: 1, memory: 32 }, perAccelerator }),
    createMachineSnapshot({ machine: 2, free: { cpus: 3, gpus: 0, memory: 20 }, perAccelerator }),
  ];
  const work = createTaskGroup({ pending: 50, need: { cpus: 1, gpus: 0, memory: 1 } });
  const placed = (bestEffort: boolean): Map<number, number> => {
    const found = runRound([{ ...work, bestEffort }], machines, [], FREE_TEAM, sizeOf, OPTIONS);
    return new Map(found.placements.map((p) => [p.machine, p.count]));
  };
  assert.deepEqual([...placed(true)].sort(), [
    [1, 4],
    [2, 3],
  ]);
  assert.deepEqual([...placed(false)].sort(), [
    [0, 32],
    [1, 12],
    [2, 3],
  ]);
});

test('machines are rented for a group only up to its maximum price per task', () => {
  const expensive = createProvisioningOption({ option: 0, size: { cpus: 4, gpus: 0, memory: 16 }, price: 4 });
  const cheap = createProvisioningOption({ option: 1, size: { cpus: 4, gpus: 0, memory: 16 }, price: 1 });
  const priceLimited = createTaskGroup({ pending: 4, maxProvisionPrice: 0.5 });
  const rents = (options: (typeof expensive)[]): number[] =>
    [...runRound([priceLimited], [], options, FREE_TEAM, sizeOf, OPTIONS).demand.keys()].sort();
  assert.deepEqual(rents([expensive]), []);
  assert.deepEqual(rents([expensive, cheap]), [1]);
});

test('releases at about the same time are merged into one entry, and no resources are lost', () => {
  const resources = { cpus: 1, gpus: 0, memory: 2 };
  const releases = [3, 3.5, 4, 9, 40, 43, 45, 120].map((inS) => ({ inS, resources }));
  const merged = mergeReleases(releases);
  assert.deepEqual(
    merged.map((m) => [m.inS, m.resources.cpus, m.resources.memory]),
    [
      [4, 3, 6],
      [9, 1, 2],
      [43, 2, 4],
      [45, 1, 2],
      [120, 1, 2],
    ],
  );
  assert.deepEqual(resources, { cpus: 1, gpus: 0, memory: 2 }, 'the input is not changed');
});
