import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { Catalog } from '../../src/fleet/catalog.ts';
import { findInfeasibility, type TeamQuota } from '../../src/jobs/admission.ts';
import { decodeJob, type JobRequest } from '../../src/wire/user.ts';
import { BIG, SEED } from '../helpers.ts';
import { JOB } from '../wire/sample.ts';
import { validSubmission } from '../wire/submissions.ts';

const TEAM: TeamQuota = { name: 'vision', cpus: 0, gpus: 8, cpusMax: 100, gpusMax: 16 };
/** `big` (8 CPUs, 4 GPUs, 64 GB) in both zones; `flat` (32 CPUs, 16 GB, no GPU) in zone b alone. */
const FLAT = { ...BIG, name: 'flat', cpus: 32, gpus: 0, memory: 16, zones: ['b'] };
const CATALOG = new Catalog([BIG, FLAT]);

/** A small job, with fields of the submission replaced. */
function jobWith(overrides: object): JobRequest {
  const decoded = decodeJob(
    JSON.stringify({ ...JOB, ovens: null, cores: 1, accelerators: 0, memGb: 1, loaves: 1, ...overrides }),
  );
  assert.ok(decoded.ok, decoded.ok ? '' : decoded.reason);
  return decoded.value;
}

/** Rounds an amount to quarters, whose sums are exact. */
const roundToQuarters = (amount: number): number => Math.round(amount * 4) / 4;

/** Why a job with these fields can never run, or null. */
const reasonFor = (overrides: object, catalog: Catalog | null = CATALOG): string | null =>
  findInfeasibility(jobWith(overrides), TEAM, catalog);

function assertFeasible(cases: readonly [overrides: object, feasible: boolean][]): void {
  for (const [overrides, feasible] of cases) {
    assert.equal(reasonFor(overrides) === null, feasible, JSON.stringify(overrides));
  }
}

test('a job that fits no allowed machine type can never run', () => {
  const cases: [object, boolean][] = [
    [{ cores: 32 }, true],
    [{ cores: 32.5 }, false],
    [{ memGb: 64 }, true],
    [{ memGb: 65 }, false],
    [{ accelerators: 4 }, true],
    [{ accelerators: 5 }, false],
    // Each amount fits some type, but no type has them all.
    [{ cores: 32, memGb: 64 }, false],
    [{ cores: 32, accelerators: 1 }, false],
    // Only allowed types count.
    [{ cores: 32, ovens: ['flat'] }, true],
    [{ cores: 32, ovens: ['big'] }, false],
    [{ ovens: ['no-such', 'big'] }, true],
    [{ ovens: ['no-such'] }, false],
    [{ ovens: [] }, false],
    // The zone must have the type.
    [{ yard: 'a' }, true],
    [{ yard: 'c' }, false],
    [{ yard: 'b', ovens: ['flat'] }, true],
    [{ yard: 'a', ovens: ['flat'] }, false],
    [{ yard: 'a', cores: 32 }, false],
    // On-demand machines of each type can be provisioned: spot machines are allowed, never required.
    [{ borrowed: false }, true],
  ];
  assertFeasible(cases);
});

test("one task of an array, and all tasks of a gang, must fit the team's limit", () => {
  const cases: [object, boolean][] = [
    [{ shape: 'array', loaves: 100_000, accelerators: 4 }, true],
    [{ shape: 'ensemble', loaves: 4, accelerators: 4 }, true],
    [{ shape: 'ensemble', loaves: 5, accelerators: 4 }, false],
    [{ shape: 'ensemble', loaves: 12, cores: 8 }, true],
    [{ shape: 'ensemble', loaves: 13, cores: 8 }, false],
    // 160 times 0.1 is the limit of 16: the rounding error of a decimal sum doesn't rule a job out.
    [{ shape: 'ensemble', loaves: 160, cores: 0.1, accelerators: 0.1 }, true],
  ];
  assertFeasible(cases);
  assert.equal(findInfeasibility(jobWith({}), undefined, CATALOG), 'unknown team');
  const unlimited = { ...TEAM, cpusMax: 0, gpusMax: 0 };
  const huge = jobWith({ shape: 'ensemble', loaves: 100_000, accelerators: 4 });
  assert.equal(findInfeasibility(huge, unlimited, CATALOG), null);
});

test('no job is refused for lack of capacity, which is not published', () => {
  assert.equal(reasonFor({ shape: 'ensemble', loaves: 16, samePlace: true, accelerators: 1 }), null);
  assert.equal(reasonFor({ shape: 'ensemble', loaves: 3, apart: true, yard: 'a' }), null);
});

test('without a catalog only the team and its limits are checked', () => {
  assert.notEqual(reasonFor({ shape: 'ensemble', loaves: 5, accelerators: 4 }, null), null);
  assert.equal(findInfeasibility(jobWith({}), undefined, null), 'unknown team');
  assert.equal(reasonFor({ cores: 1000, shape: 'ensemble' }, null) !== null, true);
  assert.equal(reasonFor({ memGb: 1000, ovens: ['no-such'] }, null), null);
});

test('a job is infeasible exactly when no allowed machine type fits or the quota is too small', () => {
  fc.assert(
    fc.property(
      validSubmission,
      fc.option(fc.constantFrom('a', 'b', 'c')),
      fc.option(fc.subarray(['big', 'flat', 'x'])),
      (wire, yard, ovens) => {
        const scaled = {
          ...wire,
          cores: roundToQuarters(Number(wire.cores) / 25),
          memGb: roundToQuarters(Number(wire.memGb) / 100),
          accelerators: roundToQuarters(Number(wire.accelerators) / 10),
          loaves: 1 + (Number(wire.loaves) % 12),
          yard,
          ovens,
        };
        const decoded = decodeJob(JSON.stringify(scaled));
        assert.ok(decoded.ok);
        const job = decoded.value;
        const concurrentTasks = job.gang ? job.tasks : 1;
        const withinQuota = job.cpus * concurrentTasks <= 100 && job.gpus * concurrentTasks <= 16;
        const allowedTypes = [BIG, FLAT]
          .filter((type) => ovens === null || ovens.includes(type.name))
          .filter((type) => yard === null || type.zones.includes(yard));
        const feasible =
          withinQuota &&
          allowedTypes.some(
            (type) => type.cpus >= job.cpus && type.gpus >= job.gpus && type.memory >= job.memory,
          );
        assert.equal(findInfeasibility(job, TEAM, CATALOG) === null, feasible);
      },
    ),
    { seed: SEED, numRuns: 500 },
  );
});
