import type { Logger } from '../../src/core/log.ts';
import { JOB } from '../wire/sample.ts';
import { silent } from '../helpers.ts';
import { Sim } from './sim.ts';
import { World, type Fault, type Guards } from './world.ts';

export interface Scenario {
  seed: number;
  faults: Fault[];
  /** How long the day is; 170 s if not given. */
  endS?: number;
  /** Positions of jobs that fail everywhere. */
  mistaken?: number[];
  /** Positions of the first machines that fail whatever they run. */
  faulty?: number[];
  jobs: { atS: number; shape: number; tasks: number; runS: number; cancelS: number }[];
}

const SHAPES: object[] = [
  { shape: 'array', apart: false, samePlace: false },
  { shape: 'ensemble', apart: false, samePlace: true },
  { shape: 'array', apart: true, samePlace: false },
  { shape: 'array', accelerators: 1, ovens: ['big'], samePlace: true, apart: false },
  { shape: 'ensemble', accelerators: 1, ovens: ['big'], samePlace: false, apart: false },
  { shape: 'array', yard: 'b', borrowed: false, rank: 'urgent', samePlace: false, apart: false },
];

/** Plays one generated day. */
export async function play(s: Scenario, guards: Partial<Guards> = {}, log: Logger = silent): Promise<World> {
  const sim = new Sim(s.seed);
  const world = new World(sim, { roster: true, begun: true, lease: true, fence: true, ...guards }, log);
  const machineNames = [...world.all.keys()];
  for (const at of s.faulty ?? []) world.faulty.add(machineNames[at]!);
  s.jobs.forEach((j, i) => {
    const wire = {
      ...JOB,
      uid: `req-${String(i).padStart(6, '0')}`,
      loaves: j.tasks,
      cores: 1,
      accelerators: 0,
      memGb: 2,
      imageGb: 1,
      ovens: null,
      yard: null,
      bakeS: j.runS,
      proofS: i % 2 === 0 ? 5 : 0,
      coolS: 1,
      dueS: null,
      ...SHAPES[j.shape]!,
    };
    if (s.mistaken?.includes(i)) world.mistaken.add(wire.uid);
    sim.after(j.atS * 1000, () => world.submit(wire));
    if (j.cancelS > 0) sim.after((j.atS + j.cancelS) * 1000, () => world.cancel(wire.uid));
  });
  for (const f of s.faults) sim.after(f.atS * 1000, () => world.strike(f));
  await sim.run(s.endS === undefined ? 170_000 : s.endS * 1000);
  return world;
}
